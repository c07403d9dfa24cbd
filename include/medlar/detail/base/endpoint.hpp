#ifndef MEDLAR_DETAIL_BASE_ENDPOINT_HPP
#define MEDLAR_DETAIL_BASE_ENDPOINT_HPP

#include <cstdint>
#include <string>

namespace medlar
{

/// @brief the network address of a process: IP address and port
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const endpoint& a, const endpoint& b)
    {
        return a.address == b.address && a.port == b.port;
    }

    friend bool operator!=(const endpoint& a, const endpoint& b)
    {
        return !(a == b);
    }

    friend bool operator<(const endpoint& a, const endpoint& b)
    {
        return a.address != b.address ? a.address < b.address : a.port < b.port;
    }
};

/// @brief Returns "ADDRESS:PORT".
inline std::string to_string(const endpoint& value)
{
    return value.address + ":" + std::to_string(value.port);
}

} // namespace medlar

#endif // MEDLAR_DETAIL_BASE_ENDPOINT_HPP
