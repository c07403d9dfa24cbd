#ifndef MEDLAR_DETAIL_POLICY_RETRY_BUDGET_HPP
#define MEDLAR_DETAIL_POLICY_RETRY_BUDGET_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/config/document.hpp>
#include <medlar/detail/policy/stage_call.hpp>

#include <optional>

namespace medlar
{

/// @brief Bounds second calls to a share of first calls, so that no number of gateways
/// can multiply the load on a failing pool. A plain value; the functions below return
/// the next one.
struct retry_budget
{
    /// second calls that may be made now
    double tokens = 0;
};

/// @brief a budget that allows the few second calls of a quiet start
retry_budget initial_retry_budget();

/// @brief the budget after a first call
retry_budget after_first_call(const retry_budget& before);

/// @brief the budget after @p span, in which a quiet host earns what it may start with
retry_budget after_elapsed(const retry_budget& before, millis elapsed);

/// @brief whether a second call may be made
bool may_spend(const retry_budget& budget);

/// @brief the budget after a second call
retry_budget after_extra_call(const retry_budget& before);

/// @brief a stage call that failed, as the retry decision sees it
struct retry_input
{
    retry_policy policy = retry_policy::budgeted;
    int max_tries = 3;
    /// tries made so far
    int tries = 1;
    /// until the deadline
    millis remaining{0};
    /// time that another try is expected to need
    double expected_ms = 0;
};

/// @brief Whether another try is allowed apart from the budget.
bool retry_is_useful(const retry_input& input);

/// @brief a stage call that runs, as the hedging decision sees it
struct hedge_input
{
    objective_kind objective = objective_kind::attainment;
    /// until the deadline
    millis remaining{0};
    /// time that the call is expected to need
    double expected_ms = 0;
    /// time relative to the expected one that 95 of 100 calls need
    double slowness_p95 = 1;
    /// calls in the pool relative to those that it runs at once
    double utilisation = 0;
    /// targets that could take the second call
    int usable_targets = 0;
};

/// @brief When to start a second call beside the first.
/// @return unset if it is not worth it: the pool has no room, or the second call could
///     not end in time
/// @note Where cost comes first, only calls that are far slower than expected.
std::optional<millis> hedge_delay(const hedge_input& input);

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_RETRY_BUDGET_HPP
