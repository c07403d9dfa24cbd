#include <medlar/detail/base/error.hpp>
#include <medlar/detail/config/field_reader.hpp>
#include <medlar/detail/config/json_text.hpp>
#include <medlar/detail/operators/host_report.hpp>
#include <medlar/detail/settings/settings.hpp>

#include <absl/strings/str_cat.h>

#include <limits>

namespace medlar
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_report_bytes = 1000000;
constexpr std::int64_t max_integer = std::numeric_limits<std::int64_t>::max();

absl::Status malformed_error(absl::string_view what)
{
    return make_error(absl::StatusCode::kDataLoss,
                      error_number::link_malformed,
                      absl::StrCat("status of a gateway: ", what));
}

std::uint64_t count_or_zero(field_reader& fields, const char* name)
{
    return static_cast<std::uint64_t>(fields.integer_or(name, 0, 0, max_integer));
}

/// @brief Reads an incarnation, which may use all 64 bits.
incarnation read_incarnation(field_reader& fields)
{
    const json* found = fields.value("process");
    if (found == nullptr || !found->is_number_unsigned())
    {
        fields.fail(error_number::wrong_type, "process", "is not a number");
        return incarnation(0);
    }
    return incarnation(found->get<std::uint64_t>());
}

absl::StatusOr<view_member> read_member(const json& from, const std::string& path)
{
    field_reader fields(from, path);
    view_member member;
    member.host = host_id(fields.text("host"));
    member.process = read_incarnation(fields);
    member.failure_domain = failure_domain_id(fields.text_or("failure_domain", ""));
    const absl::StatusOr<endpoint> link = parse_endpoint(fields.text("link"));
    if (!link.ok())
    {
        return link.status();
    }
    member.link = *link;
    const absl::Status first_error = fields.error();
    if (!first_error.ok())
    {
        return first_error;
    }
    return member;
}

} // namespace

absl::StatusOr<host_report> parse_host_report(absl::string_view text)
{
    const absl::StatusOr<json> parsed = parse_json_text(text, max_report_bytes);
    if (!parsed.ok())
    {
        return malformed_error(parsed.status().message());
    }
    field_reader fields(*parsed, "");
    host_report report;
    report.host = host_id(fields.text("host"));
    report.process = read_incarnation(fields);
    report.configuration = revision(count_or_zero(fields, "configuration"));
    report.configuration_age =
        millis(fields.integer_or("configuration_age", 0, 0, max_integer));
    report.adopted = view_epoch(count_or_zero(fields, "adopted"));
    report.newest = view_epoch(count_or_zero(fields, "newest"));
    report.member = fields.boolean_or("member", false);
    report.lease_valid = fields.boolean_or("lease_valid", false);
    report.may_propose = fields.boolean_or("may_propose", false);
    report.claims = count_or_zero(fields, "claims");
    report.waiting = fields.items<view_member>("waiting", read_member);
    report.text = std::string(text);
    const absl::Status first_error = fields.error();
    if (!first_error.ok())
    {
        return malformed_error(first_error.message());
    }
    return report;
}

} // namespace medlar
