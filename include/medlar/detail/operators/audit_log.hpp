#ifndef MEDLAR_DETAIL_OPERATORS_AUDIT_LOG_HPP
#define MEDLAR_DETAIL_OPERATORS_AUDIT_LOG_HPP

#include <medlar/detail/config/audit_record.hpp>
#include <medlar/detail/store/store_client.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlar
{

/// @brief Bounded audit log of accepted changes, kept in the store.
///
/// A record is stored under its number modulo the maximum number of records, so new
/// records overwrite the oldest ones; an older record never overwrites a newer one. The
/// contents of accepted documents are stored under separate keys and read one at a time.
/// @note Thread-safe. Errors are those of store_client.
class audit_log
{
  public:
    /// @param max_records maximum number of records kept for each kind of change
    static std::unique_ptr<audit_log> create(store_client& store,
                                             std::uint64_t max_records);

    /// @brief Records an accepted configuration, with its content, if it is not recorded
    /// yet.
    absl::Status ensure(const accepted_document& accepted);

    /// @brief Records a change that is not a configuration.
    /// @param scope separately numbered sequence: the pool of an order, or empty
    absl::Status add(const audit_record& record, const std::string& scope);

    /// @brief Records a change that is about to be attempted; overwrites an earlier
    /// intent with the same number.
    absl::Status add_intent(const audit_record& record, const std::string& scope);

    /// @brief Returns all kept records, newest first; malformed ones are skipped.
    absl::StatusOr<std::vector<audit_record>> list() const;

    /// @brief Returns the accepted document of a revision.
    /// @return unset if it is no longer kept
    absl::StatusOr<std::optional<accepted_document>> find_content(revision number) const;

  private:
    audit_log(store_client& store, std::uint64_t max_records);

    std::string
    record_key(audit_kind kind, const std::string& scope, std::uint64_t number) const;
    std::string content_key(revision number) const;
    absl::StatusOr<bool> has_record(const accepted_document& accepted) const;
    /// @brief Writes a value by compare-and-swap unless the stored one is newer.
    /// @param max_replaceable highest number of a stored value that may be overwritten
    /// @param parse_number extracts the number of a stored value; 0 if it is malformed
    absl::Status put_unless_newer(const std::string& key,
                                  const std::string& value,
                                  std::uint64_t max_replaceable,
                                  std::uint64_t (*parse_number)(const std::string&));

    store_client& store_;
    std::uint64_t max_records_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_AUDIT_LOG_HPP
