#include <medlar/detail/http/body_decoder.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace medlar
{

namespace
{

// 12 hexadecimal digits: sizes below 2^48, so that no arithmetic on them overflows
constexpr std::size_t max_size_digits = 12;

// limit for a chunk-size line, including chunk extensions, and for a trailer line
constexpr std::size_t max_line_bytes = 1024;

// limit for all trailer lines, which are not used
constexpr std::size_t max_trailer_bytes = 16384;

bool parse_chunk_size(absl::string_view line, std::uint64_t& size)
{
    const absl::string_view digits =
        absl::StripTrailingAsciiWhitespace(line.substr(0, line.find(';')));
    if (digits.empty() || digits.size() > max_size_digits ||
        !std::all_of(digits.begin(), digits.end(), absl::ascii_isxdigit))
    {
        return false;
    }
    size = 0;
    for (const char digit : digits)
    {
        const int value = absl::ascii_isdigit(digit)
                              ? digit - '0'
                              : absl::ascii_tolower(digit) - 'a' + 10;
        size = size * 16 + static_cast<std::uint64_t>(value);
    }
    return true;
}

} // namespace

body_decoder::body_decoder(body_framing framing) : remaining_(framing.length)
{
    switch (framing.kind)
    {
        case body_kind::none:
            state_ = state::done;
            break;
        case body_kind::length:
            state_ = state::fixed_length;
            break;
        case body_kind::chunked:
            state_ = state::chunk_size;
            break;
        case body_kind::until_close:
            state_ = state::until_close;
            break;
    }
}

std::size_t body_decoder::decode(absl::string_view bytes, std::string& out)
{
    std::size_t consumed = 0;
    while (consumed < bytes.size() && state_ != state::done && state_ != state::failed)
    {
        const absl::string_view remaining = bytes.substr(consumed);
        const bool in_data = state_ == state::fixed_length ||
                             state_ == state::until_close || state_ == state::chunk_data;
        const std::size_t step =
            in_data ? copy_data(remaining, out) : decode_line(remaining);
        if (step == 0)
        {
            break;
        }
        consumed += step;
    }
    return consumed;
}

std::size_t body_decoder::copy_data(absl::string_view bytes, std::string& out)
{
    if (state_ == state::until_close)
    {
        out.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    const std::size_t size =
        static_cast<std::size_t>(std::min<std::uint64_t>(remaining_, bytes.size()));
    out.append(bytes.data(), size);
    remaining_ -= size;
    if (remaining_ == 0)
    {
        state_ = state_ == state::fixed_length ? state::done : state::chunk_end;
    }
    return size;
}

std::size_t body_decoder::decode_line(absl::string_view bytes)
{
    const std::size_t line_feed = bytes.find('\n');
    if (line_feed == absl::string_view::npos)
    {
        if (bytes.size() > max_line_bytes)
        {
            state_ = state::failed;
        }
        return 0;
    }
    if (line_feed == 0 || bytes[line_feed - 1] != '\r' || line_feed > max_line_bytes)
    {
        state_ = state::failed;
        return 0;
    }
    const absl::string_view line = bytes.substr(0, line_feed - 1);
    if (state_ == state::chunk_size)
    {
        if (!parse_chunk_size(line, remaining_))
        {
            state_ = state::failed;
            return 0;
        }
        state_ = remaining_ == 0 ? state::trailer : state::chunk_data;
    }
    else if (state_ == state::chunk_end)
    {
        state_ = line.empty() ? state::chunk_size : state::failed;
    }
    else if (line.empty())
    {
        state_ = state::done;
    }
    else
    {
        trailer_bytes_ += line.size();
        if (trailer_bytes_ > max_trailer_bytes)
        {
            state_ = state::failed;
            return 0;
        }
    }
    return line_feed + 1;
}

void body_decoder::handle_close()
{
    if (state_ == state::until_close)
    {
        state_ = state::done;
    }
    else if (state_ != state::done)
    {
        state_ = state::failed;
    }
}

void append_chunk(std::string& out, absl::string_view data)
{
    if (!data.empty())
    {
        absl::StrAppend(&out, absl::Hex(data.size()), "\r\n", data, "\r\n");
    }
}

} // namespace medlar
