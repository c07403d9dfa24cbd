#ifndef MEDLAR_DETAIL_ENTRY_SERVING_CONFIGURATION_HPP
#define MEDLAR_DETAIL_ENTRY_SERVING_CONFIGURATION_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/base/strong_type.hpp>
#include <medlar/detail/dispatch/cold_target.hpp>
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

/// @brief The kind of a route; decides whether its requests may be retried.
enum class route_kind
{
    idempotent,
    non_idempotent,
    stream,
};

/// @brief One stage that has to complete before a request can run.
struct stage_rule
{
    pool_id pool;
    /// indices of the stages whose results it needs
    std::vector<std::size_t> after;
    /// approximate size of one result
    byte_count result_size{0};
};

/// @brief A pool and its weight among the pools of a route.
struct weighted_pool
{
    pool_id pool;
    double weight = 1;
};

using route_name = strong_type<struct route_name_tag, std::string>;

/// @brief The rules for requests of one host and path prefix: the pools that serve them,
/// their timeouts, retries and stages.
struct route
{
    route_name name;
    std::string host;
    std::string prefix;
    route_kind kind = route_kind::non_idempotent;
    millis timeout{0};
    /// time within which an answer counts as in time; later answers are worth less
    millis soft_timeout{0};
    /// longest gap between events of a stream that counts as in time; 0 if not stated
    millis max_event_gap{0};
    /// 0 is the highest
    int priority = 0;
    std::vector<weighted_pool> pools;
    int max_attempts = 1;
    std::vector<stage_rule> stages;
    /// callers need no access key
    bool is_public = false;
    /// a stream can be resumed at another target after its last event
    bool resumable = false;

    /// @brief Returns how long a caller waits for the first event of a stream, by the
    /// contract with callers; for other routes, the timeout.
    millis caller_timeout() const;

    /// @brief Returns whether a request may run more than once.
    bool may_retry() const
    {
        return kind == route_kind::idempotent ||
               (kind == route_kind::stream && resumable);
    }
};

/// @brief Limits and costs of the targets of a pool that execute pieces of stages; each
/// value is for one target.
struct piece_rule
{
    /// calls that run at the same time
    int slots = 1;
    /// calls that may wait in its queue
    int max_queued_calls = 0;
    /// pieces per call
    int max_batch_size = 1;
    /// expected time of a call: call_ms plus item_ms for each piece
    double call_ms = 0;
    double item_ms = 0;
    /// memory for results; 0 if unlimited
    byte_count result_memory{0};
    /// how long a target keeps a result that is not freed
    millis result_lifetime{0};
};

/// @brief A named set of interchangeable targets.
struct pool_rule
{
    pool_id name;
    /// connections that one target accepts from all hosts together
    int max_connections = 0;
    std::optional<piece_rule> pieces;
    cold_rule cold;
};

/// @brief An organisation and the priority of its requests, if it has its own.
struct organisation_rule
{
    organisation_id name;
    std::optional<int> priority;
};

/// @brief One version of the operators' configuration; immutable once it is published.
struct serving_configuration
{
    std::int64_t version = 0;
    std::vector<route> routes;
    std::map<pool_id, pool_rule> pools;
    /// whether callers need access keys
    bool has_organisations = false;
    std::unordered_map<std::string, organisation_rule> organisations_by_key;
    /// limits on the size and timing of requests
    server_limits limits;
    /// values that were ignored or cut since they are no sensible ones
    std::vector<std::string> unusable_values;

    /// @brief Builds the index that find_route() uses; must be called after the routes
    /// are set.
    void index_routes();

    /// @brief Finds the route of a host that has the longest matching prefix of @p path.
    /// @return nullptr if none matches
    const route* find_route(absl::string_view host, absl::string_view path) const;

    /// @brief Returns the routes of a host, the longest prefix first.
    std::vector<const route*> routes_of_host(absl::string_view host) const;

    /// @brief Finds the rule of a pool.
    /// @return nullptr if the configuration has no such pool
    const pool_rule* find_pool(const pool_id& name) const;

  private:
    const std::vector<std::size_t>* find_indexes(absl::string_view host) const;

    /// indices into routes by host, the longest prefix first
    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
};

using configuration_ptr = std::shared_ptr<const serving_configuration>;

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_SERVING_CONFIGURATION_HPP
