#ifndef MEDLAR_DETAIL_LOOP_HTTP_CLIENT_HPP
#define MEDLAR_DETAIL_LOOP_HTTP_CLIENT_HPP

#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/http/body_decoder.hpp>
#include <medlar/detail/http/head.hpp>
#include <medlar/detail/loop/connection.hpp>

#include <absl/strings/string_view.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlar
{

/// @brief How the last connection to a server has ended.
enum class connection_loss
{
    regular, ///< as those of a server that lives may end, too
    early,   ///< within an answer, or before the idle timeout that the server states
    refused, ///< nothing listens at its address
};

/// @brief Outcome of a call.
enum class call_end
{
    complete,   ///< the complete answer was received
    not_sent,   ///< no byte of the request reached the server
    no_answer,  ///< sent, but no head of an answer was received; the request may have run
    broken_off, ///< the connection was lost, or the framing broke, within the answer's
                ///< body
    malformed,  ///< the received bytes are not a valid HTTP answer
    declined,   ///< the process that answers is not the right one; nothing was sent to it
};

/// @brief Returns the name of an outcome in logs, such as "broken_off".
absl::string_view to_string(call_end reason);

/// @brief What a server says of the start of its process.
struct start_answer
{
    /// Unix time in ms; unset if the server states none
    std::optional<std::int64_t> started_ms;
    /// the server has not answered the question; which of its processes it is stays
    /// unknown
    bool is_missing = false;
    /// no answer came in time, or none was waited for; it is not missing if another
    /// connection shows that the process is the one that it was
    bool is_unanswered = false;
    /// whether the question was sent for this call, not for one before it
    bool was_asked = false;
};

/// @brief Callbacks for one answer; each may be empty.
struct call_callbacks
{
    std::function<void(const answer_head&)> on_head;
    std::function<void(absl::string_view)> on_data;
    std::function<void(call_end)> on_end;
    /// returns whether the head belongs to this call; an answer for which it returns
    /// false is discarded, and the call goes on waiting
    std::function<bool(const answer_head&)> accepts_head;
    /// receives when the process at the other end of the connection has started, and
    /// returns whether it may get the request; see call_options::question
    std::function<bool(const start_answer&)> accepts_start;
};

/// @brief A request that asks a server when its process has started. A connection ends
/// with the process that accepted it, so one answer holds for all calls on it.
struct start_question
{
    std::string request;
    /// returns whether a head may be that of the answer; another one is discarded
    std::function<bool(const answer_head&)> accepts_head;
    /// reads the start time from the body of an answer; unset if it states none
    std::function<std::optional<std::int64_t>(absl::string_view body)> read_answer;
    /// returns whether the body of an answer is not a part of one; asked where only the
    /// end of the connection marks its end
    std::function<bool(absl::string_view body)> is_whole;
};

/// @brief Options of a call.
struct call_options
{
    /// the request method is HEAD, so the answer has no body
    bool is_head_request = false;
    /// maximum idle time of a persistent connection that this call may reuse
    millis max_idle{3600000};
    millis connect_timeout{1000};
    /// opens a new connection, also if there is an idle one
    bool needs_new_connection = false;
    /// may use the connection that http_client::keep_witness() has kept
    bool may_use_witness = false;
    /// asked on a connection before the first call with a question is sent on it; a call
    /// without one is sent at once. Null asks nothing
    std::shared_ptr<const start_question> question;
    /// whether the question may be sent; if not, the answer is missing on a connection
    /// that has none from before
    bool may_ask = true;
};

class http_client;
class pooled_connection;

/// @brief Handle of a call in progress.
class client_call
{
  public:
    /// @brief Cancels the call: closes its connection; no callback follows.
    void cancel();

    /// @brief Pauses or resumes reading the answer.
    void set_paused(bool paused);

    /// @brief Returns whether the call is in progress.
    bool is_active() const
    {
        return connection_ != nullptr;
    }

    /// @brief Returns whether any byte of the request may have been sent.
    bool has_sent() const;

    /// @brief Returns when the process that got the request has started, as it has
    /// answered to the question of this call or an earlier one on the connection.
    /// @return Unix time in ms; unset if it was not asked, or states none
    std::optional<std::int64_t> process_start() const
    {
        return process_start_;
    }

    /// @brief Returns when the connection was last seen to be open, which may be long
    /// before its end is read; set once the call is complete.
    steady_time seen_open_at() const
    {
        return seen_open_at_;
    }

    /// @brief Returns how the connection ended during the call; unset if it did not.
    std::optional<connection_end> ended_by() const
    {
        return ended_by_;
    }

  private:
    friend class pooled_connection;
    friend class http_client;

    call_callbacks callbacks_;
    call_options options_;
    pooled_connection* connection_ = nullptr;
    std::optional<std::int64_t> process_start_;
    std::optional<connection_end> ended_by_;
    steady_time seen_open_at_;
};

/// @brief HTTP/1.1 client with a pool of persistent connections for each endpoint.
class http_client
{
  public:
    /// @param max_head_bytes maximum size of an answer's head
    explicit http_client(event_loop& loop, std::size_t max_head_bytes);
    ~http_client();

    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// @brief Sends a request over an idle or a new connection.
    /// @param request serialised head, and the body unless it is in @p body
    /// @param body sent after @p request without being copied; may be null
    std::shared_ptr<client_call> start(const endpoint& where,
                                       std::string request,
                                       const call_options& options,
                                       call_callbacks callbacks,
                                       std::shared_ptr<const std::string> body = nullptr);

    /// @brief Closes the idle connections to @p where.
    void close_idle(const endpoint& where);

    /// @brief Keeps an idle connection to @p where open while an answer from there is
    /// read whose end only its connection marks, and opens one if there is none.
    ///
    /// A server that is going to stop accepts no more connections, and one that has many
    /// may reset new ones, so that it could not be asked after the end of that answer.
    /// Calls use the connection only if they say so.
    void keep_witness(const endpoint& where);

    /// @brief Returns whether a call uses the connection that keep_witness() has kept.
    bool is_witness_busy(const endpoint& where) const;

    /// @brief Returns whether a connection to @p where that was established at @p when or
    /// before is still open.
    bool has_connection_since(const endpoint& where, steady_time when) const;

    /// @brief Sets the function that is called when the process at an endpoint may have
    /// ended, since the last connection to it has.
    void set_loss_handler(std::function<void(const endpoint&, connection_loss)> action)
    {
        on_lost_ = std::move(action);
    }

    /// @brief Returns the number of connections opened so far.
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
        /// see keep_witness(); while a call uses it, it is one of the busy ones too
        std::shared_ptr<pooled_connection> witness;
        std::optional<steady_time> witness_opened_at;
    };

    void release(const std::shared_ptr<pooled_connection>& which, bool reusable);
    /// records which connections with a call are open while another one is established
    void record_open(const endpoint& where);
    /// whether the witness was established after @p when
    bool is_witness_newer(const endpoint& where, steady_time when) const;
    /// handles a connection that ended as those of a process do that ends
    void handle_loss(const pooled_connection& which, connection_loss how);
    /// whether another connection to the server is open
    bool has_other_connection(const pooled_connection& which) const;
    void sweep();

    event_loop& loop_;
    std::size_t max_head_bytes_;
    std::map<endpoint, pool> pools_;
    std::function<void(const endpoint&, connection_loss)> on_lost_;
    std::uint64_t opened_ = 0;
    timer_id sweep_timer_{0};
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOOP_HTTP_CLIENT_HPP
