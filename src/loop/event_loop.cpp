#include <medlar/detail/loop/event_loop.hpp>

#include <Poco/Timespan.h>

#include <algorithm>

namespace medlar
{

namespace
{

constexpr std::int64_t us_per_ms = 1000;

int poll_mode(bool read, bool write)
{
    int mode = Poco::Net::PollSet::POLL_ERROR;
    mode |= read ? Poco::Net::PollSet::POLL_READ : 0;
    mode |= write ? Poco::Net::PollSet::POLL_WRITE : 0;
    return mode;
}

} // namespace

event_loop::event_loop(const medlar::clock& time) : clock_(time), now_(time.steady_now())
{
}

void event_loop::watch(const Poco::Net::Socket& socket,
                       std::shared_ptr<socket_handler> handler,
                       bool read,
                       bool write)
{
    handlers_[socket.impl()] = std::move(handler);
    poll_.add(socket, poll_mode(read, write));
}

void event_loop::change(const Poco::Net::Socket& socket, bool read, bool write)
{
    poll_.update(socket, poll_mode(read, write));
}

void event_loop::unwatch(const Poco::Net::Socket& socket)
{
    if (handlers_.erase(socket.impl()) > 0)
    {
        poll_.remove(socket);
    }
}

timer_id event_loop::after(millis delay, std::function<void()> action)
{
    const std::uint64_t id = ++last_timer_;
    const std::int64_t due = (now_ + delay).since_origin();
    timers_.emplace(timer_key(due, id), std::move(action));
    due_times_.emplace(id, due);
    return timer_id(id);
}

void event_loop::cancel(timer_id timer)
{
    const auto found = due_times_.find(timer.get());
    if (found == due_times_.end())
    {
        return;
    }
    timers_.erase(timer_key(found->second, found->first));
    due_times_.erase(found);
}

void event_loop::fire_due_timers()
{
    while (!timers_.empty() && timers_.begin()->first.first <= now_.since_origin())
    {
        const std::function<void()> action = std::move(timers_.begin()->second);
        due_times_.erase(timers_.begin()->first.second);
        timers_.erase(timers_.begin());
        action();
    }
}

void event_loop::run_once(millis max_wait)
{
    std::int64_t wait_ms = max_wait.count();
    if (!timers_.empty())
    {
        const std::int64_t until_due =
            timers_.begin()->first.first - clock_.steady_now().since_origin();
        wait_ms = std::clamp<std::int64_t>(until_due, 0, wait_ms);
    }
    const Poco::Net::PollSet::SocketModeMap ready =
        poll_.poll(Poco::Timespan(wait_ms * us_per_ms));
    now_ = clock_.steady_now();
    for (const auto& entry : ready)
    {
        const auto found = handlers_.find(entry.first.impl());
        if (found == handlers_.end())
        {
            continue;
        }
        const std::shared_ptr<socket_handler> handler = found->second;
        handler->on_ready({(entry.second & Poco::Net::PollSet::POLL_READ) != 0,
                           (entry.second & Poco::Net::PollSet::POLL_WRITE) != 0,
                           (entry.second & Poco::Net::PollSet::POLL_ERROR) != 0});
    }
    fire_due_timers();
}

} // namespace medlar
