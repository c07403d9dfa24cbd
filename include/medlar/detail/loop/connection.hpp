#ifndef MEDLAR_DETAIL_LOOP_CONNECTION_HPP
#define MEDLAR_DETAIL_LOOP_CONNECTION_HPP

#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/dispatch/reader_pace.hpp>
#include <medlar/detail/loop/event_loop.hpp>
#include <medlar/detail/loop/socket_io.hpp>

#include <Poco/Net/StreamSocket.h>
#include <absl/strings/string_view.h>

#include <cstdint>
#include <memory>
#include <string>

namespace medlar
{

/// @brief Reason for the end of a connection.
enum class connection_end
{
    closed,         ///< the peer closed its sending side after its last byte
    reset,          ///< the peer reset the connection, or TCP has given it up; also
                    ///< right after it was accepted
    connect_failed, ///< the connection was never established; no byte was delivered
    refused, ///< like connect_failed: the peer's host runs, but nothing listens there
};

/// @brief Returns the name of a reason in logs, such as "reset".
absl::string_view to_string(connection_end reason);

/// @brief Receives the events of one connection.
class connection_handler
{
  public:
    virtual ~connection_handler() = default;

    /// @brief Called when an outgoing connection is established.
    virtual void on_connected()
    {
    }

    /// @brief Called after bytes were appended to the input buffer.
    virtual void on_input() = 0;

    /// @brief Called when a blocked output buffer has been written completely.
    virtual void on_drained()
    {
    }

    /// @brief Called when the connection has ended; no other event follows.
    virtual void on_end(connection_end reason) = 0;
};

/// @brief A non-blocking TCP connection on an event loop, with input and output buffers.
class connection : public socket_handler, public std::enable_shared_from_this<connection>
{
  public:
    /// @brief Wraps a socket that a listener accepted.
    static std::shared_ptr<connection>
    from_accepted(event_loop& loop, const Poco::Net::StreamSocket& socket);

    /// @brief Starts connecting to @p where.
    /// @param connect_timeout time after which the attempt ends with connect_failed
    static std::shared_ptr<connection>
    connect(event_loop& loop, const endpoint& where, millis connect_timeout);

    ~connection() override;

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// @brief Sets the receiver of events; with nullptr, events are dropped.
    void set_handler(connection_handler* handler)
    {
        handler_ = handler;
    }

    /// @brief Returns the received bytes that were not consumed yet.
    absl::string_view input() const
    {
        return absl::string_view(input_).substr(consumed_);
    }

    /// @brief Removes the first @p size bytes of the input buffer.
    void consume(std::size_t size);

    /// @brief Appends bytes to the output buffer and writes as much as the socket
    /// accepts.
    void send(absl::string_view bytes);

    /// @brief Sends @p head, and then @p body without copying it.
    /// @param body may be null
    void send(std::string head, std::shared_ptr<const std::string> body);

    /// @brief Returns the number of output bytes that wait to be sent.
    std::size_t unsent() const
    {
        return output_.size() - sent_ + unsent_body();
    }

    /// @brief Returns the bytes of memory that the connection is charged for.
    std::size_t charged() const
    {
        return charge_.bytes();
    }

    /// @brief Returns since when the peer has taken the output that waits for it slower
    /// than the memory budget allows.
    steady_time slow_since();

    /// @brief Returns whether any byte was written to the socket.
    bool has_sent() const
    {
        return has_sent_;
    }

    /// @brief Stops or resumes reading.
    void set_input_paused(bool paused);

    /// @brief Closes after the output buffer was written. Input is discarded until the
    /// peer closes or a timeout expires, since closing with unread input would reset the
    /// connection and the peer might lose the output.
    void close_after_output();

    /// @brief Closes at once; the peer sees a reset if input was unread.
    void close();

    /// @brief Closes at once, so that the peer sees a reset and no regular end.
    void reset();

    bool is_open() const
    {
        return state_ != state::ended;
    }

    bool is_established() const
    {
        return state_ == state::open;
    }

    /// @brief Returns whether the socket has received input, or its end, that the handler
    /// has not been told of yet.
    bool has_unread_event() const;

    /// @brief Returns whether the connection is open with nothing left to be read, behind
    /// which its end may wait.
    bool is_alive();

    void on_ready(readiness ready) override;

  private:
    enum class state
    {
        connecting,
        open,
        lingering, ///< the sending side is shut down; input is discarded
        ended,
    };

    connection(event_loop& loop, const Poco::Net::StreamSocket& socket, state initial);

    std::size_t unsent_body() const
    {
        return body_ ? body_->size() - sent_body_ : 0;
    }

    /// the bytes that the peer's kernel has acknowledged
    std::uint64_t taken_by_peer();
    /// writes a part of the output, or of the body after it
    io_result write_some();
    /// takes the rest of the body into the output buffer, since more follows it
    void buffer_body();
    void update_charge();
    void finish_connect();
    io_status read_input();
    /// reads what is left after a failed write, and ends the connection
    void end_after_input();
    void flush();
    void update_watch();
    void end(connection_end reason);

    event_loop& loop_;
    Poco::Net::StreamSocket socket_;
    connection_handler* handler_ = nullptr;
    state state_;
    std::string input_;
    std::size_t consumed_ = 0;
    std::string output_;
    std::size_t sent_ = 0;
    /// sent after the output buffer
    std::shared_ptr<const std::string> body_;
    std::size_t sent_body_ = 0;
    /// bytes that the socket has taken
    std::uint64_t written_ = 0;
    reader_pace pace_;
    memory_charge charge_;
    bool has_sent_ = false;
    /// a failed write or peek takes the error from the socket, which then reports a
    /// regular end
    bool has_failed_ = false;
    bool closing_ = false;
    bool watching_read_ = true;
    bool watching_write_ = false;
    timer_id timer_{0};
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOOP_CONNECTION_HPP
