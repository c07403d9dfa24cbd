#ifndef MEDLAR_DETAIL_POLICY_POOL_SHARD_HPP
#define MEDLAR_DETAIL_POLICY_POOL_SHARD_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/config/document.hpp>
#include <medlar/detail/policy/load_estimate.hpp>
#include <medlar/detail/policy/pool_load.hpp>
#include <medlar/detail/policy/prefix_affinity.hpp>
#include <medlar/detail/policy/random_source.hpp>
#include <medlar/detail/policy/routing.hpp>
#include <medlar/detail/policy/service_model.hpp>
#include <medlar/detail/policy/stage_call.hpp>
#include <medlar/detail/policy/target_health.hpp>
#include <medlar/detail/policy/time_quantile.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace medlar
{

/// @brief One host's estimates of a pool and its targets, guarded by one mutex.
/// @note Thread-safe.
class pool_shard
{
  public:
    pool_shard(failure_domain_id local_domain, std::uint64_t seed);

    /// @brief Applies the targets; targets whose address is unchanged keep their state.
    void configure(const pool& content);

    /// @brief Sets the targets that get no new calls because they are leaving.
    void set_leaving(const std::set<target_id>& leaving);

    /// @brief Chooses a target and counts the call as in flight there.
    std::optional<target> choose(const stage_call& call, int gateways, steady_time now);

    /// @brief Records the end of a call and updates the estimates.
    void observe(const call_observation& observation, int gateways, steady_time now);

    /// @brief Records a load report of one of its targets.
    /// @return whether the target belongs to this pool
    bool observe_load(const load_report& report, steady_time now);

    /// @brief Records a change of the prefix cache of one of its targets.
    /// @return whether the target belongs to this pool
    bool observe_cache(const cache_event& change);

    /// @brief Returns the estimated load of the pool as a whole.
    pool_load load(int gateways, steady_time now) const;

    /// @brief Returns the expected service time of a call in milliseconds, without
    /// queueing.
    double service_ms(stage_kind kind, const request_size& size) const;

    /// @brief Returns the mean service time in milliseconds, without queueing; 0 before
    /// the first observation.
    double mean_service_ms() const;

    /// @brief Returns whether a call of that kind was observed.
    bool has_samples(stage_kind kind) const;

    /// @brief Returns the 95th percentile of call times relative to the expected time.
    double slowness_p95() const;

    /// @brief Returns the state of its targets as JSON.
    nlohmann::json describe(int gateways, steady_time now) const;

  private:
    struct target_record
    {
        target config;
        bool leaving = false;
        target_health health;
        // calls of this host; the recent number is an exponential moving average
        int own_calls = 0;
        double recent_own_calls = 0;
        steady_time recent_own_calls_at;
        std::multiset<std::int64_t> started_at_ms;
        // smoothed queueing delay of recent calls
        double recent_wait_ms = 0;
        steady_time recent_wait_at;
        // load reported by the target
        std::optional<reported_load> report;
        std::optional<double> reported_slots;
        cached_prefixes prefixes;
    };

    /// @brief pool-wide values that are computed once per decision
    struct pool_context
    {
        int gateways = 1;
        steady_time now;
        double mean_own_calls = 0;
        double median_slowness = 1;
    };

    target_record* find(const target_id& name);
    pool_context context(int gateways, steady_time now) const;
    double mean_own_calls() const;
    double slots_of(const target_record& record) const;
    double in_system(const target_record& record, const pool_context& ctx) const;
    double median_slowness() const;
    bool is_open(const target_record& record) const;
    target_snapshot snapshot_of(const target_record& record,
                                const stage_call& call,
                                double service_ms,
                                const pool_context& ctx) const;
    routing_snapshot snapshot(const stage_call& call, const pool_context& ctx) const;
    void update_prefix_assignment(std::uint64_t prefix_hash);
    bool is_prefix_assigned(std::size_t index, std::uint64_t prefix_hash) const;
    std::vector<target_id> target_names() const;
    double overdue_ms(const target_record& record,
                      double service_ms,
                      const pool_context& ctx) const;
    double service_ms_locked(stage_kind kind, const request_size& size) const;
    double expected_ms(const call_observation& observation) const;
    void start_call(target_record& record, steady_time now);
    void
    end_call(target_record& record, const call_observation& observation, steady_time now);
    void learn_wait(target_record& record,
                    double elapsed_ms,
                    double expected_ms,
                    steady_time now);
    void learn_time(const target_record& record,
                    const call_observation& observation,
                    double slowness,
                    const pool_context& ctx);
    void update_health(target_record& record,
                       const call_observation& observation,
                       double slowness,
                       steady_time now);
    std::size_t count_open() const;
    std::size_t count_ejected() const;

    failure_domain_id local_domain_;
    mutable std::mutex mutex_;
    std::vector<target_record> records_;
    std::map<stage_kind, service_model> models_;
    slot_estimate slots_;
    time_quantile slowness_p95_;
    double mean_service_ms_ = 0;
    prefix_counter prefix_counts_;
    prefix_assignment prefix_assignment_;
    random_source random_;
    std::uint64_t round_robin_turn_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_POOL_SHARD_HPP
