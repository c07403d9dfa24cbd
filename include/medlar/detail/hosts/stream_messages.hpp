#ifndef MEDLAR_DETAIL_HOSTS_STREAM_MESSAGES_HPP
#define MEDLAR_DETAIL_HOSTS_STREAM_MESSAGES_HPP

#include <medlar/detail/dispatch/version_history.hpp>
#include <medlar/detail/dispatch/version_shares.hpp>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <cstdint>
#include <string>

namespace medlar
{

/// @brief Returns the key by which hosts name a stream to each other.
/// @param attempt the attempt that brought its first event
inline stream_key key_of(const attempt_id& attempt)
{
    return stream_key(XXH3_64bits(attempt.get().data(), attempt.get().size()));
}

/// @brief Writes an origin as a field of a message.
inline nlohmann::json to_json(const stream_origin& origin)
{
    return {{"pool", origin.pool.get()}, {"version", origin.version.get()}};
}

/// @brief Reads what to_json() has written.
/// @throw nlohmann::json::exception if a field is missing or of another type
inline stream_origin read_origin(const nlohmann::json& message)
{
    return {pool_id(message.at("pool").get<std::string>()),
            software_version(message.at("version").get<std::string>())};
}

} // namespace medlar

#endif // MEDLAR_DETAIL_HOSTS_STREAM_MESSAGES_HPP
