#include <medlar/detail/link/link_limits.hpp>
#include <medlar/detail/link/peer_connection.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace medlar
{

namespace
{

constexpr Poco::Timespan::TimeDiff us_per_ms = 1000;

absl::Status unreachable(const endpoint& peer, absl::string_view reason)
{
    return make_error(
        absl::StatusCode::kUnavailable,
        error_number::link_unreachable,
        absl::StrCat("no call was sent to ", to_string(peer), ": ", reason));
}

absl::Status broken(const endpoint& peer)
{
    return make_error(absl::StatusCode::kUnavailable,
                      error_number::link_broken,
                      absl::StrCat("the link to ", to_string(peer), " broke"));
}

absl::Status malformed(const endpoint& peer)
{
    return make_error(
        absl::StatusCode::kInternal,
        error_number::link_malformed,
        absl::StrCat(to_string(peer), " did not answer by the protocol of links"));
}

absl::Status closed_by_peer(const endpoint& peer, std::uint32_t error)
{
    switch (error)
    {
        case NGHTTP2_REFUSED_STREAM:
            return unreachable(peer, "the peer refused it unread");
        case NGHTTP2_PROTOCOL_ERROR:
            return malformed(peer);
        default:
            return broken(peer);
    }
}

} // namespace

peer_connection::peer_connection(endpoint peer,
                                 const std::shared_ptr<client_stream>& first,
                                 std::atomic<std::int64_t>& traffic)
    : peer_(std::move(peer)), traffic_(traffic), posted_{first}
{
    thread_ = std::thread(
        [this]
        {
            serve();
        });
}

peer_connection::~peer_connection()
{
    stopping_.store(true);
    wake_.wake();
    thread_.join();
}

bool peer_connection::start(const std::shared_ptr<client_stream>& stream)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (ended_)
        {
            return false;
        }
        posted_.push_back(stream);
    }
    wake_.wake();
    return true;
}

bool peer_connection::ended() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return ended_;
}

void peer_connection::notify(const std::shared_ptr<client_stream>& stream)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        changed_.push_back(stream);
    }
    wake_.wake();
}

void peer_connection::serve()
{
    do
    {
        enqueue_posted();
        const std::optional<Poco::Net::StreamSocket> socket = open();
        if (socket.has_value())
        {
            run_channel(*socket);
        }
    } while (!end_if_unused());
    fail_waiting("this process closes its links");
}

std::optional<Poco::Net::StreamSocket> peer_connection::open()
{
    try
    {
        Poco::Net::StreamSocket socket;
        const Poco::Timespan limit(link_limits::connect_timeout.count() * us_per_ms);
        socket.connect(Poco::Net::SocketAddress(peer_.address, peer_.port), limit);
        return socket;
    }
    catch (const Poco::Exception& failed)
    {
        enqueue_posted();
        fail_waiting(failed.displayText());
        return std::nullopt;
    }
}

void peer_connection::run_channel(const Poco::Net::StreamSocket& socket)
{
    stream_channel channel(socket, channel_side::client, *this, wake_, traffic_);
    channel_ = &channel;
    settings_received_ = false;
    const channel_end end = channel.run();
    channel_ = nullptr;
    fail_open(end);
    if (!settings_received_)
    {
        enqueue_posted();
        fail_waiting("it closed the connection or stayed silent");
    }
}

bool peer_connection::end_if_unused()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    ended_ = stopping_.load() || (posted_.empty() && waiting_.empty());
    if (ended_)
    {
        waiting_.insert(waiting_.end(), posted_.begin(), posted_.end());
        posted_.clear();
    }
    return ended_;
}

void peer_connection::enqueue_posted()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    waiting_.insert(waiting_.end(), posted_.begin(), posted_.end());
    posted_.clear();
}

void peer_connection::on_wake()
{
    if (stopping_.load())
    {
        channel_->stop();
        return;
    }
    std::vector<std::shared_ptr<client_stream>> changed;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        changed = std::exchange(changed_, {});
    }
    enqueue_posted();
    submit_waiting();
    for (const std::shared_ptr<client_stream>& stream : changed)
    {
        update_stream(stream);
    }
}

void peer_connection::submit_waiting()
{
    const auto abandoned_calls = std::remove_if(waiting_.begin(),
                                                waiting_.end(),
                                                [](const auto& stream)
                                                {
                                                    return stream->abandoned();
                                                });
    waiting_.erase(abandoned_calls, waiting_.end());
    if (!settings_received_)
    {
        return;
    }
    for (const std::shared_ptr<client_stream>& stream : std::exchange(waiting_, {}))
    {
        submit(stream);
    }
}

void peer_connection::submit(const std::shared_ptr<client_stream>& stream)
{
    if (!stream->begin())
    {
        return;
    }
    const std::int32_t stream_id =
        channel_->submit_call(to_string(peer_), stream->path());
    if (stream_id < 0)
    {
        stream->fail(unreachable(peer_, "the connection takes no more calls"));
        return;
    }
    open_streams_[stream_id] = stream;
    stream_ids_[stream.get()] = stream_id;
}

void peer_connection::update_stream(const std::shared_ptr<client_stream>& stream)
{
    const auto found = stream_ids_.find(stream.get());
    if (found == stream_ids_.end())
    {
        return;
    }
    if (stream->abandoned())
    {
        channel_->reset(found->second, NGHTTP2_CANCEL);
        return;
    }
    channel_->consume(found->second, stream->take_consumed());
}

void peer_connection::fail_waiting(const std::string& reason)
{
    for (const std::shared_ptr<client_stream>& stream : std::exchange(waiting_, {}))
    {
        stream->fail(unreachable(peer_, reason));
    }
}

void peer_connection::fail_open(channel_end end)
{
    stream_ids_.clear();
    for (const auto& [stream_id, stream] : std::exchange(open_streams_, {}))
    {
        stream->fail(end == channel_end::malformed ? malformed(peer_) : broken(peer_));
    }
}

bool peer_connection::has_streams() const
{
    return !open_streams_.empty() || !waiting_.empty();
}

void peer_connection::on_settings()
{
    settings_received_ = true;
}

void peer_connection::on_header(std::int32_t stream,
                                absl::string_view name,
                                absl::string_view value)
{
    client_stream* const found = find(stream);
    int status = 0;
    if (found != nullptr && name == ":status" && absl::SimpleAtoi(value, &status))
    {
        found->set_status(status);
    }
}

void peer_connection::on_data(std::int32_t stream, absl::string_view part)
{
    client_stream* const found = find(stream);
    if (found != nullptr)
    {
        found->add_part(part);
    }
}

void peer_connection::on_end(std::int32_t stream)
{
    client_stream* const found = find(stream);
    if (found != nullptr)
    {
        found->succeed();
    }
}

void peer_connection::on_closed(std::int32_t stream, std::uint32_t error)
{
    client_stream* const found = find(stream);
    if (found == nullptr)
    {
        return;
    }
    // no effect if the answer is complete
    found->fail(closed_by_peer(peer_, error));
    stream_ids_.erase(found);
    open_streams_.erase(stream);
}

std::size_t peer_connection::read_body(std::int32_t stream,
                                       std::uint8_t* out,
                                       std::size_t capacity,
                                       bool& ended)
{
    client_stream* const found = find(stream);
    ended = found == nullptr;
    return found == nullptr ? 0 : found->read(out, capacity, ended);
}

client_stream* peer_connection::find(std::int32_t stream)
{
    const auto found = open_streams_.find(stream);
    return found == open_streams_.end() ? nullptr : found->second.get();
}

} // namespace medlar
