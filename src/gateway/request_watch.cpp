#include <medlar/detail/gateway/request_watch.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace medlar
{

namespace
{

/// @brief Returns whether the peer has closed the connection or its sending side.
bool is_closed(int socket)
{
    char byte = 0;
    const ssize_t received = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received == 0)
    {
        return true;
    }
    return received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

} // namespace

std::unique_ptr<request_watch> request_watch::create(const clock& time,
                                                     millis check_interval)
{
    return std::unique_ptr<request_watch>(new request_watch(time, check_interval));
}

request_watch::request_watch(const clock& time, millis check_interval)
    : time_(time),
      check_interval_(check_interval),
      thread_(
          [this]
          {
              run();
          })
{
}

request_watch::~request_watch()
{
    stop_->cancel(cancel_cause::not_needed);
    thread_.join();
}

void request_watch::run()
{
    while (!stop_->wait_for(check_interval_))
    {
        check_all();
    }
}

void request_watch::check_all()
{
    const steady_time now = time_.steady_now();
    // locked throughout: a socket stays open as long as it is registered
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [number, each] : watched_)
    {
        if (now >= each.deadline)
        {
            each.token->cancel(cancel_cause::deadline);
        }
        else if (each.caller_socket && is_closed(*each.caller_socket))
        {
            each.token->cancel(cancel_cause::caller_gone);
        }
    }
}

request_watch::scoped_watch::scoped_watch(request_watch& watch, watched_request request)
    : watch_(watch)
{
    const std::lock_guard<std::mutex> lock(watch_.mutex_);
    number_ = ++watch_.last_number_;
    watch_.watched_.emplace(number_, std::move(request));
}

request_watch::scoped_watch::~scoped_watch()
{
    const std::lock_guard<std::mutex> lock(watch_.mutex_);
    watch_.watched_.erase(number_);
}

} // namespace medlar
