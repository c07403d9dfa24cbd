#ifndef MEDLAR_DETAIL_ENTRY_LOCAL_REPLY_HPP
#define MEDLAR_DETAIL_ENTRY_LOCAL_REPLY_HPP

#include <medlar/detail/entry/protocol.hpp>
#include <medlar/detail/loop/http_server.hpp>

#include <absl/strings/string_view.h>

namespace medlar
{

/// @brief Sends a text/plain reply that this host generates instead of a target.
/// @param more headers in addition to those of every local reply
void send_local_reply(const entry_protocol& protocol,
                      caller_exchange& exchange,
                      const attempt_id& attempt,
                      int status,
                      const std::vector<header_field>& more,
                      absl::string_view why);

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_LOCAL_REPLY_HPP
