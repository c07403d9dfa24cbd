#ifndef MEDLAR_DETAIL_POLICY_LOAD_ESTIMATE_HPP
#define MEDLAR_DETAIL_POLICY_LOAD_ESTIMATE_HPP

#include <medlar/detail/base/clock.hpp>

#include <optional>

namespace medlar
{

/// @brief latest load report of a target
struct reported_load
{
    /// calls running and queued there, from all gateways
    double in_system = 0;
    /// this host's calls there when the report was made
    double own_calls_at_report = 0;
    /// time at which the report was made
    steady_time made_at;
};

/// @brief what one host has observed of the load of a target
struct load_estimate_input
{
    /// this host's calls there now
    double own_calls = 0;
    /// this host's mean number of calls per target of the pool
    double mean_own_calls = 0;
    /// gateways that share the pool, including this one
    int gateways = 1;
    /// mean service time of the pool's calls; sets how long a report stays valid
    double mean_service_ms = 0;
    /// unset: the target does not report its load
    std::optional<reported_load> report;
};

/// @brief Estimates the number of calls that other gateways have at a target.
///
/// Without a report, each other gateway is assumed to have this host's mean number of
/// calls. A report loses weight with its age, and the other gateways' calls are assumed
/// to have changed since then in proportion to this host's.
double others_in_system(const load_estimate_input& input, steady_time now);

/// @brief Returns the expected queueing delay of a new call at a target, in milliseconds.
/// @param in_system calls there now
/// @param slots calls that the target runs concurrently
/// @param service_ms service time of one call there
double expected_wait_ms(double in_system, double slots, double service_ms);

/// @brief Estimates the concurrency of targets that do not report it.
class slot_estimate
{
  public:
    /// @brief Updates the estimate from a successful call.
    /// @param in_system estimated calls at a target of the pool when the call ended
    /// @param slowness its duration relative to a call that was not queued
    void learn(double in_system, double slowness);

    /// @brief Returns the number of calls that a target runs concurrently, at least 1.
    double slots() const
    {
        return slots_;
    }

  private:
    double slots_ = 4;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_LOAD_ESTIMATE_HPP
