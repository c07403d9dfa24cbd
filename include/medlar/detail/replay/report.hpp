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

/// @brief executions of stage calls as targets counted them, by call id
using execution_counts = std::map<std::string, std::int64_t>;

/// @brief requests by what became of them
struct outcome_counts
{
    std::int64_t sent = 0;
    std::int64_t answered = 0;
    /// answered whole and within the deadline
    std::int64_t in_time = 0;
    std::int64_t refused = 0;
    std::int64_t failed = 0;
    std::int64_t unknown = 0;
    std::int64_t lost = 0;
    /// answered, but not whole or not for its own request
    std::int64_t wrong = 0;
    /// sent more than once
    std::int64_t resent = 0;

    /// @brief share of requests answered whole and in time
    double attainment() const;
};

/// @brief work of one stage
struct stage_cost
{
    std::int64_t calls = 0;
    double busy_ms = 0;
    /// part of it done for requests that were not answered in time
    double wasted_ms = 0;
    /// tries after the first
    std::int64_t retries = 0;
    std::int64_t tokens = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;

    /// @brief share of the work that was wasted
    double wasted_share() const;
};

/// @brief quantiles of a time in milliseconds
struct time_summary
{
    std::int64_t samples = 0;
    double p50_ms = 0;
    double p95_ms = 0;
};

/// @brief what a replay showed
struct replay_report
{
    outcome_counts all;
    std::map<std::string, outcome_counts> by_organisation;
    std::map<std::string, stage_cost> by_stage;
    std::map<std::string, std::int64_t> reasons;
    time_summary answer_time;
    time_summary first_token;
    /// calls that may be made once and were made more often
    std::int64_t doubled = 0;
    std::vector<std::string> unmet;
    /// first few faults of answers
    std::vector<std::string> faults;
};

/// @brief Sums up a replay and checks it against what the trace expects.
/// @param executions counts of all targets; empty: not asked for
replay_report make_report(const trace_header& header,
                          const std::vector<replayed_request>& results,
                          const execution_counts& executions);

/// @brief the report for people
std::string write_text(const replay_report& report);

/// @brief the report for scripts
std::string write_json(const replay_report& report);

/// @brief "replay: N sent, N answered, N refused, N lost, N doubled"; requests that
/// failed or whose history is unknown count as refused here
std::string closing_line(const replay_report& report);

} // namespace medlar

#endif // MEDLAR_DETAIL_REPLAY_REPORT_HPP
