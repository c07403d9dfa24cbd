#include <medlar/detail/policy/load_estimate.hpp>
#include <medlar/detail/policy/prefix_affinity.hpp>
#include <medlar/detail/policy/routing.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

/// round trip time between failure domains
constexpr double cross_domain_ms = 3;
constexpr double relative_noise = 0.05;
/// service time assumed before the first observation
constexpr double min_service_ms = 1;
/// share of its service time by which a call slows down on a target whose slots are all
/// in use
constexpr double contention_weight = 0.25;
constexpr std::size_t random_sample_size = 3;
/// a probe is sent only with a call whose remaining time is this many times its service
/// time
constexpr double probe_slack_factor = 3;
/// a target in this failure domain is preferred if the call is expected to end there
/// within this share of its remaining time
constexpr double local_completion_share = 0.5;
/// maximum extra queueing delay accepted for a cached prefix, relative to the time it
/// saves
constexpr double attainment_wait_factor = 1;
constexpr double cost_wait_factor = 2;

using indexes = std::vector<std::size_t>;

double remaining_ms(const stage_call& call, steady_time now)
{
    return static_cast<double>((call.deadline - now).count());
}

bool was_tried(const target_snapshot& candidate, const stage_call& call)
{
    return call.tried.count(candidate.name) != 0;
}

/// @brief Returns the open targets that were not tried for the call, or all open ones if
/// all were.
indexes open_targets(const routing_snapshot& pool, const stage_call& call)
{
    indexes untried;
    indexes all;
    for (std::size_t i = 0; i < pool.targets.size(); ++i)
    {
        if (pool.targets[i].closed)
        {
            continue;
        }
        all.push_back(i);
        if (!was_tried(pool.targets[i], call))
        {
            untried.push_back(i);
        }
    }
    return untried.empty() ? all : untried;
}

/// @brief Returns the healthy targets, or all if none is healthy.
indexes usable_targets(const routing_snapshot& pool, const indexes& open)
{
    indexes healthy;
    for (const std::size_t i : open)
    {
        if (pool.targets[i].health == health_state::healthy)
        {
            healthy.push_back(i);
        }
    }
    return healthy.empty() ? open : healthy;
}

std::optional<std::size_t> due_probe(const routing_snapshot& pool,
                                     const indexes& open,
                                     const stage_call& call,
                                     steady_time now)
{
    for (const std::size_t i : open)
    {
        const target_snapshot& candidate = pool.targets[i];
        const double min_remaining = probe_slack_factor * candidate.service_ms;
        if (candidate.probe_due && remaining_ms(call, now) > min_remaining)
        {
            return i;
        }
    }
    return std::nullopt;
}

bool has_free_slot(const target_snapshot& candidate)
{
    return candidate.in_system + 1 <= candidate.slots && candidate.overdue_ms <= 0;
}

double min_wait_ms(const routing_snapshot& pool, const indexes& among)
{
    double shortest = target_wait_ms(pool.targets[among.front()]);
    for (const std::size_t i : among)
    {
        shortest = std::min(shortest, target_wait_ms(pool.targets[i]));
    }
    return shortest;
}

/// @brief Returns the maximum extra queueing delay accepted for a target with the prefix.
double max_prefix_wait_ms(const routing_snapshot& pool, objective_kind objective)
{
    const bool cost_first = objective == objective_kind::cost;
    return pool.prefix_saving_ms *
           (cost_first ? cost_wait_factor : attainment_wait_factor);
}

std::optional<std::size_t>
best_of(const routing_snapshot& pool, const indexes& among, random_source& random)
{
    std::optional<std::size_t> best;
    double best_score = 0;
    for (const std::size_t i : among)
    {
        const double noise = 1 + relative_noise * random.fraction();
        const double score = expected_completion_ms(pool.targets[i], pool) * noise;
        if (!best || score < best_score)
        {
            best = i;
            best_score = score;
        }
    }
    return best;
}

/// @brief Returns whether a call can end in time at a target and its extra queueing delay
/// there is within max_prefix_wait_ms().
bool worth_waiting(const routing_snapshot& pool,
                   std::size_t index,
                   double shortest_wait,
                   const stage_call& call,
                   steady_time now)
{
    const target_snapshot& candidate = pool.targets[index];
    const double extra_wait = target_wait_ms(candidate) - shortest_wait;
    const bool in_time =
        target_wait_ms(candidate) + candidate.service_ms <= remaining_ms(call, now);
    return in_time && extra_wait <= max_prefix_wait_ms(pool, call.objective);
}

/// @brief Returns the assigned target with the lowest expected completion time. If its
/// queueing delay is too long, returns the next ones in rendezvous order, those with the
/// prefix cached first, so that all hosts spill over to the same targets.
std::optional<std::size_t> affinity_target(const routing_snapshot& pool,
                                           const indexes& usable,
                                           const stage_call& call,
                                           steady_time now,
                                           random_source& random)
{
    const double shortest_wait = min_wait_ms(pool, usable);
    indexes assigned;
    std::vector<target_id> names;
    for (const std::size_t i : usable)
    {
        names.push_back(pool.targets[i].name);
        if (pool.targets[i].prefix_assigned)
        {
            assigned.push_back(i);
        }
    }
    const std::optional<std::size_t> best = best_of(pool, assigned, random);
    if (best && worth_waiting(pool, *best, shortest_wait, call, now))
    {
        return best;
    }
    const indexes order = rendezvous_order(call.prefix_hash, names);
    std::optional<std::size_t> spill;
    for (const std::size_t rank : order)
    {
        const std::size_t index = usable[rank];
        if (!worth_waiting(pool, index, shortest_wait, call, now))
        {
            continue;
        }
        if (pool.targets[index].prefix_cached)
        {
            return index;
        }
        spill = spill ? spill : index;
    }
    return spill;
}

/// @brief Reduces @p from to @p count random elements.
void keep_random_sample(indexes& from, std::size_t count, random_source& random)
{
    for (std::size_t i = 0; i < std::min(count, from.size()); ++i)
    {
        std::swap(from[i], from[i + random.below(from.size() - i)]);
    }
    from.resize(std::min(count, from.size()));
}

indexes in_domain(const routing_snapshot& pool, const indexes& from, bool inside)
{
    indexes found;
    for (const std::size_t i : from)
    {
        if ((pool.targets[i].failure_domain == pool.local_domain) == inside)
        {
            found.push_back(i);
        }
    }
    return found;
}

/// @brief Returns a few random targets of this failure domain and of the others.
indexes random_candidates(const routing_snapshot& pool,
                          const indexes& usable,
                          random_source& random)
{
    indexes local = in_domain(pool, usable, true);
    indexes remote = in_domain(pool, usable, false);
    keep_random_sample(local, random_sample_size, random);
    keep_random_sample(remote, random_sample_size, random);
    local.insert(local.end(), remote.begin(), remote.end());
    return local;
}

/// @brief Returns the best of a few random targets in this failure domain if it has a
/// free slot and is expected to finish early enough before the deadline.
std::optional<std::size_t> local_target(const routing_snapshot& pool,
                                        const indexes& usable,
                                        const stage_call& call,
                                        steady_time now,
                                        random_source& random)
{
    indexes local = in_domain(pool, usable, true);
    keep_random_sample(local, random_sample_size, random);
    const std::optional<std::size_t> best = best_of(pool, local, random);
    if (!best)
    {
        return std::nullopt;
    }
    const double completion = expected_completion_ms(pool.targets[*best], pool);
    const double max_completion = local_completion_share * remaining_ms(call, now);
    const bool is_free = has_free_slot(pool.targets[*best]);
    return is_free && completion <= max_completion ? best : std::nullopt;
}

} // namespace

double target_wait_ms(const target_snapshot& candidate)
{
    const double service = std::max(min_service_ms, candidate.service_ms);
    const double by_load =
        expected_wait_ms(candidate.in_system, candidate.slots, service);
    return std::max(by_load, candidate.recent_wait_ms) + candidate.overdue_ms;
}

double expected_completion_ms(const target_snapshot& candidate,
                              const routing_snapshot& pool)
{
    const double service = std::max(min_service_ms, candidate.service_ms);
    const double contention =
        contention_weight * service * candidate.in_system / candidate.slots;
    const double network_ms =
        candidate.failure_domain == pool.local_domain ? 0 : cross_domain_ms;
    const double prefix_saving = candidate.prefix_cached ? pool.prefix_saving_ms : 0;
    const double total = target_wait_ms(candidate) + service + contention + network_ms;
    return std::max(0.0, total - prefix_saving);
}

std::optional<std::size_t> choose_adaptive(const routing_snapshot& pool,
                                           const stage_call& call,
                                           steady_time now,
                                           random_source& random)
{
    const indexes open = open_targets(pool, call);
    if (open.empty())
    {
        return std::nullopt;
    }
    if (const auto probe = due_probe(pool, open, call, now))
    {
        return probe;
    }
    const indexes usable = usable_targets(pool, open);
    if (call.prefix_hash != 0)
    {
        if (const auto preferred = affinity_target(pool, usable, call, now, random))
        {
            return preferred;
        }
    }
    if (call.objective == objective_kind::cost)
    {
        if (const auto local = local_target(pool, usable, call, now, random))
        {
            return local;
        }
    }
    return best_of(pool, random_candidates(pool, usable, random), random);
}

std::optional<std::size_t> choose_round_robin(const routing_snapshot& pool,
                                              const stage_call& call,
                                              std::uint64_t turn)
{
    const indexes open = open_targets(pool, call);
    if (open.empty())
    {
        return std::nullopt;
    }
    return open[turn % open.size()];
}

bool may_eject_one_more(std::size_t open, std::size_t ejected)
{
    return 2 * (ejected + 1) <= open;
}

} // namespace medlar
