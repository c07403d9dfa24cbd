#include <medlar/detail/hosts/copy_check.hpp>

#include <algorithm>
#include <utility>

namespace medlar
{

namespace
{

// bounds the calls of a host to 20 a second, whatever the number of resumed streams
constexpr millis min_interval{50};

// a copy lags behind by the pause between two watches, 400 ms, at most
constexpr millis catch_up_timeout{600};

constexpr millis poll_interval{10};

} // namespace

copy_check::copy_check(entry_context& context, store_controller& store)
    : context_(context), store_(store), next_start_(context.loop.now())
{
}

void copy_check::confirm(done_action on_done)
{
    waiting_.push_back(std::move(on_done));
    if (is_start_due_)
    {
        return;
    }
    is_start_due_ = true;
    context_.loop.after(std::max(millis(0), next_start_ - context_.loop.now()),
                        [this]
                        {
                            start();
                        });
}

void copy_check::start()
{
    is_start_due_ = false;
    next_start_ = context_.loop.now() + min_interval;
    const auto on_done = [waiting = std::exchange(waiting_, {})](bool is_current)
    {
        for (const done_action& each : waiting)
        {
            each(is_current);
        }
    };
    store_.read_version(
        [this, on_done](std::optional<store_version> version)
        {
            if (version)
            {
                wait_for(*version, on_done);
                return;
            }
            context_.metrics->add("medlar_copy_checks_total", {{"result", "no_answer"}});
            on_done(false);
        });
}

void copy_check::wait_for(store_version version, const done_action& on_done)
{
    if (store_.known_version() < version)
    {
        store_.catch_up();
    }
    poll(version, context_.loop.now() + catch_up_timeout, on_done);
}

void copy_check::poll(store_version version, steady_time end, const done_action& on_done)
{
    const bool is_current = version <= store_.known_version();
    if (is_current || context_.loop.now() >= end)
    {
        context_.metrics->add("medlar_copy_checks_total",
                              {{"result", is_current ? "current" : "behind"}});
        on_done(is_current);
        return;
    }
    context_.loop.after(poll_interval,
                        [this, version, end, on_done]
                        {
                            poll(version, end, on_done);
                        });
}

} // namespace medlar
