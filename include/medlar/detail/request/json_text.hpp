#ifndef MEDLAR_DETAIL_REQUEST_JSON_TEXT_HPP
#define MEDLAR_DETAIL_REQUEST_JSON_TEXT_HPP

#include <absl/strings/string_view.h>

#include <string>

namespace medlar
{

/// @brief Returns whether the bytes are well-formed UTF-8.
bool is_utf8(absl::string_view text);

/// @brief Returns the maximum nesting depth of objects and arrays in a JSON text. Ignores
/// brackets in strings.
int nesting_depth(absl::string_view text);

/// @brief Returns the text as a JSON string literal, with its quotes.
/// @note Bytes that are not UTF-8 are replaced.
std::string quoted_json(absl::string_view text);

} // namespace medlar

#endif // MEDLAR_DETAIL_REQUEST_JSON_TEXT_HPP
