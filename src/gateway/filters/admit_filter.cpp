#include <medlar/detail/gateway/filters/admit_filter.hpp>

#include <algorithm>
#include <chrono>
#include <variant>

namespace medlar
{

namespace
{

constexpr millis least_wait{1};

arrival arrival_of(const request_context& context)
{
    return {context.request.pipeline,
            context.request.key.organisation,
            size_of(context.request),
            context.deadline};
}

} // namespace

std::unique_ptr<filter> admit_filter::create(const clock& time, policy_engine& policy)
{
    return std::unique_ptr<filter>(new admit_filter(time, policy));
}

admit_filter::admit_filter(const clock& time, policy_engine& policy)
    : time_(time), policy_(policy)
{
}

run_end admit_filter::apply(request_context& context, const next_filter& next)
{
    const std::uint64_t ticket = ++last_ticket_;
    context.ticket = ticket;
    const std::optional<run_end> refused = wait_for_admission(context, ticket);
    run_end end = refused ? *refused : next(context);
    policy_.finish(ticket, time_.steady_now());
    finished_.notify_one();
    return end;
}

std::optional<run_end> admit_filter::wait_for_admission(const request_context& context,
                                                        std::uint64_t ticket)
{
    const arrival what = arrival_of(context);
    while (true)
    {
        const steady_time now = time_.steady_now();
        if (now >= context.deadline)
        {
            return not_run(reason::deadline_passed,
                           "the deadline passed while the request waited",
                           least_wait);
        }
        if (context.token->cause() == cancel_cause::caller_gone)
        {
            return not_run(reason::cancelled, "nobody waits for the answer", least_wait);
        }
        const admission decision = policy_.admit(ticket, what, now);
        if (std::holds_alternative<admitted>(decision))
        {
            return std::nullopt;
        }
        if (const auto* refused = std::get_if<admission_refusal>(&decision))
        {
            return not_run(refused->why,
                           "the request cannot be served in time",
                           refused->retry_after);
        }
        wait(context, std::get<queued>(decision).check_after);
    }
}

void admit_filter::wait(const request_context& context, millis span)
{
    const millis left = context.deadline - time_.steady_now();
    const millis bounded = std::max(least_wait, std::min(span, left));
    std::unique_lock<std::mutex> lock(mutex_);
    finished_.wait_for(lock, std::chrono::milliseconds(bounded.count()));
}

} // namespace medlar
