#ifndef MEDLAR_DETAIL_POLICY_ADMISSION_SHARD_HPP
#define MEDLAR_DETAIL_POLICY_ADMISSION_SHARD_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/config/document.hpp>
#include <medlar/detail/policy/admission.hpp>
#include <medlar/detail/policy/policy_engine.hpp>
#include <medlar/detail/policy/service_model.hpp>
#include <medlar/detail/policy/stage_call.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace medlar
{

/// @brief a request at the door with what the configuration says of it
struct admission_request
{
    std::uint64_t ticket = 0;
    arrival attributes;
    request_demand demand;
    objective_kind objective = objective_kind::attainment;
    admission_policy policy = admission_policy::estimate;
    double weight = 1;
};

/// @brief gives the present load of every pool, without this host's pending calls
using pool_estimator = std::function<pool_estimates()>;

/// @brief The requests that one host holds, waiting and running, under one lock.
/// @note Safe to call from every thread.
class admission_shard
{
  public:
    explicit admission_shard(int max_requests);

    /// @brief Decides on a request at the door, or again after it was queued.
    admission admit(const admission_request& request,
                    const pool_estimator& estimate_pools,
                    steady_time now);

    /// @brief Ends a stage call of an admitted request, and learns how long the stage
    /// runs for a request of that size.
    /// @note If the ticket is not known, the oldest request with a call there is taken.
    void stage_succeeded(const call_observation& observation);

    /// @brief milliseconds that a stage runs for a request of that size
    /// @return unset if none was seen
    std::optional<double> service_ms(const pipeline_id& name,
                                     std::size_t stage,
                                     const request_size& size) const;

    /// @brief The request is over or was given up while it waited.
    void finish(std::uint64_t ticket);

    /// @brief requests held, waiting ones included
    std::size_t held() const;

  private:
    struct running_request
    {
        arrival attributes;
        request_demand demand;
        std::vector<bool> ended;
    };

    struct stage_key
    {
        pipeline_id pipeline;
        std::size_t stage;

        friend bool operator<(const stage_key& a, const stage_key& b)
        {
            return a.pipeline != b.pipeline ? a.pipeline < b.pipeline : a.stage < b.stage;
        }
    };

    admission decide_waiting(const admission_request& request,
                             const pool_estimator& estimate_pools,
                             steady_time now);
    std::optional<turned_away> check_limits(const admission_request& request) const;
    void start(const admission_request& request);
    void update_plan(const pool_estimator& estimate_pools, steady_time now);
    turned_away drop(const admission_request& request, const waiting_plan& decided);
    waiting_request as_waiting(const admission_request& request, steady_time now) const;
    void count_pending(pool_estimates& pools) const;
    work_in_progress count_work() const;
    bool end_stage(running_request& running, const call_observation& observation);

    const int max_requests_;
    mutable std::mutex mutex_;
    std::map<std::uint64_t, admission_request> waiting_;
    std::map<std::uint64_t, running_request> running_;
    /// times of stages by the size of the request as it arrived
    std::map<stage_key, service_model> models_;

    // the newest plan
    std::map<std::uint64_t, waiting_plan> plan_;
    pool_estimates pools_;
    double drain_ms_ = 0;
    steady_time planned_at_;
    bool outdated_ = true;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_ADMISSION_SHARD_HPP
