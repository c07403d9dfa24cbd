#include <medlar/detail/client/body_reader.hpp>
#include <medlar/detail/client/http_session.hpp>
#include <medlar/detail/gateway/stage_client.hpp>
#include <medlar/detail/request/json_text.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <absl/strings/str_cat.h>

#include <utility>

namespace medlar
{

namespace
{

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

void send(http_session& session,
          const endpoint& remote,
          const std::string& method,
          const std::string& path,
          const std::string& body)
{
    HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost(to_string(remote));
    request.setKeepAlive(true);
    if (method == HTTPRequest::HTTP_POST)
    {
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
    }
    std::ostream& out = session.sendRequest(request);
    out.write(body.data(), static_cast<std::streamsize>(body.size()));
    out.flush();
    if (const Poco::Exception* error = session.networkException())
    {
        error->rethrow();
    }
}

/// @brief Returns whether a body whose last line was read ends there, as its framing
/// states.
bool ends_after_last_line(std::istream& body)
{
    try
    {
        return body.rdbuf()->sgetc() == std::char_traits<char>::eof();
    }
    catch (const Poco::Exception&)
    {
        return false;
    }
}

void set_unusable(stage_reply& reply, const bad_reply& why)
{
    reply.result = call_result::failed;
    reply.why = why.why;
    reply.message = why.message;
}

void set_broken(stage_reply& reply)
{
    reply.result = call_result::broken;
    reply.why = reason::reply_lost;
    reply.message = "the connection to the target broke";
}

void set_refused_or_failed(stage_reply& reply, int status, const std::string& body)
{
    constexpr int unavailable = 503;
    const target_refusal refusal =
        status == unavailable ? read_target_refusal(body) : target_refusal{};
    reply.settled = true;
    if (refusal.not_run)
    {
        reply.result = call_result::refused;
        reply.may_have_run = false;
        reply.leaving = refusal.leaving;
        reply.retry_after = refusal.retry_after;
        reply.why = reason::target_refused;
        reply.message = "the target did not take the call";
        return;
    }
    reply.result = call_result::failed;
    reply.why = reason::target_failed;
    reply.message = absl::StrCat("the target answered with status ", status);
}

void set_output(const call_attempt& attempt, const std::string& body, stage_reply& reply)
{
    auto checked = check_reply(body, attempt.message.request_id);
    if (const auto* bad = std::get_if<bad_reply>(&checked))
    {
        set_unusable(reply, *bad);
        return;
    }
    reply.output = std::get<stage_output>(std::move(checked)).text;
    reply.result = call_result::succeeded;
    reply.settled = true;
}

/// @brief Sets the result of a cancelled call by the cause of the cancel instead of the
/// socket error. A result that the target reported stays.
void apply_cancel_cause(cancel_cause why, stage_reply& reply)
{
    if (why == cancel_cause::none || reply.settled)
    {
        return;
    }
    const bool late = why == cancel_cause::deadline;
    reply.result = late ? call_result::timed_out : call_result::cancelled;
    reply.why = late ? reason::deadline_passed : reason::cancelled;
    reply.message = late ? "the deadline passed while a target worked"
                         : "nobody waits for the answer";
}

} // namespace

std::unique_ptr<stage_client>
stage_client::create(const clock& time, session_pool& sessions, byte_count max_answer)
{
    return std::unique_ptr<stage_client>(new stage_client(time, sessions, max_answer));
}

stage_client::stage_client(const clock& time,
                           session_pool& sessions,
                           byte_count max_answer)
    : time_(time), sessions_(sessions), max_answer_(max_answer)
{
}

stage_reply stage_client::call(const call_attempt& attempt) const
{
    stage_reply reply;
    reply.started = time_.steady_now();
    reply.next_token = attempt.message.resume_from;
    reply.why = reason::target_failed;
    reply.message = "no connection to the target";
    target_session session = sessions_.take(attempt.remote, !attempt.idempotent);
    if (session)
    {
        exchange_messages(attempt, std::move(session), reply);
    }
    apply_cancel_cause(attempt.token->cause(), reply);
    reply.elapsed = time_.steady_now() - reply.started;
    return reply;
}

void stage_client::exchange_messages(const call_attempt& attempt,
                                     target_session session,
                                     stage_reply& reply) const
{
    const cancel_action close_on_cancel(
        attempt.token,
        [socket = session->socket()](cancel_cause /*why*/) mutable
        {
            try
            {
                socket.shutdown();
            }
            catch (const Poco::Exception&)
            {
                return;
            }
        });
    if (attempt.token->cause() != cancel_cause::none)
    {
        return;
    }
    bool reusable = false;
    try
    {
        session->set_timeout(attempt.deadline - time_.steady_now());
        reply.may_have_run = true;
        send(*session,
             attempt.remote,
             HTTPRequest::HTTP_POST,
             "/v1/stage",
             write_stage_message(attempt.message));
        read_reply(attempt, *session, reply, reusable);
    }
    catch (const Poco::TimeoutException&)
    {
        reply.result = call_result::timed_out;
        reply.why = reason::deadline_passed;
        reply.message = "the target gave no answer in time";
    }
    catch (const Poco::Exception&)
    {
        set_broken(reply);
    }
    if (reusable)
    {
        sessions_.give_back(attempt.remote, std::move(session));
    }
}

void stage_client::read_reply(const call_attempt& attempt,
                              http_session& session,
                              stage_reply& reply,
                              bool& reusable) const
{
    HTTPResponse response;
    std::istream& stream = session.receiveResponse(response);
    const int status = status_of(response);
    const bool succeeded = status == HTTPResponse::HTTP_OK;
    if (succeeded && attempt.message.kind == stage_kind::generate)
    {
        read_stream(attempt, stream, reply, reusable);
        reusable = reusable && response.getKeepAlive();
        return;
    }
    const std::optional<std::string> body =
        read_body(stream, static_cast<std::size_t>(max_answer_.get()));
    if (!body)
    {
        set_unusable(reply, {reason::target_answer_too_large, "the answer is too large"});
        return;
    }
    reusable = response.getKeepAlive();
    if (succeeded)
    {
        set_output(attempt, *body, reply);
        return;
    }
    set_refused_or_failed(reply, status, *body);
}

void stage_client::read_stream(const call_attempt& attempt,
                               std::istream& body,
                               stage_reply& reply,
                               bool& reusable) const
{
    const auto limit = static_cast<std::size_t>(max_answer_.get());
    std::string line;
    while (true)
    {
        const read_line_result end = read_line(body, limit, line);
        if (end == read_line_result::too_long || reply.tokens_text.size() > limit)
        {
            set_unusable(reply,
                         {reason::target_answer_too_large, "the answer is too large"});
            return;
        }
        if (end == read_line_result::end_of_body)
        {
            set_broken(reply);
            return;
        }
        auto checked =
            check_stream_line(line, attempt.message.request_id, reply.next_token);
        if (const auto* bad = std::get_if<bad_reply>(&checked))
        {
            set_unusable(reply, *bad);
            return;
        }
        if (const auto* last = std::get_if<stream_end>(&checked))
        {
            reply.cached_tokens = last->cached_tokens;
            reply.result = call_result::succeeded;
            reply.settled = true;
            reusable = ends_after_last_line(body);
            return;
        }
        const auto& token = std::get<stream_token>(checked);
        if (!reply.first_token)
        {
            reply.first_token = time_.steady_now() - reply.started;
        }
        reply.tokens_text += token.text;
        ++reply.next_token;
        if (attempt.on_token)
        {
            attempt.on_token(token.index, token.text);
        }
    }
}

std::optional<target_answer>
stage_client::get(const endpoint& remote, const std::string& path, millis timeout) const
{
    return plain_call(remote, HTTPRequest::HTTP_GET, path, "", timeout);
}

void stage_client::cancel(const endpoint& remote,
                          const std::string& call_id,
                          millis timeout) const
{
    const std::string body = absl::StrCat("{\"call_id\":", quoted_json(call_id), "}");
    plain_call(remote, HTTPRequest::HTTP_POST, "/v1/cancel", body, timeout);
}

std::optional<target_answer> stage_client::plain_call(const endpoint& remote,
                                                      const std::string& method,
                                                      const std::string& path,
                                                      const std::string& body,
                                                      millis timeout) const
{
    target_session session = sessions_.take(remote, false);
    if (!session)
    {
        return std::nullopt;
    }
    try
    {
        session->set_timeout(timeout);
        send(*session, remote, method, path, body);
        HTTPResponse response;
        std::istream& stream = session->receiveResponse(response);
        std::optional<std::string> text =
            read_body(stream, static_cast<std::size_t>(max_answer_.get()));
        if (!text)
        {
            return std::nullopt;
        }
        if (response.getKeepAlive())
        {
            sessions_.give_back(remote, std::move(session));
        }
        return target_answer{status_of(response), std::move(*text)};
    }
    catch (const Poco::Exception&)
    {
        return std::nullopt;
    }
}

} // namespace medlar
