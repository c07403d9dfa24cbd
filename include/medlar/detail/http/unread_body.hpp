#ifndef MEDLAR_DETAIL_HTTP_UNREAD_BODY_HPP
#define MEDLAR_DETAIL_HTTP_UNREAD_BODY_HPP

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace medlar
{

/// @brief Ends the connection after the answer if the request, whose body is not read,
/// has one: POCO would take its bytes for the next request.
inline void close_after_unread_body(const Poco::Net::HTTPServerRequest& request,
                                    Poco::Net::HTTPServerResponse& response)
{
    const bool is_sized = request.hasContentLength() && request.getContentLength64() != 0;
    if (is_sized || request.getChunkedTransferEncoding())
    {
        response.setKeepAlive(false);
    }
}

} // namespace medlar

#endif // MEDLAR_DETAIL_HTTP_UNREAD_BODY_HPP
