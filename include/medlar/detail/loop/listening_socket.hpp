#ifndef MEDLAR_DETAIL_LOOP_LISTENING_SOCKET_HPP
#define MEDLAR_DETAIL_LOOP_LISTENING_SOCKET_HPP

#include <medlar/detail/base/endpoint.hpp>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

namespace medlar
{

/// @brief Listens at an address that no other socket listens at. A socket that is opened
/// with POCO's defaults would share the connections to it.
/// @param where port 0 takes any free one
/// @throws Poco::Exception if the address cannot be used
inline Poco::Net::ServerSocket open_listening_socket(const endpoint& where, int backlog)
{
    constexpr bool reuse_address = true;
    constexpr bool reuse_port = false;
    Poco::Net::ServerSocket socket;
    socket.bind(
        Poco::Net::SocketAddress(where.address, where.port), reuse_address, reuse_port);
    socket.listen(backlog);
    return socket;
}

} // namespace medlar

#endif // MEDLAR_DETAIL_LOOP_LISTENING_SOCKET_HPP
