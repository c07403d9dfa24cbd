// Part of request_run: calls to targets that have started or recovered.

#include <medlar/detail/entry/request_run.hpp>

namespace medlar
{

namespace
{

// answers without a slot that a request waits for if all targets are in slow start
constexpr int max_slot_refusals = 2;

} // namespace

slot_rules request_run::slots_in_use() const
{
    slot_rules slots;
    slots.holds = [this](const target_state& each)
    {
        return slow_starts_.holds_slot(each);
    };
    slots.lacks = [this](const target_state& each)
    {
        return slow_starts_.lacks_slot(each);
    };
    slots.may_be_granted = [this](const target_state& each)
    {
        return slot_refusals_ < max_slot_refusals && slow_starts_.may_be_granted(each);
    };
    return slots;
}

void request_run::send_with_slot(const target_id& id)
{
    const std::weak_ptr<request_run> weak = weak_from_this();
    slow_starts_.request_slot(id,
                              [weak, id]
                              {
                                  const auto self = weak.lock();
                                  if (self && !self->ended_)
                                  {
                                      self->on_slot_answer(id);
                                  }
                              });
}

void request_run::on_slot_answer(const target_id& id)
{
    target_state* const target = context_.targets.find(id);
    const bool is_usable = target != nullptr && takes_work(*target) &&
                           may_run_at(*target) &&
                           may_call(*target, context_.loop.now()) &&
                           target->health.state == health_state::healthy &&
                           !slow_starts_.lacks_slot(*target);
    if (!is_usable)
    {
        ++slot_refusals_;
        send();
        return;
    }
    if (needs_permit(*target))
    {
        send_with_permit(id);
        return;
    }
    send_to(*target);
}

void request_run::record_first_event_pace()
{
    if (slow_call_)
    {
        slow_starts_.record_answer(
            *slow_call_,
            pace_of(context_.loop.now() - sent_at_,
                    context_.expected_first_event_delay(pool_, fields_.prompt_tokens)));
    }
    context_.record_stream_begun(process_);
}

slow_start_result request_run::pace_of_call() const
{
    if (has_call_failed_)
    {
        return slow_start_result::failed;
    }
    const millis usual =
        is_stream() ? context_.expected_first_event_delay(pool_, fields_.prompt_tokens)
                    : context_.expected_answer_time(pool_);
    // a stream that has begun was measured at its first event
    const bool is_measured = is_stream() && has_call_begun_;
    const bool is_slow = !is_measured && pace_of(context_.loop.now() - sent_at_, usual) ==
                                             slow_start_result::slow;
    if (is_slow)
    {
        return slow_start_result::slow;
    }
    return has_whole_answer_ ? slow_start_result::timely : slow_start_result::cancelled;
}

} // namespace medlar
