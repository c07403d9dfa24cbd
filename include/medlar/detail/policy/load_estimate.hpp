#ifndef MEDLAR_DETAIL_POLICY_LOAD_ESTIMATE_HPP
#define MEDLAR_DETAIL_POLICY_LOAD_ESTIMATE_HPP

#include <medlar/detail/base/clock.hpp>

#include <optional>

namespace medlar
{

/// @brief the newest report of a target, as its load is estimated from it
struct reported_load
{
    /// calls running and queued there, of all gateways
    double in_system = 0;
    /// this host's calls there when the report was made
    double own_calls_at_report = 0;
    /// when the report was made
    steady_time made_at;
};

/// @brief what one host knows of the calls at a target
struct load_estimate_input
{
    /// this host's calls there now
    double own_calls = 0;
    /// this host's mean calls a target over the pool
    double mean_own_calls = 0;
    /// gateways that share the pool, this one included
    int gateways = 1;
    /// mean time of the pool's calls, which says how long a report stays true
    double mean_service_ms = 0;
    /// unset: the target does not report
    std::optional<reported_load> report;
};

/// @brief Estimates the calls of other gateways at a target.
///
/// Without a report the others are taken to hold as many as this host does on the
/// pool's average. A report counts less as it ages, and the others are taken to have
/// moved since it was made as this host did.
double others_in_system(const load_estimate_input& input, steady_time now);

/// @brief Milliseconds that a new call waits at a target before it runs.
/// @param in_system calls there now
/// @param slots calls that the target runs at once
/// @param service_ms time of one call there
double expected_wait_ms(double in_system, double slots, double service_ms);

/// @brief Estimates how many calls a target runs at once where nobody reports it.
class slot_estimate
{
  public:
    /// @brief Learns from a call that succeeded.
    /// @param in_system estimated calls at a target of the pool when it ended
    /// @param slowness its time relative to a call that did not wait
    void learn(double in_system, double slowness);

    /// @brief calls that a target runs at once, at least 1
    double slots() const
    {
        return slots_;
    }

  private:
    double slots_ = 4;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_LOAD_ESTIMATE_HPP
