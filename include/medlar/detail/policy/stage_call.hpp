#ifndef MEDLAR_DETAIL_POLICY_STAGE_CALL_HPP
#define MEDLAR_DETAIL_POLICY_STAGE_CALL_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/config/document.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace medlar
{

/// @brief size of a request, from which the service time of its stages is estimated
struct request_size
{
    byte_count input{0};
    /// maximum number of tokens that its generate stages write; 0: not stated
    token_count max_tokens{0};
};

/// @brief a stage call to be routed to a target
struct stage_call
{
    pool_id pool;
    stage_kind kind = stage_kind::encode;
    routing_policy routing = routing_policy::adaptive;
    objective_kind objective = objective_kind::attainment;
    request_size size;
    /// hash of the leading part of the prompt; 0: no affinity
    std::uint64_t prefix_hash = 0;
    steady_time deadline;
    /// targets that were tried for this call
    std::set<target_id> tried;
    /// admission ticket of its request; 0: unknown
    std::uint64_t ticket = 0;
};

/// @brief outcome of a stage call
enum class call_result
{
    succeeded,
    refused,     ///< the target reported that it did not run the call
    failed,      ///< it ran and failed, or its response was unusable
    unreachable, ///< nothing was sent
    broken,      ///< the connection broke after at least one byte was sent
    timed_out,
    cancelled, ///< no caller waited for the result any more
};

/// @brief observation of one ended stage call
struct call_observation
{
    target_id target_name;
    pool_id pool;
    stage_kind kind = stage_kind::encode;
    request_size size;
    call_result result = call_result::succeeded;
    millis elapsed{0};
    /// time to the first token of a generate stage
    std::optional<millis> first_token;
    token_count tokens_written{0};
    /// prompt tokens that the target had cached
    token_count cached_tokens{0};
    std::uint64_t prefix_hash = 0;
    /// admission ticket of its request; 0: unknown
    std::uint64_t ticket = 0;
};

/// @brief load that a target reported
struct load_report
{
    target_id target_name;
    std::int64_t running = 0;
    std::int64_t queued = 0;
    /// calls that it runs concurrently
    std::int64_t slots = 0;
    /// age of the report when it was received
    millis age{0};
};

/// @brief a change of a target's prefix cache
struct cache_event
{
    target_id target_name;
    std::uint64_t sequence = 0;
    bool stored = false;
    std::uint64_t prefix_hash = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_STAGE_CALL_HPP
