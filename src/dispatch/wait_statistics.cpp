#include <medlar/detail/dispatch/wait_statistics.hpp>

#include <algorithm>
#include <cmath>

namespace medlar
{

namespace
{

// a burst shows within one or two calls
constexpr double arrival_window_ms = 400;

// several calls of each target
constexpr double wait_window_ms = 1000;

// ratio that is assumed while nothing is known: calls are not full if the memory for
// results is short, and more urgent jobs arrive
constexpr double initial_factor = 1.5;

// weight of the initial ratio: the waits of some jobs behind a full call
constexpr double initial_ms = 2000;

constexpr double min_factor = 0.5;
constexpr double max_factor = 3;

double decay(steady_time since, steady_time now, double window_ms)
{
    return std::exp(-static_cast<double>((now - since).count()) / window_ms);
}

} // namespace

void wait_statistics::record_wait(int priority,
                                  double actual_ms,
                                  double computed_ms,
                                  steady_time now)
{
    wait_sums& sums = waits_[priority];
    const double kept = decay(sums.updated_at, now, wait_window_ms);
    sums.actual_ms = sums.actual_ms * kept + actual_ms;
    sums.computed_ms = sums.computed_ms * kept + computed_ms;
    sums.updated_at = now;
}

double wait_statistics::wait_factor(int priority, steady_time now) const
{
    const auto found = waits_.find(priority);
    if (found == waits_.end())
    {
        return initial_factor;
    }
    const wait_sums& sums = found->second;
    const double kept = decay(sums.updated_at, now, wait_window_ms);
    return std::clamp((sums.actual_ms * kept + initial_factor * initial_ms) /
                          (sums.computed_ms * kept + initial_ms),
                      min_factor,
                      max_factor);
}

void wait_statistics::record_arrival(int priority, std::size_t pieces, steady_time now)
{
    const double kept = decay(arrivals_updated_at_, now, arrival_window_ms);
    for (auto& each : arrivals_)
    {
        each.second *= kept;
    }
    arrivals_[priority] += static_cast<double>(pieces);
    arrivals_updated_at_ = now;
}

double wait_statistics::arrivals_per_ms(int priority, steady_time now) const
{
    double arrived = 0;
    for (const auto& each : arrivals_)
    {
        arrived += each.first <= priority ? each.second : 0;
    }
    return arrived * decay(arrivals_updated_at_, now, arrival_window_ms) /
           arrival_window_ms;
}

} // namespace medlar
