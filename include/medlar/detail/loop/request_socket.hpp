#ifndef MEDLAR_DETAIL_LOOP_REQUEST_SOCKET_HPP
#define MEDLAR_DETAIL_LOOP_REQUEST_SOCKET_HPP

#include <medlar/detail/base/endpoint.hpp>

#include <Poco/AutoPtr.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <unistd.h>

namespace medlar
{

/// @brief An accepted socket at which the end of the caller's bytes is an error: no
/// request ends with its connection. POCO's server takes it for the end of a head or of
/// chunks.
class request_socket_impl : public Poco::Net::StreamSocketImpl
{
  public:
    using StreamSocketImpl::receiveBytes;

    explicit request_socket_impl(poco_socket_t descriptor) : StreamSocketImpl(descriptor)
    {
    }

    /// @throws Poco::Net::ConnectionAbortedException at the end
    int receiveBytes(void* buffer, int length, int flags) override
    {
        const int received = StreamSocketImpl::receiveBytes(buffer, length, flags);
        if (received == 0)
        {
            throw Poco::Net::ConnectionAbortedException("the caller has sent all");
        }
        return received;
    }
};

/// @brief A listening socket that accepts connections as request_socket_impl.
class request_listener_impl : public Poco::Net::ServerSocketImpl
{
  public:
    Poco::Net::SocketImpl*
    acceptConnection(Poco::Net::SocketAddress& caller_address) override
    {
        const Poco::AutoPtr<Poco::Net::SocketImpl> accepted(
            ServerSocketImpl::acceptConnection(caller_address));
        return new request_socket_impl(::dup(accepted->sockfd()));
    }
};

/// @brief Listens like open_listening_socket(), for a server of POCO.
class request_server_socket : public Poco::Net::ServerSocket
{
  public:
    /// @param where port 0 takes any free one
    /// @throws Poco::Exception if the address cannot be used
    request_server_socket(const endpoint& where, int backlog)
        : ServerSocket(new request_listener_impl(), true)
    {
        constexpr bool reuse_address = true;
        constexpr bool reuse_port = false;
        bind(Poco::Net::SocketAddress(where.address, where.port),
             reuse_address,
             reuse_port);
        listen(backlog);
    }
};

/// @brief Returns whether the head of a request arrived up to its empty line; to be
/// called before its body is read.
inline bool has_whole_head(Poco::Net::HTTPServerRequest& request)
{
    auto& request_impl = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
    return request_impl.session().networkException() == nullptr;
}

} // namespace medlar

#endif // MEDLAR_DETAIL_LOOP_REQUEST_SOCKET_HPP
