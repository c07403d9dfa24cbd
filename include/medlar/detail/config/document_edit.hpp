#ifndef MEDLAR_DETAIL_CONFIG_DOCUMENT_EDIT_HPP
#define MEDLAR_DETAIL_CONFIG_DOCUMENT_EDIT_HPP

#include <medlar/detail/config/document.hpp>

#include <absl/status/status.h>

#include <string>
#include <variant>

namespace medlar
{

/// @brief an edit that replaces the whole document
struct replace_content
{
    document content;
};

/// @brief an edit that restores the content of an earlier revision
struct restore_revision
{
    revision number;
};

/// @brief an edit that drains or undrains a target
struct set_drained
{
    target_id target;
    bool drained = true;
};

/// @brief an edit requested by an operator
using document_edit = std::variant<replace_content, restore_revision, set_drained>;

/// @brief Returns a one-line summary, such as "drain target engine-1".
std::string summary_of(const document_edit& edit);

/// @brief Returns whether an edit is valid on any revision, not only on the one that
/// the operator has seen.
bool is_independent_of_base(const document_edit& edit);

/// @brief Drains or undrains a target of a document.
/// @return error 604 if there is no such target
absl::Status apply_drain(const set_drained& edit, document& content);

} // namespace medlar

#endif // MEDLAR_DETAIL_CONFIG_DOCUMENT_EDIT_HPP
