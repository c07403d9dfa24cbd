#include <medlar/detail/dispatch/cold_target.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

constexpr double ms_per_s = 1000;

// hosts that may issue permits for one target at the same time
constexpr double issuer_count = 2;

} // namespace

void cold_phase::record_entry(std::optional<millis> left, steady_time now)
{
    if (left)
    {
        entry_until_ = now + std::clamp(*left, millis(0), max_cold_time);
    }
}

void cold_phase::record_statement(millis left, steady_time now)
{
    stated_until_ =
        std::max(stated_until_, now + std::clamp(left, millis(0), max_cold_time));
}

void cold_phase::record_start(const cold_rule& rule, steady_time now)
{
    record_statement(rule.after_start, now);
}

steady_time cold_phase::until() const
{
    return std::max(entry_until_, stated_until_);
}

double cold_permit_rate(const cold_rule& rule,
                        const cold_bound& bound,
                        std::optional<double> limit)
{
    const double share = (rule.per_s * bound.over + bound.slack) / issuer_count;
    // permits are spaced evenly, so that a time t holds at most 1 + t * rate of them;
    // those used in one second were asked for in that second and the validity before it
    const double counted_s =
        1 + static_cast<double>(cold_permit_validity.count()) / ms_per_s;
    const double safe = (share - 1) / counted_s;
    return std::max(min_cold_permits_per_s,
                    std::min({rule.per_s, safe, limit.value_or(rule.per_s)}));
}

} // namespace medlar
