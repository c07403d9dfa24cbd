#include <medlar/detail/policy/target_health.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

constexpr int failures_to_eject = 3;
constexpr double failure_share_to_eject = 0.5;
constexpr int min_samples = 6;
constexpr double straggler_factor = 3.0;
constexpr double recovered_factor = 2.0;
constexpr double smoothing = 0.2;
constexpr millis first_ejection{1000};
constexpr millis max_ejection{16000};

double smoothed(double old_value, double sample)
{
    return old_value + smoothing * (sample - old_value);
}

target_health recovered_health(steady_time now)
{
    target_health fresh;
    fresh.probe_due = now;
    return fresh;
}

target_health after_probe(const target_health& before,
                          const health_sample& sample,
                          double pool_slowness,
                          steady_time now)
{
    if (sample.result == call_result::cancelled || sample.result == call_result::refused)
    {
        target_health again = before;
        again.state = health_state::ejected;
        again.probe_due = now + first_ejection;
        return again;
    }
    const bool recovered = !is_target_failure(sample.result) &&
                           sample.slowness < recovered_factor * pool_slowness;
    return recovered ? recovered_health(now) : eject(before, now);
}

} // namespace

bool is_target_failure(call_result result)
{
    return result == call_result::failed || result == call_result::unreachable ||
           result == call_result::broken || result == call_result::timed_out;
}

target_health after_call(const target_health& before,
                         const health_sample& sample,
                         double pool_slowness,
                         steady_time now)
{
    if (before.state == health_state::probing)
    {
        return after_probe(before, sample, pool_slowness, now);
    }
    target_health next = before;
    if (sample.result == call_result::cancelled || sample.result == call_result::refused)
    {
        return next;
    }
    const bool failure = is_target_failure(sample.result);
    next.consecutive_failures = failure ? before.consecutive_failures + 1 : 0;
    next.failure_share = smoothed(before.failure_share, failure ? 1 : 0);
    next.samples = before.samples + 1;
    if (!failure || sample.result == call_result::timed_out)
    {
        next.slowness = smoothed(before.slowness, sample.slowness);
    }
    return next;
}

bool should_eject(const target_health& health, double pool_slowness)
{
    if (health.state != health_state::healthy)
    {
        return false;
    }
    if (health.consecutive_failures >= failures_to_eject)
    {
        return true;
    }
    if (health.samples < min_samples)
    {
        return false;
    }
    return health.failure_share > failure_share_to_eject ||
           health.slowness > straggler_factor * pool_slowness;
}

target_health eject(const target_health& health, steady_time now)
{
    target_health out = health;
    const millis duration = std::max(health.next_ejection, first_ejection);
    out.state = health_state::ejected;
    out.probe_due = now + duration;
    out.next_ejection = std::min(duration * 2, max_ejection);
    return out;
}

bool probe_is_due(const target_health& health, steady_time now)
{
    return health.state == health_state::ejected && now >= health.probe_due;
}

target_health start_probe(const target_health& health)
{
    target_health out = health;
    out.state = health_state::probing;
    return out;
}

target_health cancel_probe(const target_health& health)
{
    target_health out = health;
    if (out.state == health_state::probing)
    {
        out.state = health_state::ejected;
    }
    return out;
}

target_health take_back(const target_health& health)
{
    target_health out;
    out.consecutive_failures = failures_to_eject - 1;
    out.probe_due = health.probe_due;
    out.next_ejection = health.next_ejection;
    return out;
}

} // namespace medlar
