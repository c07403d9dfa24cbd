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

/// @brief Takes a token of a stage on its way to the caller.
using token_sink =
    std::function<void(const std::string& stage, std::int64_t index, const std::string&)>;

/// @brief what one run of a pipeline is about
struct run_context
{
    const client_request& request;
    const document& configuration;
    const pipeline& of;
    steady_time started;
    steady_time deadline;
    std::shared_ptr<cancel_token> token;
    token_sink on_token;
    run_log& log;
    /// its number at admission
    std::uint64_t ticket = 0;
};

/// @brief how a stage ended
struct stage_end
{
    /// JSON text; unset: it gave no output
    std::optional<std::string> output;
    reason why = reason::none;
    std::string message;
    std::optional<millis> retry_after;
};

/// @brief Runs one stage: chooses targets, tries again, hedges, resumes and cancels.
class stage_runner
{
  public:
    /// @brief what it works with
    struct parts
    {
        const clock& time;
        const stage_client& client;
        cancel_sender& cancels;
        policy_engine& policy;
        metrics_registry& metrics;
        /// called with a target that takes no new work
        std::function<void(const target_id&)> target_is_leaving;
    };

    static std::unique_ptr<stage_runner> create(const parts& with);

    /// @param input JSON text of what the stage takes
    stage_end
    run(const run_context& context, const stage& of, const std::string& input) const;

  private:
    explicit stage_runner(const parts& with);

    /// @brief one stage while it is being tried
    struct progress
    {
        const run_context& context;
        const stage& of;
        const pool& from;
        const std::string& input;
        bool repeatable{};
        stage_call call{};
        int tries{};
        std::string tokens_text{};
        std::int64_t next_token{};
    };

    progress begin(const run_context& context,
                   const stage& of,
                   const pool& from,
                   const std::string& input) const;
    std::optional<target> choose(progress& now) const;
    stage_reply try_at(progress& now, const target& at) const;
    stage_reply try_hedged(progress& now, const target& at, millis after) const;
    stage_reply try_once(const progress& now,
                         const target& at,
                         int attempt,
                         const std::shared_ptr<cancel_token>& token,
                         bool stream) const;
    stage_try make_try(const progress& now,
                       const target& at,
                       int attempt,
                       const std::shared_ptr<cancel_token>& token,
                       bool stream) const;
    void note(const progress& now,
              const target& at,
              int attempt,
              const stage_reply& reply) const;
    bool may_try_again(const progress& now, const stage_reply& reply) const;

    parts with_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_STAGE_RUNNER_HPP
