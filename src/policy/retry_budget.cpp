#include <medlar/detail/policy/retry_budget.hpp>

#include <algorithm>
#include <cmath>

namespace medlar
{

namespace
{

/// extra calls earned by one first call
constexpr double tokens_per_first_call = 0.1;
constexpr double max_retry_tokens = 10;
constexpr double initial_retry_tokens = 2;
constexpr double tokens_per_ms = 0.0001;
constexpr double min_hedge_delay_ms = 10;
constexpr double max_hedge_utilisation = 0.7;
/// where cost is the objective, only calls at least this much slower than expected are
/// hedged: the work of the losing call is wasted
constexpr double min_cost_hedge_slowness = 2.5;

} // namespace

retry_budget initial_retry_budget()
{
    return {initial_retry_tokens};
}

retry_budget after_first_call(const retry_budget& before)
{
    return {std::min(max_retry_tokens, before.tokens + tokens_per_first_call)};
}

retry_budget after_elapsed(const retry_budget& before, millis elapsed)
{
    const double earned = tokens_per_ms * static_cast<double>(elapsed.count());
    const double limit = std::max(before.tokens, initial_retry_tokens);
    return {std::min(limit, before.tokens + earned)};
}

bool may_spend(const retry_budget& budget)
{
    return budget.tokens >= 1;
}

retry_budget after_extra_call(const retry_budget& before)
{
    return {std::max(0.0, before.tokens - 1)};
}

bool retry_is_useful(const retry_input& input)
{
    if (input.policy == retry_policy::never || input.tries >= input.max_tries)
    {
        return false;
    }
    if (input.policy == retry_policy::blind)
    {
        return input.remaining > millis(0);
    }
    return static_cast<double>(input.remaining.count()) > input.expected_ms;
}

std::optional<millis> hedge_delay(const hedge_input& input)
{
    if (input.usable_targets < 2 || input.utilisation > max_hedge_utilisation)
    {
        return std::nullopt;
    }
    const bool cost_first = input.objective == objective_kind::cost;
    const double slowness = cost_first
                                ? std::max(input.slowness_p95, min_cost_hedge_slowness)
                                : input.slowness_p95;
    const double delay = std::max(min_hedge_delay_ms, input.expected_ms * slowness);
    if (delay + input.expected_ms > static_cast<double>(input.remaining.count()))
    {
        return std::nullopt;
    }
    return millis(static_cast<std::int64_t>(std::ceil(delay)));
}

} // namespace medlar
