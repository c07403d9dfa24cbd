#ifndef MEDLAR_TEST_STANDINS_HOST_LIST_SERVER_HPP
#define MEDLAR_TEST_STANDINS_HOST_LIST_SERVER_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/endpoint.hpp>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <memory>
#include <mutex>
#include <string>

namespace standins
{

/// @brief Stand-in for the platform's host list: serves each list that was set after a
/// propagation lag.
class host_list_server
{
  public:
    host_list_server(const medlar::endpoint& where, medlar::millis lag)
        : lag_(lag),
          socket_(Poco::Net::SocketAddress(where.address, where.port)),
          server_(std::make_unique<Poco::Net::HTTPServer>(
              new handler_factory(*this), socket_, new Poco::Net::HTTPServerParams()))
    {
        server_->start();
    }

    ~host_list_server()
    {
        server_->stopAll(true);
    }

    medlar::endpoint where() const
    {
        return {socket_.address().host().toString(), socket_.address().port()};
    }

    /// @brief Sets the list that is served once the lag has passed.
    /// @param list JSON text such as {"hosts": [...]}
    void set(const std::string& list)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        lists_.push_back({clock_.steady_now() + lag_, list});
    }

    /// @brief Returns the list that is served at present.
    std::string current()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        while (lists_.size() > 1 && lists_[1].visible_from <= clock_.steady_now())
        {
            lists_.pop_front();
        }
        return lists_.front().text;
    }

  private:
    struct scheduled_list
    {
        medlar::steady_time visible_from;
        std::string text;
    };

    class handler : public Poco::Net::HTTPRequestHandler
    {
      public:
        explicit handler(host_list_server& owner) : owner_(owner)
        {
        }

        void handleRequest(Poco::Net::HTTPServerRequest& request,
                           Poco::Net::HTTPServerResponse& response) override
        {
            std::string body;
            Poco::StreamCopier::copyToString(request.stream(), body);
            std::string answer = "{}";
            if (request.getURI() == "/v1/hosts")
            {
                answer = owner_.current();
            }
            else if (request.getURI() == "/test/hosts" && nlohmann::json::accept(body))
            {
                owner_.set(body);
            }
            else
            {
                response.setStatus(Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
            }
            response.setContentType("application/json");
            response.sendBuffer(answer.data(), answer.size());
        }

      private:
        host_list_server& owner_;
    };

    class handler_factory : public Poco::Net::HTTPRequestHandlerFactory
    {
      public:
        explicit handler_factory(host_list_server& owner) : owner_(owner)
        {
        }

        Poco::Net::HTTPRequestHandler*
        createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override
        {
            return new handler(owner_);
        }

      private:
        host_list_server& owner_;
    };

    const medlar::millis lag_;
    const medlar::clock clock_ = medlar::clock::system();
    std::mutex mutex_;
    // the list served at present, followed by later ones in order of their times
    std::deque<scheduled_list> lists_{{medlar::steady_time(0), R"({"hosts": []})"}};
    Poco::Net::ServerSocket socket_;
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

} // namespace standins

#endif // MEDLAR_TEST_STANDINS_HOST_LIST_SERVER_HPP
