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

/// @brief what one stage of a request needs
struct stage_demand
{
    pool_id pool;
    /// time that it runs, waiting left out; 0: not known yet
    double service_ms = 0;
    /// indexes of the stages that it comes after
    std::vector<std::size_t> after;
};

/// @brief what a request needs, by stage
struct request_demand
{
    std::vector<stage_demand> stages;
};

/// @brief a pool as the admission of one host sees it
struct pool_estimate
{
    pool_load load;
    /// stage calls of this host's admitted requests that have not ended
    double own_pending_calls = 0;
    /// gateways that share the pool, this one included
    int gateways = 1;
};

using pool_estimates = std::map<pool_id, pool_estimate>;

/// @brief Milliseconds that a call waits in a pool before it runs.
double pool_wait_ms(const pool_estimate& pool);

/// @brief Slots of a pool that this host may use: an equal part, or more by a part of
/// what the pool's reports show to be free.
double usable_slots(const pool_estimate& pool);

/// @brief Milliseconds that a request needs from its stage @p first on, waiting in
/// pools included, stages that do not depend on each other side by side.
double expected_span_ms(const request_demand& demand,
                        const pool_estimates& pools,
                        std::size_t first);

/// @brief the same without any waiting
double service_span_ms(const request_demand& demand, std::size_t first);

/// @brief Whether each pool has room for one more request of this host. A pool has
/// room until its usable slots are taken by calls that run there or are on their way.
bool has_capacity(const request_demand& demand, const pool_estimates& pools);

/// @brief Counts a request as admitted.
void add_pending(const request_demand& demand, pool_estimates& pools);

/// @brief the pool whose usable slots are taken most, of those that a request needs
pool_id busiest_pool(const request_demand& demand, const pool_estimates& pools);

/// @brief time that a request needs in a pool
double work_in_pool_ms(const request_demand& demand, const pool_id& name);

/// @brief The span by which a request is judged: the expected one with a margin, which
/// is wider where cost comes first.
/// @param expected_ms with waiting
/// @param bare_ms without waiting
double
span_with_margin_ms(double expected_ms, double service_ms, objective_kind objective);

/// @brief whether the rest of a request is worth its cost
/// @param expected_ms with waiting
/// @param bare_ms without waiting
bool is_worth_continuing(double expected_ms,
                         double service_ms,
                         double remaining_ms,
                         objective_kind objective);

/// @brief a request that waits for its start
struct waiting_request
{
    std::uint64_t ticket = 0;
    organisation_id organisation;
    double weight = 1;
    request_demand demand;
    /// time that may pass before it starts
    double slack_ms = 0;
};

/// @brief what becomes of a waiting request
enum class waiting_decision
{
    start, ///< it may start now
    wait,  ///< it can still finish in time
    drop,  ///< it can not finish in time
};

/// @brief the decision on one waiting request
struct waiting_plan
{
    std::uint64_t ticket = 0;
    waiting_decision decision = waiting_decision::wait;
    /// when it is expected to start
    double start_in_ms = 0;
    /// dropped because its organisation asks for more than its share
    bool over_share = false;
};

/// @brief work that each organisation has in progress, in milliseconds
using work_in_progress = std::map<organisation_id, double>;

/// @brief Decides on all waiting requests.
///
/// Where not all can start in time, some are dropped until the others can: of the
/// organisation that holds most work relative to its weight, the request that needs
/// most (after the rule of Moore and Hodgson for the fewest late jobs). Organisations
/// take turns to start by the work that they have in progress relative to their weight,
/// each in the order of slack.
std::vector<waiting_plan> plan_waiting(const std::vector<waiting_request>& waiting,
                                       const work_in_progress& in_progress,
                                       const pool_estimates& pools);

/// @brief Milliseconds until the waiting work is done: when it is useful to ask again.
double drain_ms(const std::vector<waiting_request>& waiting, const pool_estimates& pools);

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_ADMISSION_HPP
