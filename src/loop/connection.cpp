#include <medlar/detail/loop/connection.hpp>
#include <medlar/detail/loop/tcp_silence_rule.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>

namespace medlar
{

namespace
{

// limit for one read event, so that a busy peer does not delay other connections
constexpr int max_read_bytes = 16384;

// time for the peer to read the remaining output and close
constexpr millis linger_timeout{1000};

// consumed bytes above which the remaining input is moved to the front of the buffer
constexpr std::size_t compact_threshold = 65536;

// larger buffers are released when they become empty
constexpr std::size_t max_idle_capacity = 4096;

// limit for one read event once the memory of the process is used up
constexpr int max_read_bytes_if_full = 4096;

// memory of a connection without its buffers, with its entries in the event loop
constexpr std::size_t object_bytes = 2048;

constexpr int whole_seconds(millis span)
{
    constexpr std::int64_t ms_per_s = 1000;
    return static_cast<int>(span.count() / ms_per_s);
}

void set_socket_options(Poco::Net::StreamSocket& socket)
{
    socket.setBlocking(false);
    socket.setNoDelay(true);
    socket.setKeepAlive(true);
    constexpr tcp_silence_rule rule;
    socket.setOption(
        IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(rule.user_timeout.count()));
    socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, whole_seconds(rule.first_probe));
    socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, whole_seconds(rule.probe_interval));
    socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, rule.probes);
}

void clear_and_shrink(std::string& buffer)
{
    buffer.clear();
    if (buffer.capacity() > max_idle_capacity)
    {
        std::string().swap(buffer);
    }
}

} // namespace

absl::string_view to_string(connection_end reason)
{
    switch (reason)
    {
        case connection_end::closed:
            return "closed";
        case connection_end::reset:
            return "reset";
        case connection_end::connect_failed:
            return "connect_failed";
        case connection_end::refused:
            return "refused";
    }
    return "unknown";
}

connection::connection(event_loop& loop,
                       const Poco::Net::StreamSocket& socket,
                       state initial)
    : loop_(loop), socket_(socket), state_(initial), charge_(loop.memory())
{
    update_charge();
}

std::shared_ptr<connection>
connection::from_accepted(event_loop& loop, const Poco::Net::StreamSocket& socket)
{
    std::shared_ptr<connection> created(new connection(loop, socket, state::open));
    try
    {
        set_socket_options(created->socket_);
        loop.watch(created->socket_, created, true, false);
    }
    catch (const Poco::Exception&)
    {
        // the peer reset the connection since it was accepted; the caller checks
        // is_open()
        created->state_ = state::ended;
    }
    return created;
}

std::shared_ptr<connection>
connection::connect(event_loop& loop, const endpoint& where, millis connect_timeout)
{
    std::shared_ptr<connection> created(
        new connection(loop, Poco::Net::StreamSocket(), state::connecting));
    connection* raw = created.get();
    try
    {
        raw->socket_.connectNB(Poco::Net::SocketAddress(where.address, where.port));
        set_socket_options(raw->socket_);
        raw->watching_write_ = true;
        loop.watch(raw->socket_, created, true, true);
    }
    catch (const Poco::Exception&)
    {
        connect_timeout = millis(0);
    }
    const std::weak_ptr<connection> weak = created;
    raw->timer_ = loop.after(connect_timeout,
                             [weak]
                             {
                                 const std::shared_ptr<connection> self = weak.lock();
                                 if (self && self->state_ == state::connecting)
                                 {
                                     self->end(connection_end::connect_failed);
                                 }
                             });
    return created;
}

connection::~connection()
{
    loop_.cancel(timer_);
}

void connection::update_charge()
{
    charge_.set(object_bytes + input_.capacity() + output_.capacity());
}

void connection::consume(std::size_t size)
{
    consumed_ += size;
    const std::size_t remaining = input_.size() - consumed_;
    if (remaining == 0)
    {
        clear_and_shrink(input_);
        consumed_ = 0;
    }
    else if (remaining <= max_idle_capacity && input_.capacity() > max_idle_capacity)
    {
        // a body in small chunks leaves a part of one behind each read
        input_ = std::string(input_, consumed_);
        consumed_ = 0;
    }
    else if (consumed_ > compact_threshold)
    {
        input_.erase(0, consumed_);
        consumed_ = 0;
    }
    update_charge();
}

void connection::send(absl::string_view bytes)
{
    if (state_ == state::ended || state_ == state::lingering || closing_)
    {
        return;
    }
    buffer_body();
    output_.append(bytes.data(), bytes.size());
    update_charge();
    if (state_ == state::open && !watching_write_)
    {
        flush();
    }
}

void connection::send(std::string head, std::shared_ptr<const std::string> body)
{
    if (state_ == state::ended || state_ == state::lingering || closing_)
    {
        return;
    }
    buffer_body();
    if (output_.empty())
    {
        output_ = std::move(head);
    }
    else
    {
        output_ += head;
    }
    body_ = std::move(body);
    sent_body_ = 0;
    update_charge();
    if (state_ == state::open && !watching_write_)
    {
        flush();
    }
}

void connection::buffer_body()
{
    if (body_)
    {
        output_.append(*body_, sent_body_);
        body_.reset();
    }
}

io_result connection::write_some()
{
    io_result result{io_status::done, 0};
    if (sent_ < output_.size())
    {
        result = send_some(
            socket_, output_.data() + sent_, static_cast<int>(output_.size() - sent_));
        sent_ += result.bytes;
    }
    else
    {
        result = send_some(
            socket_, body_->data() + sent_body_, static_cast<int>(unsent_body()));
        sent_body_ += result.bytes;
    }
    if (result.bytes > 0)
    {
        has_sent_ = true;
        written_ += result.bytes;
    }
    return result;
}

void connection::flush()
{
    const std::shared_ptr<connection> self = shared_from_this();
    io_result result{io_status::done, 0};
    while (unsent() > 0 && result.status == io_status::done)
    {
        result = write_some();
    }
    if (result.status == io_status::failed)
    {
        has_failed_ = true;
        loop_.after(millis(0),
                    [self]
                    {
                        self->end_after_input();
                    });
        clear_and_shrink(output_);
        sent_ = 0;
        body_.reset();
        update_charge();
        return;
    }
    const bool drained = unsent() == 0;
    if (drained)
    {
        clear_and_shrink(output_);
        sent_ = 0;
        body_.reset();
        update_charge();
    }
    const bool was_blocked = watching_write_;
    if (watching_write_ != !drained)
    {
        watching_write_ = !drained;
        update_watch();
        drained ? pace_.end_wait(loop_.now()) : pace_.begin_wait(loop_.now());
    }
    if (drained && closing_)
    {
        close_after_output();
    }
    else if (drained && was_blocked && handler_ != nullptr)
    {
        handler_->on_drained();
    }
}

std::uint64_t connection::taken_by_peer()
{
    // The socket takes more only once a third of its buffer is free, which may be
    // megabytes; what it took says little about the pace of a slow peer.
    int unacknowledged = 0;
    const bool is_known =
        ::ioctl(socket_.impl()->sockfd(), SIOCOUTQ, &unacknowledged) == 0;
    const std::uint64_t pending =
        is_known ? static_cast<std::uint64_t>(std::max(0, unacknowledged)) : 0;
    return written_ - std::min(written_, pending);
}

steady_time connection::slow_since()
{
    return pace_.slow_since(
        taken_by_peer(), loop_.memory()->least_read_rate(), loop_.now());
}

void connection::update_watch()
{
    if (state_ != state::ended)
    {
        loop_.change(socket_, watching_read_, watching_write_);
    }
}

void connection::set_input_paused(bool paused)
{
    if (watching_read_ == paused && state_ != state::ended)
    {
        watching_read_ = !paused;
        update_watch();
    }
}

void connection::close_after_output()
{
    if (state_ == state::connecting)
    {
        close();
        return;
    }
    if (state_ != state::open)
    {
        return;
    }
    handler_ = nullptr;
    closing_ = true;
    if (unsent() > 0)
    {
        return;
    }
    state_ = state::lingering;
    try
    {
        socket_.shutdownSend();
    }
    catch (const Poco::Exception&)
    {
        close();
        return;
    }
    consumed_ = input_.size();
    consume(0);
    set_input_paused(false);
    const std::shared_ptr<connection> self = shared_from_this();
    timer_ = loop_.after(linger_timeout,
                         [self]
                         {
                             self->close();
                         });
}

void connection::close()
{
    if (state_ == state::ended)
    {
        return;
    }
    const std::shared_ptr<connection> self = shared_from_this();
    state_ = state::ended;
    handler_ = nullptr;
    body_.reset();
    loop_.cancel(timer_);
    loop_.unwatch(socket_);
    try
    {
        socket_.close();
    }
    catch (const Poco::Exception&)
    {
        // the descriptor is released in any case
    }
}

void connection::reset()
{
    if (state_ == state::ended)
    {
        return;
    }
    try
    {
        socket_.setLinger(true, 0);
    }
    catch (const Poco::Exception&)
    {
        // the peer has reset the connection already
    }
    close();
}

void connection::end(connection_end reason)
{
    if (state_ == state::ended)
    {
        return;
    }
    const std::shared_ptr<connection> self = shared_from_this();
    connection_handler* const handler = handler_;
    close();
    if (handler != nullptr)
    {
        handler->on_end(reason);
    }
}

void connection::finish_connect()
{
    int error = 0;
    try
    {
        socket_.getOption(SOL_SOCKET, SO_ERROR, error);
    }
    catch (const Poco::Exception&)
    {
        error = EIO;
    }
    if (error != 0)
    {
        end(error == ECONNREFUSED ? connection_end::refused
            : error == ECONNRESET ? connection_end::reset
                                  : connection_end::connect_failed);
        return;
    }
    loop_.cancel(timer_);
    state_ = state::open;
    if (handler_ != nullptr)
    {
        handler_->on_connected();
    }
    if (state_ == state::open)
    {
        flush();
    }
}

bool connection::has_unread_event() const
{
    try
    {
        return socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    }
    catch (const Poco::Exception&)
    {
        return true;
    }
}

bool connection::is_alive()
{
    if (state_ != state::open)
    {
        return false;
    }
    // the end may wait behind what is not read yet, here or at the peer
    char next = 0;
    const ssize_t peeked =
        ::recv(socket_.impl()->sockfd(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    if (peeked >= 0)
    {
        return false;
    }
    const bool is_open = errno == EAGAIN || errno == EWOULDBLOCK;
    // an error is reported once, and reading finds a regular end after that
    has_failed_ = has_failed_ || (!is_open && errno != EINTR);
    return is_open;
}

io_status connection::read_input()
{
    std::array<char, max_read_bytes> buffer;
    const int most = loop_.memory()->is_full() ? max_read_bytes_if_full : max_read_bytes;
    const io_result received = receive_some(socket_, buffer.data(), most);
    if (received.status == io_status::done && state_ != state::lingering)
    {
        input_.append(buffer.data(), received.bytes);
        update_charge();
        if (handler_ != nullptr)
        {
            handler_->on_input();
        }
    }
    return received.status;
}

void connection::end_after_input()
{
    // bytes that the peer sent before the connection failed may still be readable
    while (state_ != state::ended && read_input() == io_status::done)
    {
    }
    end(connection_end::reset);
}

void connection::on_ready(readiness ready)
{
    if (state_ == state::connecting)
    {
        if (ready.writable || ready.failed)
        {
            finish_connect();
        }
        return;
    }
    if (ready.writable && watching_write_)
    {
        flush();
    }
    // poll() reports a paused connection only if the peer has hung up or an error
    // occurred
    if (state_ != state::ended && (ready.readable || ready.failed))
    {
        const io_status status = read_input();
        if (status == io_status::closed && !has_failed_)
        {
            end(connection_end::closed);
        }
        else if (status == io_status::closed || status == io_status::failed)
        {
            end(connection_end::reset);
        }
    }
}

} // namespace medlar
