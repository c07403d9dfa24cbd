#include <medlar/detail/gateway/request_watch.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace medlar
{

namespace
{

/// @brief whether the other side has closed the connection, or its half of it
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
                                                     millis check_every)
{
    return std::unique_ptr<request_watch>(new request_watch(time, check_every));
}

request_watch::request_watch(const clock& time, millis check_every)
    : time_(time),
      check_every_(check_every),
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
    while (!stop_->wait_for(check_every_))
    {
        check_all();
    }
}

void request_watch::check_all()
{
    const steady_time now = time_.steady_now();
    // held throughout: a socket stays open as long as its entry is there
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

request_watch::watching::watching(request_watch& by, watched_request what) : by_(by)
{
    const std::lock_guard<std::mutex> lock(by_.mutex_);
    number_ = ++by_.last_;
    by_.watched_.emplace(number_, std::move(what));
}

request_watch::watching::~watching()
{
    const std::lock_guard<std::mutex> lock(by_.mutex_);
    by_.watched_.erase(number_);
}

} // namespace medlar
