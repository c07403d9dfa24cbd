#include <medlar/detail/base/error.hpp>
#include <medlar/detail/controller/control_message.hpp>
#include <medlar/detail/settings/settings.hpp>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace medlar
{

namespace
{

using nlohmann::json;

absl::Status malformed(absl::string_view what)
{
    return make_error(absl::StatusCode::kDataLoss,
                      error_number::link_malformed,
                      absl::StrCat("report of the gateway: ", what));
}

void append_field(std::string* body, absl::string_view name, absl::string_view value)
{
    absl::StrAppend(body, body->size() > 1 ? "," : "", "\"", name, "\":", value);
}

json names_of(const std::vector<target_id>& targets)
{
    json names = json::array();
    for (const target_id& target : targets)
    {
        names.push_back(target.get());
    }
    return names;
}

json addresses_of(const std::vector<endpoint>& endpoints)
{
    json addresses = json::array();
    for (const endpoint& each : endpoints)
    {
        addresses.push_back(to_string(each));
    }
    return addresses;
}

// The functions below throw json::exception, which parse_gateway_report() converts to a
// status.

const json& require_array(const json& value)
{
    if (!value.is_array())
    {
        throw json::other_error::create(502, "a list is no array", &value);
    }
    return value;
}

std::uint64_t require_unsigned(const json& value)
{
    if (!value.is_number_unsigned())
    {
        throw json::other_error::create(502, "a number is not unsigned", &value);
    }
    return value.get<std::uint64_t>();
}

std::vector<incarnation> parse_incarnations(const json& list)
{
    std::vector<incarnation> read;
    for (const json& item : require_array(list))
    {
        read.emplace_back(require_unsigned(item));
    }
    return read;
}

absl::StatusOr<view_member> parse_member(const json& item)
{
    const absl::StatusOr<endpoint> link =
        parse_endpoint(item.at("link").get<std::string>());
    if (!link.ok())
    {
        return malformed(absl::StrCat("waiting: ", link.status().message()));
    }
    view_member member;
    member.host = host_id(item.at("host").get<std::string>());
    member.process = incarnation(require_unsigned(item.at("process")));
    member.link = *link;
    member.failure_domain =
        failure_domain_id(item.at("failure_domain").get<std::string>());
    return member;
}

absl::StatusOr<gateway_report> parse_report(const json& from)
{
    gateway_report report;
    report.host = host_id(from.at("host").get<std::string>());
    report.process = incarnation(require_unsigned(from.at("process")));
    report.configuration = revision(require_unsigned(from.at("configuration")));
    report.adopted = view_epoch(require_unsigned(from.at("adopted")));
    report.newest = view_epoch(require_unsigned(from.at("newest")));
    report.member = from.at("member").get<bool>();
    report.may_propose = from.at("may_propose").get<bool>();
    report.not_heard = parse_incarnations(from.at("not_heard"));
    report.leaving = parse_incarnations(from.value("leaving", json::array()));
    for (const json& item : require_array(from.at("waiting")))
    {
        absl::StatusOr<view_member> member = parse_member(item);
        if (!member.ok())
        {
            return member.status();
        }
        report.waiting.push_back(*std::move(member));
    }
    return report;
}

} // namespace

std::string write_control_push(const control_push& push)
{
    std::string body = "{";
    if (push.view)
    {
        append_field(&body, "view", *push.view);
    }
    if (push.configuration)
    {
        append_field(&body, "configuration", *push.configuration);
    }
    if (push.confirmed)
    {
        append_field(&body, "confirmed", absl::StrCat(push.confirmed->get()));
    }
    if (push.leaving)
    {
        append_field(&body, "leaving", names_of(*push.leaving).dump());
    }
    if (push.peers)
    {
        append_field(&body, "peers", addresses_of(*push.peers).dump());
    }
    return absl::StrCat(body, "}");
}

std::string write_state_request(view_epoch newest, revision configuration)
{
    const json body = {{"newest", newest.get()}, {"configuration", configuration.get()}};
    return body.dump();
}

absl::StatusOr<newer_state> parse_newer_state(absl::string_view text)
{
    const json from = json::parse(text.begin(), text.end(), nullptr, false);
    if (!from.is_object())
    {
        return malformed("the answer to /v1/state is no object");
    }
    newer_state newer;
    if (from.contains("view"))
    {
        absl::StatusOr<view_record> record = parse_view_record(from["view"].dump());
        if (!record.ok())
        {
            return record.status();
        }
        newer.view = *std::move(record);
    }
    if (from.contains("document"))
    {
        newer.configuration = from["document"].dump();
    }
    return newer;
}

absl::StatusOr<gateway_report> parse_gateway_report(absl::string_view text)
{
    try
    {
        return parse_report(json::parse(text.begin(), text.end()));
    }
    catch (const json::exception& error)
    {
        return malformed(error.what());
    }
}

} // namespace medlar
