#include <medlar/detail/base/error.hpp>
#include <medlar/detail/controller/metrics_page.hpp>
#include <medlar/detail/http/unread_body.hpp>
#include <medlar/detail/loop/listening_socket.hpp>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <absl/strings/str_cat.h>

#include <utility>

namespace medlar
{

namespace
{

constexpr int max_threads = 2;
constexpr int max_queued_connections = 16;
constexpr int listen_backlog = 64;

using write_function = std::function<std::string()>;

/// @brief Answers one request.
class page_handler : public Poco::Net::HTTPRequestHandler
{
  public:
    explicit page_handler(const write_function& write) : write_(write)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override
    {
        close_after_unread_body(request, response);
        const bool known = request.getURI() == "/metrics";
        const std::string text = known ? write_() : "no such page\n";
        response.setStatus(known ? Poco::Net::HTTPResponse::HTTP_OK
                                 : Poco::Net::HTTPResponse::HTTP_NOT_FOUND);
        response.setContentType("text/plain; version=0.0.4");
        response.sendBuffer(text.data(), text.size());
    }

  private:
    const write_function& write_;
};

class page_handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
  public:
    explicit page_handler_factory(const write_function& write) : write_(write)
    {
    }

    Poco::Net::HTTPRequestHandler*
    createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override
    {
        return new page_handler(write_);
    }

  private:
    const write_function& write_;
};

/// @brief Implements metrics_page with POCO's HTTP server.
class http_metrics_page : public metrics_page
{
  public:
    http_metrics_page(const endpoint& where, write_function write)
        : write_(std::move(write)), socket_(open_listening_socket(where, listen_backlog))
    {
        auto params =
            Poco::AutoPtr<Poco::Net::HTTPServerParams>(new Poco::Net::HTTPServerParams());
        params->setMaxThreads(max_threads);
        params->setMaxQueued(max_queued_connections);
        server_ = std::make_unique<Poco::Net::HTTPServer>(
            new page_handler_factory(write_), socket_, params);
        server_->start();
    }

    ~http_metrics_page() override
    {
        server_->stopAll(true);
    }

    endpoint where() const override
    {
        return {socket_.address().host().toString(), socket_.address().port()};
    }

  private:
    const write_function write_;
    Poco::Net::ServerSocket socket_;
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

} // namespace

absl::StatusOr<std::unique_ptr<metrics_page>> metrics_page::create(const endpoint& where,
                                                                   write_function write)
{
    try
    {
        std::unique_ptr<metrics_page> page =
            std::make_unique<http_metrics_page>(where, std::move(write));
        return page;
    }
    catch (const Poco::Exception& failure)
    {
        return make_error(
            absl::StatusCode::kUnavailable,
            error_number::bad_setting,
            absl::StrCat(
                "cannot listen on ", to_string(where), ": ", failure.displayText()));
    }
}

} // namespace medlar
