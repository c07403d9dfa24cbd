#include <medlar/detail/membership/request_placer.hpp>

#include <algorithm>
#include <utility>

namespace medlar
{

namespace
{

constexpr millis retry_delay{500};
constexpr millis retry_delay_when_full{1000};
/// longest wait before the clock is read again
constexpr millis max_wait{100};

answer_now make_answer(outcome_kind kind,
                       reason why,
                       std::string message,
                       std::optional<millis> retry_after)
{
    outcome result;
    result.kind = kind;
    result.why = why;
    result.message = std::move(message);
    result.retry_after = retry_after;
    return {final_answer{std::move(result), "", ""}};
}

/// @brief Returns an outcome of the ownership as an answer, with a retry delay if the
/// request was not run.
answer_now with_retry(outcome result)
{
    if (!result.retry_after && result.kind == outcome_kind::not_run)
    {
        result.retry_after = retry_delay;
    }
    return {final_answer{std::move(result), "", ""}};
}

} // namespace

request_placer::request_placer(exchange_core& core) : core_(core)
{
}

placement request_placer::place(const owned_request& request)
{
    for (;;)
    {
        const std::uint64_t transitions_before = core_.owner.transitions();
        attempt result = try_place(request);
        if (auto* placed = std::get_if<placement>(&result))
        {
            return std::move(*placed);
        }
        if (const auto* found = std::get_if<claim>(&result))
        {
            return place_by_claim(request, *found);
        }
        const millis remaining = request.wait_until - core_.time.steady_now();
        if (remaining <= millis(0) || core_.stopped.load())
        {
            outcome answer = std::get<ownership_pending>(result).fallback;
            answer.retry_after = retry_delay;
            return with_retry(std::move(answer));
        }
        core_.owner.wait_for_transition(transitions_before,
                                        std::min(remaining, max_wait));
    }
}

request_placer::attempt request_placer::try_place(const owned_request& request)
{
    // under one lock: no view is adopted and no handover handled between the decision and
    // the claim
    return core_.owner.read(
        [this, &request](const ownership& state) -> attempt
        {
            if (const std::optional<claim> found = core_.claims.find(request.key))
            {
                return *found;
            }
            const ownership_decision decision = state.decide(hash_of(request.key),
                                                             request.issued_at,
                                                             request.first_attempt,
                                                             core_.time.steady_now(),
                                                             core_.time.wall_now());
            if (const auto* elsewhere = std::get_if<other_home>(&decision))
            {
                return placement(run_elsewhere{elsewhere->home});
            }
            if (const auto* refused = std::get_if<refuse>(&decision))
            {
                return placement(with_retry(refused->answer));
            }
            if (const auto* waiting = std::get_if<ownership_pending>(&decision))
            {
                return *waiting;
            }
            if (const auto* awaiting = std::get_if<handover_pending>(&decision))
            {
                return place_by_earlier_home(*awaiting);
            }
            return open_claim(request);
        });
}

request_placer::attempt
request_placer::place_by_earlier_home(const handover_pending& found) const
{
    if (core_.peers.is_responding(found.earlier_home, core_.time.steady_now()))
    {
        return ownership_pending{found.fallback};
    }
    return placement(with_retry(found.fallback));
}

request_placer::attempt request_placer::open_claim(const owned_request& request)
{
    if (core_.stopped.load())
    {
        return placement(make_answer(outcome_kind::not_run,
                                     reason::shutting_down,
                                     "this host is shutting down",
                                     retry_delay));
    }
    if (!core_.claims.has_capacity())
    {
        return placement(make_answer(outcome_kind::not_run,
                                     reason::claims_full,
                                     "its home holds as many claims as it may",
                                     retry_delay_when_full));
    }
    claim fresh;
    fresh.key = request.key;
    fresh.digest = request.digest;
    fresh.issued_at = request.issued_at;
    fresh.runner = core_.self();
    const claim_lookup opened = core_.claims.open(fresh);
    if (opened.state != claim_state::opened)
    {
        return opened.found;
    }
    core_.runs.begin(request.key);
    return placement(run_here{});
}

placement request_placer::place_by_claim(const owned_request& request,
                                         const claim& found) const
{
    if (found.digest != request.digest)
    {
        return make_answer(outcome_kind::not_run,
                           reason::id_reused,
                           "the id was used for another request",
                           std::nullopt);
    }
    if (found.answer)
    {
        return answer_now{*found.answer};
    }
    return found.runner == core_.self() ? placement(join_here{}) : relay_to_runner(found);
}

placement request_placer::relay_to_runner(const claim& found) const
{
    const std::optional<view_member> runner = core_.find_member(found.runner);
    if (runner && core_.peers.is_responding(found.runner, core_.time.steady_now()))
    {
        return run_elsewhere{*runner};
    }
    return make_answer(outcome_kind::unknown,
                       reason::reply_lost,
                       "the host that ran it is not heard from",
                       retry_delay_when_full);
}

} // namespace medlar
