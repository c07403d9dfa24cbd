#ifndef MEDLAR_DETAIL_DISPATCH_START_DECISION_HPP
#define MEDLAR_DETAIL_DISPATCH_START_DECISION_HPP

#include <medlar/detail/base/clock.hpp>

#include <absl/strings/string_view.h>

namespace medlar
{

/// @brief Decision on the start of a request with stages
enum class start_decision
{
    /// its pieces go first, by soft deadline
    in_time,
    /// its pieces use the capacity that requests in time leave
    late,
    /// it would only use memory and capacity that others need; its caller may retry
    refused
};

/// @brief Returns the name of a decision for log lines.
absl::string_view to_string(start_decision choice);

/// @brief Input of decide_start() and decide_retry(); all times count from now
struct start_input
{
    /// until its stages are completed, with the present queues
    millis expected_time{0};
    /// the same with empty queues
    millis service_time{0};
    /// until its stages must be completed for an answer in time
    millis until_soft_deadline{0};
    /// until the request is given up
    millis until_deadline{0};
    /// whether it has finished work, which a refusal would waste
    bool has_finished_work = false;
};

/// @brief Decides whether a new request starts, on time or late, or is refused.
///
/// In bursts of 2 to 2.6 times the usual load, the last stage gets 1.6 times the work
/// that it can do. Late requests that wait for remaining capacity hold their results in
/// memory for seconds, so that others find none, and most of them never complete. A
/// request that would be late because of the queues is refused at once; one that would
/// be late even with empty queues, such as a very large one, is served.
start_decision decide_start(const start_input& input);

/// @brief Decides on the retry of a request that was refused before.
///
/// It is late already, or nearly. It starts only if that delays no other request: if it
/// can still be in time, or if the queues are nearly empty.
/// @param input until_soft_deadline is reduced by the time since the first refusal
start_decision decide_retry(const start_input& input);

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_START_DECISION_HPP
