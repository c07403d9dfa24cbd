#ifndef MEDLAR_DETAIL_POLICY_ADMISSION_HPP
#define MEDLAR_DETAIL_POLICY_ADMISSION_HPP

#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/config/document.hpp>
#include <medlar/detail/policy/pool_load.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace medlar
{

/// @brief demand of one stage of a request on its pool
struct stage_demand
{
    pool_id pool;
    /// service time in milliseconds, without queueing; 0: unknown
    double service_ms = 0;
    /// indexes of the stages that it depends on
    std::vector<std::size_t> after;
};

/// @brief demand of a request, stage by stage
struct request_demand
{
    std::vector<stage_demand> stages;
};

/// @brief load of a pool as one host estimates it for admission
struct pool_estimate
{
    pool_load load;
    /// stage calls of this host's admitted requests that have not ended
    double own_pending_calls = 0;
    /// gateways that share the pool, including this one
    int gateways = 1;
};

using pool_estimates = std::map<pool_id, pool_estimate>;

/// @brief Returns the expected queueing delay of a call in a pool, in milliseconds.
double pool_wait_ms(const pool_estimate& pool);

/// @brief Returns the number of slots of a pool that this host may use: an equal share,
/// or more if the targets' reports show free slots.
double usable_slots(const pool_estimate& pool);

/// @brief Returns the expected time in milliseconds from the start of stage @p first to
/// the end of the request, including queueing: the longest path through the stage graph.
double expected_span_ms(const request_demand& demand,
                        const pool_estimates& pools,
                        std::size_t first);

/// @brief Returns expected_span_ms() without queueing.
double service_span_ms(const request_demand& demand, std::size_t first);

/// @brief Returns whether each pool can take one more request of this host. A pool can
/// until its usable slots are covered by calls that run there or are still in earlier
/// stages.
bool has_capacity(const request_demand& demand, const pool_estimates& pools);

/// @brief Counts a request as admitted: one pending call for each of its stages.
void add_pending(const request_demand& demand, pool_estimates& pools);

/// @brief Returns the pool with the highest share of its pending limit in use, among
/// those that a request needs.
pool_id busiest_pool(const request_demand& demand, const pool_estimates& pools);

/// @brief Returns the total service time of a request in a pool, in milliseconds.
double work_in_pool_ms(const request_demand& demand, const pool_id& name);

/// @brief Returns the expected span plus a safety margin, which admission compares with
/// the remaining time. The margin is wider where cost is the objective.
/// @param expected_ms span with queueing
/// @param service_ms span without queueing
double
span_with_margin_ms(double expected_ms, double service_ms, objective_kind objective);

/// @brief Returns whether to continue a request: whether its remaining stages can still
/// finish in time. Where cost is the objective, all of the expected queueing counts, else
/// a part of it.
/// @param expected_ms span with queueing
/// @param service_ms span without queueing
bool is_worth_continuing(double expected_ms,
                         double service_ms,
                         double remaining_ms,
                         objective_kind objective);

/// @brief a request that is queued for admission
struct waiting_request
{
    std::uint64_t ticket = 0;
    organisation_id organisation;
    double weight = 1;
    request_demand demand;
    /// latest start that still meets the deadline, in milliseconds from now
    double slack_ms = 0;
};

/// @brief decision on a queued request
enum class waiting_decision
{
    start, ///< start now
    wait,  ///< keep queued: it can still finish in time
    drop,  ///< refuse: it cannot finish in time
};

/// @brief decision on one queued request, with its expected start
struct waiting_plan
{
    std::uint64_t ticket = 0;
    waiting_decision decision = waiting_decision::wait;
    /// expected time until its start, in milliseconds
    double start_in_ms = 0;
    /// dropped because its organisation holds more than its share
    bool over_share = false;
};

/// @brief service time of the unfinished stages of each organisation's running requests,
/// in milliseconds
using work_in_progress = std::map<organisation_id, double>;

/// @brief Decides on all queued requests.
///
/// If not all of them can start in time, requests are dropped until the rest can: the
/// organisation that holds the most work relative to its weight loses its request with
/// the most work (Moore-Hodgson rule, which minimises the number of late jobs).
/// Organisations start requests in the order of their work in progress relative to their
/// weight, each organisation's own requests in the order of slack.
std::vector<waiting_plan> plan_waiting(const std::vector<waiting_request>& waiting,
                                       const work_in_progress& in_progress,
                                       const pool_estimates& pools);

/// @brief Returns the milliseconds until the queued work is done, used as the retry-after
/// time.
double drain_ms(const std::vector<waiting_request>& waiting, const pool_estimates& pools);

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_ADMISSION_HPP
