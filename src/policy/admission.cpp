#include <medlar/detail/base/stage_graph.hpp>
#include <medlar/detail/policy/admission.hpp>
#include <medlar/detail/policy/load_estimate.hpp>

#include <algorithm>
#include <optional>

namespace medlar
{

namespace
{

/// calls beyond its slots that a host may have pending, so that no slot waits for one
constexpr double reserve_calls = 2;
/// share of the expected waiting that counts against continuing
constexpr double waiting_that_counts = 0.5;

constexpr double attainment_margin = 1;
constexpr double cost_margin = 1.1;
/// waiting is less certain than running
constexpr double waiting_margin = 1.25;
constexpr double margin_ms = 5;

/// @brief pools that nobody has used yet have room
bool is_unknown(const pool_outlook& pool)
{
    return pool.load.slots <= 0 || pool.load.mean_service_ms <= 0;
}

const pool_outlook* find(const pool_outlooks& pools, const pool_id& name)
{
    const auto found = pools.find(name);
    return found == pools.end() || is_unknown(found->second) ? nullptr : &found->second;
}

/// @brief the time until a stage starts if nothing waits
double time_before(const request_need& need, std::size_t stage)
{
    double longest = 0;
    for (const std::size_t each : need.stages[stage].after)
    {
        const double done = time_before(need, each) + need.stages[each].service_ms;
        longest = std::max(longest, done);
    }
    return longest;
}

/// @brief stage calls that this host may have pending at a pool; calls on their way
/// through earlier stages take no slot yet
double pending_bound(const pool_outlook& pool, double before_ms)
{
    const double underway = 1 + before_ms / pool.load.mean_service_ms;
    return usable_slots(pool) * underway + reserve_calls;
}

} // namespace

double pool_wait_ms(const pool_outlook& pool)
{
    if (is_unknown(pool))
    {
        return 0;
    }
    return expected_wait_ms(
        pool.load.in_system, pool.load.slots, pool.load.mean_service_ms);
}

double usable_slots(const pool_outlook& pool)
{
    const double part = pool.load.slots / std::max(1, pool.gateways);
    if (!pool.load.reported)
    {
        return part;
    }
    const double spare = pool.load.slots - pool.load.in_system;
    const double more = pool.load.own + spare / std::max(1, pool.gateways);
    return spare > 0 ? std::max(part, more) : part;
}

double
expected_span_ms(const request_need& need, const pool_outlooks& pools, std::size_t first)
{
    return longest_path(need.stages,
                        first,
                        [&](std::size_t stage)
                        {
                            const stage_need& one = need.stages[stage];
                            const pool_outlook* pool = find(pools, one.pool);
                            const double wait =
                                pool == nullptr ? 0.0 : pool_wait_ms(*pool);
                            return wait + one.service_ms;
                        });
}

double bare_span_ms(const request_need& need, std::size_t first)
{
    return longest_path(need.stages,
                        first,
                        [&need](std::size_t stage)
                        {
                            return need.stages[stage].service_ms;
                        });
}

bool has_room(const request_need& need, const pool_outlooks& pools)
{
    for (std::size_t i = 0; i < need.stages.size(); ++i)
    {
        const pool_outlook* pool = find(pools, need.stages[i].pool);
        if (pool == nullptr)
        {
            continue;
        }
        if (pool->own_pending + 1 > pending_bound(*pool, time_before(need, i)))
        {
            return false;
        }
    }
    return true;
}

void add_pending(const request_need& need, pool_outlooks& pools)
{
    for (const stage_need& stage : need.stages)
    {
        const auto found = pools.find(stage.pool);
        if (found != pools.end())
        {
            found->second.own_pending += 1;
        }
    }
}

pool_id busiest_pool(const request_need& need, const pool_outlooks& pools)
{
    pool_id busiest;
    double highest = -1;
    for (std::size_t i = 0; i < need.stages.size(); ++i)
    {
        const pool_outlook* pool = find(pools, need.stages[i].pool);
        if (pool == nullptr)
        {
            continue;
        }
        const double taken =
            pool->own_pending / pending_bound(*pool, time_before(need, i));
        if (taken > highest)
        {
            highest = taken;
            busiest = need.stages[i].pool;
        }
    }
    return busiest;
}

double work_in(const request_need& need, const pool_id& name)
{
    double total = 0;
    for (const stage_need& stage : need.stages)
    {
        total += stage.pool == name ? stage.service_ms : 0;
    }
    return total;
}

double judged_span_ms(double expected_ms, double bare_ms, objective_kind objective)
{
    const bool cost_first = objective == objective_kind::cost;
    const double waiting = expected_ms - bare_ms;
    return bare_ms * (cost_first ? cost_margin : attainment_margin) +
           waiting * waiting_margin + margin_ms;
}

bool is_worth_continuing(double expected_ms,
                         double bare_ms,
                         double left_ms,
                         objective_kind objective)
{
    const double waiting = expected_ms - bare_ms;
    const double counted =
        objective == objective_kind::cost ? waiting : waiting_that_counts * waiting;
    return bare_ms + counted <= left_ms;
}

double drain_ms(const std::vector<waiting_request>& waiting, const pool_outlooks& pools)
{
    std::map<pool_id, double> work;
    for (const waiting_request& each : waiting)
    {
        for (const stage_need& stage : each.need.stages)
        {
            work[stage.pool] += stage.service_ms;
        }
    }
    double longest = 0;
    for (const auto& [name, total] : work)
    {
        const pool_outlook* pool = find(pools, name);
        if (pool != nullptr)
        {
            const double queued = total / std::max(1.0, usable_slots(*pool));
            longest = std::max(longest, queued + pool_wait_ms(*pool));
        }
    }
    return longest;
}

} // namespace medlar
