#ifndef MEDLAR_DETAIL_HOSTS_MESSAGE_FIELDS_HPP
#define MEDLAR_DETAIL_HOSTS_MESSAGE_FIELDS_HPP

#include <medlar/detail/base/clock.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>

namespace medlar
{

/// longest span that hosts tell each other; larger ones would overflow points in time
constexpr millis max_message_span{86400000};

/// @brief Reads a span in ms from a value in a message of another host, cut to
/// ±max_message_span.
/// @throw nlohmann::json::exception if it is no number; the message is then passed over
inline millis read_span(const nlohmann::json& value)
{
    const auto count = value.get<std::int64_t>();
    return millis(std::clamp(count, -max_message_span.count(), max_message_span.count()));
}

/// @brief Reads a span in ms from a field of a message, like the function above.
/// @throw nlohmann::json::exception if the field is missing, too
inline millis read_span(const nlohmann::json& message, const char* name)
{
    return read_span(message.at(name));
}

} // namespace medlar

#endif // MEDLAR_DETAIL_HOSTS_MESSAGE_FIELDS_HPP
