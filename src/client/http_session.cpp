#include <medlar/detail/client/http_session.hpp>
#include <medlar/detail/http/status.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <atomic>
#include <sstream>
#include <string>

namespace medlar
{

namespace
{

constexpr std::int64_t us_per_ms = 1000;
constexpr millis min_timeout{1};

// heads with an informational status that may precede the one of the answer; a server
// that sends more does not answer
constexpr int max_informational = 16;

Poco::Timespan timespan_of(millis span)
{
    return {std::max(span, min_timeout).count() * us_per_ms};
}

/// @brief A socket at which the end of the peer's bytes is an error where no message may
/// end.
class answer_socket_impl : public Poco::Net::StreamSocketImpl
{
  public:
    using StreamSocketImpl::receiveBytes;

    /// @throws Poco::Net::ConnectionAbortedException at an end that is not allowed
    int receiveBytes(void* buffer, int length, int flags) override
    {
        const int received = StreamSocketImpl::receiveBytes(buffer, length, flags);
        if (received == 0 && (!end_allowed_ || is_shut_down_))
        {
            throw Poco::Net::ConnectionAbortedException(
                "the connection ended within a message");
        }
        return received;
    }

    void shutdown() override
    {
        is_shut_down_ = true;
        StreamSocketImpl::shutdown();
    }

    void allow_end(bool allowed)
    {
        end_allowed_ = allowed;
    }

  private:
    bool end_allowed_ = false;
    // another thread may shut the socket down
    std::atomic<bool> is_shut_down_{false};
};

answer_socket_impl& answer_socket_of(http_session& session)
{
    return dynamic_cast<answer_socket_impl&>(*session.socket().impl());
}

} // namespace

std::unique_ptr<http_session> http_session::open(const endpoint& remote,
                                                 millis connect_timeout)
{
    std::unique_ptr<http_session> session(new http_session());
    session->socket().connect(Poco::Net::SocketAddress(remote.address, remote.port),
                              timespan_of(connect_timeout));
    session->socket().setNoDelay(true);
    session->setKeepAlive(true);
    return session;
}

http_session::http_session()
    : HTTPClientSession(Poco::Net::StreamSocket(new answer_socket_impl()))
{
}

void http_session::set_timeout(millis timeout)
{
    socket().setReceiveTimeout(timespan_of(timeout));
    socket().setSendTimeout(timespan_of(timeout));
}

std::ostream& http_session::sendRequest(Poco::Net::HTTPRequest& request)
{
    answer_socket_of(*this).allow_end(false);
    return HTTPClientSession::sendRequest(request);
}

std::istream& http_session::receiveResponse(Poco::Net::HTTPResponse& response)
{
    std::istream* body = &receive_head(response);
    for (int i = 0; i < max_informational && is_informational(status_of(response)); ++i)
    {
        body = &receive_head(response);
    }
    if (!is_of_protocol(status_of(response)) || is_informational(status_of(response)))
    {
        throw Poco::Net::MessageException("the status of the answer is not valid");
    }
    return *body;
}

std::istream& http_session::receive_head(Poco::Net::HTTPResponse& response)
{
    answer_socket_of(*this).allow_end(false);
    std::istream& body = HTTPClientSession::receiveResponse(response);
    // the stream that POCO parses the head from hides the errors of the socket
    if (const Poco::Exception* error = networkException())
    {
        error->rethrow();
    }
    const bool ends_with_connection =
        !response.hasContentLength() && !response.getChunkedTransferEncoding();
    answer_socket_of(*this).allow_end(ends_with_connection);
    return body;
}

int status_of(const Poco::Net::HTTPResponse& response)
{
    // POCO writes the number itself: the status line is "HTTP/1.1 200 OK"
    std::ostringstream head;
    response.write(head);
    std::istringstream line(head.str());
    std::string version;
    int status = 0;
    line >> version >> status;
    return status;
}

} // namespace medlar
