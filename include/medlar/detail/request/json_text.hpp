#ifndef MEDLAR_DETAIL_REQUEST_JSON_TEXT_HPP
#define MEDLAR_DETAIL_REQUEST_JSON_TEXT_HPP

#include <absl/strings/string_view.h>

#include <string>

namespace medlar
{

/// @brief whether the bytes are well-formed UTF-8
bool is_utf8(absl::string_view text);

/// @brief how deep objects and arrays of a JSON text are nested, strings left out
int nesting_depth(absl::string_view text);

/// @brief the text as a JSON string, quotes included
/// @note bytes that are not UTF-8 are replaced
std::string quoted_json(absl::string_view text);

} // namespace medlar

#endif // MEDLAR_DETAIL_REQUEST_JSON_TEXT_HPP
