#include <medlar/detail/http/status.hpp>
#include <medlar/detail/link/link_limits.hpp>
#include <medlar/detail/link/server_connection.hpp>

#include <string>

namespace medlar
{

namespace
{

constexpr int status_overloaded = 503;

} // namespace

server_connection::server_connection(const Poco::Net::StreamSocket& socket,
                                     handler_pool& handlers)
    : handlers_(handlers),
      channel_(socket, channel_side::server, *this, mailbox_->wake(), traffic_),
      thread_(
          [this]
          {
              serve();
          })
{
}

server_connection::~server_connection()
{
    channel_.stop();
    thread_.join();
}

bool server_connection::ended() const
{
    return ended_.load();
}

void server_connection::serve()
{
    channel_.run();
    for (const auto& [stream_id, stream] : streams_)
    {
        stream->cancel();
    }
    streams_.clear();
    ended_.store(true);
}

void server_connection::on_wake()
{
    for (const std::int32_t stream_id : mailbox_->take())
    {
        server_stream* const stream = find(stream_id);
        int status = 0;
        if (stream == nullptr)
        {
            continue;
        }
        if (stream->try_start(status))
        {
            channel_.submit_answer(stream_id, status);
        }
        else
        {
            channel_.resume(stream_id);
        }
    }
}

bool server_connection::has_streams() const
{
    return !streams_.empty();
}

void server_connection::on_settings()
{
}

void server_connection::on_header(std::int32_t stream,
                                  absl::string_view name,
                                  absl::string_view value)
{
    std::shared_ptr<server_stream>& entry = streams_[stream];
    if (entry == nullptr)
    {
        entry = std::make_shared<server_stream>(stream, mailbox_);
    }
    if (name == ":path")
    {
        entry->request.path = std::string(value);
    }
}

void server_connection::on_data(std::int32_t stream, absl::string_view part)
{
    channel_.consume(stream, part.size());
    server_stream* const entry = find(stream);
    if (entry == nullptr || entry->refused)
    {
        return;
    }
    if (entry->request.body.size() + part.size() > link_limits::max_body_bytes)
    {
        refuse(stream, status_too_large);
        return;
    }
    entry->request.body.append(part.data(), part.size());
}

void server_connection::on_end(std::int32_t stream)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end() || found->second->refused)
    {
        return;
    }
    if (!handlers_.start(found->second))
    {
        refuse(stream, status_overloaded);
    }
}

void server_connection::on_closed(std::int32_t stream, std::uint32_t /*error*/)
{
    const auto found = streams_.find(stream);
    if (found != streams_.end())
    {
        found->second->cancel();
        streams_.erase(found);
    }
}

std::size_t server_connection::read_body(std::int32_t stream,
                                         std::uint8_t* out,
                                         std::size_t capacity,
                                         bool& ended)
{
    server_stream* const entry = find(stream);
    ended = entry == nullptr;
    return entry == nullptr ? 0 : entry->read(out, capacity, ended);
}

server_stream* server_connection::find(std::int32_t stream)
{
    const auto found = streams_.find(stream);
    return found == streams_.end() ? nullptr : found->second.get();
}

void server_connection::refuse(std::int32_t stream, int status)
{
    server_stream* const entry = find(stream);
    entry->refused = true;
    entry->request.body.clear();
    entry->finish(status);
}

} // namespace medlar
