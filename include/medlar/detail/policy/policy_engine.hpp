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

/// @brief settings of the policies: this host and the limits that it shares with its
/// peers
struct policy_settings
{
    host_id self;
    failure_domain_id failure_domain;
    /// gateways that share the targets, including this one
    int gateways = 1;
    /// maximum number of requests that this host holds, queued or running
    int max_requests = 512;
    /// seed of the random choices
    std::uint64_t seed = 1;
};

/// @brief attributes of an arriving request
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

/// @brief The request may start once others have ended. Call admit() again after @ref
/// check_after at the latest; until then it counts as queued.
struct queued
{
    millis check_after;
};

/// @brief the request is refused
struct admission_refusal
{
    reason why = reason::deadline_unreachable;
    millis retry_after;
};

using admission = std::variant<admitted, queued, admission_refusal>;

/// @brief Routing, admission and retry decisions of one host, and the observations that
/// they use.
///
/// The decisions are pure functions in routing.hpp, admission.hpp and retry_budget.hpp.
/// This class keeps their state in shards, each guarded by its own mutex.
/// @note Thread-safe. The current time is passed in.
class policy_engine
{
  public:
    static std::unique_ptr<policy_engine> create(const policy_settings& settings);

    virtual ~policy_engine() = default;

    // configuration

    /// @brief Applies the pools, pipelines and organisations of a document.
    virtual void configure(const document& content) = 0;

    /// @brief Sets the number of gateways that share the targets.
    virtual void set_gateways(int gateways) = 0;

    /// @brief Sets the targets that get no new calls because they are leaving.
    virtual void set_leaving(const std::vector<target_id>& leaving) = 0;

    // admission; finish() must be called for each admitted request

    /// @brief Decides on an arriving request, or again on one that was queued.
    virtual admission
    admit(std::uint64_t ticket, const arrival& attributes, steady_time now) = 0;

    /// @brief Removes a request that has ended or was abandoned while it was queued.
    virtual void finish(std::uint64_t ticket, steady_time now) = 0;

    /// @brief Returns whether the stages from @p next_stage on can still finish in time.
    virtual bool worth_continuing(const arrival& attributes,
                                  std::size_t next_stage,
                                  steady_time now) const = 0;

    // routing; observe() must be called for each chosen call

    /// @brief Chooses a target and counts the call as in flight there.
    /// @return unset if no target is available
    virtual std::optional<target> choose(const stage_call& call, steady_time now) = 0;

    /// @brief Records the end of a call and updates the estimates.
    virtual void observe(const call_observation& observation, steady_time now) = 0;

    /// @brief Records a target's load report.
    virtual void observe_load(const load_report& report, steady_time now) = 0;

    /// @brief Records a change of a target's prefix cache.
    virtual void observe_cache(const cache_event& change, steady_time now) = 0;

    // retries

    /// @brief Returns whether a call may be retried now, and if so spends from the retry
    /// budget.
    /// @param tries tries made so far, including the first
    virtual bool may_retry(const pipeline& definition,
                           int tries,
                           steady_time now,
                           steady_time deadline) = 0;

    /// @brief Returns how long after its start a call of an idempotent stage may be
    /// hedged.
    /// @return unset if a hedge is not worthwhile
    /// @note A hedge spends from the retry budget: call may_retry() when it is due.
    virtual std::optional<millis> hedge_after(const stage_call& call,
                                              steady_time now) const = 0;

    /// @brief Returns the in-flight calls, service time and state of each target as JSON.
    virtual std::string describe(steady_time now) const = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_POLICY_ENGINE_HPP
