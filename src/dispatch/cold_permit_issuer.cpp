#include <medlar/detail/dispatch/cold_permit_issuer.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace medlar
{

namespace
{

constexpr double ms_per_s = 1000;

// targets for which no permit was asked for so long are forgotten; the next permit of the
// lowest rate can be had by then
constexpr millis max_idle_time{60000};

// Hosts that are refused are told to return one after the other, so that not all of them
// ask again for the same permit. Some of them find other targets and do not return.
constexpr int max_hosts_ahead = 4;

} // namespace

permit cold_permit_issuer::issue(const target_id& target, double per_s, steady_time now)
{
    const auto found = issued_.find(target);
    if (found == issued_.end())
    {
        forget_idle(now);
    }
    issued_permits& issued = issued_[target];
    issued.asked_at = now;
    const auto now_ms = static_cast<double>(now.since_origin());
    const double interval_ms = ms_per_s / per_s;
    if (now_ms >= issued.next_ms)
    {
        issued.next_ms = now_ms + interval_ms;
        issued.refused = 0;
        return {true, millis(std::llround(std::ceil(interval_ms))), false};
    }
    const int ahead = std::min(issued.refused++, max_hosts_ahead);
    const double wait_ms = issued.next_ms - now_ms + ahead * interval_ms;
    return {false, millis(std::llround(std::ceil(wait_ms))), false};
}

void cold_permit_issuer::forget_idle(steady_time now)
{
    for (auto each = issued_.begin(); each != issued_.end();)
    {
        const bool is_idle = each->second.asked_at + max_idle_time < now;
        each = is_idle ? issued_.erase(each) : std::next(each);
    }
}

} // namespace medlar
