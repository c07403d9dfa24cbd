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

/// @brief how orders are given
struct order_settings
{
    host_id self;
    millis lease{15000};
    /// pause between rounds
    millis period{5000};
    /// how long a target that had all that is wanted is not asked again
    millis verify{30000};
    /// time for an engine's answer
    millis timeout{5000};
    /// most loads of weights by all hosts within load_period
    int max_loads = 4;
    millis load_period{60000};
    /// members of the view that may give orders, by their place in it
    std::size_t candidates = 3;
};

/// @brief Brings engines to the state that is wanted of their pool.
///
/// One controller acts at a time, under a lease. An engine that ignores fencing numbers
/// is safe as well: each order is the difference between what the engine reports and
/// what is wanted, and is given only if the wanted state is unchanged and the lease is
/// held for certain after it was read. What an order that came late has changed is found
/// and repaired by the holder, which asks every engine again now and then.
class order_controller
{
  public:
    order_controller(store_client& store,
                     live_state& live,
                     gateway_feed& feed,
                     const clock& time,
                     const order_settings& settings);

    /// @brief Gives orders until @p stop.
    void run(stop_signal& stop);

    /// @brief One round over all pools.
    void act(const stop_signal& stop);

  private:
    /// @brief what is wanted of one pool, as it was read
    struct wanted_pool
    {
        std::string key;
        store_index modified{0};
        desired_engine_state state;
    };

    /// @brief when a target was last seen to have all that is wanted
    struct verification
    {
        store_index modified{0};
        std::uint64_t term = 0;
        steady_time at;
    };

    bool is_candidate(const live_snapshot& now) const;
    void
    bring_pool(const wanted_pool& wanted, const pool& targets, const stop_signal& stop);
    void bring_target(const wanted_pool& wanted, const target& at);
    bool step(const wanted_pool& wanted, const target& at, bool* more);
    bool count_load();
    bool still_wanted(const wanted_pool& wanted);
    bool give(const engine_order& order, const wanted_pool& wanted, const target& at);
    bool is_verified(const wanted_pool& wanted, const target& at) const;
    http_pool& pool_of(const target& at);

    store_client& store_;
    live_state& live_;
    gateway_feed& feed_;
    const clock& time_;
    order_settings settings_;
    order_lease lease_;
    std::map<endpoint, std::unique_ptr<http_pool>> pools_;
    std::map<target_id, verification> verified_;
    std::uint64_t orders_ = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CONTROLLER_ORDER_CONTROLLER_HPP
