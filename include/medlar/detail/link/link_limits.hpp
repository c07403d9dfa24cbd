#ifndef MEDLAR_DETAIL_LINK_LINK_LIMITS_HPP
#define MEDLAR_DETAIL_LINK_LINK_LIMITS_HPP

#include <medlar/detail/base/clock.hpp>

#include <cstddef>

namespace medlar
{

/// @brief Limits and timeouts of the links, the same on all hosts.
struct link_limits
{
    /// maximum size of a call's body, and of an answer that is not received in parts
    static constexpr std::size_t max_body_bytes = 8UL * 1024 * 1024;
    /// bytes of an answer that may wait to be sent before its handler blocks
    static constexpr std::size_t max_unsent_bytes = 256UL * 1024;
    /// HTTP/2 flow control window of a stream
    static constexpr int stream_window_bytes = 256 * 1024;
    /// HTTP/2 flow control window of a connection
    static constexpr int connection_window_bytes = 32 * 1024 * 1024;
    /// maximum number of connections of a server
    static constexpr std::size_t max_connections = 2048;
    /// maximum number of concurrent streams of a connection
    static constexpr unsigned max_streams_per_connection = 10000;

    /// maximum time to establish a connection
    static constexpr millis connect_timeout{1000};
    /// time without received bytes after which a busy connection sends a PING
    static constexpr millis ping_delay{1000};
    /// time without received bytes after which a busy connection counts as broken
    static constexpr millis silence_timeout{3000};
    /// idle time after which a client closes a connection
    static constexpr millis client_idle_timeout{60000};
    /// idle time after which a server closes a connection
    static constexpr millis server_idle_timeout{180000};
    /// interval at which a busy connection checks its timeouts
    static constexpr millis check_interval{250};
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LINK_LINK_LIMITS_HPP
