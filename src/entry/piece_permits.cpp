#include <medlar/detail/entry/piece_permits.hpp>
#include <medlar/detail/entry/start_question.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

// time that is left of a permit when its call is sent; see request_permits.cpp
constexpr millis min_connect_time{50};

} // namespace

bool piece_permits::is_held(const target_id& target) const
{
    const auto found = held_until_.find(target);
    return found != held_until_.end() &&
           context_.loop.now() + min_connect_time <= found->second;
}

bool piece_permits::may_send(const target_state& target,
                             bool is_wanted,
                             const std::function<void()>& on_granted)
{
    const target_id id = target.record.id;
    if (!limits_.needs_early_permit(target) || is_held(id))
    {
        return true;
    }
    if (!is_wanted || !asked_.insert(id).second)
    {
        return false;
    }
    limits_.request_permit(
        id,
        [this, id, on_granted, asked_at = context_.loop.now()](bool is_granted)
        {
            asked_.erase(id);
            if (is_granted)
            {
                held_until_[id] = asked_at + cold_permit_validity;
                on_granted();
            }
        });
    return is_held(id);
}

steady_time piece_permits::take(const target_id& target)
{
    const auto found = held_until_.find(target);
    if (found == held_until_.end())
    {
        return {};
    }
    const steady_time until = found->second;
    held_until_.erase(found);
    return until;
}

void piece_permits::prepare_call(target_state& target,
                                 steady_time permit_until,
                                 call_options& options,
                                 call_callbacks& events)
{
    if (!limits_.cold().has_rule(target.record.pool))
    {
        return;
    }
    if (limits_.cold().rate_of(target))
    {
        options.connect_timeout =
            std::min(options.connect_timeout,
                     std::max(min_connect_time, permit_until - context_.loop.now()));
        // the permit holds for whichever process answers
        return;
    }
    options.question = make_start_question(context_, target.record);
    options.may_ask = target.inquiry.begin(context_.loop.now());
    events.accepts_start = [this, id = target.record.id](const start_answer& answer)
    {
        if (target_state* const asked = context_.targets.find(id))
        {
            record_inquiry(context_, *asked, answer);
        }
        if (answer.started_ms)
        {
            context_.record_target_start(id, *answer.started_ms);
        }
        const target_state* const current = context_.targets.find(id);
        return current == nullptr || !limits_.cold().rate_of(*current);
    };
}

} // namespace medlar
