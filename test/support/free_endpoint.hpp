#ifndef MEDLAR_TEST_SUPPORT_FREE_ENDPOINT_HPP
#define MEDLAR_TEST_SUPPORT_FREE_ENDPOINT_HPP

#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/loop/listening_socket.hpp>

#include <Poco/Exception.h>

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <random>
#include <set>
#include <stdexcept>

namespace medlar::test
{

/// @brief Ports from @a first up to @a last, both included.
struct port_range
{
    std::uint32_t first;
    std::uint32_t last;
};

/// @brief Returns the ports that the kernel gives to outgoing connections.
inline port_range outgoing_ports()
{
    port_range found{32768, 60999};
    std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> found.first >> found.last;
    return found;
}

/// @brief Returns the larger of the two ranges beside the ports of outgoing connections.
inline port_range server_ports()
{
    const port_range outgoing = outgoing_ports();
    const port_range below{10000, std::max(outgoing.first, 1u) - 1};
    const port_range above{outgoing.last + 1, 65535};
    const auto size = [](const port_range& each)
    {
        return each.last < each.first ? 0 : each.last - each.first + 1;
    };
    return size(below) >= size(above) ? below : above;
}

/// @brief Reserves a port for a server of this process.
/// @return false if it is reserved, or another socket listens there
inline bool reserve_port(const endpoint& where)
{
    static std::set<std::uint16_t> used_ports;
    try
    {
        open_listening_socket(where, 1);
    }
    catch (const Poco::Exception&)
    {
        return false;
    }
    return used_ports.insert(where.port).second;
}

/// @brief Returns a loopback address with a free port, each only once: nothing may listen
/// there yet when the next one is chosen, and no outgoing connection takes it meanwhile.
/// @throw std::runtime_error if no port is free
inline endpoint free_endpoint()
{
    static const port_range ports = server_ports();
    static std::uint32_t next =
        ports.first + std::random_device{}() % (ports.last - ports.first + 1);
    for (std::uint32_t tries = ports.first; tries <= ports.last; ++tries)
    {
        const endpoint found{"127.0.0.1", static_cast<std::uint16_t>(next)};
        next = next == ports.last ? ports.first : next + 1;
        if (reserve_port(found))
        {
            return found;
        }
    }
    throw std::runtime_error("no port is free for a server");
}

/// @brief Returns a loopback address like free_endpoint() whose next port is free, too.
/// @throw std::runtime_error if no port is free
inline endpoint free_endpoint_pair()
{
    for (;;)
    {
        const endpoint first = free_endpoint();
        if (first.port < server_ports().last &&
            reserve_port({first.address, static_cast<std::uint16_t>(first.port + 1)}))
        {
            return first;
        }
    }
}

} // namespace medlar::test

#endif
