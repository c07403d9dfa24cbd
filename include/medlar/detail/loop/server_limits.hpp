#ifndef MEDLAR_DETAIL_LOOP_SERVER_LIMITS_HPP
#define MEDLAR_DETAIL_LOOP_SERVER_LIMITS_HPP

#include <medlar/detail/base/clock.hpp>

#include <cstddef>

namespace medlar
{

/// @brief Limits on the size and duration of a caller's requests.
struct server_limits
{
    /// maximum size of a request's head
    std::size_t max_head_bytes = 16384;
    /// maximum size of a request's body, decoded
    std::size_t max_body_bytes = 1048576;
    /// maximum time from the first byte of a head to its end
    millis head_timeout{5000};
    /// maximum time between requests on a connection, and between two reads of a body
    millis idle_timeout{30000};
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOOP_SERVER_LIMITS_HPP
