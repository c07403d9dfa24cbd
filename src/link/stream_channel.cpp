#include <medlar/detail/link/link_limits.hpp>
#include <medlar/detail/link/stream_channel.hpp>
#include <medlar/detail/loop/socket_io.hpp>

#include <Poco/Exception.h>
#include <absl/strings/str_cat.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace medlar
{

namespace
{

constexpr std::size_t read_bytes = 64UL * 1024;
constexpr std::size_t send_batch_bytes = 64UL * 1024;

absl::string_view view_of(const std::uint8_t* data, std::size_t length)
{
    return {reinterpret_cast<const char*>(data), length};
}

nghttp2_nv header(absl::string_view name, absl::string_view value)
{
    // nghttp2 copies both, since no NO_COPY flag is set; it does not modify them
    auto* name_bytes =
        const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(name.data()));
    auto* value_bytes =
        const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(value.data()));
    return {name_bytes, value_bytes, name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

stream_channel* channel_of(void* self)
{
    return static_cast<stream_channel*>(self);
}

} // namespace

stream_channel::stream_channel(Poco::Net::StreamSocket socket,
                               channel_side side,
                               channel_listener& listener,
                               wake_pipe& wake,
                               std::atomic<std::int64_t>& traffic)
    : socket_(std::move(socket)),
      side_(side),
      listener_(listener),
      wake_(wake),
      traffic_(traffic),
      last_received_(time_.steady_now()),
      last_busy_(last_received_)
{
    socket_.setBlocking(false);
    socket_.setNoDelay(true);
    open_session();
    submit_settings();
}

stream_channel::~stream_channel()
{
    nghttp2_session_del(session_);
}

void stream_channel::open_session()
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, frame_received);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, header_received);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, data_received);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, stream_closed);
    nghttp2_option* option = nullptr;
    nghttp2_option_new(&option);
    nghttp2_option_set_no_auto_window_update(option, 1);
    if (side_ == channel_side::client)
    {
        nghttp2_session_client_new2(&session_, callbacks, this, option);
    }
    else
    {
        nghttp2_session_server_new2(&session_, callbacks, this, option);
    }
    nghttp2_option_del(option);
    nghttp2_session_callbacks_del(callbacks);
}

void stream_channel::submit_settings()
{
    const std::array<nghttp2_settings_entry, 2> settings{
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
          link_limits::max_streams_per_connection},
         {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, link_limits::stream_window_bytes}}};
    nghttp2_submit_settings(
        session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(
        session_, NGHTTP2_FLAG_NONE, 0, link_limits::connection_window_bytes);
}

channel_end stream_channel::run()
{
    channel_end end = channel_end::open;
    try
    {
        while (end == channel_end::open && !stopping_.load())
        {
            end = step();
        }
    }
    catch (const Poco::Exception&)
    {
        end = channel_end::broken;
    }
    return end == channel_end::open ? channel_end::idle : end;
}

void stream_channel::stop()
{
    stopping_.store(true);
    wake_.wake();
}

channel_end stream_channel::step()
{
    listener_.on_wake();
    channel_end end = send_pending();
    if (end != channel_end::open)
    {
        return end;
    }
    if (wait())
    {
        end = receive();
    }
    return end == channel_end::open ? check_liveness() : end;
}

channel_end stream_channel::send_pending()
{
    for (;;)
    {
        while (unsent_.size() < send_batch_bytes)
        {
            const std::uint8_t* data_to_send = nullptr;
            const ssize_t length = nghttp2_session_mem_send(session_, &data_to_send);
            if (length < 0)
            {
                return channel_end::malformed;
            }
            if (length == 0)
            {
                break;
            }
            unsent_.append(reinterpret_cast<const char*>(data_to_send), length);
        }
        if (unsent_.empty())
        {
            break;
        }
        const io_result sent =
            send_some(socket_, unsent_.data(), static_cast<int>(unsent_.size()));
        if (sent.status != io_status::done)
        {
            return sent.status == io_status::blocked ? channel_end::open
                                                     : channel_end::broken;
        }
        traffic_ += static_cast<std::int64_t>(sent.bytes);
        unsent_.erase(0, sent.bytes);
    }
    const bool finished = nghttp2_session_want_read(session_) == 0 &&
                          nghttp2_session_want_write(session_) == 0;
    return finished ? channel_end::broken : channel_end::open;
}

bool stream_channel::wait()
{
    const short events = static_cast<short>(unsent_.empty() ? POLLIN : POLLIN | POLLOUT);
    std::array<pollfd, 2> watched{
        {{socket_.impl()->sockfd(), events, 0}, {wake_.descriptor(), POLLIN, 0}}};
    poll(watched.data(), watched.size(), wait_ms());
    if ((watched[1].revents & POLLIN) != 0)
    {
        wake_.drain();
    }
    return (watched[0].revents & (POLLIN | POLLHUP | POLLERR)) != 0;
}

int stream_channel::wait_ms() const
{
    if (listener_.has_streams() || !unsent_.empty())
    {
        return static_cast<int>(link_limits::check_interval.count());
    }
    return static_cast<int>(link_limits::client_idle_timeout.count() / 4);
}

channel_end stream_channel::receive()
{
    std::array<std::uint8_t, read_bytes> buffer{};
    const int length =
        socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    if (length < 0)
    {
        return channel_end::open;
    }
    if (length == 0)
    {
        return channel_end::broken;
    }
    traffic_ += length;
    last_received_ = time_.steady_now();
    ping_sent_ = false;
    const ssize_t used = nghttp2_session_mem_recv(session_, buffer.data(), length);
    return used < 0 ? channel_end::malformed : channel_end::open;
}

channel_end stream_channel::check_liveness()
{
    const steady_time now = time_.steady_now();
    if (!listener_.has_streams() && unsent_.empty())
    {
        const millis limit = side_ == channel_side::client
                                 ? link_limits::client_idle_timeout
                                 : link_limits::server_idle_timeout;
        const steady_time used = std::max(last_busy_, last_received_);
        return now - used > limit ? channel_end::idle : channel_end::open;
    }
    if (now - last_busy_ > link_limits::ping_delay && !ping_sent_)
    {
        // the connection was idle, so the time without received bytes before this moment
        // does not count
        last_received_ = std::max(last_received_, now - link_limits::ping_delay);
    }
    last_busy_ = now;
    const millis silent = now - last_received_;
    if (silent > link_limits::silence_timeout)
    {
        return channel_end::broken;
    }
    if (silent > link_limits::ping_delay && !ping_sent_)
    {
        ping_sent_ = true;
        nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
    }
    return channel_end::open;
}

std::int32_t stream_channel::submit_call(const std::string& authority,
                                         const std::string& path)
{
    const std::array<nghttp2_nv, 4> headers{{header(":method", "POST"),
                                             header(":scheme", "http"),
                                             header(":authority", authority),
                                             header(":path", path)}};
    nghttp2_data_provider body{};
    body.read_callback = read_body_data;
    return nghttp2_submit_request(
        session_, nullptr, headers.data(), headers.size(), &body, nullptr);
}

void stream_channel::submit_answer(std::int32_t stream, int status)
{
    const std::string code = absl::StrCat(status);
    const std::array<nghttp2_nv, 1> headers{{header(":status", code)}};
    nghttp2_data_provider body{};
    body.read_callback = read_body_data;
    nghttp2_submit_response(session_, stream, headers.data(), headers.size(), &body);
}

void stream_channel::resume(std::int32_t stream)
{
    nghttp2_session_resume_data(session_, stream);
}

void stream_channel::reset(std::int32_t stream, std::uint32_t error)
{
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, error);
}

void stream_channel::consume(std::int32_t stream, std::size_t bytes)
{
    nghttp2_session_consume_stream(session_, stream, bytes);
}

int stream_channel::frame_received(nghttp2_session* /*session*/,
                                   const nghttp2_frame* frame,
                                   void* self)
{
    channel_listener& listener = channel_of(self)->listener_;
    const bool ends = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    switch (frame->hd.type)
    {
        case NGHTTP2_SETTINGS:
            if ((frame->hd.flags & NGHTTP2_FLAG_ACK) == 0)
            {
                listener.on_settings();
            }
            break;
        case NGHTTP2_HEADERS:
        case NGHTTP2_DATA:
            if (ends)
            {
                listener.on_end(frame->hd.stream_id);
            }
            break;
        default:
            break;
    }
    return 0;
}

int stream_channel::header_received(nghttp2_session* /*session*/,
                                    const nghttp2_frame* frame,
                                    const std::uint8_t* name,
                                    std::size_t name_length,
                                    const std::uint8_t* value,
                                    std::size_t value_length,
                                    std::uint8_t /*flags*/,
                                    void* self)
{
    channel_of(self)->listener_.on_header(
        frame->hd.stream_id, view_of(name, name_length), view_of(value, value_length));
    return 0;
}

int stream_channel::data_received(nghttp2_session* session,
                                  std::uint8_t /*flags*/,
                                  std::int32_t stream,
                                  const std::uint8_t* data,
                                  std::size_t length,
                                  void* self)
{
    // extends the connection's window at once, so that a stream that is not read does not
    // block the others; the stream's own window is extended by consume()
    nghttp2_session_consume_connection(session, length);
    channel_of(self)->listener_.on_data(stream, view_of(data, length));
    return 0;
}

int stream_channel::stream_closed(nghttp2_session* /*session*/,
                                  std::int32_t stream,
                                  std::uint32_t error,
                                  void* self)
{
    channel_of(self)->listener_.on_closed(stream, error);
    return 0;
}

ssize_t stream_channel::read_body_data(nghttp2_session* /*session*/,
                                       std::int32_t stream,
                                       std::uint8_t* out,
                                       std::size_t capacity,
                                       std::uint32_t* flags,
                                       nghttp2_data_source* /*source*/,
                                       void* self)
{
    bool ended = false;
    const std::size_t copied =
        channel_of(self)->listener_.read_body(stream, out, capacity, ended);
    if (ended)
    {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(copied);
    }
    return copied == 0 ? static_cast<ssize_t>(NGHTTP2_ERR_DEFERRED)
                       : static_cast<ssize_t>(copied);
}

} // namespace medlar
