#ifndef MEDLAR_DETAIL_LOOP_SERVER_LIMITS_HPP
#define MEDLAR_DETAIL_LOOP_SERVER_LIMITS_HPP

#include <medlar/detail/base/clock.hpp>

#include <cstddef>

namespace medlar
{

/// @brief what a caller may send, and how long it may take
struct server_limits
{
    std::size_t head_bytes = 16384;
    std::size_t body_bytes = 1048576;
    /// for a whole head, from its first byte
    millis head_timeout{5000};
    /// between requests on one connection, and between two parts of a body
    millis idle_timeout{30000};
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOOP_SERVER_LIMITS_HPP
