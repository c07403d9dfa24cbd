#ifndef MEDLAR_DETAIL_REQUEST_JSON_FIELDS_HPP
#define MEDLAR_DETAIL_REQUEST_JSON_FIELDS_HPP

#include <absl/strings/string_view.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace medlar
{

// Fields of messages of other processes, which may lack them or hold something else.

/// @brief Parses a text without exceptions.
/// @return a discarded value if it is not JSON
inline nlohmann::json parse_json(absl::string_view text)
{
    return nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
}

/// @brief a text field, or "" if it is missing or not a string
inline std::string string_field(const nlohmann::json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>()
                                                       : std::string();
}

/// @brief an integer field, or @p otherwise if it is missing or not an integer
inline std::int64_t
integer_field(const nlohmann::json& object, const char* name, std::int64_t fallback)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_integer()
               ? found->get<std::int64_t>()
               : fallback;
}

/// @brief a flag, or false if it is missing or not a flag
inline bool bool_field(const nlohmann::json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

} // namespace medlar

#endif // MEDLAR_DETAIL_REQUEST_JSON_FIELDS_HPP
