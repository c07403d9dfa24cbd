#ifndef MEDLAR_DETAIL_CONFIG_JSON_HPP
#define MEDLAR_DETAIL_CONFIG_JSON_HPP

#include <medlar/detail/config/document.hpp>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <string>

namespace medlar
{

/// @brief Parses and validates the JSON form of a document.
/// @param text UTF-8 JSON, at most 1 MB
/// @return errors 501 to 510; the message names the field, such as
///     "pipelines[0].stages[2].pool"
absl::StatusOr<document> parse_document(absl::string_view text);

/// @brief Checks the references, names, ranges and stage graphs of a document.
/// @return errors 504 to 508; the message names the field
absl::Status validate(const document& content);

/// @brief Returns the JSON form of a document, which parse_document() reads back to an
/// equal document.
std::string write_document(const document& content);

/// @brief Parses an accepted document: an object with "revision", "change_id", "author",
/// "accepted_at_ms", "content" and, optionally, "based_on" and "summary".
/// @note The content is not validated again, so that other releases can read a
///     document accepted under different rules.
absl::StatusOr<accepted_document> parse_accepted_document(absl::string_view text);

/// @brief Returns the JSON form that parse_accepted_document() reads.
std::string write_accepted_document(const accepted_document& accepted);

} // namespace medlar

#endif // MEDLAR_DETAIL_CONFIG_JSON_HPP
