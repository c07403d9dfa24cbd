#ifndef MEDLAR_DETAIL_HOSTS_STREAM_MESSAGES_HPP
#define MEDLAR_DETAIL_HOSTS_STREAM_MESSAGES_HPP

#include <medlar/detail/dispatch/version_history.hpp>
#include <medlar/detail/dispatch/version_shares.hpp>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

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

/// @brief What another host has told of a stream and of the versions of its pools.
struct host_answer
{
    /// where the stream began, if the host knows it
    std::optional<stream_origin> origin;
    /// the versions at which streams of the pools may have begun
    std::set<stream_origin> possible;
    /// processes without a known version at which they may have begun
    std::set<stream_origin> unlisted;
    /// whether its copy of the store was confirmed after the question came
    bool is_current = false;
};

/// @brief Reads a list of origins.
/// @throw nlohmann::json::exception if a field is missing or of another type
inline std::set<stream_origin> read_origins(const nlohmann::json& list)
{
    std::set<stream_origin> origins;
    for (const nlohmann::json& each : list)
    {
        origins.insert(read_origin(each));
    }
    return origins;
}

/// @brief Reads the answer of a host of this or an earlier build.
/// @throw nlohmann::json::exception if a field is missing or of another type
inline host_answer read_host_answer(const nlohmann::json& message)
{
    host_answer answer;
    answer.possible = read_origins(message.at("possible"));
    // hosts of earlier builds do not send these
    answer.unlisted = read_origins(message.value("unlisted", nlohmann::json::array()));
    answer.is_current = message.value("current", false);
    if (message.contains("origin"))
    {
        answer.origin = read_origin(message.at("origin"));
    }
    return answer;
}

/// @brief Reads what write_pools() has written.
/// @throw nlohmann::json::exception if an entry is of another type
inline std::vector<pool_id> read_pools(const nlohmann::json& list)
{
    std::vector<pool_id> pools;
    for (const nlohmann::json& each : list)
    {
        pools.emplace_back(each.get<std::string>());
    }
    return pools;
}

/// @brief Writes the names of pools as a field of a message.
inline nlohmann::json write_pools(const std::vector<pool_id>& pools)
{
    nlohmann::json names = nlohmann::json::array();
    for (const pool_id& each : pools)
    {
        names.push_back(each.get());
    }
    return names;
}

/// @brief Returns whether a pool is among others.
inline bool contains(const std::vector<pool_id>& pools, const pool_id& pool)
{
    return std::find(pools.begin(), pools.end(), pool) != pools.end();
}

} // namespace medlar

#endif // MEDLAR_DETAIL_HOSTS_STREAM_MESSAGES_HPP
