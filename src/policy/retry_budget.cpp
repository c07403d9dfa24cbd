#include <medlar/detail/policy/retry_budget.hpp>

#include <algorithm>
#include <cmath>

namespace medlar
{

namespace
{

/// second calls earned by one first call
constexpr double earned_per_first_call = 0.1;
constexpr double most_tokens = 10;
constexpr double start_tokens = 2;
constexpr double earned_per_ms = 0.0001;
constexpr double least_hedge_delay_ms = 10;
constexpr double most_utilisation_for_hedges = 0.7;
/// where cost comes first, only calls that are this much slower than expected are
/// doubled: their work would be lost otherwise
constexpr double cost_hedge_slowness = 2.5;

} // namespace

retry_budget full_retry_budget()
{
    return {start_tokens};
}

retry_budget after_first_call(const retry_budget& before)
{
    return {std::min(most_tokens, before.tokens + earned_per_first_call)};
}

retry_budget after_time(const retry_budget& before, millis span)
{
    const double earned = earned_per_ms * static_cast<double>(span.count());
    const double most = std::max(before.tokens, start_tokens);
    return {std::min(most, before.tokens + earned)};
}

bool may_spend(const retry_budget& budget)
{
    return budget.tokens >= 1;
}

retry_budget after_second_call(const retry_budget& before)
{
    return {std::max(0.0, before.tokens - 1)};
}

bool retry_is_useful(const retry_question& asked)
{
    if (asked.policy == retry_policy::never || asked.tries >= asked.max_tries)
    {
        return false;
    }
    if (asked.policy == retry_policy::blind)
    {
        return asked.left > millis(0);
    }
    return static_cast<double>(asked.left.count()) > asked.expected_ms;
}

std::optional<millis> hedge_delay(const hedge_question& asked)
{
    if (asked.usable < 2 || asked.utilisation > most_utilisation_for_hedges)
    {
        return std::nullopt;
    }
    const bool cost_first = asked.objective == objective_kind::cost;
    const double usual = cost_first ? std::max(asked.slowness_p95, cost_hedge_slowness)
                                    : asked.slowness_p95;
    const double delay = std::max(least_hedge_delay_ms, asked.expected_ms * usual);
    if (delay + asked.expected_ms > static_cast<double>(asked.left.count()))
    {
        return std::nullopt;
    }
    return millis(static_cast<std::int64_t>(std::ceil(delay)));
}

} // namespace medlar
