#include <medlar/detail/client/body_reader.hpp>
#include <medlar/detail/client/http_session.hpp>
#include <medlar/detail/replay/caller.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <istream>
#include <memory>
#include <thread>

namespace medlar
{

namespace
{

constexpr millis pause_between_sends{20};

/// @brief Returns placeholder text of the given length.
std::string filler(const std::string& seed, std::size_t length)
{
    std::string text;
    text.reserve(length + seed.size() + 1);
    while (text.size() < length)
    {
        text += seed + " ";
    }
    text.resize(length);
    return text;
}

} // namespace

std::string request_body(const trace_request& request,
                         const std::string& id_prefix,
                         wall_time issued_at,
                         bool first_attempt)
{
    const auto length = static_cast<std::size_t>(request.input.get());
    nlohmann::json input = {{"text", filler(request.id.get(), length)}};
    if (request.max_tokens.get() > 0)
    {
        input["max_tokens"] = request.max_tokens.get();
    }
    if (!request.prefix.empty())
    {
        const auto prefix_length = static_cast<std::size_t>(request.prefix_length.get());
        input["prompt_prefix"] = filler(request.prefix, prefix_length);
    }
    return nlohmann::json({{"id", id_prefix + request.id.get()},
                           {"issued_at_ms", issued_at.since_origin()},
                           {"organisation", request.organisation.get()},
                           {"deadline_ms", request.deadline.count()},
                           {"idempotent", request.idempotent},
                           {"first_attempt", first_attempt},
                           {"stream", request.stream},
                           {"input", input}})
        .dump();
}

caller::caller(const caller_settings& settings, const clock& time)
    : settings_(settings), time_(time)
{
}

const endpoint& caller::next_gateway()
{
    return settings_.gateways[next_++ % settings_.gateways.size()];
}

std::optional<std::string> caller::exchange_once(const trace_request& request,
                                                 const std::string& body,
                                                 steady_time give_up_at,
                                                 replayed_request& result,
                                                 steady_time due)
{
    const endpoint& gateway = next_gateway();
    const std::string path =
        absl::StrCat("/v1/pipelines/", request.pipeline.get(), "/requests");
    try
    {
        const millis time_left = give_up_at - time_.steady_now();
        const std::unique_ptr<http_session> session =
            http_session::open(gateway, time_left);
        session->set_timeout(time_left);
        Poco::Net::HTTPRequest out(
            Poco::Net::HTTPRequest::HTTP_POST, path, Poco::Net::HTTPMessage::HTTP_1_1);
        out.setHost(to_string(gateway));
        out.setKeepAlive(false);
        out.setContentType("application/json");
        out.setContentLength(static_cast<std::streamsize>(body.size()));
        session->sendRequest(out) << body << std::flush;
        Poco::Net::HTTPResponse response;
        std::istream& in = session->receiveResponse(response);
        std::string text;
        std::string line;
        while (read_line(in, std::string::npos, line) == read_line_result::newline)
        {
            if (request.stream && text.empty())
            {
                result.first_token = time_.steady_now() - due;
            }
            text += line + "\n";
        }
        return text + line;
    }
    catch (const Poco::Exception&)
    {
        return std::nullopt;
    }
}

replayed_request caller::send(const trace_request& request, steady_time due)
{
    replayed_request result;
    result.request = request;
    result.request.id = request_id(settings_.id_prefix + request.id.get());
    const wall_time issued_at = time_.wall_now();
    const steady_time give_up_at = due + request.deadline + settings_.loss_timeout;
    while (!result.answer && result.sent < settings_.max_sends &&
           time_.steady_now() < give_up_at)
    {
        if (result.sent > 0)
        {
            const std::chrono::milliseconds pause(pause_between_sends.count());
            std::this_thread::sleep_for(pause);
        }
        const bool first_attempt = result.sent == 0;
        const std::string body =
            request_body(request, settings_.id_prefix, issued_at, first_attempt);
        ++result.sent;
        const std::optional<std::string> text =
            exchange_once(request, body, give_up_at, result, due);
        if (text)
        {
            result.answer = request.stream ? check_stream(result.request, *text)
                                           : check_answer(result.request, *text);
        }
    }
    result.elapsed = time_.steady_now() - due;
    return result;
}

} // namespace medlar
