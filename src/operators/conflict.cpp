#include <medlar/detail/base/error.hpp>
#include <medlar/detail/operators/conflict.hpp>

#include <absl/strings/cord.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace medlar
{

namespace
{

using nlohmann::json;

constexpr absl::string_view payload_type = "medlar.conflict";
constexpr std::size_t max_listed_differences = 3;

json to_json(const conflict_report& report)
{
    json differences = json::array();
    for (const difference& each : report.differences)
    {
        differences.push_back({each.path, each.before, each.after});
    }
    return json{{"revision", report.number.get()},
                {"change_id", report.change_id},
                {"author", report.author},
                {"differences", std::move(differences)}};
}

conflict_report from_json(const json& from)
{
    conflict_report report;
    report.number = revision(from.at("revision").get<std::uint64_t>());
    report.change_id = from.at("change_id").get<std::string>();
    report.author = from.at("author").get<std::string>();
    for (const json& each : from.at("differences"))
    {
        report.differences.push_back({each.at(0), each.at(1), each.at(2)});
    }
    return report;
}

std::string message_of(const conflict_report& report)
{
    std::string message = absl::StrCat("revision ",
                                       report.number.get(),
                                       " by ",
                                       report.author,
                                       " (change ",
                                       report.change_id,
                                       ") came first");
    for (const difference& each :
         truncate_differences(report.differences, max_listed_differences))
    {
        absl::StrAppend(&message, "; ", each.path);
    }
    return message;
}

} // namespace

absl::Status make_conflict(const conflict_report& report)
{
    absl::Status status = make_error(
        absl::StatusCode::kAborted, error_number::conflict, message_of(report));
    status.SetPayload(
        payload_type,
        absl::Cord(to_json(report).dump(-1, ' ', false, json::error_handler_t::replace)));
    return status;
}

std::optional<conflict_report> get_conflict_report(const absl::Status& status)
{
    const auto payload = status.GetPayload(payload_type);
    if (!payload)
    {
        return std::nullopt;
    }
    return from_json(json::parse(std::string(*payload)));
}

} // namespace medlar
