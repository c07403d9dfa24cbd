#ifndef MEDLAR_DETAIL_LOOP_HTTP_SERVER_HPP
#define MEDLAR_DETAIL_LOOP_HTTP_SERVER_HPP

#include <medlar/detail/http/body_decoder.hpp>
#include <medlar/detail/http/head.hpp>
#include <medlar/detail/http/head_parser.hpp>
#include <medlar/detail/loop/listener.hpp>
#include <medlar/detail/loop/server_limits.hpp>

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace medlar
{

class caller_connection;

/// @brief One request of a caller and the answer to it.
class caller_exchange
{
  public:
    const request_head& head() const
    {
        return head_;
    }

    const std::string& body() const
    {
        return body_;
    }

    /// @brief when the last byte of the request was read
    steady_time arrived() const
    {
        return arrived_;
    }

    /// @brief Sends a whole answer.
    /// @param headers further headers; the framing is added
    void answer(int status, const header_list& headers, absl::string_view body);

    /// @brief Begins an answer whose body follows by write().
    /// @param headers the headers without framing
    /// @param framing a length, or chunked
    void begin(int status,
               absl::string_view phrase,
               const header_list& headers,
               body_framing framing);

    /// @brief Sends a part of the body.
    void write(absl::string_view data);

    /// @brief Ends the answer; the connection may be used again.
    void finish();

    /// @brief Cuts the connection, so that the answer does not look complete.
    void abort();

    /// @brief whether the head of the answer was sent
    bool has_begun() const
    {
        return head_sent_;
    }

    /// @brief whether the caller reads more slowly than the answer is written
    bool is_congested() const;

    /// @brief whether the caller's connection has ended
    bool has_left() const
    {
        return connection_ == nullptr;
    }

    /// @brief Sets what is called once if the caller leaves before its answer is
    /// finished.
    void when_left(std::function<void()> action)
    {
        on_disconnect_ = std::move(action);
    }

    /// @brief Sets what is called when a congested answer has been sent.
    void when_drained(std::function<void()> action)
    {
        on_drained_ = std::move(action);
    }

  private:
    friend class caller_connection;

    request_head head_;
    std::string body_;
    steady_time arrived_;
    caller_connection* connection_ = nullptr;
    bool head_sent_ = false;
    bool chunked_ = false;
    std::uint64_t remaining_length_ = 0;
    std::function<void()> on_disconnect_;
    std::function<void()> on_drained_;
};

/// @brief Takes requests of callers from one address.
class http_server
{
  public:
    using request_action = std::function<void(std::shared_ptr<caller_exchange>)>;

    /// @brief Listens at @p where.
    /// @param limits read at each request, so that they may change
    /// @return error 901 if the address cannot be used
    static absl::StatusOr<std::unique_ptr<http_server>>
    listen(event_loop& loop,
           const endpoint& where,
           const server_limits& limits,
           request_action on_request);

    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// @brief Announces with each answer that its connection ends.
    void set_draining()
    {
        draining_ = true;
    }

    bool is_draining() const
    {
        return draining_;
    }

    /// @brief Closes connections on which no request has begun.
    void close_idle();

    /// @brief requests whose answer is not finished
    std::size_t open_exchanges() const;

    /// @brief connections of callers
    std::size_t connections() const
    {
        return connections_.size();
    }

    /// @brief Counts what was rejected before it was a request, by HTTP status.
    void when_rejected(std::function<void(int status, const std::string& message)> action)
    {
        on_rejected_ = std::move(action);
    }

  private:
    friend class caller_connection;

    http_server(event_loop& loop, const server_limits& limits, request_action on_request);

    void remove(const std::shared_ptr<caller_connection>& which);

    event_loop& loop_;
    const server_limits& limits_;
    request_action on_request_;
    std::function<void(int, const std::string&)> on_rejected_;
    std::shared_ptr<listener> listener_;
    std::set<std::shared_ptr<caller_connection>> connections_;
    bool draining_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOOP_HTTP_SERVER_HPP
