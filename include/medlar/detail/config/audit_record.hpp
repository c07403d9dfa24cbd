#ifndef MEDLAR_DETAIL_CONFIG_AUDIT_RECORD_HPP
#define MEDLAR_DETAIL_CONFIG_AUDIT_RECORD_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/config/difference.hpp>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <cstdint>
#include <string>
#include <vector>

namespace medlar
{

/// @brief the object that an audited change affected
enum class audit_kind
{
    configuration,
    view,
    order,
};

/// @brief one entry of the audit log: who changed what, when, and on which revision
struct audit_record
{
    audit_kind kind = audit_kind::configuration;
    /// revision of the configuration or of the order, or epoch of the view
    std::uint64_t number = 0;
    /// number before the change
    std::uint64_t based_on = 0;
    std::string change_id;
    std::string author;
    std::string summary;
    wall_time at;
    /// digest of the accepted configuration; empty for other kinds
    std::string content_digest;
    std::vector<difference> differences;
};

/// @brief limit of the differences listed in a record
constexpr std::size_t max_recorded_differences = 50;

/// @brief Returns the name of a kind, such as "configuration".
absl::string_view to_string(audit_kind kind);

/// @brief Parses the JSON form of a record.
/// @return errors 501 to 504 and 510
absl::StatusOr<audit_record> parse_audit_record(absl::string_view text);

/// @brief Returns the JSON form that parse_audit_record() reads.
std::string write_audit_record(const audit_record& record);

/// @brief Creates the audit record of an accepted configuration.
/// @param before the content that it replaced; nullptr if that is no longer available
audit_record make_audit_record(const accepted_document& accepted, const document* before);

} // namespace medlar

#endif // MEDLAR_DETAIL_CONFIG_AUDIT_RECORD_HPP
