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

/// @brief an arriving request with the configuration that applies to it
struct admission_request
{
    std::uint64_t ticket = 0;
    arrival attributes;
    request_demand demand;
    objective_kind objective = objective_kind::attainment;
    admission_policy policy = admission_policy::estimate;
    double weight = 1;
};

/// @brief returns the current load of every pool, without this host's pending calls
using pool_estimator = std::function<pool_estimates()>;

/// @brief The queued and running requests of one host, guarded by one mutex.
/// @note Thread-safe.
class admission_shard
{
  public:
    explicit admission_shard(int max_requests);

    /// @brief Decides on an arriving request, or again on one that was queued.
    admission admit(const admission_request& request,
                    const pool_estimator& estimate_pools,
                    steady_time now);

    /// @brief Records the end of a stage call of an admitted request and updates the
    /// service time of that stage.
    /// @note If the observation has no ticket, it is counted for the running request with
    /// the lowest ticket that has an open call in that pool.
    void stage_succeeded(const call_observation& observation);

    /// @brief Returns the expected service time of a stage for a request of that size, in
    /// milliseconds.
    /// @return unset before the first observation
    std::optional<double> service_ms(const pipeline_id& name,
                                     std::size_t stage,
                                     const request_size& size) const;

    /// @brief Removes a request that has ended or was abandoned while it was queued.
    void finish(std::uint64_t ticket);

    /// @brief Returns the number of requests held, both queued and running.
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
    std::optional<admission_refusal> check_limits(const admission_request& request) const;
    void start(const admission_request& request);
    void update_plan(const pool_estimator& estimate_pools, steady_time now);
    admission_refusal drop(const admission_request& request, const waiting_plan& decided);
    waiting_request as_waiting(const admission_request& request, steady_time now) const;
    void count_pending(pool_estimates& pools) const;
    work_in_progress count_work() const;
    bool end_stage(running_request& running, const call_observation& observation);

    const int max_requests_;
    mutable std::mutex mutex_;
    std::map<std::uint64_t, admission_request> waiting_;
    std::map<std::uint64_t, running_request> running_;
    /// service times of stages, by the input size of the request
    std::map<stage_key, service_model> models_;

    // latest plan
    std::map<std::uint64_t, waiting_plan> plan_;
    pool_estimates pools_;
    double drain_ms_ = 0;
    steady_time planned_at_;
    bool outdated_ = true;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_ADMISSION_SHARD_HPP
