#ifndef MEDLAR_DETAIL_POLICY_TARGET_HEALTH_HPP
#define MEDLAR_DETAIL_POLICY_TARGET_HEALTH_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/policy/stage_call.hpp>

namespace medlar
{

/// @brief whether a target gets calls
enum class health_state
{
    healthy, ///< it gets calls
    ejected, ///< it gets none until its probe is due
    probing, ///< one call is out to see whether it has recovered
};

/// @brief What is known of a target's failures and slowness. A plain value; the functions
/// below return the next one.
struct target_health
{
    health_state state = health_state::healthy;
    /// failures since the last success
    int consecutive_failures = 0;
    /// share of recent calls that failed, 0 to 1
    double failure_share = 0;
    /// recent time of calls relative to the pool's expectation; 1: as expected
    double slowness = 1;
    /// calls seen since the target was last healthy anew
    int samples = 0;
    /// when an ejected target may be probed
    steady_time probe_due;
    /// how long the next ejection lasts
    millis next_ejection{0};
};

/// @brief one ended call as the health of its target sees it
struct health_sample
{
    call_result result = call_result::succeeded;
    /// time of the call relative to the pool's expectation for its size
    double slowness = 1;
};

/// @brief the health after a call has ended
/// @param pool_slowness median slowness of the pool's targets
target_health after_call(const target_health& before,
                         const health_sample& sample,
                         double pool_slowness,
                         steady_time now);

/// @brief whether the target should stop getting calls
/// @param pool_slowness median slowness of the pool's targets
bool should_eject(const target_health& health, double pool_slowness);

/// @brief the health of a target that gets no calls until its probe is due
target_health eject(const target_health& health, steady_time now);

/// @brief whether a probe may be sent to the target now
bool probe_is_due(const target_health& health, steady_time now);

/// @brief the health while a probe is out
target_health start_probe(const target_health& health);

/// @brief whether a result tells that the target is at fault
bool is_target_failure(call_result result);

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_TARGET_HEALTH_HPP
