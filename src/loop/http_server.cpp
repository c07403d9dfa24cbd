#include <medlar/detail/loop/caller_connection.hpp>
#include <medlar/detail/loop/http_server.hpp>

#include <algorithm>
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
            auto caller = std::make_shared<caller_connection>(*server, stream);
            server->connections_.insert(caller);
            caller->start();
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

void http_server::add_closing(const std::shared_ptr<connection>& stream)
{
    closing_.erase(std::remove_if(closing_.begin(),
                                  closing_.end(),
                                  [](const std::weak_ptr<connection>& each)
                                  {
                                      return each.expired();
                                  }),
                   closing_.end());
    closing_.push_back(stream);
}

void http_server::remove(const std::shared_ptr<caller_connection>& ended)
{
    connections_.erase(ended);
}

} // namespace medlar
