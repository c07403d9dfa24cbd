#ifndef MEDLAR_DETAIL_GATEWAY_STAGE_RUNNER_HPP
#define MEDLAR_DETAIL_GATEWAY_STAGE_RUNNER_HPP

#include <medlar/detail/config/document.hpp>
#include <medlar/detail/gateway/cancel_sender.hpp>
#include <medlar/detail/gateway/cancel_token.hpp>
#include <medlar/detail/gateway/run_log.hpp>
#include <medlar/detail/gateway/stage_client.hpp>
#include <medlar/detail/metrics/registry.hpp>
#include <medlar/detail/policy/policy_engine.hpp>
#include <medlar/detail/request/client_request.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace medlar
{

/// @brief Called for each token of a stage, to stream it to the caller.
using token_callback =
    std::function<void(const std::string& stage, std::int64_t index, const std::string&)>;

/// @brief What the stages of one pipeline run have in common.
struct run_context
{
    const client_request& request;
    const document& configuration;
    const pipeline& definition;
    steady_time started;
    steady_time deadline;
    std::shared_ptr<cancel_token> token;
    token_callback on_token;
    run_log& log;
    /// its id in the policy engine's admission and routing state
    std::uint64_t ticket = 0;
};

/// @brief The output of a stage, or why it failed.
struct stage_result
{
    /// JSON text; unset: the stage failed
    std::optional<std::string> output;
    reason why = reason::none;
    std::string message;
    std::optional<millis> retry_after;
};

/// @brief Runs one stage: chooses targets, and retries, hedges, resumes and cancels its
/// calls.
class stage_runner
{
  public:
    /// @brief The objects that it uses; they must outlive it.
    struct dependencies
    {
        const clock& time;
        const stage_client& client;
        cancel_sender& cancels;
        policy_engine& policy;
        metrics_registry& metrics;
        /// called when a target states that it takes no new work
        std::function<void(const target_id&)> on_target_leaving;
    };

    static std::unique_ptr<stage_runner> create(const dependencies& deps);

    /// @brief Runs a stage until it succeeds, fails or is cancelled.
    /// @param input JSON text of the stage's input
    stage_result run(const run_context& context,
                     const stage& definition,
                     const std::string& input) const;

  private:
    explicit stage_runner(const dependencies& deps);

    /// @brief State of a stage across its attempts.
    struct attempt_state
    {
        const run_context& context;
        const stage& definition;
        const pool& stage_pool;
        const std::string& input;
        bool idempotent{};
        stage_call call{};
        int tries{};
        std::string tokens_text{};
        std::int64_t next_token{};
    };

    attempt_state begin(const run_context& context,
                        const stage& definition,
                        const pool& stage_pool,
                        const std::string& input) const;
    std::optional<target> choose(attempt_state& state) const;
    stage_reply try_at(attempt_state& state, const target& chosen) const;
    stage_reply
    try_hedged(attempt_state& state, const target& chosen, millis delay) const;
    stage_reply try_once(const attempt_state& state,
                         const target& chosen,
                         int attempt,
                         const std::shared_ptr<cancel_token>& token,
                         bool stream) const;
    call_attempt make_call(const attempt_state& state,
                           const target& chosen,
                           int attempt,
                           const std::shared_ptr<cancel_token>& token,
                           bool stream) const;
    void record_attempt(const attempt_state& state,
                        const target& chosen,
                        int attempt,
                        const stage_reply& reply) const;
    bool should_retry(const attempt_state& state, const stage_reply& reply) const;

    dependencies deps_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_STAGE_RUNNER_HPP
