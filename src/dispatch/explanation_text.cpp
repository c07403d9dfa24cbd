// Part of request_explanation: the text of an explanation.

#include <medlar/detail/dispatch/request_explanation.hpp>

#include <absl/strings/str_cat.h>

namespace medlar
{

namespace
{

/// the value of a field as text; empty if there is none
std::string field(const nlohmann::json& from, const char* name)
{
    const auto found = from.is_object() ? from.find(name) : from.end();
    if (!from.is_object() || found == from.end() || found->is_null())
    {
        return {};
    }
    using replace_odd = nlohmann::json::error_handler_t;
    return found->is_string() ? found->get<std::string>()
                              : found->dump(-1, ' ', false, replace_odd::replace);
}

const nlohmann::json& member(const nlohmann::json& from, const char* name)
{
    static const nlohmann::json none;
    return from.is_object() && from.contains(name) ? from.at(name) : none;
}

/// adds "NAME VALUE" for each field that is there
std::string fields(const nlohmann::json& from, const std::vector<const char*>& names)
{
    std::string out;
    for (const char* each : names)
    {
        const std::string value = field(from, each);
        if (!value.empty())
        {
            absl::StrAppend(&out, out.empty() ? "" : ", ", each, " ", value);
        }
    }
    return out;
}

std::string target_line(const nlohmann::json& target)
{
    const bool is_taken = field(target, "taken") == "true";
    std::string out = absl::StrCat("  ", field(target, "target"), ": ");
    absl::StrAppend(&out,
                    is_taken ? "is taken" : field(target, "why"),
                    "\n    ",
                    fields(target,
                           {"state",
                            "address",
                            "domain",
                            "version",
                            "slots",
                            "in_flight",
                            "speed_weight",
                            "ejected_for_ms",
                            "probing",
                            "failures_in_a_row",
                            "full_for_ms",
                            "paused_for_ms",
                            "limited_for_ms",
                            "cold_for_ms",
                            "refusals_per_s",
                            "may_have_crashed",
                            "start_unknown"}),
                    "\n");
    const std::string permits = fields(member(target, "permits"), {"per_s", "issuer"});
    if (!permits.empty())
    {
        absl::StrAppend(&out, "    permits: ", permits, "\n");
    }
    return out;
}

void append_targets(std::string& out, const nlohmann::json& targets)
{
    for (const nlohmann::json& each : member(targets, "list"))
    {
        out += target_line(each);
    }
    const std::string omitted = field(targets, "omitted");
    if (!omitted.empty() && omitted != "0")
    {
        absl::StrAppend(&out, "  and ", omitted, " more\n");
    }
}

void append_route(std::string& out, const nlohmann::json& said)
{
    const nlohmann::json& matched = member(said, "route");
    if (matched.is_object())
    {
        absl::StrAppend(&out,
                        "route ",
                        fields(matched,
                               {"name",
                                "host",
                                "prefix",
                                "kind",
                                "may_retry",
                                "max_attempts",
                                "timeout_ms",
                                "soft_timeout_ms",
                                "pools"}),
                        "\n");
    }
    const nlohmann::json& missing = member(said, "no_route");
    if (missing.is_object())
    {
        absl::StrAppend(&out,
                        "no route: ",
                        fields(missing, {"routes_of_host", "prefixes_of_host"}),
                        "\n");
    }
}

void append_stages(std::string& out, const nlohmann::json& said)
{
    const std::string start = fields(
        member(said, "stages_start"),
        {"chosen", "expected_ms", "unqueued_ms", "until_aim_ms", "until_deadline_ms"});
    if (!start.empty())
    {
        absl::StrAppend(&out, "stages: ", start, "\n");
    }
    for (const nlohmann::json& each : member(said, "stages"))
    {
        absl::StrAppend(
            &out,
            "stage ",
            fields(
                each,
                {"stage", "pool", "pieces", "after", "group", "owner", "is_here", "why"}),
            "\n");
        append_targets(out, member(each, "targets"));
    }
}

} // namespace

std::string explanation_text(const nlohmann::json& explanation)
{
    std::string out = absl::StrCat(
        fields(explanation, {"host", "version", "organisation", "priority", "request"}),
        "\n");
    append_route(out, explanation);
    append_stages(out, explanation);
    const std::string pool =
        fields(explanation, {"pool", "left_ms", "wanted_version", "origin"});
    if (!pool.empty())
    {
        absl::StrAppend(&out, "targets of ", pool, "\n");
    }
    append_targets(out, member(explanation, "targets"));
    const nlohmann::json& result = member(explanation, "result");
    absl::StrAppend(&out,
                    "result: ",
                    fields(result,
                           {"action",
                            "target",
                            "host",
                            "status",
                            "retry_after",
                            "retry_after_ms",
                            "permit",
                            "saves_version",
                            "why"}),
                    "\n");
    return out;
}

} // namespace medlar
