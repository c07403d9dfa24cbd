#ifndef MEDLAR_DETAIL_ENTRY_SERVING_CONFIGURATION_HPP
#define MEDLAR_DETAIL_ENTRY_SERVING_CONFIGURATION_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/base/strong_type.hpp>
#include <medlar/detail/loop/server_limits.hpp>

#include <absl/strings/string_view.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace medlar
{

/// @brief what may be repeated of a request on a route
enum class route_kind
{
    idempotent,
    non_idempotent,
    stream,
};

/// @brief one stage that has to be done before a request can run
struct stage_rule
{
    pool_id pool;
    /// numbers of the stages whose results it needs
    std::vector<std::size_t> after;
    /// approximate size of one result
    byte_count result_size{0};
};

/// @brief a pool and its share of a route's requests
struct weighted_pool
{
    pool_id pool;
    double weight = 1;
};

using route_name = strong_type<struct route_name_tag, std::string>;

/// @brief where the requests of one host and path prefix go, and what holds for them
struct route
{
    route_name name;
    std::string host;
    std::string prefix;
    route_kind kind = route_kind::non_idempotent;
    millis timeout{0};
    /// time within which an answer is worth most
    millis aim{0};
    /// longest pause of a stream whose answer is in time; 0: none is stated
    millis longest_pause{0};
    /// 0 is the highest
    int priority = 0;
    std::vector<weighted_pool> pools;
    int max_attempts = 1;
    std::vector<stage_rule> stages;
    /// needs no access key
    bool is_public = false;
    bool resumable = false;

    /// @brief how long a caller waits for the first event of a stream, by the contract;
    /// for other answers, the timeout
    millis patience() const;

    /// @brief whether a request may run more than once
    bool may_repeat() const
    {
        return kind == route_kind::idempotent ||
               (kind == route_kind::stream && resumable);
    }
};

/// @brief how the targets of a pool make pieces of stages; each figure is for one target
struct piece_rule
{
    /// calls in progress at the same time
    int slots = 1;
    /// calls that may wait
    int queue = 0;
    /// pieces in one call
    int batch = 1;
    double call_ms = 0;
    double item_ms = 0;
    byte_count room{0};
    /// how long a result is kept if it is not freed
    millis result_life{0};
};

/// @brief a named set of targets that do the same work
struct pool_rule
{
    pool_id name;
    /// connections that one target accepts of all hosts together
    int max_connections = 0;
    std::optional<piece_rule> pieces;
};

/// @brief an organisation and its rank
struct organisation_rule
{
    organisation_id name;
    std::optional<int> priority;
};

/// @brief One version of the operators' configuration; it does not change once it is
/// made.
struct serving_configuration
{
    std::int64_t version = 0;
    std::vector<route> routes;
    std::map<pool_id, pool_rule> pools;
    /// whether callers need access keys
    bool has_organisations = false;
    std::unordered_map<std::string, organisation_rule> organisations_by_key;
    /// what callers may send
    server_limits limits;

    /// @brief Sorts the routes for find_route(); to be called once after they are set.
    void index_routes();

    /// @brief the route of the host with the longest prefix of @p path
    /// @return nullptr if none matches
    const route* find_route(absl::string_view host, absl::string_view path) const;

    /// @brief the rule of a pool
    /// @return nullptr if the configuration names no such pool
    const pool_rule* find_pool(const pool_id& name) const;

  private:
    /// by host, the longest prefix first
    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
};

using configuration_ptr = std::shared_ptr<const serving_configuration>;

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_SERVING_CONFIGURATION_HPP
