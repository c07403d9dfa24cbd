#ifndef MEDLAR_DETAIL_OPERATORS_LIVE_CONFIGURATION_HPP
#define MEDLAR_DETAIL_OPERATORS_LIVE_CONFIGURATION_HPP

#include <medlar/detail/config/document.hpp>
#include <medlar/detail/operators/audit_log.hpp>
#include <medlar/detail/store/store_client.hpp>

#include <absl/status/statusor.h>

#include <atomic>
#include <cstdint>
#include <string>

namespace medlar
{

/// @brief the newest accepted document with its index in the store
struct live_document
{
    accepted_document accepted;
    store_index index;
};

/// @brief Reads and writes the accepted document in the store, and detects when the store
/// has lost accepted changes.
/// @note Thread-safe.
class live_configuration
{
  public:
    explicit live_configuration(store_client& store);

    /// @brief Reads the accepted document; its revision is 0 if there is none.
    /// @param above the caller accepts that revisions up to this one are lost
    /// @return error 705 if the stored revision is older than the newest one seen and
    ///     @p above is lower than that one, or an error of store_client
    absl::StatusOr<live_document> read(revision above);

    /// @brief Replaces @p before by @p next by compare-and-swap.
    /// @return whether it was written, or an error of store_client
    absl::StatusOr<bool> write(const live_document& before,
                               const accepted_document& next);

    /// @brief Returns the accepted document of a revision.
    /// @return error 603 if it is not kept
    absl::StatusOr<accepted_document>
    find(const live_document& live, const audit_log& audit, revision number) const;

    /// @brief Records an accepted revision; the highest one is kept.
    void record_seen_revision(revision number);

  private:
    /// @return error 705 if the newest revision seen is above both arguments
    absl::Status check_not_outdated(revision found, revision above);

    store_client& store_;
    std::atomic<std::uint64_t> newest_seen_{0};
};

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_LIVE_CONFIGURATION_HPP
