#include <medlar/detail/controller/controller_process.hpp>

namespace medlar
{

std::unique_ptr<controller_process>
controller_process::create(const controller_settings& settings, const clock& time)
{
    std::unique_ptr<controller_process> process(new controller_process(settings, time));
    process->start();
    return process;
}

controller_process::controller_process(const controller_settings& settings,
                                       const clock& time)
    : links_(link_client::create()),
      watching_(store_client::create(settings.store, settings.store_timeout)),
      writing_(store_client::create(settings.store, settings.store_timeout)),
      feed_(*links_, settings.gateway, settings.heartbeat),
      configuration_(*watching_, live_, feed_, settings.watch),
      view_(*writing_, live_, feed_, time, settings.view)
{
    if (settings.host_list)
    {
        targets_ = std::make_unique<target_controller>(feed_, *settings.host_list);
    }
    if (settings.orders)
    {
        orders_ = std::make_unique<order_controller>(
            *writing_, live_, feed_, time, *settings.orders);
    }
}

controller_process::~controller_process()
{
    stop_.stop();
    feed_.stop();
    // The other client stays open: the lock of orders is released with it.
    watching_->close();
    if (targets_)
    {
        targets_->close();
    }
    for (std::thread& each : threads_)
    {
        each.join();
    }
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
