#ifndef MEDLAR_DETAIL_LINK_LINK_LIMITS_HPP
#define MEDLAR_DETAIL_LINK_LINK_LIMITS_HPP

#include <medlar/detail/base/clock.hpp>

#include <cstddef>

namespace medlar
{

/// @brief Bounds and durations of the links, equal on all hosts.
struct link_limits
{
    /// most bytes of a call's body, and of an answer that is not taken part by part
    static constexpr std::size_t max_body_bytes = 8UL * 1024 * 1024;
    /// most bytes of an answer that wait for the network at its sender
    static constexpr std::size_t max_unsent_bytes = 256UL * 1024;
    /// flow control window of a stream
    static constexpr int stream_window_bytes = 256 * 1024;
    /// flow control window of a connection
    static constexpr int connection_window_bytes = 32 * 1024 * 1024;
    /// most connections that a server holds
    static constexpr std::size_t max_connections = 2048;
    /// most streams that a connection may have open
    static constexpr unsigned max_streams_per_connection = 10000;

    /// how long a connection may take to open
    static constexpr millis connect_timeout{1000};
    /// how long a peer may be silent before it is asked for a sign of life
    static constexpr millis ping_delay{1000};
    /// how long a peer may be silent before its connection counts as broken
    static constexpr millis silence_timeout{3000};
    /// how long a client keeps a connection that it does not use
    static constexpr millis client_idle_timeout{60000};
    /// how long a server keeps a connection that is not used
    static constexpr millis server_idle_timeout{180000};
    /// how often a connection with open streams is looked after
    static constexpr millis check_interval{250};
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LINK_LINK_LIMITS_HPP
