#include <medlar/detail/base/stage_graph.hpp>
#include <medlar/detail/policy/admission.hpp>
#include <medlar/detail/policy/load_estimate.hpp>

#include <algorithm>
#include <optional>

namespace medlar
{

namespace
{

/// pending calls allowed beyond the usable slots, so that no slot idles for want of a
/// call
constexpr double extra_pending_calls = 2;
/// share of the expected queueing delay that counts against continuing
constexpr double waiting_share_for_continuing = 0.5;

constexpr double attainment_margin = 1;
constexpr double cost_margin = 1.1;
/// queueing delay is less predictable than service time
constexpr double waiting_margin = 1.25;
constexpr double margin_ms = 5;

/// @brief Returns whether a pool has no observations yet; such a pool does not limit
/// admission.
bool is_unknown(const pool_estimate& pool)
{
    return pool.load.slots <= 0 || pool.load.mean_service_ms <= 0;
}

const pool_estimate* find_known(const pool_estimates& pools, const pool_id& name)
{
    const auto found = pools.find(name);
    return found == pools.end() || is_unknown(found->second) ? nullptr : &found->second;
}

/// @brief Returns the milliseconds until a stage can start if no call is queued.
double earliest_start_ms(const request_demand& demand, std::size_t stage)
{
    double longest = 0;
    for (const std::size_t each : demand.stages[stage].after)
    {
        const double done =
            earliest_start_ms(demand, each) + demand.stages[each].service_ms;
        longest = std::max(longest, done);
    }
    return longest;
}

/// @brief Returns the limit of stage calls that this host may have pending at a pool. It
/// grows with the start of the stage, as calls in earlier stages take no slot there yet.
double max_pending_calls(const pool_estimate& pool, double start_ms)
{
    const double slots_factor = 1 + start_ms / pool.load.mean_service_ms;
    return usable_slots(pool) * slots_factor + extra_pending_calls;
}

} // namespace

double pool_wait_ms(const pool_estimate& pool)
{
    if (is_unknown(pool))
    {
        return 0;
    }
    return expected_wait_ms(
        pool.load.in_system, pool.load.slots, pool.load.mean_service_ms);
}

double usable_slots(const pool_estimate& pool)
{
    const double part = pool.load.slots / std::max(1, pool.gateways);
    if (!pool.load.reported)
    {
        return part;
    }
    const double spare = pool.load.slots - pool.load.in_system;
    const double more = pool.load.own_calls + spare / std::max(1, pool.gateways);
    return spare > 0 ? std::max(part, more) : part;
}

double expected_span_ms(const request_demand& demand,
                        const pool_estimates& pools,
                        std::size_t first)
{
    return longest_path(demand.stages,
                        first,
                        [&](std::size_t stage)
                        {
                            const stage_demand& current = demand.stages[stage];
                            const pool_estimate* pool = find_known(pools, current.pool);
                            const double wait =
                                pool == nullptr ? 0.0 : pool_wait_ms(*pool);
                            return wait + current.service_ms;
                        });
}

double service_span_ms(const request_demand& demand, std::size_t first)
{
    return longest_path(demand.stages,
                        first,
                        [&demand](std::size_t stage)
                        {
                            return demand.stages[stage].service_ms;
                        });
}

bool has_capacity(const request_demand& demand, const pool_estimates& pools)
{
    for (std::size_t i = 0; i < demand.stages.size(); ++i)
    {
        const pool_estimate* pool = find_known(pools, demand.stages[i].pool);
        if (pool == nullptr)
        {
            continue;
        }
        if (pool->own_pending_calls + 1 >
            max_pending_calls(*pool, earliest_start_ms(demand, i)))
        {
            return false;
        }
    }
    return true;
}

void add_pending(const request_demand& demand, pool_estimates& pools)
{
    for (const stage_demand& stage : demand.stages)
    {
        const auto found = pools.find(stage.pool);
        if (found != pools.end())
        {
            found->second.own_pending_calls += 1;
        }
    }
}

pool_id busiest_pool(const request_demand& demand, const pool_estimates& pools)
{
    pool_id busiest;
    double highest = -1;
    for (std::size_t i = 0; i < demand.stages.size(); ++i)
    {
        const pool_estimate* pool = find_known(pools, demand.stages[i].pool);
        if (pool == nullptr)
        {
            continue;
        }
        const double utilisation = pool->own_pending_calls /
                                   max_pending_calls(*pool, earliest_start_ms(demand, i));
        if (utilisation > highest)
        {
            highest = utilisation;
            busiest = demand.stages[i].pool;
        }
    }
    return busiest;
}

double work_in_pool_ms(const request_demand& demand, const pool_id& name)
{
    double total = 0;
    for (const stage_demand& stage : demand.stages)
    {
        total += stage.pool == name ? stage.service_ms : 0;
    }
    return total;
}

double
span_with_margin_ms(double expected_ms, double service_ms, objective_kind objective)
{
    const bool cost_first = objective == objective_kind::cost;
    const double waiting = expected_ms - service_ms;
    return service_ms * (cost_first ? cost_margin : attainment_margin) +
           waiting * waiting_margin + margin_ms;
}

bool is_worth_continuing(double expected_ms,
                         double service_ms,
                         double remaining_ms,
                         objective_kind objective)
{
    const double waiting = expected_ms - service_ms;
    const double counted = objective == objective_kind::cost
                               ? waiting
                               : waiting_share_for_continuing * waiting;
    return service_ms + counted <= remaining_ms;
}

double drain_ms(const std::vector<waiting_request>& waiting, const pool_estimates& pools)
{
    std::map<pool_id, double> work;
    for (const waiting_request& each : waiting)
    {
        for (const stage_demand& stage : each.demand.stages)
        {
            work[stage.pool] += stage.service_ms;
        }
    }
    double longest = 0;
    for (const auto& [name, total] : work)
    {
        const pool_estimate* pool = find_known(pools, name);
        if (pool != nullptr)
        {
            const double queued = total / std::max(1.0, usable_slots(*pool));
            longest = std::max(longest, queued + pool_wait_ms(*pool));
        }
    }
    return longest;
}

} // namespace medlar
