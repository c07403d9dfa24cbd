#include <medlar/detail/base/error.hpp>
#include <medlar/detail/gateway/authentication.hpp>
#include <medlar/detail/gateway/caller_server.hpp>
#include <medlar/detail/gateway/caller_stream.hpp>
#include <medlar/detail/http/status.hpp>
#include <medlar/detail/http/unread_body.hpp>
#include <medlar/detail/log/gateway_events.hpp>
#include <medlar/detail/loop/request_socket.hpp>
#include <medlar/detail/policy/body_budget.hpp>
#include <medlar/detail/request/answer_text.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/ThreadPool.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <exception>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace medlar
{

namespace
{

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::int64_t us_per_ms = 1000;

Poco::Timespan timespan_of(millis span)
{
    return Poco::Timespan(span.count() * us_per_ms);
}

final_answer refusal(reason why, const std::string& message)
{
    return {{outcome_kind::not_run, why, message, std::nullopt}, "", ""};
}

/// @brief Ends a connection without an answer. A request whose id is not known yet may be
/// the repetition of one that has run, so that no refusal would be true.
class memory_full : public std::runtime_error
{
  public:
    using std::runtime_error::runtime_error;
};

/// @brief Reads the bodies of callers' requests, limited in size and time.
class caller_body_reader
{
  public:
    caller_body_reader(const clock& time, std::size_t max_bytes, millis timeout)
        : time_(time), max_bytes_(max_bytes), read_until_(time.steady_now() + timeout)
    {
    }

    /// @param charge holds what the body takes of the memory of all bodies
    /// @return the body, or the refusal
    /// @throw memory_full if the bodies of other requests leave no room
    std::variant<std::string, final_answer> read(HTTPServerRequest& request,
                                                 body_charge& charge) const
    {
        const std::streamsize stated = request.getContentLength();
        const bool sized = stated != Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH;
        if (sized && static_cast<std::uint64_t>(stated) > max_bytes_)
        {
            return too_large();
        }
        std::string text;
        std::istream& in = request.stream();
        for (int first = in.get(); first != std::istream::traits_type::eof();
             first = in.get())
        {
            const std::streamsize available = in.rdbuf()->in_avail();
            const std::size_t read = 1 + static_cast<std::size_t>(available);
            if (!make_room(text, read, charge))
            {
                throw memory_full("the bodies of all requests exceed their limit");
            }
            text += static_cast<char>(first);
            append_buffered(in, text);
            if (text.size() > max_bytes_)
            {
                return too_large();
            }
            if (time_.steady_now() > read_until_)
            {
                return refusal(reason::malformed, "the body did not arrive in time");
            }
        }
        if (in.bad() || (sized && text.size() != static_cast<std::size_t>(stated)))
        {
            return refusal(reason::malformed, "the body ended before its length");
        }
        return text;
    }

  private:
    /// Lets the text grow by a quarter, or to the largest size, so that it holds no more
    /// than was taken for it.
    bool make_room(std::string& text, std::size_t bytes, body_charge& charge) const
    {
        constexpr std::size_t min_growth = 4096;
        const std::size_t needed = text.size() + bytes;
        if (needed <= text.capacity())
        {
            return true;
        }
        const std::size_t grown = std::min(
            max_bytes_ + 1, std::max(text.capacity() + min_growth, needed + needed / 4));
        const std::size_t capacity = std::max(needed, grown);
        if (!charge.raise_to(byte_count(static_cast<std::int64_t>(capacity))))
        {
            return false;
        }
        text.reserve(capacity);
        return true;
    }

    static void append_buffered(std::istream& in, std::string& text)
    {
        const std::streamsize available = in.rdbuf()->in_avail();
        if (available > 0)
        {
            const std::size_t old_size = text.size();
            text.resize(old_size + static_cast<std::size_t>(available));
            in.read(&text[old_size], available);
        }
    }

    final_answer too_large() const
    {
        return refusal(reason::too_large,
                       absl::StrCat("the body has more than ", max_bytes_, " bytes"));
    }

    const clock& time_;
    std::size_t max_bytes_;
    steady_time read_until_;
};

/// @brief Sends a refusal immediately instead of when the handler returns.
void send_at_once(HTTPServerResponse& response, const final_answer& refused)
{
    const std::string text = write_answer(request_id(), refused);
    response.setStatusAndReason(
        static_cast<HTTPServerResponse::HTTPStatus>(http_status_of(refused.result)));
    response.setContentType("application/json");
    response.setContentLength(static_cast<std::streamsize>(text.size()));
    std::ostream& out = response.send();
    out << text;
    out.flush();
}

/// @brief Reads and discards the rest of a refused body, within limits. Closing a
/// connection with unread bytes resets it, and the caller may lose the answer.
void discard_body(HTTPServerRequest& request)
{
    constexpr int max_bytes = 64 * 1024 * 1024;
    constexpr std::int64_t max_silence_ms = 500;
    auto& request_impl = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
    Poco::Net::StreamSocket& socket = request_impl.socket();
    try
    {
        socket.shutdownSend();
        socket.setReceiveTimeout(timespan_of(millis(max_silence_ms)));
        std::array<char, 16UL * 1024> bytes{};
        int remaining_bytes = max_bytes;
        int received = 1;
        while (received > 0 && remaining_bytes > 0)
        {
            received = socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
            remaining_bytes -= received;
        }
    }
    catch (const Poco::Exception&)
    {
        return;
    }
}

class caller_handler : public Poco::Net::HTTPRequestHandler
{
  public:
    caller_handler(gateway& local_gateway,
                   const caller_server_settings& settings,
                   body_budget& bodies)
        : gateway_(local_gateway), settings_(settings), bodies_(bodies)
    {
    }

    void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) override
    {
        if (gateway_.draining())
        {
            response.setKeepAlive(false);
        }
        try
        {
            if (has_whole_head(request))
            {
                route(request, response);
            }
            else
            {
                refuse_incomplete(
                    request,
                    response,
                    refusal(reason::malformed, "the head ended before its empty line"));
            }
        }
        catch (const Poco::Net::NetException&)
        {
            response.setKeepAlive(false);
        }
        catch (const memory_full&)
        {
            response.setKeepAlive(false);
            discard_body(request);
        }
        catch (const std::exception& error)
        {
            log_event(gateway_handler_failed, {{"error", error.what()}});
            response.setKeepAlive(false);
        }
    }

  private:
    void route(HTTPServerRequest& request, HTTPServerResponse& response)
    {
        std::vector<std::string> path;
        Poco::URI(request.getURI()).getPathSegments(path);
        const std::string& method = request.getMethod();
        if (method == "POST" && path.size() == 4 && path[0] == "v1" &&
            path[1] == "pipelines" && path[3] == "requests")
        {
            handle_submit(pipeline_id(path[2]), request, response);
            return;
        }
        close_after_unread_body(request, response);
        if (method == "GET" && path.size() == 4 && path[0] == "v1" &&
            path[1] == "requests")
        {
            handle_lookup(
                {organisation_id(path[2]), request_id(path[3])}, request, response);
        }
        else if (method == "GET" && path.size() == 1)
        {
            send_page(path[0], response);
        }
        else
        {
            send_unknown_path(response);
        }
    }

    void handle_submit(const pipeline_id& pipeline,
                       HTTPServerRequest& request,
                       HTTPServerResponse& response)
    {
        request_context context;
        context.arrived = gateway_.time().steady_now();
        caller_stream stream(response);
        const caller_body_reader reader(
            gateway_.time(), gateway_.settings().body.max_bytes, settings_.body_timeout);
        // the body is kept while the request runs
        body_charge charge(bodies_);
        auto body = reader.read(request, charge);
        if (const auto* refused = std::get_if<final_answer>(&body))
        {
            refuse_incomplete(request, response, *refused);
            return;
        }
        context.pipeline_name = pipeline;
        context.body = std::get<std::string>(std::move(body));
        context.authorization = request.get("Authorization", "");
        auto& request_impl = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
        request_impl.socket().setSendTimeout(timespan_of(settings_.socket_timeout));
        context.caller_socket = request_impl.socket().impl()->sockfd();
        context.on_token = [&stream](const std::string& stage,
                                     std::int64_t index,
                                     const std::string& text)
        {
            stream.send_token(stage, index, text);
        };
        const run_result result = gateway_.serve(context);
        stream.send_answer(context.request.key.id, result.answer);
    }

    static void refuse_incomplete(HTTPServerRequest& request,
                                  HTTPServerResponse& response,
                                  const final_answer& refused)
    {
        log_event(gateway_body_incomplete, {{"reason", refused.result.message}});
        response.setKeepAlive(false);
        send_at_once(response, refused);
        discard_body(request);
    }

    void handle_lookup(const request_key& key,
                       HTTPServerRequest& request,
                       HTTPServerResponse& response)
    {
        const std::shared_ptr<const accepted_document> configuration =
            gateway_.peers().configuration();
        const organisation* caller_organisation =
            configuration->content.find_organisation(key.organisation);
        caller_stream stream(response);
        if (caller_organisation == nullptr)
        {
            stream.send_answer(key.id,
                               refusal(reason::unknown_organisation,
                                       "the organisation is not configured"));
            return;
        }
        if (!is_authentic(*caller_organisation, request.get("Authorization", "")))
        {
            stream.send_answer(key.id,
                               refusal(reason::unauthenticated,
                                       "the Authorization header has not the "
                                       "organisation's key"));
            return;
        }
        const std::optional<std::string> found = gateway_.find(key);
        if (found)
        {
            send_json(response, status_ok, *found);
            return;
        }
        send_not_found(key, response);
    }

    static void send_not_found(const request_key& key, HTTPServerResponse& response)
    {
        const final_answer answer{{outcome_kind::unknown,
                                   reason::not_found,
                                   "no host remembers a request of that id",
                                   std::nullopt},
                                  "",
                                  ""};
        send_json(response, http_status_of(answer.result), write_answer(key.id, answer));
    }

    void send_page(const std::string& page, HTTPServerResponse& response)
    {
        if (page == "healthz")
        {
            send_json(response, status_ok, "{\"healthy\":true}");
        }
        else if (page == "readyz")
        {
            const bool ready = gateway_.ready();
            send_json(response,
                      ready ? status_ok : status_unavailable,
                      ready ? "{\"ready\":true}" : "{\"ready\":false}");
        }
        else if (page == "metrics")
        {
            const std::string text = gateway_.metrics_page();
            response.setContentType("text/plain; version=0.0.4");
            response.sendBuffer(text.data(), text.size());
        }
        else
        {
            send_unknown_path(response);
        }
    }

    static void send_unknown_path(HTTPServerResponse& response)
    {
        response.setKeepAlive(false);
        caller_stream(response).send_answer(
            request_id(), refusal(reason::not_found, "there is no such path or method"));
    }

    gateway& gateway_;
    const caller_server_settings& settings_;
    body_budget& bodies_;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
  public:
    handler_factory(gateway& local_gateway,
                    const caller_server_settings& settings,
                    body_budget& bodies)
        : gateway_(local_gateway), settings_(settings), bodies_(bodies)
    {
    }

    Poco::Net::HTTPRequestHandler*
    createRequestHandler(const HTTPServerRequest& /*request*/) override
    {
        return new caller_handler(gateway_, settings_, bodies_);
    }

  private:
    gateway& gateway_;
    const caller_server_settings& settings_;
    body_budget& bodies_;
};

class poco_caller_server : public caller_server
{
  public:
    /// @throws Poco::Exception if it cannot listen
    poco_caller_server(const caller_server_settings& settings, gateway& local_gateway)
        : settings_(settings),
          bodies_(settings.max_bodies),
          socket_(settings.listen, backlog),
          threads_(min_threads, settings.max_connections),
          server_(new handler_factory(local_gateway, settings_, bodies_),
                  threads_,
                  socket_,
                  make_params(settings))
    {
        server_.start();
    }

    ~poco_caller_server() override
    {
        server_.stopAll(true);
        threads_.joinAll();
    }

    endpoint where() const override
    {
        return {socket_.address().host().toString(), socket_.address().port()};
    }

    void stop_accepting() override
    {
        server_.stop();
    }

  private:
    static constexpr int backlog = 512;
    static constexpr int min_threads = 2;
    static constexpr int max_queued = 64;

    static Poco::Net::HTTPServerParams::Ptr
    make_params(const caller_server_settings& settings)
    {
        Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams());
        params->setMaxThreads(settings.max_connections);
        params->setMaxQueued(max_queued);
        params->setTimeout(timespan_of(settings.socket_timeout));
        params->setKeepAliveTimeout(timespan_of(settings.keep_alive));
        return params;
    }

    caller_server_settings settings_;
    body_budget bodies_;
    request_server_socket socket_;
    Poco::ThreadPool threads_;
    Poco::Net::HTTPServer server_;
};

} // namespace

absl::StatusOr<std::unique_ptr<caller_server>>
caller_server::create(const caller_server_settings& settings, gateway& local_gateway)
{
    try
    {
        return std::unique_ptr<caller_server>(
            std::make_unique<poco_caller_server>(settings, local_gateway));
    }
    catch (const Poco::Exception& error)
    {
        return make_error(absl::StatusCode::kUnavailable,
                          error_number::bad_setting,
                          absl::StrCat("cannot listen on ",
                                       to_string(settings.listen),
                                       ": ",
                                       error.displayText()));
    }
}

} // namespace medlar
