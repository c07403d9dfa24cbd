#ifndef MEDLAR_DETAIL_CONFIG_NAMES_HPP
#define MEDLAR_DETAIL_CONFIG_NAMES_HPP

#include <medlar/detail/config/document.hpp>

#include <absl/strings/string_view.h>

#include <optional>
#include <string>

namespace medlar
{

// Return the name of an enumerator in documents and on the wire, such as "encode".
absl::string_view to_string(stage_kind kind);
absl::string_view to_string(objective_kind kind);
absl::string_view to_string(routing_policy policy);
absl::string_view to_string(admission_policy policy);
absl::string_view to_string(retry_policy policy);

/// @brief Returns the enumerator with this name, or nullopt if there is none.
/// @tparam Enum one of the enumerations above
template <typename Enum>
std::optional<Enum> enum_from_name(absl::string_view name);

/// @brief Returns the names of an enumeration for error messages: "encode, retrieve,
/// ..."
template <typename Enum>
std::string enum_names();

} // namespace medlar

#endif // MEDLAR_DETAIL_CONFIG_NAMES_HPP
