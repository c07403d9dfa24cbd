#ifndef MEDLAR_TEST_SOAK_TARGET_REQUEST_HPP
#define MEDLAR_TEST_SOAK_TARGET_REQUEST_HPP

#include <absl/strings/string_view.h>
#include <sys/types.h>

#include <cstdint>

namespace medlar::soak
{

/// @brief Returns whether bytes on a connection to a target begin a request, or a call
/// with work items of a stage, that the target does not answer with 421. Questions for
/// its start and calls that free results are no requests.
/// @param id the target's id
bool begins_request(absl::string_view bytes, absl::string_view id);

/// @brief Returns whether a process has the loopback connection from port @p from to port
/// @p to; not if it has closed it, or has ended.
bool owns_connection(pid_t process, std::uint16_t from, std::uint16_t to);

} // namespace medlar::soak

#endif // MEDLAR_TEST_SOAK_TARGET_REQUEST_HPP
