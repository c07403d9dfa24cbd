#ifndef MEDLAR_DETAIL_CONFIG_JSON_TEXT_HPP
#define MEDLAR_DETAIL_CONFIG_JSON_TEXT_HPP

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <nlohmann/json.hpp>

#include <cstddef>

namespace medlar
{

/// @brief longest text of a document, in bytes
constexpr std::size_t max_document_bytes = 1000000;

/// @brief deepest nesting of objects and arrays in a document
constexpr int max_document_depth = 16;

/// @brief Reads JSON text strictly: UTF-8, no doubled field, bounded size and nesting.
/// @return error 501 (not JSON, not UTF-8, nested too deeply), 508 (a field stands twice
///     in one object) or 509 (too long)
absl::StatusOr<nlohmann::json> parse_json_text(absl::string_view text,
                                               std::size_t max_bytes);

} // namespace medlar

#endif // MEDLAR_DETAIL_CONFIG_JSON_TEXT_HPP
