#ifndef MEDLAR_DETAIL_LOOP_HTTP_CLIENT_HPP
#define MEDLAR_DETAIL_LOOP_HTTP_CLIENT_HPP

#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/http/body_decoder.hpp>
#include <medlar/detail/http/head.hpp>
#include <medlar/detail/loop/connection.hpp>

#include <absl/strings/string_view.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace medlar
{

/// @brief how a call ended
enum class call_end
{
    complete,   ///< the whole answer came
    not_sent,   ///< no byte of the request reached the other side
    no_answer,  ///< sent, and no head of an answer came; it may have run
    broken_off, ///< the connection was lost within the answer's body
    malformed,  ///< the bytes that came are no answer
};

/// @brief the name of an end in logs, such as "broken_off"
absl::string_view to_string(call_end reason);

/// @brief Receives one answer. Any member may be empty.
struct call_events
{
    std::function<void(const answer_head&)> on_head;
    std::function<void(absl::string_view)> on_data;
    std::function<void(call_end)> on_end;
    /// whether a head belongs to this call; answers that do not are dropped
    std::function<bool(const answer_head&)> belongs;
};

/// @brief how a call uses connections
struct call_options
{
    bool to_head = false;
    /// longest idle time of a kept connection that may carry this call
    millis max_idle{3600000};
    millis connect_timeout{1000};
};

class http_client;
class pooled_connection;

/// @brief A call in progress.
class client_call
{
  public:
    /// @brief Drops the call: its connection is closed and no event follows.
    void cancel();

    /// @brief Stops or resumes reading the answer.
    void pause(bool paused);

    /// @brief whether the call is still in progress
    bool is_active() const
    {
        return connection_ != nullptr;
    }

    /// @brief whether any byte of the request was handed to the network
    bool has_sent() const;

  private:
    friend class pooled_connection;
    friend class http_client;

    call_events events_;
    call_options options_;
    pooled_connection* connection_ = nullptr;
};

/// @brief Calls other processes by HTTP/1.1, over kept connections.
class http_client
{
  public:
    /// @param max_head_bytes limit on the head of an answer
    explicit http_client(event_loop& loop, std::size_t max_head_bytes);
    ~http_client();

    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// @brief Sends a request.
    /// @param request head and body as they go on the wire
    std::shared_ptr<client_call> start(const endpoint& where,
                                       std::string request,
                                       const call_options& options,
                                       call_events events);

    /// @brief Closes the kept connections to @p where that carry no call.
    void drop_idle(const endpoint& where);

    /// @brief connections opened since the start
    std::uint64_t opened_connections() const
    {
        return opened_;
    }

  private:
    friend class pooled_connection;

    struct pool
    {
        std::vector<std::shared_ptr<pooled_connection>> idle;
        std::vector<std::shared_ptr<pooled_connection>> busy;
    };

    void release(const std::shared_ptr<pooled_connection>& which, bool reusable);
    void sweep();

    event_loop& loop_;
    std::size_t max_head_bytes_;
    std::map<endpoint, pool> pools_;
    std::uint64_t opened_ = 0;
    timer_id sweep_timer_{0};
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOOP_HTTP_CLIENT_HPP
