#ifndef MEDLAR_DETAIL_CONTROLLER_ORDER_CONTROLLER_HPP
#define MEDLAR_DETAIL_CONTROLLER_ORDER_CONTROLLER_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/cluster/order_plan.hpp>
#include <medlar/detail/controller/gateway_feed.hpp>
#include <medlar/detail/controller/live_state.hpp>
#include <medlar/detail/controller/order_lease.hpp>
#include <medlar/detail/controller/stop_signal.hpp>
#include <medlar/detail/store/http_pool.hpp>
#include <medlar/detail/store/store_client.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace medlar
{

/// @brief Timing and limits of orders to engines.
struct order_settings
{
    host_id self;
    millis lease_duration{15000};
    /// pause between rounds
    millis round_interval{5000};
    /// time before a target that was in the desired state is checked again
    millis verify_interval{30000};
    /// timeout of a call to an engine
    millis timeout{5000};
    /// maximum loads of weights by all hosts within load_period
    int max_loads = 4;
    millis load_period{60000};
    /// number of members, from the first of the view, that may send orders
    std::size_t max_candidates = 3;
};

/// @brief Reconciles engines with the desired state of their pool.
///
/// One controller sends orders at a time, under a lease. Engines that ignore fencing
/// numbers are supported as well: each order is computed from the difference between the
/// reported and the desired state, and is sent only if, after the report was read, the
/// desired state is unchanged and the lease is certain to be held. Changes by a delayed
/// order are found and repaired, because the holder checks every engine again
/// periodically.
class order_controller
{
  public:
    order_controller(store_client& store,
                     live_state& live,
                     gateway_feed& feed,
                     const clock& time,
                     const order_settings& settings);

    /// @brief Runs until @p stop is signalled, then releases the lease.
    void run(stop_signal& stop);

    /// @brief Runs one round over all pools.
    void reconcile(const stop_signal& stop);

  private:
    /// @brief Desired state of one pool with the index of its entry.
    struct desired_pool_state
    {
        std::string key;
        store_index modified{0};
        desired_engine_state state;
    };

    /// @brief Last check that found a target in the desired state.
    struct verification
    {
        store_index modified{0};
        std::uint64_t term = 0;
        steady_time time;
    };

    bool is_candidate(const live_snapshot& now) const;
    void reconcile_pool(const desired_pool_state& desired,
                        const pool& targets,
                        const stop_signal& stop);
    void reconcile_target(const desired_pool_state& desired, const target& engine);
    bool
    send_next_order(const desired_pool_state& desired, const target& engine, bool* more);
    bool try_count_load();
    bool is_current(const desired_pool_state& desired);
    bool send_order(const engine_order& order,
                    const desired_pool_state& desired,
                    const target& engine);
    bool is_recently_verified(const desired_pool_state& desired,
                              const target& engine) const;
    http_pool& connections_to(const target& engine);

    store_client& store_;
    live_state& live_;
    gateway_feed& feed_;
    const clock& time_;
    order_settings settings_;
    order_lease lease_;
    std::map<endpoint, std::unique_ptr<http_pool>> connections_;
    std::map<target_id, verification> verified_;
    std::uint64_t order_count_ = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CONTROLLER_ORDER_CONTROLLER_HPP
