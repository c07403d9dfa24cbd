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

/// @brief one try of a stage call
struct call_attempt
{
    endpoint address;
    stage_message message;
    /// whether a second send of it does no harm
    bool idempotent = false;
    steady_time until;
    std::shared_ptr<cancel_token> token;
    /// set: called for each token of a generate stage
    std::function<void(std::int64_t, const std::string&)> on_token;
};

/// @brief how one try of a stage call ended
struct stage_reply
{
    call_result result = call_result::unreachable;
    /// a byte was handed to the network, and the target did not say that it did not run
    bool handed = false;
    /// the target told how the call ended
    bool settled = false;
    reason why = reason::none;
    std::string message;
    /// JSON text of the output of a call other than generate
    std::string output;
    /// text of the tokens of a generate call, also of one that broke off
    std::string tokens_text;
    /// index of the token after the last one received
    std::int64_t next_token = 0;
    std::int64_t cached_tokens = 0;
    steady_time started;
    /// from its start
    std::optional<millis> first_token;
    millis elapsed{0};
    std::optional<millis> retry_after;
    /// the target takes no new work
    bool leaving = false;
};

/// @brief the answer to a call that is not a stage call
struct target_answer
{
    int status = 0;
    std::string body;
};

/// @brief Makes calls to targets; see docs/TARGETS.md.
/// @note Safe to call from every thread; a call blocks its thread.
class stage_client
{
  public:
    /// @param max_answer greatest answer that is taken
    static std::unique_ptr<stage_client>
    create(const clock& time, session_pool& sessions, byte_count max_answer);

    /// @brief Makes one try of a stage call.
    stage_reply call(const call_attempt& attempt) const;

    /// @brief Makes a GET call.
    /// @return unset if there was no whole answer in time
    std::optional<target_answer>
    get(const endpoint& where, const std::string& path, millis timeout) const;

    /// @brief Tells a target that nobody waits for a call any more.
    void cancel(const endpoint& where, const std::string& call_id, millis timeout) const;

  private:
    stage_client(const clock& time, session_pool& sessions, byte_count max_answer);

    void exchange_messages(const call_attempt& attempt,
                           target_session session,
                           stage_reply& reply) const;
    void read_reply(const call_attempt& attempt,
                    Poco::Net::HTTPClientSession& session,
                    stage_reply& reply,
                    bool& whole) const;
    void read_stream(const call_attempt& attempt,
                     std::istream& body,
                     stage_reply& reply,
                     bool& whole) const;
    std::optional<target_answer> plain_call(const endpoint& where,
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
