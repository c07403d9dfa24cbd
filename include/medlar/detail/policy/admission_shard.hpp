#ifndef MEDLAR_DETAIL_POLICY_ADMISSION_SHARD_HPP
#define MEDLAR_DETAIL_POLICY_ADMISSION_SHARD_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/config/document.hpp>
#include <medlar/detail/policy/admission.hpp>
#include <medlar/detail/policy/policy_engine.hpp>

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
    arrival what;
    request_need need;
    objective_kind objective = objective_kind::attainment;
    admission_policy policy = admission_policy::estimate;
    double weight = 1;
};

/// @brief gives the present load of every pool, without this host's pending calls
using read_pools = std::function<pool_outlooks()>;

/// @brief The requests that one host holds, waiting and running, under one lock.
/// @note Safe to call from every thread.
class admission_shard
{
  public:
    explicit admission_shard(int max_requests);

    /// @brief Decides on a request at the door, or again after it was queued.
    admission
    admit(const admission_request& request, const read_pools& read, steady_time now);

    /// @brief Ends a stage call of an admitted request.
    /// @param ticket 0: not known; the oldest request with a call there is taken
    void stage_ended(std::uint64_t ticket, const pool_id& pool);

    /// @brief The request is over or was given up while it waited.
    void finish(std::uint64_t ticket);

    /// @brief requests held, waiting ones included
    std::size_t held() const;

  private:
    struct running_request
    {
        organisation_id organisation;
        request_need need;
        std::vector<bool> ended;
    };

    admission ask_waiting(const admission_request& request,
                          const read_pools& read,
                          steady_time now);
    std::optional<turned_away> refuse_to_hold(const admission_request& request) const;
    void start(const admission_request& request);
    void make_plan(const read_pools& read, steady_time now);
    turned_away drop(const admission_request& request, const waiting_plan& decided);
    waiting_request as_waiting(const admission_request& request, steady_time now) const;
    void count_pending(pool_outlooks& pools) const;
    work_in_progress count_work() const;
    static bool end_stage(running_request& running, const pool_id& pool);

    const int max_requests_;
    mutable std::mutex mutex_;
    std::map<std::uint64_t, admission_request> waiting_;
    std::map<std::uint64_t, running_request> running_;

    // the newest plan
    std::map<std::uint64_t, waiting_plan> plan_;
    pool_outlooks pools_;
    double drain_ms_ = 0;
    steady_time planned_at_;
    bool outdated_ = true;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_ADMISSION_SHARD_HPP
