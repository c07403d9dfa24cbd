#ifndef MEDLAR_DETAIL_ENTRY_ENTRY_CONTEXT_HPP
#define MEDLAR_DETAIL_ENTRY_ENTRY_CONTEXT_HPP

#include <medlar/detail/dispatch/answer_time.hpp>
#include <medlar/detail/dispatch/first_event_delay.hpp>
#include <medlar/detail/dispatch/pool_retry_budget.hpp>
#include <medlar/detail/dispatch/refusal_backoff.hpp>
#include <medlar/detail/dispatch/shutdown_plan.hpp>
#include <medlar/detail/dispatch/stage_forecast.hpp>
#include <medlar/detail/dispatch/target_table.hpp>
#include <medlar/detail/entry/entry_settings.hpp>
#include <medlar/detail/entry/protocol.hpp>
#include <medlar/detail/entry/serving_configuration.hpp>
#include <medlar/detail/loop/event_loop.hpp>
#include <medlar/detail/loop/http_client.hpp>
#include <medlar/detail/metrics/registry.hpp>
#include <medlar/detail/policy/random_source.hpp>

#include <absl/strings/string_view.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace medlar
{

/// @brief Request in progress, as seen by its host
class running_request
{
  public:
    virtual ~running_request() = default;

    /// @brief Refuses or ends the request if its host stops before it can be answered.
    virtual void apply(const shutdown_plan& plan) = 0;
};

/// @brief Why a target gets no calls, or fewer, for a while
struct target_outage
{
    absl::string_view reason;
    /// whether calls have failed; the first answer after it is news for other hosts
    bool is_failure = false;
};

/// @brief State shared by the components of an entry process. Used by one thread only.
struct entry_context
{
    entry_context(event_loop& with_loop,
                  const entry_protocol& with_protocol,
                  const entry_settings& with_settings,
                  std::uint64_t seed);

    /// @brief Returns the retry budget of a pool.
    pool_retry_budget& budget_for(const pool_id& pool);

    /// @brief Returns the expected time from sending a request to an engine to its first
    /// event.
    millis expected_first_event_delay(const pool_id& pool, token_count prompt) const;

    /// @brief Records the measured time until an engine's first event.
    void record_first_event_delay(const pool_id& pool, token_count prompt, millis took);

    /// @brief Returns the time in which targets of a pool complete nearly all answers.
    millis expected_answer_time(const pool_id& pool) const;

    /// @brief Records the time from sending a request to the end of its answer.
    void record_answer_time(const pool_id& pool, millis took);

    /// @brief Returns the least time until a target of a pool can be called: 0 if that is
    /// now or unknown.
    millis time_until_callable(const pool_id& pool);

    /// @brief Records the result of a call to a process of a target; does nothing if the
    /// target has started again, or is no longer registered.
    void record_target_call(const process_start& process, call_result result);

    /// @brief Records that a stream has begun at a process of a target: a probe is over
    /// then, since streams go on for seconds.
    void record_stream_begun(const process_start& process);

    /// @brief Records that a target gets no calls, or fewer, for a while.
    void record_outage(const target_state& target, const target_outage& outage) const;

    /// @brief Records the start time that the process at a target's address has stated.
    void record_target_start(const target_id& id, std::int64_t started_ms);

    /// @brief Records that it is unknown which process answers at a target's address.
    void record_unknown_start(const target_id& id);

    /// @brief Records that a target refused a call for lack of room.
    void record_refusal(const target_id& id);

    /// @brief Records that no target of a pool can be called for a request; logs why,
    /// once a second.
    void record_no_target(const pool_id& pool);

    /// @brief Records what a target says of itself in the head of an answer: that it is
    /// going to stop, wants no calls for a while, or takes no more than some a second.
    /// Only the first of these holds for the process alone.
    /// @param process see target_table::leaving_process()
    void record_target_answer(const process_start& process, const answer_fields& answer);

    /// @brief Records how much longer a target says it is cold.
    void record_cold_time(const target_id& id, const answer_fields& answer);

    /// @brief Records that a process of a target is going to stop.
    void record_target_leaving(const process_start& process);

    event_loop& loop;
    const entry_protocol& protocol;
    const entry_settings& settings;
    http_client client;
    target_table targets;
    stage_forecast forecast;
    refusal_backoff caller_backoff;
    /// null until the first configuration is received
    configuration_ptr configuration;
    std::unique_ptr<metrics_registry> metrics;
    random_source random;
    /// number of entry hosts; limits of the whole system are divided by it
    std::size_t host_count = 1;
    /// called when a target has stated its first limit, or none any more; may be empty
    std::function<void(const target_id&)> on_limit_changed;
    /// called when a target has stated how much longer it is cold; may be empty
    std::function<void(const target_id&, millis left)> on_cold_stated;
    /// called when a target has stated a later start than was known; may be empty
    std::function<void(const target_id&)> on_start_stated;
    /// called when a target that bears few refusals has refused a call; may be empty
    std::function<void(const target_state&)> on_refused;
    /// called when a target gets no calls, or fewer, for a while; may be empty
    std::function<void(const target_state&, const target_outage&)> on_target_out;
    /// called when a target has answered a call; may be empty
    std::function<void(const target_state&)> on_target_answered;
    /// the requests in progress; they end with the host
    std::set<std::shared_ptr<running_request>> running_requests;
    /// set once the host was told to stop
    std::optional<shutdown_plan> shutdown;

  private:
    void record_rate_limit(target_state& target, std::optional<double> per_s);
    void record_refusal_limit(target_state& target, std::optional<double> per_s);

    struct unserved_requests
    {
        std::optional<steady_time> logged_at;
        std::int64_t unlogged = 0;
    };

    std::map<pool_id, unserved_requests> unserved_;
    std::map<pool_id, pool_retry_budget> budgets_;
    std::map<pool_id, first_event_delay> first_event_delays_;
    std::map<pool_id, answer_time> answer_times_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_ENTRY_CONTEXT_HPP
