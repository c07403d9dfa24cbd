#ifndef MEDLAR_DETAIL_HTTP_HEAD_PARSER_HPP
#define MEDLAR_DETAIL_HTTP_HEAD_PARSER_HPP

#include <medlar/detail/http/head.hpp>

#include <absl/strings/string_view.h>

#include <cstddef>
#include <string>
#include <variant>

namespace medlar
{

/// @brief Result of parsing if more bytes are needed.
struct head_incomplete
{
};

/// @brief Result of parsing if the bytes are not an acceptable head.
struct head_error
{
    /// HTTP status with which a server answers such a request
    int status = 400;
    std::string message;
};

/// @brief A parsed head and its size in bytes.
template <typename Head>
struct parsed_head
{
    Head head;
    std::size_t consumed = 0;
};

template <typename Head>
using head_result = std::variant<head_incomplete, head_error, parsed_head<Head>>;

/// @brief Parses the head of a request strictly: lines must end with CR LF and must not
/// be folded, and the body must have exactly one framing.
/// @param max_bytes maximum size of the head; a larger one is an error with status 431
/// @return an error with status 400, 431, 501 or 505
head_result<request_head> parse_request_head(absl::string_view bytes,
                                             std::size_t max_bytes);

/// @brief Parses the head of an answer strictly.
/// @param is_head_request whether the request method was HEAD, so the answer has no body
head_result<answer_head>
parse_answer_head(absl::string_view bytes, std::size_t max_bytes, bool is_head_request);

} // namespace medlar

#endif // MEDLAR_DETAIL_HTTP_HEAD_PARSER_HPP
