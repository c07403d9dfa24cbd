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

/// @brief what an audited change changed
enum class audit_kind
{
    configuration,
    view,
    order,
};

/// @brief who changed what, when, and from which revision
struct audit_record
{
    audit_kind kind = audit_kind::configuration;
    /// revision of the configuration or of the order, or epoch of the view
    std::uint64_t number = 0;
    /// the number that the change replaced
    std::uint64_t based_on = 0;
    std::string change_id;
    std::string author;
    std::string summary;
    wall_time at;
    /// digest of the accepted content; empty for other kinds
    std::string content_digest;
    std::vector<difference> differences;
};

/// @brief most differences that a record lists
constexpr std::size_t max_recorded_differences = 50;

/// @brief the name of a kind, such as "configuration"
absl::string_view to_string(audit_kind kind);

/// @brief Reads the JSON form of a record.
/// @return errors 501 to 504 and 510
absl::StatusOr<audit_record> parse_audit_record(absl::string_view text);

/// @brief the JSON form that parse_audit_record() reads
std::string write_audit_record(const audit_record& record);

/// @brief The record of an accepted configuration.
/// @param before the content that it replaced; nullptr: it is not known any more
audit_record make_audit_record(const accepted_document& accepted, const document* before);

} // namespace medlar

#endif // MEDLAR_DETAIL_CONFIG_AUDIT_RECORD_HPP
