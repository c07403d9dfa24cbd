#include <medlar/detail/membership/json_parts.hpp>
#include <medlar/detail/settings/settings.hpp>

#include <string>

namespace medlar
{

namespace
{

using nlohmann::json;

json json_of(const final_answer& answer)
{
    json object{{"kind", std::string(to_string(answer.result.kind))},
                {"why", static_cast<int>(answer.result.why)},
                {"message", answer.result.message},
                {"output", answer.output},
                {"trace", answer.trace}};
    if (answer.result.retry_after)
    {
        object["retry_after"] = answer.result.retry_after->count();
    }
    return object;
}

final_answer answer_from(const json& from)
{
    final_answer answer;
    // a request with a kind that this version does not know may have run
    answer.result.kind = outcome_kind_of(from.at("kind").get<std::string>())
                             .value_or(outcome_kind::unknown);
    answer.result.why = static_cast<reason>(from.at("why").get<int>());
    answer.result.message = from.at("message").get<std::string>();
    answer.output = from.at("output").get<std::string>();
    answer.trace = from.at("trace").get<std::string>();
    if (from.contains("retry_after"))
    {
        answer.result.retry_after = millis(from.at("retry_after").get<std::int64_t>());
    }
    return answer;
}

} // namespace

json json_of(const view_member& member)
{
    return {{"host", member.host.get()},
            {"process", member.process.get()},
            {"link", to_string(member.link)},
            {"failure_domain", member.failure_domain.get()}};
}

view_member member_from(const json& from)
{
    view_member member;
    member.host = host_id(from.at("host").get<std::string>());
    member.process = incarnation(from.at("process").get<std::uint64_t>());
    const auto link = parse_endpoint(from.at("link").get<std::string>());
    if (!link.ok())
    {
        throw json::other_error::create(502, "link is not an address", &from);
    }
    member.link = *link;
    member.failure_domain =
        failure_domain_id(from.at("failure_domain").get<std::string>());
    return member;
}

json json_of(const request_key& key)
{
    return {{"organisation", key.organisation.get()}, {"id", key.id.get()}};
}

request_key key_from(const json& from)
{
    return {organisation_id(from.at("organisation").get<std::string>()),
            request_id(from.at("id").get<std::string>())};
}

json json_of(const claim& one)
{
    json object = json_of(one.key);
    object["digest"] = {one.digest.high, one.digest.low};
    object["issued_at"] = one.issued_at.since_origin();
    object["runner"] = one.runner.get();
    if (one.answer)
    {
        object["answer"] = json_of(*one.answer);
    }
    return object;
}

claim claim_from(const json& from)
{
    claim one;
    one.key = key_from(from);
    one.digest.high = from.at("digest").at(0).get<std::uint64_t>();
    one.digest.low = from.at("digest").at(1).get<std::uint64_t>();
    one.issued_at = wall_time(from.at("issued_at").get<std::int64_t>());
    one.runner = incarnation(from.at("runner").get<std::uint64_t>());
    if (from.contains("answer"))
    {
        one.answer = answer_from(from.at("answer"));
    }
    return one;
}

json json_of(const std::vector<incarnation>& processes)
{
    json list = json::array();
    for (const incarnation process : processes)
    {
        list.push_back(process.get());
    }
    return list;
}

std::vector<incarnation> incarnations_from(const json& from)
{
    std::vector<incarnation> processes;
    for (const json& each : from)
    {
        processes.emplace_back(each.get<std::uint64_t>());
    }
    return processes;
}

} // namespace medlar
