#include "http.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>
#include <cppunit/TestAssert.h>

#include <chrono>
#include <thread>

namespace medlar::testing
{

namespace
{

constexpr int call_timeout_s = 30;
constexpr std::chrono::seconds hang_timeout(60);
constexpr std::chrono::milliseconds poll_interval(20);

http_reply
call(const endpoint& where, Poco::Net::HTTPRequest& request, const std::string& body)
{
    http_reply reply;
    try
    {
        Poco::Net::HTTPClientSession session(where.address, where.port);
        session.setTimeout(Poco::Timespan(call_timeout_s, 0));
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::istream& in = session.receiveResponse(response);
        Poco::StreamCopier::copyToString(in, reply.text);
        reply.status = response.getStatus();
    }
    catch (const Poco::Exception&)
    {
        reply.status = 0;
    }
    return reply;
}

} // namespace

nlohmann::json http_reply::json() const
{
    return nlohmann::json::parse(text, nullptr, false);
}

http_reply http_get(const endpoint& where, const std::string& path)
{
    Poco::Net::HTTPRequest request("GET", path, "HTTP/1.1");
    return call(where, request, "");
}

http_reply
http_post(const endpoint& where, const std::string& path, const nlohmann::json& body)
{
    Poco::Net::HTTPRequest request("POST", path, "HTTP/1.1");
    request.setContentType("application/json");
    return call(where, request, body.dump());
}

void wait_until(const std::string& what, const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + hang_timeout;
    while (!condition())
    {
        CPPUNIT_ASSERT_MESSAGE("timed out waiting for: " + what,
                               std::chrono::steady_clock::now() < end);
        std::this_thread::sleep_for(poll_interval);
    }
}

std::int64_t wall_now_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace medlar::testing
