// Part of request_run: sends the request to targets and retries it.

#include <medlar/detail/entry/request_run.hpp>
#include <medlar/detail/entry/start_question.hpp>
#include <medlar/detail/http/status.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

namespace medlar
{

namespace
{

// limit for sends that did not reach a target; they do not count as attempts
constexpr int max_unsent_sends = 4;

constexpr millis target_connect_timeout{400};

// An engine fetches a request's inputs when the request arrives, before it processes the
// prompt; their results can be freed after this time. Three results of 3 MB take 8 ms on
// its link.
constexpr millis input_fetch_time{40};

std::string join_part_ids(const std::vector<prompt_part>& prompt)
{
    return absl::StrJoin(prompt,
                         ",",
                         [](std::string* out, const prompt_part& each)
                         {
                             out->append(each.id);
                         });
}

} // namespace

std::optional<request_run::refusal> request_run::refusal_of_suspect() const
{
    const std::optional<blocked_suspect> blocked = crashes_.find_blocked(suspects_);
    if (!blocked)
    {
        return std::nullopt;
    }
    const auto part =
        std::find(suspects_.prompt.begin(), suspects_.prompt.end(), blocked->suspect);
    const bool is_part = part != suspects_.prompt.end();
    return refusal{
        status_bad_gateway,
        blocked->left,
        is_part
            ? absl::StrCat(
                  "prompt part \"",
                  fields_
                      .prompt[static_cast<std::size_t>(part - suspects_.prompt.begin())]
                      .id,
                  "\" crashes targets")
            : absl::StrCat("request ",
                           absl::Hex(blocked->suspect.get(), absl::kZeroPad16),
                           " crashes targets")};
}

bool request_run::end_if_refused(const std::optional<refusal>& found)
{
    if (found)
    {
        refuse_or_fail(found->status_if_run, found->retry_after, found->why);
    }
    return found.has_value();
}

bool request_run::is_refused_for_shutdown() const
{
    return !exchange_->has_begun() && has_not_run() && is_cut_by_shutdown();
}

request_run::refusal request_run::refusal_without_target(absl::string_view why) const
{
    return {status_bad_gateway,
            std::max(retry_after_no_target, context_.time_until_callable(pool_)),
            std::string(why)};
}

void request_run::send()
{
    if (end_if_refused(refusal_of_suspect()) || forward_if_no_path())
    {
        return;
    }
    if (is_refused_for_shutdown())
    {
        refuse_for_shutdown();
        return;
    }
    target_state* target = release_planned();
    const bool planned_is_usable =
        target != nullptr && takes_work(*target) && target->record.pool == pool_ &&
        may_run_at(*target) && may_call(*target, context_.loop.now()) &&
        inputs_domain().value_or(target->record.domain) == target->record.domain &&
        !slow_starts_.lacks_slot(*target);
    if (!planned_is_usable)
    {
        target = choose_target();
    }
    if (target == nullptr)
    {
        context_.record_no_target(pool_);
        on_attempts_failed(why_no_target);
        return;
    }
    const std::optional<software_version> version = version_of_new_stream();
    if (version && origins_.version_of(*target) != *version)
    {
        target->health = cancel_probe(target->health);
        send_once_saved({pool_, origins_.version_of(*target)});
        return;
    }
    if (slow_starts_.lacks_slot(*target))
    {
        send_with_slot(target->record.id);
        return;
    }
    if (needs_permit(*target))
    {
        send_with_permit(target->record.id);
        return;
    }
    send_to(*target);
}

void request_run::send_once_saved(const stream_origin& origin)
{
    const std::weak_ptr<request_run> weak = weak_from_this();
    origins_.save_ahead(fields_.attempt,
                        origin,
                        [weak, origin](bool is_saved)
                        {
                            const auto self = weak.lock();
                            if (!self || self->ended_)
                            {
                                return;
                            }
                            if (!is_saved)
                            {
                                self->on_attempts_failed(
                                    "no target of the version at which the stream has to "
                                    "begin can be called");
                                return;
                            }
                            self->origin_ = origin;
                            self->send();
                        });
}

void request_run::send_to(target_state& target)
{
    begin_probe_if_due(target, context_.loop.now());
    target_ = target.record.id;
    target_record_ = target.record;
    process_ = process_of(target);
    called_address_ = target.record.address;
    target_version_ = origins_.version_of(target);
    tried_targets_.push_back(target_);
    slow_call_ = slow_starts_.begin_call(target);
    has_call_failed_ = false;
    has_whole_answer_ = false;
    context_.targets.begin_call(process_);
    call_additions additions;
    additions.remaining = remaining_time();
    additions.expected_target = target_;
    if (organisation_)
    {
        additions.organisation = organisation_->name;
    }
    additions.inputs = inputs_;
    additions.has_inputs = has_inputs_;
    if (last_event_id_)
    {
        additions.resume_after = absl::StrCat(*last_event_id_);
    }
    call_options options;
    options.is_head_request = exchange_->head().method == "HEAD";
    options.connect_timeout = target_connect_timeout;
    call_callbacks events;
    limit_connect_time(target, options);
    // a permit holds for whichever process answers; a cold target may be slow to say
    // which
    const bool needs_start =
        limits_.cold().has_rule(pool_) && !limits_.cold().rate_of(target).has_value();
    if (is_stream() || needs_start)
    {
        options.question = make_start_question(context_, target.record);
        options.may_ask = target.inquiry.begin(context_.loop.now());
        events.accepts_start = [this](const start_answer& answer)
        {
            return accepts_process(answer);
        };
    }
    events.accepts_head = [this](const answer_head& head)
    {
        const std::string attempt = context_.protocol.read_answer(head).attempt;
        return attempt.empty() || attempt == fields_.attempt.get();
    };
    events.on_head = [this](const answer_head& head)
    {
        on_head(head);
    };
    events.on_data = [this](absl::string_view data)
    {
        on_data(data);
    };
    events.on_end = [this](call_end how)
    {
        on_call_end(how);
    };
    sent_at_ = context_.loop.now();
    paths_.record_call(pool_);
    head_.reset();
    buffered_body_.clear();
    events_.discard_incomplete_event();
    has_event_gap_ = false;
    goes_on_ = last_event_id_.has_value();
    has_call_begun_ = false;
    pace_.begin_target();
    attempts_.record_send();
    if (attempts_.sends() == 1)
    {
        context_.budget_for(pool_).record_first_try(context_.loop.now());
    }
    log_event(entry_request_sent,
              {{"attempt", fields_.attempt.get()},
               {"target", target_.get()},
               {"pool", pool_.get()},
               {"send", std::int64_t{attempts_.sends()}},
               {"in_flight", std::int64_t{target.in_flight}},
               {"left_ms", additions.remaining.count()},
               {"after_event", last_event_id_.value_or(-1)},
               {"resumes", fields_.resumed_attempt.get()},
               {"version", target_version_.get()},
               {"request", absl::StrCat(absl::Hex(key_.get(), absl::kZeroPad16))},
               {"parts", join_part_ids(fields_.prompt)}});
    if (has_inputs_)
    {
        const std::weak_ptr<request_run> weak = weak_from_this();
        context_.loop.after(input_fetch_time,
                            [weak, send_number = attempts_.sends()]
                            {
                                const auto self = weak.lock();
                                if (self && self->call_ &&
                                    self->attempts_.sends() == send_number)
                                {
                                    self->free_stage_results();
                                }
                            });
    }
    const std::uint64_t opened_before = context_.client.opened_connections();
    call_ = context_.client.start(target.record.address,
                                  context_.protocol.write_call(exchange_->head(),
                                                               exchange_->body().size(),
                                                               target.record.address,
                                                               additions),
                                  options,
                                  std::move(events),
                                  caller_exchange::shared_body(exchange_));
    is_new_connection_ = context_.client.opened_connections() != opened_before;
    record_process(call_->process_start());
}

bool request_run::accepts_any_start(const start_answer& answer)
{
    if (target_state* const target = context_.targets.find(target_))
    {
        record_inquiry(context_, *target, answer);
    }
    if (answer.started_ms && limits_.cold().has_rule(pool_))
    {
        context_.record_target_start(target_, *answer.started_ms);
    }
    return true;
}

bool request_run::accepts_start(const start_answer& answer)
{
    // the entry may have changed since the target was chosen
    if (target_state* const target = context_.targets.find(target_))
    {
        target_record_ = target->record;
        record_inquiry(context_, *target, answer);
        if (answer.is_missing && answer.is_unanswered)
        {
            target->evidence.record_loss(context_.loop.now());
        }
    }
    target_version_ = target_record_.version;
    const bool is_stated = answer.started_ms && target_record_.started_ms != 0;
    // what has answered with a failure may be anything
    const bool has_failed = answer.is_missing && !answer.is_unanswered;
    if (has_failed || (!is_stated && may_have_restarted()))
    {
        target_version_ = origins_.version_of(pool_, {target_, unknown_start_ms});
        context_.record_unknown_start(target_);
        return accepts_unknown_start(answer);
    }
    if (answer.is_unanswered && may_be_silent(answer))
    {
        return false;
    }
    if (is_stated)
    {
        if (*answer.started_ms != target_record_.started_ms)
        {
            target_version_ = origins_.version_of(pool_, {target_, *answer.started_ms});
        }
        context_.record_target_start(target_, *answer.started_ms);
    }
    else if (target_state* const target = context_.targets.find(target_))
    {
        target->is_start_unknown = false;
    }
    if (origin_ && is_of_unknown_start(origin_->version))
    {
        // it goes on nowhere, so that any process may begin it
        target_version_ = origin_->version;
        return true;
    }
    if (origin_)
    {
        return origins_.is_of(*origin_, target_version_);
    }
    const std::optional<software_version> version = version_of_new_stream();
    return !version || *version == target_version_;
}

bool request_run::accepts_unknown_start(const start_answer& answer)
{
    if (origin_)
    {
        return origins_.is_of(*origin_, target_version_);
    }
    if (may_be_silent(answer))
    {
        return false;
    }
    if (!version_of_new_stream())
    {
        // a stream that goes on nowhere else may begin there
        return true;
    }
    begins_at_unknown_start_ =
        !has_untried_known_target() || (answer.was_asked && answer.is_unanswered);
    return false;
}

bool request_run::may_have_restarted()
{
    const target_state* const target = context_.targets.find(target_);
    return target == nullptr || target->evidence.may_have_restarted();
}

bool request_run::may_be_silent(const start_answer& answer)
{
    // one more answer is waited for
    return answer.was_asked && answer.is_unanswered && tried_targets_.size() == 1 &&
           has_untried_known_target();
}

bool request_run::has_untried_known_target()
{
    const std::vector<target_state*> serving = context_.targets.serving(pool_);
    return std::any_of(serving.begin(),
                       serving.end(),
                       [this](const target_state* each)
                       {
                           return !each->is_start_unknown &&
                                  !each->inquiry.is_unanswered() &&
                                  may_call(*each, context_.loop.now()) &&
                                  std::find(tried_targets_.begin(),
                                            tried_targets_.end(),
                                            each->record.id) == tried_targets_.end();
                       });
}

void request_run::record_process(std::optional<std::int64_t> started_ms)
{
    const target_state* const target = context_.targets.find(target_);
    if (started_ms && target != nullptr && start_of(*target) < *started_ms)
    {
        context_.record_target_start(target_, *started_ms);
    }
    const process_start reached =
        context_.targets.process_reached(process_, started_ms, is_new_connection_);
    if (reached == process_)
    {
        return;
    }
    if (target_state* const expected = context_.targets.find_process(process_))
    {
        // the call tells nothing of the process that it was to probe
        expected->health = cancel_probe(expected->health);
    }
    context_.targets.end_call(process_);
    process_ = reached;
    context_.targets.begin_call(process_);
}

std::optional<std::int64_t> request_run::stated_start() const
{
    return call_ ? call_->process_start() : std::nullopt;
}

process_start request_run::leaving_process() const
{
    return context_.targets.leaving_process(process_, stated_start().has_value());
}

target_state* request_run::release_planned()
{
    if (!planned_)
    {
        return nullptr;
    }
    const process_start planned = *std::exchange(planned_, std::nullopt);
    context_.targets.end_call(planned);
    return context_.targets.find_process(planned);
}

void request_run::end_probe(call_result result)
{
    const target_state* const target = context_.targets.find_process(process_);
    if (target != nullptr && target->health.state == health_state::probing)
    {
        context_.record_target_call(process_, result);
    }
}

void request_run::release_call()
{
    if (slow_call_)
    {
        slow_starts_.end_call(*slow_call_, pace_of_call());
        slow_call_.reset();
    }
    // a probe whose result nobody records would keep the target out of use for good
    end_probe(call_result::cancelled);
    context_.targets.end_call(process_);
    target_ = target_id();
    process_ = process_start();
    call_ = nullptr;
    end_inquiry_.reset();
}

void request_run::on_head(const answer_head& head)
{
    const answer_fields answer = context_.protocol.read_answer(head);
    paths_.record_contact(pool_);
    context_.record_target_answer(leaving_process(), answer);
    if (answer.not_run)
    {
        on_not_run(head);
        return;
    }
    may_have_run_ = true;
    // a stream that is resumed at another target can only take further events: its head
    // was already sent to the caller
    const bool unusable = is_success(head.status)
                              ? !answer.has_signature || answer.is_encoded
                              : exchange_->has_begun();
    const bool failed = head.status >= 500;
    if (unusable || (failed && route_.may_retry()))
    {
        has_call_failed_ = true;
        context_.record_target_call(process_, call_result::failed);
        log_event(entry_call_failed,
                  {{"attempt", fields_.attempt.get()},
                   {"target", target_.get()},
                   {"status", std::int64_t{head.status}},
                   {"signed", std::int64_t{answer.has_signature}}});
        if (unusable ||
            (!attempts_.is_used_up() && context_.budget_for(pool_).may_retry(
                                            context_.loop.now(), context_.host_count)))
        {
            call_->cancel();
            release_call();
            if (!retry(true))
            {
                fail(status_bad_gateway, "the target's answer cannot be used");
            }
            return;
        }
    }
    head_ = head;
    const target_state* const target = context_.targets.find(target_);
    const bool is_unframed = head.framing.kind == body_kind::until_close;
    if (is_unframed || target == nullptr || is_stopping(*target))
    {
        // shows at the end of the answer whether the process lives on
        context_.client.keep_witness(called_address_);
    }
    // only hosts say these
    for (const char* each :
         {forward_not_taken_header, forward_target_header, forward_target_start_header})
    {
        head_->headers.remove(each);
    }
    name_target(head_->headers);
}

void request_run::name_target(header_list& headers) const
{
    const target_state* const target = context_.targets.find(target_);
    const bool is_asked =
        is_forwarded_ && exchange_->head().headers.find(forward_heeds_header) != nullptr;
    if (is_asked && target != nullptr)
    {
        headers.add(forward_target_header, target_.get());
        headers.add(forward_target_start_header,
                    absl::StrCat(leaving_process().started_ms));
    }
}

void request_run::on_not_run(const answer_head& head)
{
    log_event(entry_call_failed,
              {{"attempt", fields_.attempt.get()},
               {"target", target_.get()},
               {"status", std::int64_t{head.status}},
               {"not_run", std::int64_t{1}}});
    if (head.status == status_unavailable || head.status == status_too_many)
    {
        has_call_failed_ = true;
        context_.record_refusal(target_);
    }
    context_.record_target_call(process_, call_result::refused);
    call_->cancel();
    release_call();
    if (head.status == status_conflict && pipeline_ && repeat_stages())
    {
        tried_targets_.clear();
        return;
    }
    if (!retry(false))
    {
        on_attempts_failed("the target did not run the request");
    }
}

bool request_run::retry(bool has_run)
{
    const bool is_allowed = (!has_run && !may_have_run_) || route_.may_retry();
    // the next target would begin before events that the caller has
    const bool would_repeat_events = has_unnumbered_event_;
    if (!is_allowed || would_repeat_events || attempts_.is_used_up() ||
        !has_target_of_origin())
    {
        return false;
    }
    if (are_results_freed_)
    {
        // an engine would refuse the request, since its inputs are gone
        return repeat_stages();
    }
    if (!has_retry_budget())
    {
        return false;
    }
    record_retry();
    send();
    return true;
}

bool request_run::repeat_stages()
{
    if (!has_retry_budget() || !pipeline_->restart())
    {
        return false;
    }
    record_retry();
    return true;
}

bool request_run::has_retry_budget()
{
    return remaining_time() > millis(0) &&
           context_.budget_for(pool_).may_retry(context_.loop.now(), context_.host_count);
}

void request_run::record_retry()
{
    context_.budget_for(pool_).record_retry(context_.loop.now());
    context_.metrics->add("medlar_repeats_total", {{"pool", pool_.get()}});
}

void request_run::on_attempts_failed(absl::string_view why)
{
    end_if_refused(refusal_without_target(why));
}

void request_run::refuse_or_fail(int status_if_run,
                                 millis retry_after,
                                 absl::string_view why)
{
    if (may_have_run_)
    {
        fail(status_if_run, why);
    }
    else
    {
        refuse(retry_after, why);
    }
}

void request_run::on_declined()
{
    log_event(entry_call_failed,
              {{"attempt", fields_.attempt.get()},
               {"target", target_.get()},
               {"end", to_string(call_end::declined)},
               {"version", target_version_.get()},
               {"after_event", last_event_id_.value_or(-1)}});
    if (target_state* const target = context_.targets.find(target_))
    {
        if (process_of(*target) == process_)
        {
            target->health = cancel_probe(target->health);
        }
        if (target->inquiry.is_unanswered())
        {
            paths_.record_failure(pool_, target_, false);
        }
        else
        {
            paths_.record_contact(pool_);
        }
    }
    release_call();
    attempts_.record_unsent();
    if (std::exchange(begins_at_unknown_start_, false))
    {
        tried_targets_.pop_back();
        send_once_saved({pool_, target_version_});
        return;
    }
    if (std::exchange(is_declined_as_cold_, false))
    {
        // with a permit it may go there
        tried_targets_.pop_back();
        ++cold_refusals_;
    }
    if (tried_targets_.size() <= max_unsent_sends && remaining_time() > millis(0))
    {
        send();
        return;
    }
    on_attempts_failed("the targets of its version have started again");
}

void request_run::on_call_end(call_end how)
{
    if (ended_)
    {
        return;
    }
    if (how == call_end::declined)
    {
        on_declined();
        return;
    }
    const bool is_complete =
        how == call_end::complete && head_.has_value() && !is_part_of_stream();
    if (!is_complete)
    {
        on_call_failed(how);
    }
    else if (head_->framing.kind == body_kind::until_close)
    {
        check_end();
    }
    else
    {
        on_whole_answer();
    }
}

void request_run::on_whole_answer()
{
    const bool has_failed = head_->status >= 500;
    has_call_failed_ = has_failed;
    has_whole_answer_ = true;
    context_.record_target_call(
        process_, has_failed ? call_result::failed : call_result::succeeded);
    if (!has_failed)
    {
        crashes_.record_answered(suspects_);
    }
    release_call();
    finish_answer();
}

void request_run::on_call_failed(call_end how, bool is_fault_of_target)
{
    const std::string target = target_.get();
    const bool has_answer = head_.has_value();
    const absl::string_view framing = has_answer ? to_string(head_->framing.kind) : "";
    const std::optional<connection_end> ended_by =
        call_ ? call_->ended_by() : std::nullopt;
    const absl::string_view connection = ended_by ? to_string(*ended_by) : "";
    const bool not_sent = how == call_end::not_sent;
    if (!has_answer)
    {
        paths_.record_failure(pool_, target_, !not_sent);
    }
    const bool may_have_crashed =
        is_fault_of_target && (how == call_end::no_answer || how == call_end::broken_off);
    if (may_have_crashed && context_.targets.find(target_) != nullptr)
    {
        const std::int64_t started_ms = stated_start().value_or(process_.started_ms);
        crashes_.record_broken_call(
            target_record_, started_ms, suspects_, sent_at_, has_call_begun_);
    }
    if (is_fault_of_target)
    {
        has_call_failed_ = true;
        context_.record_target_call(
            process_, not_sent ? call_result::unreachable : call_result::broken);
    }
    release_call();
    log_event(entry_call_failed,
              {{"attempt", fields_.attempt.get()},
               {"target", target},
               {"end", to_string(how)},
               {"framing", framing},
               {"connection", connection},
               {"after_event", last_event_id_.value_or(-1)}});
    if (not_sent)
    {
        // nothing reached the target, so this send does not count as an attempt
        attempts_.record_unsent();
        if (tried_targets_.size() <= max_unsent_sends && remaining_time() > millis(0))
        {
            send();
            return;
        }
        // new connections fail, also if those of other requests go on
        if (is_forwarded_ || exchange_->has_begun() || !forward())
        {
            on_attempts_failed("no target can be reached");
        }
        return;
    }
    may_have_run_ = true;
    const bool in_body = exchange_->has_begun() && !is_stream();
    if (in_body || !retry(true))
    {
        on_attempts_failed("the target broke off");
    }
}

} // namespace medlar
