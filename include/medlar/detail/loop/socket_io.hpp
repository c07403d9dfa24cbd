#ifndef MEDLAR_DETAIL_LOOP_SOCKET_IO_HPP
#define MEDLAR_DETAIL_LOOP_SOCKET_IO_HPP

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstddef>

namespace medlar
{

/// @brief How a call on a non-blocking socket ended
enum class io_status
{
    done,    ///< some bytes were transferred
    blocked, ///< nothing to read now, or no room to write
    closed,  ///< the peer has closed its sending side; all of its bytes were read
    failed,  ///< the connection was reset, or TCP has given it up
};

/// @brief Result of a call on a non-blocking socket
struct io_result
{
    io_status status = io_status::failed;
    std::size_t bytes = 0;
};

/// @brief Returns whether a call on a non-blocking socket has failed or would block.
///
/// POCO throws a TimeoutException for ETIMEDOUT, when TCP has given the connection up,
/// and another exception where a call would block, depending on the call: the error
/// number tells them apart.
inline io_status status_of(const Poco::Exception& error)
{
    const bool is_blocked = error.code() == EAGAIN || error.code() == EWOULDBLOCK;
    return is_blocked ? io_status::blocked : io_status::failed;
}

/// @brief Reads from a non-blocking socket.
inline io_result receive_some(Poco::Net::StreamSocket& socket, void* buffer, int size)
{
    try
    {
        const int received = socket.receiveBytes(buffer, size);
        if (received < 0)
        {
            return {io_status::blocked, 0};
        }
        return {received == 0 ? io_status::closed : io_status::done,
                static_cast<std::size_t>(received)};
    }
    catch (const Poco::Exception& error)
    {
        return {status_of(error), 0};
    }
}

/// @brief Writes as much to a non-blocking socket as it has room for.
inline io_result send_some(Poco::Net::StreamSocket& socket, const void* bytes, int size)
{
    try
    {
        const int sent = socket.sendBytes(bytes, size, MSG_NOSIGNAL);
        return {sent > 0 ? io_status::done : io_status::blocked,
                static_cast<std::size_t>(std::max(0, sent))};
    }
    catch (const Poco::Exception& error)
    {
        return {status_of(error), 0};
    }
}

} // namespace medlar

#endif // MEDLAR_DETAIL_LOOP_SOCKET_IO_HPP
