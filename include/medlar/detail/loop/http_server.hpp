#ifndef MEDLAR_DETAIL_LOOP_HTTP_SERVER_HPP
#define MEDLAR_DETAIL_LOOP_HTTP_SERVER_HPP

#include <medlar/detail/http/body_decoder.hpp>
#include <medlar/detail/http/head.hpp>
#include <medlar/detail/http/head_parser.hpp>
#include <medlar/detail/loop/listener.hpp>
#include <medlar/detail/loop/server_limits.hpp>

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace medlar
{

class caller_connection;

/// @brief A request of a caller and its answer.
class caller_exchange
{
  public:
    /// @brief Returns a request that no caller has sent and that nobody can be answered.
    static std::shared_ptr<caller_exchange>
    describe(request_head head, std::string body, steady_time arrived);

    const request_head& head() const
    {
        return head_;
    }

    const std::string& body() const
    {
        return body_;
    }

    /// @brief Returns the body of @p exchange, which lives as long as the result.
    static std::shared_ptr<const std::string>
    shared_body(const std::shared_ptr<caller_exchange>& exchange)
    {
        return {exchange, &exchange->body_};
    }

    /// @brief Returns the time at which the last byte of the request was read.
    steady_time arrived() const
    {
        return arrived_;
    }

    /// @brief Sends a complete answer.
    /// @param headers headers other than those of the framing, which are added
    void answer(int status, const header_list& headers, absl::string_view body);

    /// @brief Sends the head of an answer whose body is sent with write().
    /// @param phrase the reason phrase; if empty, the standard one of @p status
    /// @param headers headers other than those of the framing, which are added
    /// @param framing how the body is delimited: by its length or by chunks
    void begin(int status,
               absl::string_view phrase,
               const header_list& headers,
               body_framing framing);

    /// @brief Sends a part of the body.
    void write(absl::string_view data);

    /// @brief Ends the answer; the connection may then be reused.
    void finish();

    /// @brief Closes the connection, so that the caller sees an incomplete answer.
    void abort();

    /// @brief Returns whether the head of the answer was sent.
    bool has_begun() const
    {
        return head_sent_;
    }

    /// @brief Returns whether too many bytes of the answer wait to be sent.
    bool is_congested() const;

    /// @brief Returns whether the caller's connection has ended or the answer is
    /// finished.
    bool is_disconnected() const
    {
        return connection_ == nullptr;
    }

    /// @brief Sets the function that is called once if the caller disconnects before its
    /// answer is finished.
    void set_disconnect_handler(std::function<void()> action)
    {
        on_disconnect_ = std::move(action);
    }

    /// @brief Sets the function that is called when blocked output has been sent.
    void set_drain_handler(std::function<void()> action)
    {
        on_drained_ = std::move(action);
    }

  private:
    friend class caller_connection;

    /// makes room for more of the body
    void reserve_body(std::size_t more_bytes);
    void grow_body(std::size_t capacity);
    void update_charge();

    request_head head_;
    std::string body_;
    memory_charge charge_;
    steady_time arrived_;
    caller_connection* connection_ = nullptr;
    bool head_sent_ = false;
    bool chunked_ = false;
    /// whether only the end of the connection ends the body
    bool ends_with_connection_ = false;
    std::uint64_t remaining_length_ = 0;
    std::function<void()> on_disconnect_;
    std::function<void()> on_drained_;
};

/// @brief A connection of a server whose ending frees memory.
struct held_memory
{
    memory_holder holder;
    std::shared_ptr<caller_connection> caller;
    /// set in place of @p caller where only output is left
    std::shared_ptr<connection> closing;
};

/// @brief HTTP/1.1 server at one address.
class http_server
{
  public:
    using request_action = std::function<void(std::shared_ptr<caller_exchange>)>;

    /// @brief Listens at @p where.
    /// @param limits must outlive the server; read at each request, so changes take
    /// effect
    /// @return error 901 if the address cannot be used
    static absl::StatusOr<std::unique_ptr<http_server>>
    listen(event_loop& loop,
           const endpoint& where,
           const server_limits& limits,
           request_action on_request);

    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// @brief Makes each further answer carry "Connection: close".
    void set_draining()
    {
        draining_ = true;
    }

    bool is_draining() const
    {
        return draining_;
    }

    /// @brief Closes the connections on which no request has begun.
    void close_idle();

    /// @brief Returns the number of requests whose answer is not finished.
    std::size_t open_exchanges() const;

    /// @brief Returns the number of connections that are open or have unsent output.
    std::size_t connections() const;

    /// @brief Bounds the open connections.
    ///
    /// Beyond the bound, those that wait longest for a request or its head are closed; if
    /// there are none, no connection is accepted until one ends.
    void set_max_connections(std::size_t most)
    {
        max_connections_ = most;
    }

    /// @brief Accepts connections again if fewer are open by now.
    void update_accepting();

    /// @brief Returns the number of connections that were closed for new ones.
    std::uint64_t evicted_connections() const
    {
        return evicted_;
    }

    /// @brief Returns the number of bodies whose receiving is stopped.
    std::size_t paused_bodies() const
    {
        return paused_bodies_;
    }

    /// @brief Adds the connections whose ending frees memory.
    void list_held_memory(std::vector<held_memory>& to) const;

    /// @brief Sets the function that is called for each rejected input.
    ///
    /// Called with the HTTP status sent to the caller before the request reached the
    /// request action, or with status 0 if a connection could not be accepted.
    void set_rejection_handler(
        std::function<void(int status, const std::string& message)> action)
    {
        on_rejected_ = std::move(action);
    }

  private:
    friend class caller_connection;

    http_server(event_loop& loop, const server_limits& limits, request_action on_request);

    void accept(const std::shared_ptr<connection>& stream);
    /// closes some of the connections without a request, those that wait longest first
    void evict_connections();
    bool is_crowded();
    void remove_expired_closing();
    void remove(const std::shared_ptr<caller_connection>& ended);
    /// counts a connection until its output is sent
    void add_closing(const std::shared_ptr<connection>& stream);

    event_loop& loop_;
    const server_limits& limits_;
    request_action on_request_;
    std::function<void(int, const std::string&)> on_rejected_;
    std::shared_ptr<listener> listener_;
    std::set<std::shared_ptr<caller_connection>> connections_;
    std::vector<std::weak_ptr<connection>> closing_;
    bool draining_ = false;
    std::size_t max_connections_ = SIZE_MAX;
    std::uint64_t evicted_ = 0;
    std::size_t paused_bodies_ = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOOP_HTTP_SERVER_HPP
