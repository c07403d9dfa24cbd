#include <medlar/detail/replay/report.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace medlar
{

namespace
{

constexpr std::size_t max_reported_faults = 10;

bool in_time(const replayed_request& result)
{
    return result.answer && result.answer->kind == outcome_kind::answered &&
           result.answer->fault.empty() && result.elapsed <= result.request.deadline;
}

void count(outcome_counts& counts, const replayed_request& result)
{
    ++counts.sent;
    counts.resent += result.sent > 1 ? 1 : 0;
    counts.in_time += in_time(result) ? 1 : 0;
    if (!result.answer)
    {
        ++counts.lost;
        return;
    }
    switch (result.answer->kind)
    {
        case outcome_kind::answered:
            ++counts.answered;
            counts.wrong += result.answer->fault.empty() ? 0 : 1;
            break;
        case outcome_kind::not_run:
            ++counts.refused;
            break;
        case outcome_kind::failed:
            ++counts.failed;
            break;
        case outcome_kind::unknown:
            ++counts.unknown;
            break;
    }
}

void count_calls(replay_report& report, const replayed_request& result)
{
    const bool wasted = !in_time(result);
    for (const traced_call& call : result.answer->calls)
    {
        stage_cost& cost = report.by_stage[call.stage];
        const auto busy = static_cast<double>(call.elapsed.count());
        ++cost.calls;
        cost.busy_ms += busy;
        cost.wasted_ms += wasted ? busy : 0;
        cost.retries += call.attempt > 1 ? 1 : 0;
        cost.tokens += call.tokens;
        cost.prompt_tokens += call.prompt_tokens;
        cost.cached_tokens += call.cached_tokens;
    }
}

time_summary summary_of(std::vector<double> durations)
{
    time_summary out;
    out.samples = static_cast<std::int64_t>(durations.size());
    if (durations.empty())
    {
        return out;
    }
    std::sort(durations.begin(), durations.end());
    const auto at = [&durations](double quantile)
    {
        return durations[static_cast<std::size_t>(
            quantile * static_cast<double>(durations.size() - 1))];
    };
    out.p50_ms = at(0.5);
    out.p95_ms = at(0.95);
    return out;
}

/// @brief Returns whether a stage must run at most once for a request that is not
/// idempotent.
bool must_run_at_most_once(const trace_header& header, const std::string& stage)
{
    const auto& stages = header.unrepeatable_stages;
    return stages.empty() || std::count(stages.begin(), stages.end(), stage) != 0;
}

std::int64_t count_duplicate_calls(const trace_header& header,
                                   const std::vector<replayed_request>& results,
                                   const execution_counts& executions)
{
    std::map<std::string, const trace_request*> once_only_requests;
    for (const replayed_request& each : results)
    {
        if (!each.request.idempotent)
        {
            const std::string name =
                absl::StrCat(each.request.organisation.get(), "/", each.request.id.get());
            once_only_requests[name] = &each.request;
        }
    }
    std::int64_t doubled = 0;
    for (const auto& [call_id, execution_count] : executions)
    {
        const std::size_t slash = call_id.rfind('/');
        if (execution_count < 2 || slash == std::string::npos)
        {
            continue;
        }
        const bool is_duplicate =
            once_only_requests.count(call_id.substr(0, slash)) != 0 &&
            must_run_at_most_once(header, call_id.substr(slash + 1));
        doubled += is_duplicate ? 1 : 0;
    }
    return doubled;
}

void require(replay_report& report, bool met, const std::string& what)
{
    if (!met)
    {
        report.unmet.push_back(what);
    }
}

void check_expectations(const trace_header& header, replay_report& report)
{
    require(report, report.all.lost == 0, "no request is lost");
    require(report, report.doubled == 0, "no call that may be made once is doubled");
    require(report, report.all.wrong == 0, "each answer is whole and for its request");
    const trace_expectations& expect = header.expect;
    if (expect.attainment_at_least)
    {
        require(report,
                report.all.attainment() >= *expect.attainment_at_least,
                absl::StrCat("attainment is at least ", *expect.attainment_at_least));
    }
    if (!expect.worst_attainment_at_least)
    {
        return;
    }
    for (const auto& [name, counts] : report.by_organisation)
    {
        const bool met = counts.attainment() >= *expect.worst_attainment_at_least;
        require(report,
                met || name == header.flooding.get(),
                absl::StrCat("attainment of ",
                             name,
                             " is at least ",
                             *expect.worst_attainment_at_least));
    }
}

} // namespace

double outcome_counts::attainment() const
{
    return sent == 0 ? 1 : static_cast<double>(in_time) / static_cast<double>(sent);
}

double stage_cost::wasted_share() const
{
    return busy_ms <= 0 ? 0 : wasted_ms / busy_ms;
}

replay_report make_report(const trace_header& header,
                          const std::vector<replayed_request>& results,
                          const execution_counts& executions)
{
    replay_report report;
    std::vector<double> answer_times;
    std::vector<double> first_tokens;
    for (const replayed_request& each : results)
    {
        count(report.all, each);
        count(report.by_organisation[each.request.organisation.get()], each);
        if (each.first_token)
        {
            first_tokens.push_back(static_cast<double>(each.first_token->count()));
        }
        if (!each.answer)
        {
            continue;
        }
        count_calls(report, each);
        if (each.answer->kind == outcome_kind::answered)
        {
            answer_times.push_back(static_cast<double>(each.elapsed.count()));
        }
        else
        {
            ++report.reasons[each.answer->reason];
        }
        if (!each.answer->fault.empty() && report.faults.size() < max_reported_faults)
        {
            report.faults.push_back(
                absl::StrCat(each.request.id.get(), ": ", each.answer->fault));
        }
    }
    report.answer_time = summary_of(std::move(answer_times));
    report.first_token = summary_of(std::move(first_tokens));
    report.doubled = count_duplicate_calls(header, results, executions);
    check_expectations(header, report);
    return report;
}

} // namespace medlar
