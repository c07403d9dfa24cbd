#ifndef MEDLAR_DETAIL_CONTROLLER_CONTROLLER_PROCESS_HPP
#define MEDLAR_DETAIL_CONTROLLER_CONTROLLER_PROCESS_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/controller/configuration_controller.hpp>
#include <medlar/detail/controller/gateway_feed.hpp>
#include <medlar/detail/controller/live_state.hpp>
#include <medlar/detail/controller/order_controller.hpp>
#include <medlar/detail/controller/stop_signal.hpp>
#include <medlar/detail/controller/target_controller.hpp>
#include <medlar/detail/controller/view_controller.hpp>
#include <medlar/detail/link/link.hpp>
#include <medlar/detail/metrics/registry.hpp>
#include <medlar/detail/store/store_client.hpp>

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace medlar
{

/// @brief Validated settings of medlar-controller.
struct controller_settings
{
    host_id self;
    /// address at which the metrics are served
    endpoint listen;
    std::vector<endpoint> store;
    millis store_timeout{2000};
    endpoint gateway;
    millis heartbeat{1000};
    watch_settings watch;
    view_settings view;
    /// unset: there is no host list
    std::optional<host_list_settings> host_list;
    /// unset: this host sends no orders to engines
    std::optional<order_settings> orders;
};

/// @brief Runs the controllers of one host, each on its own thread, until destroyed.
class controller_process
{
  public:
    static std::unique_ptr<controller_process> create(const controller_settings& settings,
                                                      const clock& time);

    ~controller_process();

    /// @brief Returns the metrics in the Prometheus text format.
    std::string metrics_text();

  private:
    controller_process(const controller_settings& settings, const clock& time);

    void start();

    /// @brief Runs a controller on a thread of its own.
    template <typename Controller>
    void start(Controller& controller)
    {
        threads_.emplace_back(
            [this, &controller]
            {
                controller.run(stop_);
            });
    }

    stop_signal stop_;
    std::unique_ptr<metrics_registry> metrics_;
    std::unique_ptr<link_client> links_;
    // The watch has its own client, so that it never blocks other calls.
    std::unique_ptr<store_client> watch_client_;
    std::unique_ptr<store_client> client_;
    live_state live_;
    gateway_feed feed_;
    configuration_controller configuration_;
    view_controller view_;
    std::unique_ptr<target_controller> targets_;
    std::unique_ptr<order_controller> orders_;
    std::vector<std::thread> threads_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CONTROLLER_CONTROLLER_PROCESS_HPP
