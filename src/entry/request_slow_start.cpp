// Part of request_run: calls to targets that have started or recovered.

#include <medlar/detail/entry/request_run.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

// answers without a slot that a request waits for if all targets are in slow start
constexpr int max_slot_refusals = 2;

} // namespace

target_state* request_run::choose_target_with_slot()
{
    target_choice_input input = choice_input(false);
    // Any request uses a slot that the host holds, also one whose prompt another engine
    // has in its cache: the target would be idle until a prompt comes that prefers it.
    prefer_targets(input,
                   [this](const target_state* each)
                   {
                       return slow_starts_.holds_slot(*each);
                   });
    target_state* const preferred = choose_among(input);
    if (preferred == nullptr || !slow_starts_.lacks_slot(*preferred))
    {
        return preferred;
    }
    slow_starts_.ask_ahead(preferred->record.id);
    target_state* const other = choose_among(choice_input(true));
    if (other != nullptr || slot_refusals_ >= max_slot_refusals)
    {
        return other;
    }
    input.candidates.erase(std::remove_if(input.candidates.begin(),
                                          input.candidates.end(),
                                          [this](const target_state* each)
                                          {
                                              return !slow_starts_.may_be_granted(*each);
                                          }),
                           input.candidates.end());
    return choose_among(input);
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
    context_.record_stream_begun(target_);
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
