#ifndef MEDLAR_DETAIL_CLIENT_HTTP_SESSION_HPP
#define MEDLAR_DETAIL_CLIENT_HTTP_SESSION_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/endpoint.hpp>

#include <Poco/Net/HTTPClientSession.h>

#include <istream>
#include <memory>

namespace medlar
{

/// @brief An HTTP connection that gives out no part of an answer as the whole.
///
/// POCO's own session takes the end of the connection, an error or a timeout within a
/// head for the end of the head, and the end of the connection within a body for the end
/// of the body.
/// @note It has no host name, so that POCO cannot reconnect and send a call twice.
class http_session : public Poco::Net::HTTPClientSession
{
  public:
    /// @brief Connects to @p remote.
    /// @throws Poco::Exception if the connection cannot be opened
    static std::unique_ptr<http_session> open(const endpoint& remote,
                                              millis connect_timeout);

    /// @brief Sets the time limit of each call on the socket, at least 1 ms.
    void set_timeout(millis timeout);

    std::ostream& sendRequest(Poco::Net::HTTPRequest& request) override;

    /// @return the body, whose buffer throws Poco::Exception if it does not end as its
    ///     framing states; to be read with the functions of body_reader.hpp
    /// @throws Poco::Exception if the head did not arrive up to its empty line, or has a
    ///     status that the protocol does not have; informational ones are passed over
    std::istream& receiveResponse(Poco::Net::HTTPResponse& response) override;

  private:
    http_session();

    std::istream& receive_head(Poco::Net::HTTPResponse& response);
};

/// @return the status of @p response, also where POCO's enumeration does not have it
/// @note HTTPResponse::getStatus() is undefined for statuses above 511.
int status_of(const Poco::Net::HTTPResponse& response);

} // namespace medlar

#endif // MEDLAR_DETAIL_CLIENT_HTTP_SESSION_HPP
