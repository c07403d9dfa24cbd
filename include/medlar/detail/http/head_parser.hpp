#ifndef MEDLAR_DETAIL_HTTP_HEAD_PARSER_HPP
#define MEDLAR_DETAIL_HTTP_HEAD_PARSER_HPP

#include <medlar/detail/http/head.hpp>

#include <absl/strings/string_view.h>

#include <cstddef>
#include <string>
#include <variant>

namespace medlar
{

/// @brief more bytes are needed
struct head_incomplete
{
};

/// @brief the bytes are no acceptable head
struct head_error
{
    /// the HTTP status that says so to the sender of a request
    int status = 400;
    std::string message;
};

/// @brief a head and the number of bytes that it took
template <typename Head>
struct parsed_head
{
    Head head;
    std::size_t consumed = 0;
};

template <typename Head>
using head_result = std::variant<head_incomplete, head_error, parsed_head<Head>>;

/// @brief Parses the head of a request strictly: CR LF line ends, no folded lines, one
/// way to frame the body.
/// @param max_bytes limit on the head; beyond it the error has status 431
/// @return an error with status 400, 431, 501 or 505
head_result<request_head> parse_request_head(absl::string_view bytes,
                                             std::size_t max_bytes);

/// @brief Parses the head of an answer strictly.
/// @param to_head whether the request was HEAD, whose answer has no body
head_result<answer_head>
parse_answer_head(absl::string_view bytes, std::size_t max_bytes, bool is_head_request);

} // namespace medlar

#endif // MEDLAR_DETAIL_HTTP_HEAD_PARSER_HPP
