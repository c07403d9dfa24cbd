#include <medlar/detail/entry/local_reply.hpp>

#include <absl/strings/str_cat.h>

namespace medlar
{

void send_local_reply(const entry_protocol& protocol,
                      caller_exchange& exchange,
                      const attempt_id& attempt,
                      int status,
                      const std::vector<header_field>& more,
                      absl::string_view why)
{
    header_list headers;
    headers.add("Content-Type", "text/plain");
    for (const header_field& each : more)
    {
        headers.add(each.name, each.value);
    }
    protocol.add_attempt(headers, attempt);
    exchange.answer(status, headers, absl::StrCat(why, "\n"));
}

} // namespace medlar
