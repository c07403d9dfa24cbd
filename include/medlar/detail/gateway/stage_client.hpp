#ifndef MEDLAR_DETAIL_GATEWAY_STAGE_CLIENT_HPP
#define MEDLAR_DETAIL_GATEWAY_STAGE_CLIENT_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/gateway/cancel_token.hpp>
#include <medlar/detail/gateway/session_pool.hpp>
#include <medlar/detail/policy/stage_call.hpp>
#include <medlar/detail/request/stage_message.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace medlar
{

/// @brief One attempt of a stage call.
struct call_attempt
{
    endpoint remote;
    stage_message message;
    /// whether the call may run twice without harm
    bool idempotent = false;
    steady_time deadline;
    std::shared_ptr<cancel_token> token;
    /// called for each token of a generate stage, if set
    std::function<void(std::int64_t, const std::string&)> on_token;
};

/// @brief The result of one attempt of a stage call.
struct stage_reply
{
    call_result result = call_result::unreachable;
    /// whether a byte may have been sent, and the target did not state that it did not
    /// run the call
    bool may_have_run = false;
    /// whether the target reported how the call ended
    bool settled = false;
    reason why = reason::none;
    std::string message;
    /// JSON text of the output of a call other than generate
    std::string output;
    /// text of the tokens of a generate call, also of an incomplete one
    std::string tokens_text;
    /// index of the token after the last one received
    std::int64_t next_token = 0;
    std::int64_t cached_tokens = 0;
    steady_time started;
    /// time from the start of the attempt to the first token
    std::optional<millis> first_token;
    millis elapsed{0};
    std::optional<millis> retry_after;
    /// whether the target takes no new work
    bool leaving = false;
};

/// @brief The answer to a call that is not a stage call.
struct target_answer
{
    int status = 0;
    std::string body;
};

/// @brief HTTP client for calls to targets; see docs/TARGETS.md.
/// @note Thread-safe; a call blocks its thread.
class stage_client
{
  public:
    /// @param max_answer maximum size of an accepted answer
    static std::unique_ptr<stage_client>
    create(const clock& time, session_pool& sessions, byte_count max_answer);

    /// @brief Makes one attempt of a stage call.
    stage_reply call(const call_attempt& attempt) const;

    /// @brief Sends a GET request.
    /// @return unset if no complete answer arrived in time
    std::optional<target_answer>
    get(const endpoint& remote, const std::string& path, millis timeout) const;

    /// @brief Tells a target to stop a call. Ignores errors.
    void cancel(const endpoint& remote, const std::string& call_id, millis timeout) const;

  private:
    stage_client(const clock& time, session_pool& sessions, byte_count max_answer);

    void exchange_messages(const call_attempt& attempt,
                           target_session session,
                           stage_reply& reply) const;
    void read_reply(const call_attempt& attempt,
                    http_session& session,
                    stage_reply& reply,
                    bool& reusable) const;
    void read_stream(const call_attempt& attempt,
                     std::istream& body,
                     stage_reply& reply,
                     bool& reusable) const;
    std::optional<target_answer> plain_call(const endpoint& remote,
                                            const std::string& method,
                                            const std::string& path,
                                            const std::string& body,
                                            millis timeout) const;

    const clock& time_;
    session_pool& sessions_;
    byte_count max_answer_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_STAGE_CLIENT_HPP
