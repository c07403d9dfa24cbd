#ifndef MEDLAR_DETAIL_CLIENT_BODY_READER_HPP
#define MEDLAR_DETAIL_CLIENT_BODY_READER_HPP

#include <algorithm>
#include <cstddef>
#include <istream>
#include <optional>
#include <string>

namespace medlar
{

// Both functions read from the stream's buffer: std::istream would swallow the exceptions
// of POCO's sockets.

/// @brief Reads a body until its end.
/// @return unset if it is longer than @p max_bytes
inline std::optional<std::string> read_body(std::istream& body, std::size_t max_bytes)
{
    constexpr std::streamsize chunk_bytes = 16L * 1024;
    std::string text;
    std::streambuf& buffer = *body.rdbuf();
    while (buffer.sgetc() != std::char_traits<char>::eof())
    {
        const std::size_t old_size = text.size();
        const std::streamsize available = std::min(buffer.in_avail(), chunk_bytes);
        text.resize(old_size + static_cast<std::size_t>(available));
        buffer.sgetn(&text[old_size], available);
        if (text.size() > max_bytes)
        {
            return std::nullopt;
        }
    }
    return text;
}

/// @brief Why read_line() returned.
enum class read_line_result
{
    newline,
    end_of_body,
    too_long,
};

/// @brief Reads one line without its newline into @p line.
inline read_line_result
read_line(std::istream& body, std::size_t max_bytes, std::string& line)
{
    line.clear();
    std::streambuf& buffer = *body.rdbuf();
    while (line.size() <= max_bytes)
    {
        const int next = buffer.sbumpc();
        if (next == std::char_traits<char>::eof())
        {
            return read_line_result::end_of_body;
        }
        if (next == '\n')
        {
            return read_line_result::newline;
        }
        line += static_cast<char>(next);
    }
    return read_line_result::too_long;
}

} // namespace medlar

#endif // MEDLAR_DETAIL_CLIENT_BODY_READER_HPP
