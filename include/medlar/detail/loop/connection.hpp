#ifndef MEDLAR_DETAIL_LOOP_CONNECTION_HPP
#define MEDLAR_DETAIL_LOOP_CONNECTION_HPP

#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/loop/event_loop.hpp>

#include <Poco/Net/StreamSocket.h>
#include <absl/strings/string_view.h>

#include <memory>
#include <string>

namespace medlar
{

/// @brief how a connection ended
enum class connection_end
{
    closed,         ///< the peer closed its side in an orderly way
    reset,          ///< the peer reset the connection, or the path to it failed
    connect_failed, ///< it was never established; nothing was delivered
};

/// @brief receives what happens on one connection
class connection_events
{
  public:
    virtual ~connection_events() = default;

    /// @brief A connection that this side opened is established.
    virtual void on_connected()
    {
    }

    /// @brief More bytes are in the input.
    virtual void on_input() = 0;

    /// @brief All output was handed to the network after a time in which it was not.
    virtual void on_drained()
    {
    }

    /// @brief The connection ended; no other event follows.
    virtual void on_end(connection_end reason) = 0;
};

/// @brief A TCP connection on an event loop, with an input buffer and an output buffer.
class connection : public socket_handler, public std::enable_shared_from_this<connection>
{
  public:
    /// @brief a connection that a listener accepted
    static std::shared_ptr<connection> accepted(event_loop& loop,
                                                const Poco::Net::StreamSocket& socket);

    /// @brief a connection that is being opened to @p where
    /// @param connect_timeout ends it with connect_failed if it is not established then
    static std::shared_ptr<connection>
    opened(event_loop& loop, const endpoint& where, millis connect_timeout);

    ~connection() override;

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// @brief Sets who receives events; nullptr: nobody.
    void set_events(connection_events* events)
    {
        events_ = events;
    }

    /// @brief bytes that came and were not consumed
    absl::string_view input() const
    {
        return absl::string_view(input_).substr(consumed_);
    }

    /// @brief Drops the first @p size bytes of the input.
    void consume(std::size_t size);

    /// @brief Queues bytes and sends what the network takes at once.
    void send(absl::string_view bytes);

    /// @brief bytes that the network has not taken yet
    std::size_t unsent() const
    {
        return output_.size() - sent_;
    }

    /// @brief whether any byte was handed to the network
    bool has_sent() const
    {
        return has_sent_;
    }

    /// @brief Stops or resumes reading.
    void set_input_paused(bool paused);

    /// @brief Closes after the output was sent; input is discarded until the peer closes,
    /// so that the peer can read what was sent.
    void close_after_output();

    /// @brief Closes at once. Unread input makes it a reset.
    void close();

    bool is_open() const
    {
        return state_ != state::ended;
    }

    bool is_established() const
    {
        return state_ == state::open;
    }

    void on_ready(readiness what) override;

  private:
    enum class state
    {
        connecting,
        open,
        lingering, ///< the output was closed; input is discarded
        ended,
    };

    connection(event_loop& loop, const Poco::Net::StreamSocket& socket, state initial);

    void finish_connect();
    void read_input();
    void flush();
    void update_watch();
    void end(connection_end reason);

    event_loop& loop_;
    Poco::Net::StreamSocket socket_;
    connection_events* events_ = nullptr;
    state state_;
    std::string input_;
    std::size_t consumed_ = 0;
    std::string output_;
    std::size_t sent_ = 0;
    bool has_sent_ = false;
    bool closing_ = false;
    bool watching_read_ = true;
    bool watching_write_ = false;
    timer_id timer_{0};
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOOP_CONNECTION_HPP
