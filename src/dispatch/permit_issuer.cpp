#include <medlar/detail/dispatch/permit_issuer.hpp>

#include <algorithm>
#include <iterator>
#include <vector>

namespace medlar
{

namespace
{

// processes for which no permit was asked for so long are forgotten; the allowance of the
// lowest limit is full again by then
constexpr millis max_idle_time{60000};

} // namespace

permit permit_issuer::issue(const process_start& start,
                            double per_s,
                            steady_time stated_at,
                            steady_time now)
{
    const auto own = find_or_add(start, per_s, stated_at, now);
    own->second.asked_at = now;
    if (own->second.stated_at < stated_at)
    {
        own->second.stated_at = stated_at;
        own->second.ended_at.reset();
        own->second.allowance.set_rate(per_s, now);
    }
    std::vector<rate_allowance*> limiting;
    for (auto each = own; each != issued_.end() && each->first.target == start.target;
         ++each)
    {
        const std::optional<steady_time>& ended_at = each->second.ended_at;
        if (ended_at && stated_at <= *ended_at)
        {
            return {true, millis(0), true};
        }
        if (!ended_at)
        {
            limiting.push_back(&each->second.allowance);
        }
    }
    const auto time_until_next = [&limiting, now]
    {
        millis wait{0};
        for (rate_allowance* each : limiting)
        {
            wait = std::max(wait, each->time_until_next(now));
        }
        return wait;
    };
    const millis wait = time_until_next();
    if (wait > millis(0))
    {
        return {false, wait, false};
    }
    for (rate_allowance* each : limiting)
    {
        each->take(now);
    }
    return {true, time_until_next(), false};
}

void permit_issuer::record_end(const process_start& start, steady_time now)
{
    const auto found = issued_.find(start);
    if (found != issued_.end())
    {
        found->second.ended_at = now;
    }
}

permit_issuer::permit_map::iterator permit_issuer::find_or_add(const process_start& start,
                                                               double per_s,
                                                               steady_time stated_at,
                                                               steady_time now)
{
    const auto found = issued_.find(start);
    if (found != issued_.end())
    {
        return found;
    }
    forget_idle(now);
    return issued_
        .emplace(start,
                 issued_permits{rate_allowance(per_s, now), stated_at, std::nullopt, now})
        .first;
}

void permit_issuer::forget_idle(steady_time now)
{
    for (auto each = issued_.begin(); each != issued_.end();)
    {
        const bool is_idle = each->second.asked_at + max_idle_time < now;
        each = is_idle ? issued_.erase(each) : std::next(each);
    }
}

} // namespace medlar
