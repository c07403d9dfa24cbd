#include <medlar/detail/gateway/filters/admit_filter.hpp>

#include <algorithm>
#include <chrono>
#include <variant>

namespace medlar
{

namespace
{

constexpr millis min_wait{1};

arrival attributes_of(const request_context& context)
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

run_result admit_filter::apply(request_context& context, const next_filter& next)
{
    const std::uint64_t ticket = ++last_ticket_;
    context.ticket = ticket;
    const std::optional<run_result> refused = wait_for_admission(context, ticket);
    run_result result = refused ? *refused : next(context);
    policy_.finish(ticket, time_.steady_now());
    request_finished_.notify_one();
    return result;
}

std::optional<run_result> admit_filter::wait_for_admission(const request_context& context,
                                                           std::uint64_t ticket)
{
    const arrival attributes = attributes_of(context);
    while (true)
    {
        const steady_time now = time_.steady_now();
        if (now >= context.deadline)
        {
            return not_run_result(reason::deadline_passed,
                                  "the deadline passed while the request waited",
                                  min_wait);
        }
        if (context.token->cause() == cancel_cause::caller_gone)
        {
            return not_run_result(
                reason::cancelled, "nobody waits for the answer", min_wait);
        }
        const admission decision = policy_.admit(ticket, attributes, now);
        if (std::holds_alternative<admitted>(decision))
        {
            return std::nullopt;
        }
        if (const auto* refused = std::get_if<admission_refusal>(&decision))
        {
            return not_run_result(refused->why,
                                  "the request cannot be served in time",
                                  refused->retry_after);
        }
        wait_for_capacity(context, std::get<queued>(decision).check_after);
    }
}

void admit_filter::wait_for_capacity(const request_context& context, millis check_after)
{
    const millis remaining = context.deadline - time_.steady_now();
    const millis bounded = std::max(min_wait, std::min(check_after, remaining));
    std::unique_lock<std::mutex> lock(mutex_);
    request_finished_.wait_for(lock, std::chrono::milliseconds(bounded.count()));
}

} // namespace medlar
