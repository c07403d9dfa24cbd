#ifndef MEDLAR_DETAIL_POLICY_ROUTING_HPP
#define MEDLAR_DETAIL_POLICY_ROUTING_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/policy/random_source.hpp>
#include <medlar/detail/policy/stage_call.hpp>
#include <medlar/detail/policy/target_health.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace medlar
{

/// @brief input of a routing decision on one target
struct target_snapshot
{
    target_id name;
    failure_domain_id failure_domain;
    /// it is leaving or drained by an operator: it gets no new calls
    bool closed = false;
    health_state health = health_state::healthy;
    /// it is ejected and may be probed now
    bool probe_due = false;
    /// calls there now, from all gateways
    double in_system = 0;
    /// calls that it runs concurrently
    double slots = 1;
    /// service time of this call there, without queueing
    double service_ms = 0;
    /// queueing delay of recent calls there
    double recent_wait_ms = 0;
    /// time by which this host's oldest call there exceeds its allowed duration
    double overdue_ms = 0;
    /// it is estimated to have cached the prefix of this call
    bool prefix_cached = false;
    /// the prefix of this call is assigned to it
    bool prefix_assigned = false;
};

/// @brief input of a routing decision
struct routing_snapshot
{
    std::vector<target_snapshot> targets;
    /// failure domain of this host
    failure_domain_id local_domain;
    /// time that a cached prefix saves this call
    double prefix_saving_ms = 0;
};

/// @brief Returns the expected queueing delay of this call at a target, in milliseconds:
/// the larger of the delay of recent calls and the one that follows from its load, plus
/// overdue_ms.
double target_wait_ms(const target_snapshot& candidate);

/// @brief Returns the expected time in milliseconds until this call would end at a
/// target.
double expected_completion_ms(const target_snapshot& candidate,
                              const routing_snapshot& pool);

/// @brief Chooses the target of a call.
///
/// In this order: a target whose probe is due, if the deadline allows it; a target that
/// the prefix of the call is assigned to or cached at, if waiting there is worthwhile;
/// where cost is the objective, a free target in this host's failure domain; else the
/// target with the lowest expected completion time among a few random ones of this and
/// the other failure domains.
/// @return index into the targets of @p pool; unset if none is open
std::optional<std::size_t> choose_adaptive(const routing_snapshot& pool,
                                           const stage_call& call,
                                           steady_time now,
                                           random_source& random);

/// @brief Chooses the targets in turn, regardless of load and health; the baseline
/// policy.
/// @param turn number of this choice in its pool
/// @return index into the targets of @p pool; unset if none is open
std::optional<std::size_t> choose_round_robin(const routing_snapshot& pool,
                                              const stage_call& call,
                                              std::uint64_t turn);

/// @brief Returns whether one more target of a pool may be ejected. At most half of the
/// open targets may be, so that a fault of the whole pool does not eject all of it.
/// @param open number of targets that are not closed
/// @param ejected number of open targets that are ejected or probing
bool may_eject_one_more(std::size_t open, std::size_t ejected);

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_ROUTING_HPP
