#ifndef MEDLAR_DETAIL_REQUEST_JSON_FIELDS_HPP
#define MEDLAR_DETAIL_REQUEST_JSON_FIELDS_HPP

#include <absl/strings/string_view.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace medlar
{

// Lenient access to the fields of messages from other processes, which may be missing or
// of another type.

/// @brief Parses a text without throwing.
/// @return a discarded value (is_discarded()) if it is not JSON
inline nlohmann::json parse_json(absl::string_view text)
{
    return nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
}

/// @brief Returns a string field, or "" if it is missing or not a string.
inline std::string string_field(const nlohmann::json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>()
                                                       : std::string();
}

/// @brief Returns an integer field, or @p fallback if it is missing or not an integer.
inline std::int64_t
integer_field(const nlohmann::json& object, const char* name, std::int64_t fallback)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_integer()
               ? found->get<std::int64_t>()
               : fallback;
}

/// @brief Returns a boolean field, or false if it is missing or not a boolean.
inline bool bool_field(const nlohmann::json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

} // namespace medlar

#endif // MEDLAR_DETAIL_REQUEST_JSON_FIELDS_HPP
