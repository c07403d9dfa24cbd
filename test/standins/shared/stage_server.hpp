#ifndef MEDLAR_TEST_STANDINS_STAGE_SERVER_HPP
#define MEDLAR_TEST_STANDINS_STAGE_SERVER_HPP

#include "standins/shared/switches.hpp"
#include "standins/shared/work.hpp"

#include <medlar/detail/base/endpoint.hpp>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>

namespace standins
{

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/// @brief A call received by a target.
struct received_call
{
    std::string path;
    nlohmann::json body;
    HTTPServerRequest& request;
    HTTPServerResponse& response;

    /// @brief Returns a string field of the body, or "" if there is none.
    std::string text(const char* name) const
    {
        return body.is_object() ? body.value(name, std::string()) : std::string();
    }

    /// @brief Returns an integer field of the body, or 0 if there is none.
    std::int64_t number(const char* name) const
    {
        return body.is_object() ? body.value(name, std::int64_t{0}) : 0;
    }

    void reply(int status, const nlohmann::json& answer) const
    {
        const std::string text = answer.dump();
        response.setStatus(static_cast<HTTPServerResponse::HTTPStatus>(status));
        response.setContentType("application/json");
        response.sendBuffer(text.data(), text.size());
    }

    /// @brief Closes the connection without a response.
    void drop() const
    {
        auto& request_impl = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
        request_impl.socket().shutdown();
        response.setKeepAlive(false);
    }
};

/// @brief HTTP server with the paths that stand-ins of engines and plain services share.
class stage_server
{
  public:
    /// @brief Executes a stage call that holds a slot, and sends the response.
    using run_function = std::function<void(received_call&, const switches&)>;
    /// @brief Serves a path that is not shared.
    /// @return false if the path is unknown
    using fallback_function = std::function<bool(received_call&)>;

    stage_server(const medlar::endpoint& where,
                 work& shared,
                 run_function run,
                 fallback_function fallback)
        : work_(shared),
          run_(std::move(run)),
          fallback_(std::move(fallback)),
          socket_(Poco::Net::SocketAddress(where.address, where.port), backlog)
    {
        auto params =
            Poco::AutoPtr<Poco::Net::HTTPServerParams>(new Poco::Net::HTTPServerParams());
        params->setMaxThreads(max_threads);
        params->setMaxQueued(max_threads);
        server_ = std::make_unique<Poco::Net::HTTPServer>(
            new handler_factory(*this), threads_, socket_, params);
        server_->start();
    }

    ~stage_server()
    {
        server_->stopAll(true);
        threads_.stopAll();
    }

    medlar::endpoint where() const
    {
        return {socket_.address().host().toString(), socket_.address().port()};
    }

    switchboard& board()
    {
        return board_;
    }

  private:
    static constexpr int backlog = 512;
    static constexpr int max_threads = 1024;

    class handler : public Poco::Net::HTTPRequestHandler
    {
      public:
        explicit handler(stage_server& owner) : owner_(owner)
        {
        }

        void handleRequest(HTTPServerRequest& request,
                           HTTPServerResponse& response) override
        {
            std::string text;
            Poco::StreamCopier::copyToString(request.stream(), text);
            received_call call{request.getURI(),
                               text.empty() ? nlohmann::json()
                                            : nlohmann::json::parse(text, nullptr, false),
                               request,
                               response};
            owner_.serve(call);
        }

      private:
        stage_server& owner_;
    };

    class handler_factory : public Poco::Net::HTTPRequestHandlerFactory
    {
      public:
        explicit handler_factory(stage_server& owner) : owner_(owner)
        {
        }

        Poco::Net::HTTPRequestHandler*
        createRequestHandler(const HTTPServerRequest& /*request*/) override
        {
            return new handler(owner_);
        }

      private:
        stage_server& owner_;
    };

    void serve(received_call& call)
    {
        if (call.path == "/v1/stage")
        {
            serve_stage(call);
        }
        else if (call.path == "/v1/cancel")
        {
            work_.cancel(call.text("call_id"));
            call.reply(200, {{"cancelled", true}});
        }
        else if (call.path == "/v1/load")
        {
            serve_load(call);
        }
        else if (call.path == "/test/executions")
        {
            call.reply(200, {{"executions", work_.executions()}});
        }
        else if (call.path == "/test/switches")
        {
            board_.set(call.body.get<switches>());
            call.reply(200, nlohmann::json::object());
        }
        else if (!fallback_(call))
        {
            call.reply(404, nlohmann::json::object());
        }
    }

    void serve_stage(received_call& call)
    {
        const switches faults = board_.take();
        if (faults.drop_before)
        {
            call.drop();
            return;
        }
        if (faults.leaving || faults.refuse)
        {
            const nlohmann::json leaving = {{"not_run", true}, {"leaving", true}};
            const nlohmann::json busy = {{"not_run", true}, {"retry_after_ms", 50}};
            call.reply(503, faults.leaving ? leaving : busy);
            return;
        }
        const std::string call_id = call.text("call_id");
        work_.begin(call_id);
        const slot held(work_, call_id, static_cast<int>(call.number("priority")));
        if (!held.held())
        {
            call.reply(503, {{"not_run", true}, {"cancelled", true}});
            return;
        }
        constexpr double us_per_ms = 1000;
        work_.spend(call_id, faults.delay_ms * us_per_ms);
        if (faults.fail != 0)
        {
            call.reply(faults.fail, {{"error", "failed on purpose"}});
            return;
        }
        run_(call, faults);
    }

    void serve_load(received_call& call)
    {
        const load_sample sample = work_.reported();
        const medlar::millis age = medlar::clock::system().steady_now() - sample.at;
        call.reply(200,
                   {{"running", sample.running},
                    {"queued", sample.queued},
                    {"slots", work_.slots()},
                    {"age_ms", age.count()}});
    }

    work& work_;
    run_function run_;
    fallback_function fallback_;
    switchboard board_;
    Poco::Net::ServerSocket socket_;
    Poco::ThreadPool threads_{2, max_threads};
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

} // namespace standins

#endif // MEDLAR_TEST_STANDINS_STAGE_SERVER_HPP
