#ifndef MEDLAR_DETAIL_CONFIG_JSON_TEXT_HPP
#define MEDLAR_DETAIL_CONFIG_JSON_TEXT_HPP

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <nlohmann/json.hpp>

#include <cstddef>

namespace medlar
{

/// @brief size limit of a document's JSON text, in bytes
constexpr std::size_t max_document_bytes = 1000000;

/// @brief nesting limit of objects and arrays in a document
constexpr int max_document_depth = 16;

/// @brief Parses JSON text strictly: valid UTF-8, no duplicate fields, limited size and
/// nesting.
/// @return error 501 (not JSON, not UTF-8, nested too deeply), 508 (duplicate field in
///     an object) or 509 (too long)
absl::StatusOr<nlohmann::json> parse_json_text(absl::string_view text,
                                               std::size_t max_bytes);

} // namespace medlar

#endif // MEDLAR_DETAIL_CONFIG_JSON_TEXT_HPP
