#ifndef MEDLAR_DETAIL_ENTRY_OWN_ANSWER_HPP
#define MEDLAR_DETAIL_ENTRY_OWN_ANSWER_HPP

#include <medlar/detail/entry/protocol.hpp>
#include <medlar/detail/loop/http_server.hpp>

#include <absl/strings/string_view.h>

namespace medlar
{

/// @brief Answers a request with a text of this host's own, not a target's.
/// @param more headers besides those that every such answer has
void answer_itself(const entry_protocol& protocol,
                   caller_exchange& exchange,
                   const attempt_id& attempt,
                   int status,
                   const std::vector<header_field>& more,
                   absl::string_view why);

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_OWN_ANSWER_HPP
