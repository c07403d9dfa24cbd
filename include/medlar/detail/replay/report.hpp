#ifndef MEDLAR_DETAIL_REPLAY_REPORT_HPP
#define MEDLAR_DETAIL_REPLAY_REPORT_HPP

#include <medlar/detail/replay/caller.hpp>
#include <medlar/detail/replay/trace.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace medlar
{

/// @brief number of executions counted by targets, by call id
using execution_counts = std::map<std::string, std::int64_t>;

/// @brief number of requests by result
struct outcome_counts
{
    std::int64_t sent = 0;
    std::int64_t answered = 0;
    /// answered completely and within the deadline
    std::int64_t in_time = 0;
    std::int64_t refused = 0;
    std::int64_t failed = 0;
    std::int64_t unknown = 0;
    std::int64_t lost = 0;
    /// answered, but incomplete or for another request
    std::int64_t wrong = 0;
    /// sent more than once
    std::int64_t resent = 0;

    /// @brief Returns the fraction of requests answered completely and in time.
    double attainment() const;
};

/// @brief the work done by a stage
struct stage_cost
{
    std::int64_t calls = 0;
    double busy_ms = 0;
    /// part of busy_ms spent on requests that were not answered in time
    double wasted_ms = 0;
    /// attempts after the first
    std::int64_t retries = 0;
    std::int64_t tokens = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;

    /// @brief Returns the fraction of the work that was wasted.
    double wasted_share() const;
};

/// @brief quantiles of a duration in milliseconds
struct time_summary
{
    std::int64_t samples = 0;
    double p50_ms = 0;
    double p95_ms = 0;
};

/// @brief the measurements and checks of a replay
struct replay_report
{
    outcome_counts all;
    std::map<std::string, outcome_counts> by_organisation;
    std::map<std::string, stage_cost> by_stage;
    std::map<std::string, std::int64_t> reasons;
    time_summary answer_time;
    time_summary first_token;
    /// calls executed more than once although they may run only once
    std::int64_t doubled = 0;
    /// expectations that were not met
    std::vector<std::string> unmet;
    /// the first few faults found in answers
    std::vector<std::string> faults;
};

/// @brief Summarises a replay and checks it against the expectations of the trace.
/// @param executions counts of all targets; empty if they were not fetched
replay_report make_report(const trace_header& header,
                          const std::vector<replayed_request>& results,
                          const execution_counts& executions);

/// @brief Returns the report as human-readable text.
std::string write_text(const replay_report& report);

/// @brief Returns the report as JSON.
std::string write_json(const replay_report& report);

/// @brief Returns "replay: N sent, N answered, N refused, N lost, N doubled"; requests
/// with the outcome failed or unknown count as refused here.
std::string summary_line(const replay_report& report);

} // namespace medlar

#endif // MEDLAR_DETAIL_REPLAY_REPORT_HPP
