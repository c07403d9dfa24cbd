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

/// @brief the newest accepted document as it lies in the store
struct live_document
{
    accepted_document accepted;
    store_index index;
};

/// @brief Reads and writes the accepted document in the store, and sees when the store
/// has lost accepted changes.
/// @note Safe to call from every thread.
class live_configuration
{
  public:
    explicit live_configuration(store_client& store);

    /// @brief Reads the accepted document; revision 0 if there is none.
    /// @param above lost revisions that the caller knows of
    /// @return error 705 if the store holds an older revision than was seen and
    ///     @p above does not cover it, or those of store_client
    absl::StatusOr<live_document> read(revision above);

    /// @brief Writes the document that follows @p before.
    /// @return whether it was written, or the errors of store_client
    absl::StatusOr<bool> write(const live_document& before,
                               const accepted_document& next);

    /// @brief The accepted document of a revision.
    /// @return error 603 if it is not kept
    absl::StatusOr<accepted_document>
    find(const live_document& live, const audit_log& audit, revision number) const;

    /// @brief Notes a revision that was accepted.
    void saw(revision number);

  private:
    absl::Status check_not_outdated(revision found, revision above);

    store_client& store_;
    std::atomic<std::uint64_t> newest_seen_{0};
};

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_LIVE_CONFIGURATION_HPP
