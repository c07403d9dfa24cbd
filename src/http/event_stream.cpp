#include <medlar/detail/http/event_stream.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace medlar
{

namespace
{

std::optional<std::int64_t> parse_event_id(absl::string_view event)
{
    for (absl::string_view line : absl::StrSplit(event, '\n'))
    {
        std::int64_t id = 0;
        if (absl::ConsumePrefix(&line, "id:") &&
            absl::SimpleAtoi(absl::StripAsciiWhitespace(line), &id))
        {
            return id;
        }
    }
    return std::nullopt;
}

/// returns the offset behind the empty line of the first event; npos if it is incomplete
std::size_t end_of_event(absl::string_view bytes)
{
    const std::size_t after_lf = bytes.find("\n\n");
    const std::size_t after_crlf = bytes.find("\n\r\n");
    if (after_lf == bytes.npos && after_crlf == bytes.npos)
    {
        return bytes.npos;
    }
    return after_lf < after_crlf ? after_lf + 2 : after_crlf + 3;
}

} // namespace

bool carries_data(absl::string_view event)
{
    for (const absl::string_view line : absl::StrSplit(event, '\n'))
    {
        if (absl::StartsWith(line, "data:") ||
            absl::StripTrailingAsciiWhitespace(line) == "data")
        {
            return true;
        }
    }
    return false;
}

void event_splitter::add(absl::string_view bytes, const event_action& action)
{
    buffer_.append(bytes.data(), bytes.size());
    std::size_t begin = 0;
    while (true)
    {
        const absl::string_view remaining = absl::string_view(buffer_).substr(begin);
        const std::size_t end = end_of_event(remaining);
        if (end == remaining.npos)
        {
            break;
        }
        const absl::string_view event = remaining.substr(0, end);
        action(event, parse_event_id(event));
        begin += end;
    }
    buffer_.erase(0, begin);
}

} // namespace medlar
