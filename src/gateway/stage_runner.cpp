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

absl::string_view name_of(call_result result)
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

stage_end without_output(reason why, std::string message)
{
    return {std::nullopt, why, std::move(message), default_retry_after};
}

stage_end ended_by(const stage_reply& reply)
{
    return {std::nullopt,
            reply.why,
            reply.message,
            reply.retry_after.value_or(default_retry_after)};
}

stage_end stopped(cancel_cause why)
{
    if (why == cancel_cause::deadline)
    {
        return without_output(reason::deadline_passed, "the deadline has passed");
    }
    return without_output(reason::cancelled, "nobody waits for the answer");
}

stage_end with_output(const stage& of,
                      const std::string& tokens_text,
                      std::int64_t tokens,
                      const stage_reply& reply)
{
    stage_end end;
    end.output =
        of.kind == stage_kind::generate
            ? absl::StrCat(
                  "{\"text\":", quoted_json(tokens_text), ",\"tokens\":", tokens, "}")
            : reply.output;
    return end;
}

/// @brief whether nothing of a call ran, so that it can go elsewhere whatever it is
bool did_not_run(const stage_reply& reply)
{
    return !reply.handed;
}

} // namespace

std::unique_ptr<stage_runner> stage_runner::create(const parts& with)
{
    return std::unique_ptr<stage_runner>(new stage_runner(with));
}

stage_runner::stage_runner(const parts& with) : with_(with)
{
}

stage_end stage_runner::run(const run_context& context,
                            const stage& of,
                            const std::string& input) const
{
    const pool* from = context.configuration.find_pool(of.pool);
    if (from == nullptr || from->targets.empty())
    {
        return without_output(reason::no_target, "the stage's pool has no target");
    }
    progress now = begin(context, of, *from, input);
    stage_end last = without_output(reason::no_target, "no target may get the call");
    while (true)
    {
        const cancel_cause cause = context.token->cause();
        if (cause != cancel_cause::none)
        {
            return stopped(cause);
        }
        const std::optional<target> at = choose(now);
        if (!at)
        {
            return last;
        }
        const stage_reply reply = try_at(now, *at);
        if (reply.result == call_result::succeeded)
        {
            return with_output(of, now.tokens_text, now.next_token, reply);
        }
        last = ended_by(reply);
        now.call.tried.insert(at->name);
        if (!may_try_again(now, reply))
        {
            return last;
        }
    }
}

stage_runner::progress stage_runner::begin(const run_context& context,
                                           const stage& of,
                                           const pool& from,
                                           const std::string& input) const
{
    progress now{context, of, from, input};
    now.repeatable = may_repeat(of, context.request);
    now.call.pool = of.pool;
    now.call.kind = of.kind;
    now.call.routing = context.of.routing;
    now.call.objective = context.of.objective;
    now.call.size = {byte_count(static_cast<std::int64_t>(input.size())),
                     token_limit(of, context.request)};
    const bool generates = of.kind == stage_kind::generate;
    now.call.prefix_hash = generates ? prefix_hash_of(context.request) : 0;
    now.call.deadline = context.deadline;
    now.call.ticket = context.ticket;
    return now;
}

std::optional<target> stage_runner::choose(progress& now) const
{
    std::optional<target> at = with_.policy.choose(now.call, with_.time.steady_now());
    if (at || now.call.tried.empty())
    {
        return at;
    }
    // all have been tried: begin again with any of them
    now.context.token->wait_for(retry_pause);
    now.call.tried.clear();
    return with_.policy.choose(now.call, with_.time.steady_now());
}

stage_reply stage_runner::try_at(progress& now, const target& at) const
{
    const bool streams = now.of.kind == stage_kind::generate && now.context.on_token;
    std::optional<millis> hedge;
    if (now.repeatable && !streams)
    {
        hedge = with_.policy.hedge_after(now.call, with_.time.steady_now());
    }
    const stage_reply reply =
        hedge ? try_hedged(now, at, *hedge)
              : try_once(now, at, ++now.tries, now.context.token, streams);
    if (now.of.kind == stage_kind::generate && now.repeatable)
    {
        now.tokens_text += reply.tokens_text;
        now.next_token = std::max(now.next_token, reply.next_token);
    }
    else if (reply.result == call_result::succeeded)
    {
        now.tokens_text = reply.tokens_text;
        now.next_token = reply.next_token;
    }
    return reply;
}

stage_reply stage_runner::try_hedged(progress& now, const target& at, millis after) const
{
    const auto first_token = cancel_token::create();
    const auto second_token = cancel_token::create();
    const cancel_action stop_both(now.context.token,
                                  [first_token, second_token](cancel_cause why)
                                  {
                                      first_token->cancel(why);
                                      second_token->cancel(why);
                                  });
    const auto first_done = cancel_token::create();
    const int first_attempt = ++now.tries;
    stage_reply first;
    std::thread first_thread(
        [&]
        {
            first = try_once(now, at, first_attempt, first_token, false);
            if (first.result == call_result::succeeded)
            {
                second_token->cancel(cancel_cause::not_needed);
            }
            first_done->cancel(cancel_cause::not_needed);
        });
    stage_reply second;
    const bool slow = !first_done->wait_for(after);
    if (slow &&
        with_.policy.may_retry(
            now.context.of, now.tries, with_.time.steady_now(), now.context.deadline))
    {
        stage_call other = now.call;
        other.tried.insert(at.name);
        const steady_time moment = with_.time.steady_now();
        const std::optional<target> beside = with_.policy.choose(other, moment);
        if (beside)
        {
            second = try_once(now, *beside, ++now.tries, second_token, false);
            if (second.result == call_result::succeeded)
            {
                first_token->cancel(cancel_cause::not_needed);
            }
        }
    }
    first_thread.join();
    return first.result == call_result::succeeded ||
                   second.result != call_result::succeeded
               ? first
               : second;
}

stage_reply stage_runner::try_once(const progress& now,
                                   const target& at,
                                   int attempt,
                                   const std::shared_ptr<cancel_token>& token,
                                   bool stream) const
{
    const stage_try what = make_try(now, at, attempt, token, stream);
    stage_reply reply = with_.client.call(what);
    note(now, at, attempt, reply);
    const bool abandoned =
        reply.result == call_result::cancelled || reply.result == call_result::timed_out;
    if (reply.handed && abandoned && now.repeatable)
    {
        with_.cancels.send(what.at, what.message.call_id);
    }
    if (reply.leaving)
    {
        with_.target_is_leaving(at.name);
    }
    return reply;
}

stage_try stage_runner::make_try(const progress& now,
                                 const target& at,
                                 int attempt,
                                 const std::shared_ptr<cancel_token>& token,
                                 bool stream) const
{
    const run_context& context = now.context;
    const std::string request_id = to_string(context.request.key);
    stage_try what;
    what.at = {at.address, at.port};
    what.message.request_id = request_id;
    what.message.call_id = absl::StrCat(request_id, "/", now.of.name);
    what.message.attempt = attempt;
    what.message.kind = now.of.kind;
    what.message.model = now.from.model;
    what.message.input = now.input;
    what.message.prompt_prefix = context.request.prompt_prefix;
    what.message.max_tokens = now.call.size.max_tokens;
    what.message.deadline_left = context.deadline - with_.time.steady_now();
    what.message.priority =
        call_priority(with_.time.wall_now() + what.message.deadline_left);
    what.message.resume_from = now.next_token;
    what.repeatable = now.repeatable;
    what.until = context.deadline;
    what.token = token;
    if (stream)
    {
        what.on_token =
            [&context, name = now.of.name](std::int64_t index, const std::string& text)
        {
            context.on_token(name, index, text);
        };
    }
    return what;
}

void stage_runner::note(const progress& now,
                        const target& at,
                        int attempt,
                        const stage_reply& reply) const
{
    call_observation seen;
    seen.target_name = at.name;
    seen.pool = now.of.pool;
    seen.kind = now.of.kind;
    seen.size = now.call.size;
    seen.result = reply.result;
    seen.elapsed = reply.elapsed;
    seen.first_token = reply.first_token;
    seen.tokens_written = token_count(reply.next_token - now.next_token);
    seen.cached_tokens = token_count(reply.cached_tokens);
    seen.prefix_hash = now.call.prefix_hash;
    seen.ticket = now.call.ticket;
    with_.policy.observe(seen, with_.time.steady_now());
    if (is_bad_answer(reply.why))
    {
        log_event(gateway_target_answer_bad,
                  {{"target", at.name.get()},
                   {"request", to_string(now.context.request.key)},
                   {"stage", now.of.name},
                   {"reason", to_string(reply.why)}});
    }
    trace_entry entry;
    entry.stage = now.of.name;
    entry.at = at.name;
    entry.attempt = attempt;
    entry.result = std::string(name_of(reply.result));
    entry.started_after = reply.started - now.context.started;
    entry.elapsed = reply.elapsed;
    entry.first_token = reply.first_token;
    entry.tokens = seen.tokens_written;
    entry.cached_tokens = token_count(reply.cached_tokens);
    now.context.log.add(entry, reply, now.repeatable);
    const std::vector<label> labels = {
        {"pipeline", now.context.of.name.get()},
        {"organisation", now.context.request.key.organisation.get()},
        {"stage", now.of.name}};
    constexpr double ms_per_second = 1000;
    with_.metrics.observe("medlar_stage_seconds",
                          labels,
                          static_cast<double>(reply.elapsed.count()) / ms_per_second);
    with_.metrics.add("medlar_stage_tokens_total",
                      labels,
                      static_cast<double>(seen.tokens_written.get()));
}

bool stage_runner::may_try_again(const progress& now, const stage_reply& reply) const
{
    if (reply.result == call_result::cancelled || reply.result == call_result::timed_out)
    {
        return false;
    }
    if (!did_not_run(reply) && !now.repeatable)
    {
        return false;
    }
    if (reply.leaving)
    {
        return now.tries <= static_cast<int>(now.from.targets.size());
    }
    if (did_not_run(reply) && now.context.of.retries == retry_policy::budgeted)
    {
        // another target gets the first call that this one did not run: no added load
        return now.tries < now.context.of.max_tries;
    }
    return with_.policy.may_retry(
        now.context.of, now.tries, with_.time.steady_now(), now.context.deadline);
}

} // namespace medlar
