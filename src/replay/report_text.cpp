#include <medlar/detail/replay/report.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

namespace medlar
{

namespace
{

using json = nlohmann::json;

constexpr double percent = 100;

json counts_json(const outcome_counts& counts)
{
    return {{"sent", counts.sent},
            {"answered", counts.answered},
            {"in_time", counts.in_time},
            {"refused", counts.refused},
            {"failed", counts.failed},
            {"unknown", counts.unknown},
            {"lost", counts.lost},
            {"wrong", counts.wrong},
            {"resent", counts.resent},
            {"attainment", counts.attainment()}};
}

json cost_json(const stage_cost& cost)
{
    return {{"calls", cost.calls},
            {"busy_ms", cost.busy_ms},
            {"wasted_ms", cost.wasted_ms},
            {"wasted_share", cost.wasted_share()},
            {"retries", cost.retries},
            {"tokens", cost.tokens},
            {"prompt_tokens", cost.prompt_tokens},
            {"cached_tokens", cost.cached_tokens}};
}

json time_json(const time_summary& time)
{
    return {{"samples", time.samples}, {"p50_ms", time.p50_ms}, {"p95_ms", time.p95_ms}};
}

std::string counts_line(const std::string& name, const outcome_counts& counts)
{
    return absl::StrFormat("%-20s %6d %8d %7d %7d %6d %7d %4d %10.1f%%\n",
                           name,
                           counts.sent,
                           counts.answered,
                           counts.in_time,
                           counts.refused,
                           counts.failed,
                           counts.unknown,
                           counts.lost,
                           percent * counts.attainment());
}

std::string outcome_table(const replay_report& report)
{
    std::string text = absl::StrFormat("%-20s %6s %8s %7s %7s %6s %7s %4s %11s\n",
                                       "organisation",
                                       "sent",
                                       "answered",
                                       "in time",
                                       "refused",
                                       "failed",
                                       "unknown",
                                       "lost",
                                       "attainment");
    for (const auto& [name, counts] : report.by_organisation)
    {
        text += counts_line(name, counts);
    }
    return text + counts_line("all", report.all);
}

std::string stage_table(const replay_report& report)
{
    std::string text = absl::StrFormat("%-20s %6s %8s %12s %13s %8s\n",
                                       "stage",
                                       "calls",
                                       "retries",
                                       "ms a call",
                                       "ms in time",
                                       "wasted");
    for (const auto& [name, cost] : report.by_stage)
    {
        const double calls = std::max<double>(1, static_cast<double>(cost.calls));
        const double useful =
            std::max<double>(1, static_cast<double>(report.all.in_time));
        text += absl::StrFormat("%-20s %6d %8d %12.1f %13.1f %7.1f%%\n",
                                name,
                                cost.calls,
                                cost.retries,
                                cost.busy_ms / calls,
                                cost.busy_ms / useful,
                                percent * cost.wasted_share());
    }
    return text;
}

std::string time_line(const char* name, const time_summary& time)
{
    return absl::StrFormat("%-20s %6d samples, p50 %.0f ms, p95 %.0f ms\n",
                           name,
                           time.samples,
                           time.p50_ms,
                           time.p95_ms);
}

} // namespace

std::string summary_line(const replay_report& report)
{
    const std::int64_t refused =
        report.all.refused + report.all.failed + report.all.unknown;
    return absl::StrCat("replay: ",
                        report.all.sent,
                        " sent, ",
                        report.all.answered,
                        " answered, ",
                        refused,
                        " refused, ",
                        report.all.lost,
                        " lost, ",
                        report.doubled,
                        " doubled");
}

std::string write_text(const replay_report& report)
{
    std::string text =
        absl::StrCat(outcome_table(report), "\n", stage_table(report), "\n");
    text += time_line("answer", report.answer_time);
    text += time_line("first token", report.first_token);
    for (const auto& [reason, count] : report.reasons)
    {
        absl::StrAppend(&text, "refused: ", reason, " ", count, "\n");
    }
    for (const std::string& fault : report.faults)
    {
        absl::StrAppend(&text, "fault: ", fault, "\n");
    }
    for (const std::string& each : report.unmet)
    {
        absl::StrAppend(&text, "not met: ", each, "\n");
    }
    return text;
}

std::string write_json(const replay_report& report)
{
    json organisations = json::object();
    for (const auto& [name, counts] : report.by_organisation)
    {
        organisations[name] = counts_json(counts);
    }
    json stages = json::object();
    for (const auto& [name, cost] : report.by_stage)
    {
        stages[name] = cost_json(cost);
    }
    return json({{"all", counts_json(report.all)},
                 {"organisations", organisations},
                 {"stages", stages},
                 {"reasons", report.reasons},
                 {"answer_time", time_json(report.answer_time)},
                 {"first_token", time_json(report.first_token)},
                 {"doubled", report.doubled},
                 {"unmet", report.unmet},
                 {"faults", report.faults}})
        .dump();
}

} // namespace medlar
