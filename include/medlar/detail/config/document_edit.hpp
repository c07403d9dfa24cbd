#ifndef MEDLAR_DETAIL_CONFIG_DOCUMENT_EDIT_HPP
#define MEDLAR_DETAIL_CONFIG_DOCUMENT_EDIT_HPP

#include <medlar/detail/config/document.hpp>

#include <absl/status/status.h>

#include <string>
#include <variant>

namespace medlar
{

/// @brief replaces the whole document
struct replace_content
{
    document content;
};

/// @brief makes an earlier content the present one
struct restore_revision
{
    revision number;
};

/// @brief drains a target, or gives it work again
struct set_drained
{
    target_id target;
    bool drained = true;
};

/// @brief what an operator asks to be changed
using document_edit = std::variant<replace_content, restore_revision, set_drained>;

/// @brief one line that tells what is asked, such as "drain target engine-1"
std::string summary_of(const document_edit& edit);

/// @brief whether an edit may be made on another base than its operator looked at
bool is_independent_of_base(const document_edit& edit);

/// @brief Drains a target of a document, or gives it work again.
/// @return error 604 if there is no such target
absl::Status apply_drain(const set_drained& edit, document& content);

} // namespace medlar

#endif // MEDLAR_DETAIL_CONFIG_DOCUMENT_EDIT_HPP
