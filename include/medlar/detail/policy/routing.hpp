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

/// @brief one target as a routing decision sees it
struct target_snapshot
{
    target_id name;
    failure_domain_id failure_domain;
    /// it leaves, or an operator drained it: it gets no new work
    bool closed = false;
    health_state health = health_state::healthy;
    /// it is ejected and may be probed now
    bool probe_due = false;
    /// calls there now, of all gateways
    double in_system = 0;
    /// calls that it runs at once
    double slots = 1;
    /// time of this call there, waiting left out
    double service_ms = 0;
    /// time that recent calls waited there before they ran
    double recent_wait_ms = 0;
    /// time by which its oldest call of this host is overdue
    double overdue_ms = 0;
    /// it is believed to hold the prefix of this call
    bool prefix_cached = false;
    /// it is one of the targets that keep the prefix of this call
    bool prefix_assigned = false;
};

/// @brief a pool as a routing decision sees it
struct routing_snapshot
{
    std::vector<target_snapshot> targets;
    /// failure domain of this host
    failure_domain_id local_domain;
    /// time that a cached prefix saves this call
    double prefix_saving_ms = 0;
};

/// @brief Milliseconds that this call would wait at a target before it runs: as recent
/// calls did, or as the calls there now tell.
double target_wait_ms(const target_snapshot& at);

/// @brief Milliseconds until this call would end at a target.
double expected_completion_ms(const target_snapshot& at, const routing_snapshot& pool);

/// @brief Chooses the target of a call.
///
/// First a probe that is due, if the deadline leaves room for it; then a target that
/// the prefix of the call prefers and that has room; then the best of a few random
/// ones by expected completion, this host's failure domain preferred.
/// @return index into the targets of @p pool; unset if none may get the call
std::optional<std::size_t> choose_adaptive(const routing_snapshot& pool,
                                           const stage_call& call,
                                           steady_time now,
                                           random_source& random);

/// @brief Chooses each target in turn, whatever its load and health; the baseline.
/// @param turn number of this choice in its pool
/// @return index into the targets of @p pool; unset if none may get the call
std::optional<std::size_t> choose_round_robin(const routing_snapshot& pool,
                                              const stage_call& call,
                                              std::uint64_t turn);

/// @brief Whether one more target of a pool may be ejected: at most half of the open
/// ones may be, so that a fault of all is not answered by using none.
/// @param open targets that are not closed
/// @param ejected those of them that get no calls already
bool may_eject_one_more(std::size_t open, std::size_t ejected);

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_ROUTING_HPP
