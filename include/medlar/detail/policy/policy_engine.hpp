#ifndef MEDLAR_DETAIL_POLICY_POLICY_ENGINE_HPP
#define MEDLAR_DETAIL_POLICY_POLICY_ENGINE_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/base/outcome.hpp>
#include <medlar/detail/config/document.hpp>
#include <medlar/detail/policy/stage_call.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace medlar
{

/// @brief what the policies know of this host and its peers
struct policy_settings
{
    host_id self;
    failure_domain_id failure_domain;
    /// gateways that share the targets, this one included
    int gateways = 1;
    /// requests that this host holds at once
    int max_requests = 512;
    /// seed of every random choice
    std::uint64_t seed = 1;
};

/// @brief a request at the door
struct arrival
{
    pipeline_id pipeline;
    organisation_id organisation;
    request_size size;
    steady_time deadline;
};

/// @brief the request may start now
struct admitted
{
};

/// @brief The request may start when others have finished: ask again at the latest
/// after @ref check_after. It stays counted as waiting until then.
struct queued
{
    millis check_after;
};

/// @brief the request cannot be served in time
struct turned_away
{
    reason why = reason::deadline_unreachable;
    millis retry_after;
};

using admission = std::variant<admitted, queued, turned_away>;

/// @brief Routing, admission and retry decisions of one host, with the observations on
/// which they rest.
///
/// Decisions are pure functions in routing.hpp, admission.hpp and retry_budget.hpp;
/// this class keeps their state in shards, each under its own lock.
/// @note Safe to call from every thread. Times are passed in.
class policy_engine
{
  public:
    static std::unique_ptr<policy_engine> create(const policy_settings& settings);

    virtual ~policy_engine() = default;

    // configuration

    /// @brief Takes over the pools, pipelines and organisations of a document.
    virtual void configure(const document& content) = 0;

    /// @brief Sets the number of gateways that share the targets.
    virtual void set_gateways(int gateways) = 0;

    /// @brief Targets that get no new work because they are leaving.
    virtual void set_leaving(const std::vector<target_id>& leaving) = 0;

    // admission; each admitted request must be finished with finish()

    /// @brief Decides on a request at the door, or again after it was queued.
    virtual admission
    admit(std::uint64_t ticket, const arrival& attributes, steady_time now) = 0;

    /// @brief The request is over or was given up while it waited.
    virtual void finish(std::uint64_t ticket, steady_time now) = 0;

    /// @brief Whether the stages from @p next_stage on can still finish in time.
    virtual bool worth_continuing(const arrival& attributes,
                                  std::size_t next_stage,
                                  steady_time now) const = 0;

    // routing; each chosen call must be ended with observe()

    /// @brief Chooses a target and counts the call as in flight there.
    /// @return unset if no target may get it
    virtual std::optional<target> choose(const stage_call& call, steady_time now) = 0;

    /// @brief Ends a call and learns from it.
    virtual void observe(const call_observation& observation, steady_time now) = 0;

    /// @brief Learns from a target's report.
    virtual void observe_load(const load_report& report, steady_time now) = 0;

    /// @brief Learns from a change of a target's prefix cache.
    virtual void observe_cache(const cache_event& change, steady_time now) = 0;

    // retries

    /// @brief Whether a call may be tried again now; takes from the budget if so.
    /// @param tries tries made so far
    virtual bool may_retry(const pipeline& definition,
                           int tries,
                           steady_time now,
                           steady_time deadline) = 0;

    /// @brief When to start a second call of an idempotent stage beside the first.
    /// @return unset if it is not worth it
    /// @note The second call takes from the budget: ask may_retry() when it is due.
    virtual std::optional<millis> hedge_after(const stage_call& call,
                                              steady_time now) const = 0;

    /// @brief in-flight calls, service time and state of each target as JSON
    virtual std::string describe(steady_time now) const = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_POLICY_ENGINE_HPP
