#include <medlar/detail/http/head_parser.hpp>
#include <medlar/detail/http/status.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>

namespace medlar
{

namespace
{

// each number of 18 decimal digits is below 2^63 (RFC 9112 asks to guard against
// overflow)
constexpr std::size_t max_length_digits = 18;

bool is_token(absl::string_view text)
{
    constexpr absl::string_view token_punctuation = "!#$%&'*+-.^_`|~";
    return !text.empty() &&
           std::all_of(text.begin(),
                       text.end(),
                       [&](char c)
                       {
                           return absl::ascii_isalnum(c) ||
                                  token_punctuation.find(c) != token_punctuation.npos;
                       });
}

bool has_control_character(absl::string_view text)
{
    return std::any_of(text.begin(),
                       text.end(),
                       [](char c)
                       {
                           return c != '\t' &&
                                  absl::ascii_iscntrl(static_cast<unsigned char>(c));
                       });
}

std::optional<head_error> parse_header_line(absl::string_view line, header_list& headers)
{
    if (line.front() == ' ' || line.front() == '\t')
    {
        return head_error{400, "a header line is folded"};
    }
    const std::size_t colon = line.find(':');
    if (colon == absl::string_view::npos || !is_token(line.substr(0, colon)))
    {
        return head_error{400, "a header line has no valid name"};
    }
    const absl::string_view value = absl::StripAsciiWhitespace(line.substr(colon + 1));
    if (has_control_character(value))
    {
        return head_error{400, "a header value has control characters"};
    }
    headers.add(std::string(line.substr(0, colon)), std::string(value));
    return std::nullopt;
}

/// parses the lines between the first line and the empty line
std::optional<head_error> parse_header_lines(absl::string_view lines,
                                             header_list& headers)
{
    while (!lines.empty())
    {
        const std::size_t end = lines.find("\r\n");
        const absl::string_view line = lines.substr(0, end);
        if (line.find('\n') != line.npos || line.find('\r') != line.npos)
        {
            return head_error{400, "a header line does not end with CR LF"};
        }
        if (std::optional<head_error> error = parse_header_line(line, headers))
        {
            return error;
        }
        lines =
            end == absl::string_view::npos ? absl::string_view() : lines.substr(end + 2);
    }
    return std::nullopt;
}

std::optional<head_error> parse_framing(const header_list& headers, body_framing& framing)
{
    const std::size_t lengths = headers.count("content-length");
    const std::size_t codings = headers.count("transfer-encoding");
    if (lengths > 1 || codings > 1 || (lengths == 1 && codings == 1))
    {
        return head_error{400, "the length of the body is stated twice"};
    }
    if (codings == 1)
    {
        if (!absl::EqualsIgnoreCase(headers.get("transfer-encoding"), "chunked"))
        {
            return head_error{501, "the transfer encoding is not chunked"};
        }
        framing.kind = body_kind::chunked;
        return std::nullopt;
    }
    if (lengths == 0)
    {
        return std::nullopt;
    }
    const absl::string_view text = headers.get("content-length");
    if (text.empty() || text.size() > max_length_digits ||
        !std::all_of(text.begin(), text.end(), absl::ascii_isdigit) ||
        !absl::SimpleAtoi(text, &framing.length))
    {
        return head_error{400, "the length of the body is not a number"};
    }
    framing.kind = framing.length == 0 ? body_kind::none : body_kind::length;
    return std::nullopt;
}

/// returns the offset behind the empty line of the head; npos if the head is incomplete
std::size_t end_of_head(absl::string_view bytes)
{
    const std::size_t end = bytes.find("\r\n\r\n");
    return end == absl::string_view::npos ? end : end + 4;
}

std::optional<int> parse_minor_version(absl::string_view version)
{
    if (version == "HTTP/1.1")
    {
        return 1;
    }
    if (version == "HTTP/1.0")
    {
        return 0;
    }
    return std::nullopt;
}

std::optional<head_error> parse_request_line(absl::string_view line, request_head& head)
{
    const std::size_t first = line.find(' ');
    const std::size_t last = line.rfind(' ');
    if (first == absl::string_view::npos || first == last)
    {
        return head_error{400, "the request line has not three parts"};
    }
    const absl::string_view target = line.substr(first + 1, last - first - 1);
    const std::optional<int> minor = parse_minor_version(line.substr(last + 1));
    if (!minor)
    {
        return head_error{505, "the version is not HTTP/1.1 or HTTP/1.0"};
    }
    if (!is_token(line.substr(0, first)) || target.empty() || target.front() != '/' ||
        target.find(' ') != target.npos || has_control_character(target) ||
        target.find('\t') != target.npos)
    {
        return head_error{400, "the request line is not valid"};
    }
    head.method = std::string(line.substr(0, first));
    head.target = std::string(target);
    head.minor_version = *minor;
    return std::nullopt;
}

std::optional<head_error> parse_status_line(absl::string_view line, answer_head& head)
{
    constexpr std::size_t status_at = 9;
    constexpr std::size_t status_end = 12;
    const std::optional<int> minor = parse_minor_version(line.substr(0, status_at - 1));
    if (!minor || line.size() < status_end || line[status_at - 1] != ' ' ||
        !absl::SimpleAtoi(line.substr(status_at, 3), &head.status) ||
        !is_of_protocol(head.status) ||
        (line.size() > status_end && line[status_end] != ' ') ||
        has_control_character(line))
    {
        return head_error{502, "the status line is not valid"};
    }
    head.minor_version = *minor;
    head.reason_phrase = line.size() > status_end + 1
                             ? std::string(line.substr(status_end + 1))
                             : std::string();
    return std::nullopt;
}

/// returns whether a line feed without carriage return makes the head invalid
bool has_bare_line_feed(absl::string_view bytes)
{
    for (std::size_t at = bytes.find('\n'); at != absl::string_view::npos;
         at = bytes.find('\n', at + 1))
    {
        if (at == 0 || bytes[at - 1] != '\r')
        {
            return true;
        }
    }
    return false;
}

template <typename Head, typename FirstLine>
head_result<Head>
parse_head(absl::string_view bytes, std::size_t max_bytes, FirstLine parse_first_line)
{
    const std::size_t end = end_of_head(bytes);
    if (has_bare_line_feed(bytes.substr(0, end)))
    {
        return head_error{400, "a line does not end with CR LF"};
    }
    if (end == absl::string_view::npos ? bytes.size() > max_bytes : end > max_bytes)
    {
        return head_error{431, "the head is too large"};
    }
    if (end == absl::string_view::npos)
    {
        return head_incomplete{};
    }
    const absl::string_view text = bytes.substr(0, end - 4);
    const std::size_t line_end = text.find("\r\n");
    parsed_head<Head> result;
    result.consumed = end;
    if (std::optional<head_error> error =
            parse_first_line(text.substr(0, line_end), result.head))
    {
        return *error;
    }
    const absl::string_view lines = line_end == absl::string_view::npos
                                        ? absl::string_view()
                                        : text.substr(line_end + 2);
    if (std::optional<head_error> error = parse_header_lines(lines, result.head.headers))
    {
        return *error;
    }
    if (std::optional<head_error> error =
            parse_framing(result.head.headers, result.head.framing))
    {
        return *error;
    }
    return result;
}

} // namespace

head_result<request_head> parse_request_head(absl::string_view bytes,
                                             std::size_t max_bytes)
{
    head_result<request_head> result =
        parse_head<request_head>(bytes, max_bytes, parse_request_line);
    const auto* parsed = std::get_if<parsed_head<request_head>>(&result);
    if (parsed == nullptr)
    {
        return result;
    }
    const request_head& head = parsed->head;
    if (head.headers.count("host") != 1)
    {
        return head_error{400, "the request has not one Host"};
    }
    if (head.minor_version == 0 && head.framing.kind == body_kind::chunked)
    {
        return head_error{400, "chunks need HTTP/1.1"};
    }
    return result;
}

head_result<answer_head>
parse_answer_head(absl::string_view bytes, std::size_t max_bytes, bool is_head_request)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    head_result<answer_head> result =
        parse_head<answer_head>(bytes, max_bytes, parse_status_line);
    auto* parsed = std::get_if<parsed_head<answer_head>>(&result);
    if (parsed == nullptr)
    {
        return result;
    }
    answer_head& head = parsed->head;
    const bool bodiless = is_head_request || is_informational(head.status) ||
                          head.status == no_content || head.status == not_modified;
    if (bodiless)
    {
        head.framing = {};
    }
    else if (head.framing.kind == body_kind::none &&
             head.headers.count("content-length") == 0)
    {
        head.framing.kind = body_kind::until_close;
    }
    return result;
}

} // namespace medlar
