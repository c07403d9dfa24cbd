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
    ejected, ///< it gets no calls until its probe is due
    probing, ///< one call is in flight to test whether it has recovered
};

/// @brief Failure and latency statistics of a target. An immutable value: the functions
/// below return the new state.
struct target_health
{
    health_state state = health_state::healthy;
    /// failures since the last success
    int consecutive_failures = 0;
    /// smoothed share of failed calls, 0 to 1
    double failure_share = 0;
    /// smoothed call time relative to the pool's expectation; 1: as expected
    double slowness = 1;
    /// calls observed since the target last became healthy
    int samples = 0;
    /// time from which an ejected target may be probed
    steady_time probe_due;
    /// duration of the next ejection
    millis next_ejection{0};
};

/// @brief input of after_call(): one ended call
struct health_sample
{
    call_result result = call_result::succeeded;
    /// duration of the call relative to the pool's expectation for its size
    double slowness = 1;
};

/// @brief Returns the health after a call has ended.
/// @param pool_slowness median slowness of the pool's targets
target_health after_call(const target_health& before,
                         const health_sample& sample,
                         double pool_slowness,
                         steady_time now);

/// @brief Returns whether the target should be ejected.
/// @param pool_slowness median slowness of the pool's targets
bool should_eject(const target_health& health, double pool_slowness);

/// @brief Returns the health of a target that is ejected from @p now until its probe is
/// due.
target_health eject(const target_health& health, steady_time now);

/// @brief Returns whether a probe may be sent to the target now.
bool probe_is_due(const target_health& health, steady_time now);

/// @brief Returns the health while a probe is in flight.
target_health start_probe(const target_health& health);

/// @brief Returns the health of a target whose probe was not sent: it is due again.
target_health cancel_probe(const target_health& health);

/// @brief Returns the health of an ejected target that has answered another host. The
/// next failure ejects it again, for longer: the news may be late, or hold for the path
/// of the other host only.
target_health take_back(const target_health& health);

/// @brief Returns whether a result counts as a failure of the target.
bool is_target_failure(call_result result);

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_TARGET_HEALTH_HPP
