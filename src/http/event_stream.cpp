#include <medlar/detail/http/event_stream.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace medlar
{

namespace
{

std::optional<std::int64_t> id_of(absl::string_view event)
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

/// the end of the first event, after its empty line; npos if it is not whole
std::size_t end_of_event(absl::string_view bytes)
{
    const std::size_t plain = bytes.find("\n\n");
    const std::size_t with_returns = bytes.find("\n\r\n");
    if (plain == bytes.npos && with_returns == bytes.npos)
    {
        return bytes.npos;
    }
    return plain < with_returns ? plain + 2 : with_returns + 3;
}

} // namespace

void event_splitter::add(absl::string_view bytes, const event_action& action)
{
    rest_.append(bytes.data(), bytes.size());
    std::size_t begin = 0;
    while (true)
    {
        const absl::string_view left = absl::string_view(rest_).substr(begin);
        const std::size_t end = end_of_event(left);
        if (end == left.npos)
        {
            break;
        }
        const absl::string_view event = left.substr(0, end);
        action(event, id_of(event));
        begin += end;
    }
    rest_.erase(0, begin);
}

} // namespace medlar
