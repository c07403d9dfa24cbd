#include <medlar/detail/loop/caller_connection.hpp>
#include <medlar/detail/loop/http_server.hpp>

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace medlar
{

http_server::http_server(event_loop& loop,
                         const server_limits& limits,
                         request_action on_request)
    : loop_(loop), limits_(limits), on_request_(std::move(on_request))
{
}

absl::StatusOr<std::unique_ptr<http_server>>
http_server::listen(event_loop& loop,
                    const endpoint& where,
                    const server_limits& limits,
                    request_action on_request)
{
    std::unique_ptr<http_server> created(
        new http_server(loop, limits, std::move(on_request)));
    http_server* const server = created.get();
    absl::StatusOr<std::shared_ptr<listener>> listening = listener::open(
        loop,
        where,
        [server](const std::shared_ptr<connection>& stream)
        {
            server->accept(stream);
        },
        [server](const std::string& message)
        {
            if (server->on_rejected_)
            {
                server->on_rejected_(0, "accept: " + message);
            }
        });
    if (!listening.ok())
    {
        return listening.status();
    }
    created->listener_ = *std::move(listening);
    return created;
}

http_server::~http_server()
{
    if (listener_)
    {
        listener_->close();
    }
    const std::vector<std::shared_ptr<caller_connection>> open(connections_.begin(),
                                                               connections_.end());
    for (const std::shared_ptr<caller_connection>& each : open)
    {
        each->close();
    }
}

void http_server::close_idle()
{
    const std::vector<std::shared_ptr<caller_connection>> open(connections_.begin(),
                                                               connections_.end());
    for (const std::shared_ptr<caller_connection>& each : open)
    {
        each->close_if_idle();
    }
}

void http_server::accept(const std::shared_ptr<connection>& stream)
{
    auto caller = std::make_shared<caller_connection>(*this, stream);
    connections_.insert(caller);
    caller->start();
    if (is_crowded())
    {
        evict_connections();
    }
    update_accepting();
}

bool http_server::is_crowded()
{
    if (connections_.size() + closing_.size() < max_connections_)
    {
        return false;
    }
    remove_expired_closing();
    return connections_.size() + closing_.size() >= max_connections_;
}

void http_server::update_accepting()
{
    listener_->set_paused(is_crowded());
}

void http_server::evict_connections()
{
    using waiting_caller = std::pair<steady_time, std::shared_ptr<caller_connection>>;
    std::vector<waiting_caller> waiting;
    for (const std::shared_ptr<caller_connection>& each : connections_)
    {
        if (const std::optional<steady_time> since = each->waiting_since())
        {
            waiting.emplace_back(*since, each);
        }
    }
    // several at once, since finding them takes a pass over all connections
    constexpr std::size_t evicted_fraction = 16;
    const std::size_t most = max_connections_ / evicted_fraction + 1;
    const auto end =
        waiting.begin() + static_cast<std::ptrdiff_t>(std::min(most, waiting.size()));
    std::partial_sort(waiting.begin(),
                      end,
                      waiting.end(),
                      [](const waiting_caller& left, const waiting_caller& right)
                      {
                          return left.first < right.first;
                      });
    std::for_each(waiting.begin(),
                  end,
                  [this](const waiting_caller& each)
                  {
                      ++evicted_;
                      each.second->close();
                  });
}

void http_server::list_held_memory(std::vector<held_memory>& to) const
{
    for (const std::shared_ptr<caller_connection>& each : connections_)
    {
        if (const std::optional<memory_holder> holder = each->held_memory())
        {
            to.push_back({*holder, each, nullptr});
        }
    }
    for (const std::weak_ptr<connection>& each : closing_)
    {
        const std::shared_ptr<connection> stream = each.lock();
        if (stream && stream->is_open() && stream->unsent() > 0)
        {
            memory_holder holder;
            holder.use = memory_use::unread_output;
            holder.bytes = stream->charged();
            holder.last_progress = stream->slow_since();
            to.push_back({holder, nullptr, stream});
        }
    }
}

std::size_t http_server::open_exchanges() const
{
    std::size_t count = 0;
    for (const std::shared_ptr<caller_connection>& each : connections_)
    {
        count += each->has_exchange() ? 1 : 0;
    }
    return count;
}

std::size_t http_server::connections() const
{
    const auto with_output =
        std::count_if(closing_.begin(),
                      closing_.end(),
                      [](const std::weak_ptr<connection>& each)
                      {
                          const auto stream = each.lock();
                          return stream && stream->is_open() && stream->unsent() > 0;
                      });
    return connections_.size() + static_cast<std::size_t>(with_output);
}

void http_server::remove_expired_closing()
{
    closing_.erase(std::remove_if(closing_.begin(),
                                  closing_.end(),
                                  [](const std::weak_ptr<connection>& each)
                                  {
                                      return each.expired();
                                  }),
                   closing_.end());
}

void http_server::add_closing(const std::shared_ptr<connection>& stream)
{
    remove_expired_closing();
    closing_.push_back(stream);
}

void http_server::remove(const std::shared_ptr<caller_connection>& ended)
{
    connections_.erase(ended);
    update_accepting();
}

} // namespace medlar
