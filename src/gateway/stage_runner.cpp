#include <medlar/detail/gateway/stage_runner.hpp>
#include <medlar/detail/log/gateway_events.hpp>
#include <medlar/detail/policy/call_priority.hpp>
#include <medlar/detail/request/json_text.hpp>
#include <medlar/detail/request/stage_plan.hpp>

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace medlar
{

namespace
{

constexpr millis retry_pause{20};
constexpr millis default_retry_after{200};

absl::string_view result_name(call_result result)
{
    switch (result)
    {
        case call_result::succeeded:
            return "succeeded";
        case call_result::refused:
            return "refused";
        case call_result::failed:
            return "failed";
        case call_result::unreachable:
            return "unreachable";
        case call_result::broken:
            return "broken";
        case call_result::timed_out:
            return "timed_out";
        case call_result::cancelled:
            return "cancelled";
    }
    return "failed";
}

bool is_bad_answer(reason why)
{
    return why == reason::target_answer_malformed ||
           why == reason::target_answer_mismatched ||
           why == reason::target_answer_too_large;
}

std::uint64_t prefix_hash_of(const client_request& request)
{
    const std::string& prefix = request.prompt_prefix;
    return prefix.empty() ? 0 : XXH64(prefix.data(), prefix.size(), 0);
}

stage_result failed_stage(reason why, std::string message)
{
    return {std::nullopt, why, std::move(message), default_retry_after};
}

stage_result failed_with(const stage_reply& reply)
{
    return {std::nullopt,
            reply.why,
            reply.message,
            reply.retry_after.value_or(default_retry_after)};
}

stage_result cancelled_stage(cancel_cause why)
{
    if (why == cancel_cause::deadline)
    {
        return failed_stage(reason::deadline_passed, "the deadline has passed");
    }
    return failed_stage(reason::cancelled, "nobody waits for the answer");
}

stage_result completed_stage(const stage& definition,
                             const std::string& tokens_text,
                             std::int64_t tokens,
                             const stage_reply& reply)
{
    stage_result result;
    result.output =
        definition.kind == stage_kind::generate
            ? absl::StrCat(
                  "{\"text\":", quoted_json(tokens_text), ",\"tokens\":", tokens, "}")
            : reply.output;
    return result;
}

/// @brief Returns whether the call surely did not run, so that even one that is not
/// idempotent may be retried.
bool did_not_run(const stage_reply& reply)
{
    return !reply.may_have_run;
}

} // namespace

std::unique_ptr<stage_runner> stage_runner::create(const dependencies& deps)
{
    return std::unique_ptr<stage_runner>(new stage_runner(deps));
}

stage_runner::stage_runner(const dependencies& deps) : deps_(deps)
{
}

stage_result stage_runner::run(const run_context& context,
                               const stage& definition,
                               const std::string& input) const
{
    const pool* stage_pool = context.configuration.find_pool(definition.pool);
    if (stage_pool == nullptr || stage_pool->targets.empty())
    {
        return failed_stage(reason::no_target, "the stage's pool has no target");
    }
    attempt_state state = begin(context, definition, *stage_pool, input);
    stage_result last_failure =
        failed_stage(reason::no_target, "no target may get the call");
    while (true)
    {
        const cancel_cause cause = context.token->cause();
        if (cause != cancel_cause::none)
        {
            return cancelled_stage(cause);
        }
        const std::optional<target> chosen = choose(state);
        if (!chosen)
        {
            return last_failure;
        }
        const stage_reply reply = try_at(state, *chosen);
        if (reply.result == call_result::succeeded)
        {
            return completed_stage(
                definition, state.tokens_text, state.next_token, reply);
        }
        last_failure = failed_with(reply);
        state.call.tried.insert(chosen->name);
        if (!should_retry(state, reply))
        {
            return last_failure;
        }
    }
}

stage_runner::attempt_state stage_runner::begin(const run_context& context,
                                                const stage& definition,
                                                const pool& stage_pool,
                                                const std::string& input) const
{
    attempt_state state{context, definition, stage_pool, input};
    state.idempotent = is_idempotent(definition, context.request);
    state.call.pool = definition.pool;
    state.call.kind = definition.kind;
    state.call.routing = context.definition.routing;
    state.call.objective = context.definition.objective;
    state.call.size = {byte_count(static_cast<std::int64_t>(input.size())),
                       token_limit(definition, context.request)};
    const bool generates = definition.kind == stage_kind::generate;
    state.call.prefix_hash = generates ? prefix_hash_of(context.request) : 0;
    state.call.deadline = context.deadline;
    state.call.ticket = context.ticket;
    return state;
}

std::optional<target> stage_runner::choose(attempt_state& state) const
{
    std::optional<target> chosen =
        deps_.policy.choose(state.call, deps_.time.steady_now());
    if (chosen || state.call.tried.empty())
    {
        return chosen;
    }
    // every target has been tried: start over after a pause
    state.context.token->wait_for(retry_pause);
    state.call.tried.clear();
    return deps_.policy.choose(state.call, deps_.time.steady_now());
}

stage_reply stage_runner::try_at(attempt_state& state, const target& chosen) const
{
    const bool streams =
        state.definition.kind == stage_kind::generate && state.context.on_token;
    std::optional<millis> hedge;
    if (state.idempotent && !streams)
    {
        hedge = deps_.policy.hedge_after(state.call, deps_.time.steady_now());
    }
    const stage_reply reply =
        hedge ? try_hedged(state, chosen, *hedge)
              : try_once(state, chosen, ++state.tries, state.context.token, streams);
    if (state.definition.kind == stage_kind::generate && state.idempotent)
    {
        state.tokens_text += reply.tokens_text;
        state.next_token = std::max(state.next_token, reply.next_token);
    }
    else if (reply.result == call_result::succeeded)
    {
        state.tokens_text = reply.tokens_text;
        state.next_token = reply.next_token;
    }
    return reply;
}

stage_reply
stage_runner::try_hedged(attempt_state& state, const target& chosen, millis delay) const
{
    const auto first_cancel = cancel_token::create();
    const auto hedge_cancel = cancel_token::create();
    const cancel_action stop_both(state.context.token,
                                  [first_cancel, hedge_cancel](cancel_cause why)
                                  {
                                      first_cancel->cancel(why);
                                      hedge_cancel->cancel(why);
                                  });
    const auto first_done = cancel_token::create();
    const int first_attempt = ++state.tries;
    stage_reply first_reply;
    std::thread first_thread(
        [&]
        {
            first_reply = try_once(state, chosen, first_attempt, first_cancel, false);
            if (first_reply.result == call_result::succeeded)
            {
                hedge_cancel->cancel(cancel_cause::not_needed);
            }
            first_done->cancel(cancel_cause::not_needed);
        });
    stage_reply hedge_reply;
    const bool hedge_due = !first_done->wait_for(delay);
    if (hedge_due && deps_.policy.may_retry(state.context.definition,
                                            state.tries,
                                            deps_.time.steady_now(),
                                            state.context.deadline))
    {
        stage_call hedge_call = state.call;
        hedge_call.tried.insert(chosen.name);
        const steady_time now = deps_.time.steady_now();
        const std::optional<target> hedge_target = deps_.policy.choose(hedge_call, now);
        if (hedge_target)
        {
            hedge_reply =
                try_once(state, *hedge_target, ++state.tries, hedge_cancel, false);
            if (hedge_reply.result == call_result::succeeded)
            {
                first_cancel->cancel(cancel_cause::not_needed);
            }
        }
    }
    first_thread.join();
    return first_reply.result == call_result::succeeded ||
                   hedge_reply.result != call_result::succeeded
               ? first_reply
               : hedge_reply;
}

stage_reply stage_runner::try_once(const attempt_state& state,
                                   const target& chosen,
                                   int attempt,
                                   const std::shared_ptr<cancel_token>& token,
                                   bool stream) const
{
    const call_attempt call = make_call(state, chosen, attempt, token, stream);
    stage_reply reply = deps_.client.call(call);
    record_attempt(state, chosen, attempt, reply);
    const bool abandoned =
        reply.result == call_result::cancelled || reply.result == call_result::timed_out;
    if (reply.may_have_run && abandoned && state.idempotent)
    {
        deps_.cancels.send(call.remote, call.message.call_id);
    }
    if (reply.leaving)
    {
        deps_.on_target_leaving(chosen.name);
    }
    return reply;
}

call_attempt stage_runner::make_call(const attempt_state& state,
                                     const target& chosen,
                                     int attempt,
                                     const std::shared_ptr<cancel_token>& token,
                                     bool stream) const
{
    const run_context& context = state.context;
    const std::string request_id = to_string(context.request.key);
    call_attempt call;
    call.remote = {chosen.address, chosen.port};
    call.message.request_id = request_id;
    call.message.call_id = absl::StrCat(request_id, "/", state.definition.name);
    call.message.attempt = attempt;
    call.message.kind = state.definition.kind;
    call.message.model = state.stage_pool.model;
    call.message.input = state.input;
    call.message.prompt_prefix = context.request.prompt_prefix;
    call.message.max_tokens = state.call.size.max_tokens;
    call.message.deadline_remaining = context.deadline - deps_.time.steady_now();
    call.message.priority =
        call_priority(deps_.time.wall_now() + call.message.deadline_remaining);
    call.message.resume_from = state.next_token;
    call.idempotent = state.idempotent;
    call.deadline = context.deadline;
    call.token = token;
    if (stream)
    {
        call.on_token = [&context, name = state.definition.name](std::int64_t index,
                                                                 const std::string& text)
        {
            context.on_token(name, index, text);
        };
    }
    return call;
}

void stage_runner::record_attempt(const attempt_state& state,
                                  const target& chosen,
                                  int attempt,
                                  const stage_reply& reply) const
{
    call_observation observation;
    observation.target_name = chosen.name;
    observation.pool = state.definition.pool;
    observation.kind = state.definition.kind;
    observation.size = state.call.size;
    observation.result = reply.result;
    observation.elapsed = reply.elapsed;
    observation.first_token = reply.first_token;
    observation.tokens_written = token_count(reply.next_token - state.next_token);
    observation.cached_tokens = token_count(reply.cached_tokens);
    observation.prefix_hash = state.call.prefix_hash;
    observation.ticket = state.call.ticket;
    deps_.policy.observe(observation, deps_.time.steady_now());
    if (is_bad_answer(reply.why))
    {
        log_event(gateway_target_answer_bad,
                  {{"target", chosen.name.get()},
                   {"request", to_string(state.context.request.key)},
                   {"stage", state.definition.name},
                   {"reason", to_string(reply.why)}});
    }
    trace_entry entry;
    entry.stage = state.definition.name;
    entry.target_name = chosen.name;
    entry.attempt = attempt;
    entry.result = std::string(result_name(reply.result));
    entry.started_after = reply.started - state.context.started;
    entry.elapsed = reply.elapsed;
    entry.first_token = reply.first_token;
    entry.tokens = observation.tokens_written;
    entry.cached_tokens = token_count(reply.cached_tokens);
    state.context.log.add(entry, reply, state.idempotent);
    const std::vector<label> labels = {
        {"pipeline", state.context.definition.name.get()},
        {"organisation", state.context.request.key.organisation.get()},
        {"stage", state.definition.name}};
    constexpr double ms_per_second = 1000;
    deps_.metrics.observe("medlar_stage_seconds",
                          labels,
                          static_cast<double>(reply.elapsed.count()) / ms_per_second);
    deps_.metrics.add("medlar_stage_tokens_total",
                      labels,
                      static_cast<double>(observation.tokens_written.get()));
}

bool stage_runner::should_retry(const attempt_state& state,
                                const stage_reply& reply) const
{
    if (reply.result == call_result::cancelled || reply.result == call_result::timed_out)
    {
        return false;
    }
    if (!did_not_run(reply) && !state.idempotent)
    {
        return false;
    }
    if (reply.leaving)
    {
        return state.tries <= static_cast<int>(state.stage_pool.targets.size());
    }
    if (did_not_run(reply) && state.context.definition.retries == retry_policy::budgeted)
    {
        // a call that did not run added no load, so its retry needs no retry budget
        return state.tries < state.context.definition.max_tries;
    }
    return deps_.policy.may_retry(state.context.definition,
                                  state.tries,
                                  deps_.time.steady_now(),
                                  state.context.deadline);
}

} // namespace medlar
