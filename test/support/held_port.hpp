#ifndef MEDLAR_TEST_SUPPORT_HELD_PORT_HPP
#define MEDLAR_TEST_SUPPORT_HELD_PORT_HPP

#include <medlar/detail/base/endpoint.hpp>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

namespace medlar::test
{

/// @brief Keeps a loopback port bound while no server of its owner listens there, so that
/// no other program can listen there. Connections to it are refused meanwhile.
class held_port
{
  public:
    /// @throws Poco::Exception if another socket listens there
    explicit held_port(const endpoint& where)
    {
        constexpr bool reuse_address = true;
        constexpr bool reuse_port = false;
        socket_.bind(Poco::Net::SocketAddress(where.address, where.port),
                     reuse_address,
                     reuse_port);
        socket_.setReuseAddress(false);
    }

    /// @brief Runs an action that opens a listening socket at the port.
    template <typename Action>
    void share_with(const Action& open_listener)
    {
        // the kernel lets two sockets share a port only if both permit it at that moment
        socket_.setReuseAddress(true);
        open_listener();
        socket_.setReuseAddress(false);
    }

  private:
    Poco::Net::ServerSocket socket_;
};

} // namespace medlar::test

#endif // MEDLAR_TEST_SUPPORT_HELD_PORT_HPP
