#ifndef MEDLAR_DETAIL_CONFIG_JSON_HPP
#define MEDLAR_DETAIL_CONFIG_JSON_HPP

#include <medlar/detail/config/document.hpp>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <string>

namespace medlar
{

/// @brief Reads and validates a document in its JSON form.
/// @param text UTF-8 JSON, at most 1 MB
/// @return errors 501 to 510; the message names the field, such as
///     "pipelines[0].stages[2].pool"
absl::StatusOr<document> parse_document(absl::string_view text);

/// @brief Checks references, names, bounds and cycles of a document.
/// @return errors 504 to 508; the message names the field
absl::Status validate(const document& content);

/// @brief the JSON form of a document; parse_document() reads it back to an equal one
std::string write_document(const document& content);

/// @brief Reads an accepted document: an object of "revision", "change_id", "author",
/// "accepted_at_ms", "content" and, if known, "based_on" and "summary".
/// @note The content is read but not validated again: what one release accepted stays
///     readable to the others.
absl::StatusOr<accepted_document> parse_accepted_document(absl::string_view text);

/// @brief the JSON form that parse_accepted_document() reads
std::string write_accepted_document(const accepted_document& accepted);

} // namespace medlar

#endif // MEDLAR_DETAIL_CONFIG_JSON_HPP
