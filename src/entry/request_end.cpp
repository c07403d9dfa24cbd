// Part of request_run: finds out whether an answer that has ended with its connection is
// whole.

#include <medlar/detail/entry/request_run.hpp>
#include <medlar/detail/log/entry_events.hpp>

namespace medlar
{

void request_run::check_end()
{
    // the target and its call stay those of this request until its end is known
    end_inquiry_ = std::make_unique<end_inquiry>(context_,
                                                 target_,
                                                 called_address_,
                                                 start_of_called_process(),
                                                 call_->seen_open_at(),
                                                 [this](const end_finding& found)
                                                 {
                                                     on_end_checked(found);
                                                 });
}

sender_start request_run::start_of_called_process() const
{
    if (call_->process_start())
    {
        return {call_->process_start(), true};
    }
    if (process_.started_ms == 0)
    {
        return {};
    }
    return {process_.started_ms, false};
}

void request_run::on_end_checked(const end_finding& found)
{
    // the inquiry is calling
    const std::unique_ptr<end_inquiry> ended = std::move(end_inquiry_);
    const sender_start sender = start_of_called_process();
    log_event(entry_end_checked,
              {{"attempt", fields_.attempt.get()},
               {"target", target_.get()},
               {"end", to_string(found.end)},
               {"question", to_string(found.evidence.end)},
               {"questions", std::int64_t{found.questions}},
               {"process_start_ms", sender.started_ms.value_or(-1)},
               {"is_start_stated", std::int64_t{sender.is_stated}},
               {"answering_start_ms", found.evidence.started_ms.value_or(-1)},
               {"older_connection", std::int64_t{found.evidence.has_older_connection}},
               {"after_event", last_event_id_.value_or(-1)},
               {"took_ms", found.took.count()}});
    context_.metrics->add("medlar_end_checks_total",
                          {{"end", std::string(to_string(found.end))}});
    const target_state* const target = context_.targets.find(target_);
    // one that leaves ends with its last answer, and has not crashed
    const bool is_leaving = target == nullptr || is_stopping(*target);
    // the entry may name the process that answers now, which has not failed
    const bool is_next_process =
        found.end == answer_end::cut && found.evidence.end == question_end::answered;
    if (found.evidence.started_ms && target != nullptr &&
        target->record.address == called_address_)
    {
        context_.record_target_start(target_, *found.evidence.started_ms);
    }
    if (found.end == answer_end::whole)
    {
        on_whole_answer();
        return;
    }
    if (is_next_process)
    {
        // says nothing of it
        context_.record_target_call(process_, call_result::cancelled);
    }
    on_call_failed(call_end::broken_off, !is_leaving && !is_next_process);
}

} // namespace medlar
