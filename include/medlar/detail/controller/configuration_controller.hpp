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

/// @brief how the live folder is watched
struct watch_settings
{
    /// longest wait of one watch; the store is heard from at least this often
    millis wait{60000};
    /// pauses while the store does not answer
    millis first_pause{200};
    millis longest_pause{5000};
    /// longest random delay before a newer state is written back
    millis repair_delay{2000};
    std::uint64_t seed = 1;
};

/// @brief Watches the live folder of the store and gives what is newer to the gateway.
///
/// An older or conflicting state of the store is an event and changes nothing here. A
/// store that came back with an older state gets the newest known state back, by
/// compare-and-swap.
class configuration_controller
{
  public:
    configuration_controller(store_client& store,
                             live_state& live,
                             gateway_feed& feed,
                             const watch_settings& settings);

    /// @brief Watches until @p stop.
    void run(stop_signal& stop);

  private:
    bool watch_once(stop_signal& stop);
    void take(const store_folder& folder);
    void report(const live_reading& reading, const live_snapshot& now);
    void note_failure(const absl::Status& failure);
    bool repair(stop_signal& stop);
    bool write_back(const std::string& key, const std::string& value, store_index at);

    store_client& store_;
    live_state& live_;
    gateway_feed& feed_;
    watch_settings settings_;
    backoff pauses_;
    backoff repair_delays_;
    store_index after_{0};
    bool unreachable_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CONTROLLER_CONFIGURATION_CONTROLLER_HPP
