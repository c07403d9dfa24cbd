#include <medlar/detail/gateway/filters/place_filter.hpp>
#include <medlar/detail/request/outcome_decision.hpp>

#include <algorithm>
#include <utility>

namespace medlar
{

namespace
{

constexpr millis relay_pause{20};
constexpr millis home_retry_after{1000};

run_result with_answer(final_answer answer)
{
    return {std::move(answer), false};
}

} // namespace

std::unique_ptr<filter>
place_filter::create(const clock& time, exchange& peers, relay_client& relay)
{
    return std::unique_ptr<filter>(new place_filter(time, peers, relay));
}

place_filter::place_filter(const clock& time, exchange& peers, relay_client& relay)
    : time_(time), peers_(peers), relay_(relay)
{
}

run_result place_filter::apply(request_context& context, const next_filter& next)
{
    return context.request.idempotent ? next(context) : place(context, next);
}

run_result place_filter::place(request_context& context, const next_filter& next)
{
    owned_request owned;
    owned.key = context.request.key;
    owned.digest = digest_of(identity_text(context.request));
    owned.issued_at = context.request.issued_at;
    owned.wait_until = context.deadline;
    bool sent_to_home = false;
    while (time_.steady_now() < context.deadline)
    {
        owned.first_attempt = context.request.first_attempt;
        const placement decision = peers_.place(owned);
        if (std::holds_alternative<run_here>(decision))
        {
            return run_here_and_finish(context, next);
        }
        if (std::holds_alternative<join_here>(decision))
        {
            return wait_for_joined_run(context);
        }
        if (const auto* known = std::get_if<answer_now>(&decision))
        {
            return with_answer(known->answer);
        }
        if (context.relayed)
        {
            return home_changed_refusal();
        }
        const view_member home = std::get<run_elsewhere>(decision).home;
        std::optional<run_result> result = relay_to(context, home, sent_to_home);
        if (result)
        {
            return *result;
        }
        context.token->wait_for(relay_pause);
    }
    return home_unreachable_result(context, sent_to_home);
}

run_result place_filter::run_here_and_finish(request_context& context,
                                             const next_filter& next)
{
    run_result result = next(context);
    if (result.may_run_again)
    {
        peers_.withdraw(context.request.key, result.answer.result);
    }
    else
    {
        peers_.finish(context.request.key, result.answer);
    }
    return result;
}

run_result place_filter::wait_for_joined_run(const request_context& context)
{
    std::optional<final_answer> answer =
        peers_.wait_for_answer(context.request.key, context.deadline);
    if (answer)
    {
        return with_answer(std::move(*answer));
    }
    return make_refusal(outcome_kind::unknown,
                        reason::deadline_passed,
                        "the same request still runs; send it again for its answer",
                        home_retry_after,
                        false);
}

std::optional<run_result> place_filter::relay_to(request_context& context,
                                                 const view_member& home,
                                                 bool& sent_to_home)
{
    relay_result relayed = relay_.send(context, home);
    if (auto* answered = std::get_if<relay_answered>(&relayed))
    {
        return with_answer(std::move(answered->answer));
    }
    if (std::holds_alternative<relay_broken>(relayed))
    {
        sent_to_home = true;
        context.request.first_attempt = false;
    }
    return std::nullopt;
}

run_result place_filter::home_changed_refusal() const
{
    return make_refusal(outcome_kind::not_run,
                        reason::home_changed,
                        "another host is the home of the request",
                        relay_pause,
                        true);
}

run_result place_filter::home_unreachable_result(const request_context& context,
                                                 bool sent_to_home) const
{
    const outcome_kind kind = decide_entry_outcome(
        {context.request.idempotent, context.request.first_attempt, sent_to_home});
    return make_refusal(kind,
                        reason::home_unreachable,
                        "the home of the request gave no answer",
                        home_retry_after,
                        false);
}

} // namespace medlar
