#ifndef MEDLAR_DETAIL_POLICY_RETRY_BUDGET_HPP
#define MEDLAR_DETAIL_POLICY_RETRY_BUDGET_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/config/document.hpp>
#include <medlar/detail/policy/stage_call.hpp>

#include <optional>

namespace medlar
{

/// @brief Limits extra calls (retries and hedges) to a share of first calls, so that no
/// number of gateways can multiply the load on a failing pool. An immutable value: the
/// functions below return the new state.
struct retry_budget
{
    /// extra calls that may be made now
    double tokens = 0;
};

/// @brief Returns the budget at start, which allows a few extra calls before any first
/// call.
retry_budget initial_retry_budget();

/// @brief Returns the budget after a first call.
retry_budget after_first_call(const retry_budget& before);

/// @brief Returns the budget after @p elapsed: idle time earns at most the initial
/// budget.
retry_budget after_elapsed(const retry_budget& before, millis elapsed);

/// @brief Returns whether an extra call may be made.
bool may_spend(const retry_budget& budget);

/// @brief Returns the budget after an extra call.
retry_budget after_extra_call(const retry_budget& before);

/// @brief input of the retry decision on a failed stage call
struct retry_input
{
    retry_policy policy = retry_policy::budgeted;
    int max_tries = 3;
    /// tries made so far, including the first
    int tries = 1;
    /// time until the deadline
    millis remaining{0};
    /// expected duration of another try
    double expected_ms = 0;
};

/// @brief Returns whether a retry is allowed and can finish in time, regardless of the
/// budget.
bool retry_is_useful(const retry_input& input);

/// @brief input of the hedging decision on a running stage call
struct hedge_input
{
    objective_kind objective = objective_kind::attainment;
    /// time until the deadline
    millis remaining{0};
    /// expected duration of the call
    double expected_ms = 0;
    /// 95th percentile of call times relative to the expected time
    double slowness_p95 = 1;
    /// calls in the pool relative to its concurrency
    double utilisation = 0;
    /// targets that could run the hedge
    int usable_targets = 0;
};

/// @brief Returns how long after the start of a call its hedge may start.
/// @return unset if the pool has no spare capacity or the hedge could not end in time
/// @note Where cost is the objective, only calls that are far slower than expected are
/// hedged.
std::optional<millis> hedge_delay(const hedge_input& input);

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_RETRY_BUDGET_HPP
