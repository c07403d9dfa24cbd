#ifndef MEDLAR_DETAIL_CONTROLLER_CONFIGURATION_CONTROLLER_HPP
#define MEDLAR_DETAIL_CONTROLLER_CONFIGURATION_CONTROLLER_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/cluster/backoff.hpp>
#include <medlar/detail/controller/gateway_feed.hpp>
#include <medlar/detail/controller/live_state.hpp>
#include <medlar/detail/controller/stop_signal.hpp>
#include <medlar/detail/store/store_client.hpp>

#include <cstdint>

namespace medlar
{

/// @brief Timing of the watch on the live folder.
struct watch_settings
{
    /// maximum wait of one watch, so also the maximum time between two answers of the
    /// store
    millis max_wait{60000};
    /// bounds of the backoff while the store does not answer
    millis initial_backoff{200};
    millis max_backoff{5000};
    /// maximum random delay before a newer state is written back
    millis repair_delay{2000};
    std::uint64_t seed = 1;
};

/// @brief Watches the live folder of the store and pushes newer state to the gateway.
///
/// An older or conflicting state of the store is logged as an event and never replaces
/// the known state. If the store was restored to an older state, the newest known state
/// is written back by compare-and-swap.
class configuration_controller
{
  public:
    configuration_controller(store_client& store,
                             live_state& live,
                             gateway_feed& feed,
                             const watch_settings& settings);

    /// @brief Runs until @p stop is signalled.
    void run(stop_signal& stop);

  private:
    bool watch_once(stop_signal& stop);
    void handle_folder(const store_folder& folder);
    void report(const live_reading& reading, const live_snapshot& now);
    void record_failure(const absl::Status& failure);
    bool repair(stop_signal& stop);
    bool
    write_back(const std::string& key, const std::string& value, store_index expected);

    store_client& store_;
    live_state& live_;
    gateway_feed& feed_;
    watch_settings settings_;
    backoff retry_backoff_;
    backoff repair_backoff_;
    store_index last_index_{0};
    bool unreachable_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CONTROLLER_CONFIGURATION_CONTROLLER_HPP
