#include <medlar/detail/controller/controller_process.hpp>
#include <medlar/detail/store/metered_store.hpp>

namespace medlar
{

namespace
{

std::unique_ptr<store_client> make_client(const controller_settings& settings,
                                          metrics_registry& metrics)
{
    return make_metered(store_client::create(settings.store, settings.store_timeout),
                        metrics);
}

} // namespace

std::unique_ptr<controller_process>
controller_process::create(const controller_settings& settings, const clock& time)
{
    std::unique_ptr<controller_process> process(new controller_process(settings, time));
    process->start();
    return process;
}

controller_process::controller_process(const controller_settings& settings,
                                       const clock& time)
    : metrics_(metrics_registry::create()),
      links_(link_client::create()),
      watch_client_(make_client(settings, *metrics_)),
      client_(make_client(settings, *metrics_)),
      feed_(*links_, settings.gateway, settings.heartbeat),
      configuration_(*watch_client_, live_, feed_, settings.watch),
      view_(*client_, live_, feed_, time, settings.view)
{
    if (settings.host_list)
    {
        targets_ = std::make_unique<target_controller>(feed_, *settings.host_list);
    }
    if (settings.orders)
    {
        orders_ = std::make_unique<order_controller>(
            *client_, live_, feed_, time, *settings.orders);
    }
}

controller_process::~controller_process()
{
    stop_.stop();
    feed_.stop();
    // The other client stays open, because the order lock is released through it.
    watch_client_->close();
    if (targets_)
    {
        targets_->close();
    }
    for (std::thread& each : threads_)
    {
        each.join();
    }
}

std::string controller_process::metrics_text()
{
    const live_snapshot now = live_.snapshot();
    const auto as_number = [](std::uint64_t value)
    {
        return static_cast<double>(value);
    };
    metrics_->set("medlar_store_reachable", {}, now.reachable ? 1 : 0);
    metrics_->set("medlar_configuration_revision",
                  {},
                  as_number(version_of(now.configuration.get()).number));
    metrics_->set("medlar_view_epoch", {}, as_number(version_of(now.view.get()).number));
    metrics_->set("medlar_gateway_reachable", {}, feed_.report() ? 1 : 0);
    metrics_->set("medlar_control_bytes_total",
                  {{"path", "gateway"}},
                  static_cast<double>(links_->traffic().get()));
    return metrics_->write();
}

void controller_process::start()
{
    threads_.emplace_back(
        [this]
        {
            feed_.run();
        });
    start(configuration_);
    start(view_);
    if (targets_)
    {
        start(*targets_);
    }
    if (orders_)
    {
        start(*orders_);
    }
}

} // namespace medlar
