#include <medlar/detail/dispatch/target_choice.hpp>
#include <medlar/detail/entry/request_run.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace medlar
{

namespace
{

constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
constexpr int status_conflict = 409;

// a body up to this size is sent on when it is whole, so that a target that breaks off
// can still be replaced by another
constexpr std::size_t max_kept_body = 65536;

// how long a target that was full gets no request
constexpr millis full_pause{150};

// when a request should come back if no target could take it
constexpr millis retry_after_no_target{400};

// sends that never reached a target; they are no attempts, but must end
constexpr int max_unsent = 4;

constexpr millis target_connect_timeout{400};

// an engine fetches a request's inputs when the request arrives, before it reads the
// prompt: three results of 3 MB take 8 ms on its link
constexpr millis input_read_time{40};

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

request_run::request_run(entry_context& context,
                         piece_broker& broker,
                         std::shared_ptr<caller_exchange> exchange,
                         request_fields fields,
                         configuration_ptr configuration,
                         const route& on,
                         std::optional<organisation_rule> of)
    : context_(context),
      broker_(broker),
      exchange_(std::move(exchange)),
      fields_(std::move(fields)),
      configuration_(std::move(configuration)),
      route_(on),
      organisation_(std::move(of))
{
}

std::shared_ptr<request_run>
request_run::create(entry_context& context,
                    piece_broker& broker,
                    std::shared_ptr<caller_exchange> exchange,
                    request_fields fields,
                    configuration_ptr configuration,
                    const route& on,
                    std::optional<organisation_rule> of)
{
    return std::shared_ptr<request_run>(new request_run(context,
                                                        broker,
                                                        std::move(exchange),
                                                        std::move(fields),
                                                        std::move(configuration),
                                                        on,
                                                        std::move(of)));
}

bool request_run::is_stream() const
{
    return route_.kind == route_kind::stream;
}

millis request_run::left() const
{
    return deadline_ - context_.loop.now();
}

int request_run::priority() const
{
    return organisation_ && organisation_->priority ? *organisation_->priority
                                                    : route_.priority;
}

void request_run::start()
{
    self_ = shared_from_this();
    const millis longest =
        fields_.deadline ? std::min(*fields_.deadline, route_.timeout) : route_.timeout;
    deadline_ = exchange_->arrived() + longest;
    timer_ = context_.loop.after(longest,
                                 [this]
                                 {
                                     on_timeout();
                                 });
    exchange_->when_left(
        [this]
        {
            on_left();
        });
    pool_ = choose_pool();
    if (route_.stages.empty())
    {
        send();
    }
    else
    {
        run_stages();
    }
}

pool_id request_run::choose_pool()
{
    double total = 0;
    for (const weighted_pool& each : route_.pools)
    {
        total += each.weight;
    }
    double at = context_.random.fraction() * total;
    for (const weighted_pool& each : route_.pools)
    {
        at -= each.weight;
        if (at < 0)
        {
            return each.pool;
        }
    }
    return route_.pools.back().pool;
}

std::optional<failure_domain_id> request_run::inputs_domain() const
{
    return has_inputs_ ? pipeline_->results_domain() : std::nullopt;
}

target_state* request_run::choose_target()
{
    choice_question asked;
    asked.serving = context_.targets.serving(pool_);
    if (const std::optional<failure_domain_id> near = inputs_domain())
    {
        const auto elsewhere =
            std::stable_partition(asked.serving.begin(),
                                  asked.serving.end(),
                                  [&](const target_state* each)
                                  {
                                      return each->record.domain == *near;
                                  });
        const bool any_near = std::any_of(
            asked.serving.begin(),
            elsewhere,
            [this](const target_state* each)
            {
                return may_call(*each, context_.loop.now()) &&
                       std::find(tried_.begin(), tried_.end(), each->record.id) ==
                           tried_.end();
            });
        if (any_near)
        {
            asked.serving.erase(elsewhere, asked.serving.end());
        }
    }
    asked.tried = tried_;
    asked.own_domain = context_.settings.domain;
    asked.now = context_.loop.now();
    asked.hosts = context_.hosts;
    if (is_stream())
    {
        asked.prefix = shared_prefix(fields_.prompt);
        return choose_engine(asked, context_.random);
    }
    return choose_plain(asked, context_.random);
}

void request_run::run_stages()
{
    if (const target_state* planned = choose_target())
    {
        planned_ = planned->record.id;
        ++context_.targets.find(planned_)->in_flight;
    }
    const target_state* const planned = context_.targets.find(planned_);
    pipeline_request request;
    request.attempt = fields_.attempt;
    request.piece_key = fields_.piece_key;
    request.stages = route_.stages;
    request.pieces = fields_.pieces;
    request.priority = priority();
    request.deadline = deadline_ - context_.expected_first_event(pool_);
    request.aim =
        exchange_->arrived() + route_.aim - context_.expected_first_event(pool_);
    request.domain =
        planned == nullptr ? context_.settings.domain : planned->record.domain;
    pipeline_sink sink;
    sink.on_done = [this](const std::vector<result_handle>& inputs)
    {
        stages_done(inputs);
    };
    sink.on_failed = [this](pipeline_failure why, millis retry_after)
    {
        stages_failed(why, retry_after);
    };
    pipeline_ =
        stage_pipeline::create(context_, broker_, std::move(request), std::move(sink));
    pipeline_->start();
}

void request_run::stages_done(const std::vector<result_handle>& inputs)
{
    inputs_ = inputs;
    has_inputs_ = true;
    send();
}

void request_run::stages_failed(pipeline_failure why, millis retry_after)
{
    refuse(retry_after, absl::StrCat("stages ", to_string(why)));
}

void request_run::free_stages()
{
    if (pipeline_)
    {
        pipeline_->free_results();
    }
}

void request_run::send()
{
    target_state* target = context_.targets.find(planned_);
    if (target != nullptr)
    {
        --target->in_flight;
    }
    planned_ = target_id();
    const bool keeps_plan =
        target != nullptr && !target->record.is_draining &&
        target->record.pool == pool_ && may_call(*target, context_.loop.now()) &&
        inputs_domain().value_or(target->record.domain) == target->record.domain;
    if (!keeps_plan)
    {
        target = choose_target();
    }
    if (target == nullptr)
    {
        after_failure("no target can be called");
        return;
    }
    target_ = target->record.id;
    tried_.push_back(target_);
    ++target->in_flight;
    target->unread_tokens += fields_.prompt_tokens.get();
    call_additions additions;
    additions.left = left();
    additions.expected = target_;
    if (organisation_)
    {
        additions.organisation = organisation_->name;
    }
    additions.inputs = inputs_;
    additions.has_inputs = has_inputs_;
    if (last_event_)
    {
        additions.resume_after = absl::StrCat(*last_event_);
    }
    call_options options;
    options.to_head = exchange_->head().method == "HEAD";
    options.connect_timeout = target_connect_timeout;
    call_events events;
    events.belongs = [this](const answer_head& head)
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
    head_.reset();
    kept_.clear();
    events_.drop_rest();
    event_failed_ = false;
    ++sends_;
    if (sends_ == 1)
    {
        context_.budget_of(pool_).note_first(context_.loop.now());
    }
    log_event(entry_request_sent,
              {{"attempt", fields_.attempt.get()},
               {"target", target_.get()},
               {"pool", pool_.get()},
               {"send", std::int64_t{sends_}},
               {"in_flight", std::int64_t{target->in_flight}},
               {"left_ms", additions.left.count()},
               {"after_event", last_event_.value_or(-1)}});
    if (has_inputs_)
    {
        const std::weak_ptr<request_run> weak = weak_from_this();
        context_.loop.after(input_read_time,
                            [weak, number = sends_]
                            {
                                const auto self = weak.lock();
                                if (self && self->call_ && self->sends_ == number)
                                {
                                    self->free_stages();
                                }
                            });
    }
    call_ = context_.client.start(
        target->record.where,
        context_.protocol.write_call(
            exchange_->head(), exchange_->body(), target->record.where, additions),
        options,
        std::move(events));
}

void request_run::forget_call()
{
    if (target_state* const target = context_.targets.find(target_))
    {
        target->in_flight = std::max(0, target->in_flight - 1);
        target->unread_tokens =
            has_first_ ? target->unread_tokens
                       : std::max<std::int64_t>(
                             0, target->unread_tokens - fields_.prompt_tokens.get());
    }
    target_ = target_id();
    call_ = nullptr;
}

void request_run::on_head(const answer_head& head)
{
    const answer_fields answer = context_.protocol.read_answer(head);
    if (answer.not_run)
    {
        target_did_not_run(head);
        return;
    }
    may_have_run_ = true;
    const bool unusable =
        is_success(head.status) && (!answer.has_signature || answer.is_encoded);
    const bool failed = head.status >= 500;
    if (unusable || (failed && route_.may_repeat()))
    {
        context_.note_target_call(target_, call_result::failed);
        log_event(entry_call_failed,
                  {{"attempt", fields_.attempt.get()},
                   {"target", target_.get()},
                   {"status", std::int64_t{head.status}},
                   {"signed", std::int64_t{answer.has_signature}}});
        if (unusable ||
            (sends_ < route_.max_attempts &&
             context_.budget_of(pool_).may_repeat(context_.loop.now(), context_.hosts)))
        {
            call_->cancel();
            forget_call();
            if (!try_again(true))
            {
                fail(status_bad_gateway, "the target's answer cannot be used");
            }
            return;
        }
    }
    head_ = head;
}

void request_run::target_did_not_run(const answer_head& head)
{
    log_event(entry_call_failed,
              {{"attempt", fields_.attempt.get()},
               {"target", target_.get()},
               {"status", std::int64_t{head.status}},
               {"not_run", std::int64_t{1}}});
    if (target_state* const target = context_.targets.find(target_))
    {
        if (head.status == status_unavailable || head.status == 429)
        {
            target->refused_until = context_.loop.now() + full_pause;
        }
    }
    context_.note_target_call(target_, call_result::refused);
    call_->cancel();
    forget_call();
    if (head.status == status_conflict && pipeline_ && pipeline_->restart())
    {
        tried_.clear();
        return;
    }
    if (!try_again(false))
    {
        after_failure("the target did not run the request");
    }
}

bool request_run::try_again(bool has_run)
{
    const bool may = (!has_run && !may_have_run_) || route_.may_repeat();
    repeat_budget& budget = context_.budget_of(pool_);
    const steady_time now = context_.loop.now();
    if (!may || sends_ >= route_.max_attempts || left() <= millis(0) ||
        !budget.may_repeat(now, context_.hosts))
    {
        return false;
    }
    budget.note_repeat(now);
    context_.metrics->add("medlar_repeats_total", {{"pool", pool_.get()}});
    send();
    return true;
}

void request_run::after_failure(absl::string_view why)
{
    if (may_have_run_)
    {
        fail(status_bad_gateway, why);
    }
    else
    {
        refuse(retry_after_no_target, why);
    }
}

void request_run::on_data(absl::string_view data)
{
    if (!head_ || ended_)
    {
        return;
    }
    if (is_stream() && is_success(head_->status))
    {
        forward_events(data);
        return;
    }
    if (exchange_->has_begun())
    {
        exchange_->write(data);
    }
    else
    {
        kept_.append(data.data(), data.size());
        if (kept_.size() > max_kept_body)
        {
            begin_answer();
            exchange_->write(kept_);
            kept_.clear();
        }
    }
    if (exchange_->is_congested() && call_)
    {
        call_->pause(true);
        exchange_->when_drained(
            [this]
            {
                if (call_)
                {
                    call_->pause(false);
                }
            });
    }
}

void request_run::forward_events(absl::string_view data)
{
    events_.add(data,
                [this](absl::string_view event, std::optional<std::int64_t> id)
                {
                    if (!event_failed_ && !ended_)
                    {
                        forward_event(event, id);
                    }
                });
    if (event_failed_ && call_)
    {
        const std::shared_ptr<client_call> call = call_;
        call->cancel();
        on_call_end(call_end::malformed);
    }
}

void request_run::forward_event(absl::string_view event, std::optional<std::int64_t> id)
{
    if (id && last_event_ && *id <= *last_event_)
    {
        return;
    }
    if (id && last_event_ && *id != *last_event_ + 1)
    {
        event_failed_ = true;
        return;
    }
    if (!has_first_)
    {
        has_first_ = true;
        context_.note_first_event(pool_, context_.loop.now() - sent_at_);
        if (target_state* const target = context_.targets.find(target_))
        {
            target->unread_tokens = std::max<std::int64_t>(
                0, target->unread_tokens - fields_.prompt_tokens.get());
        }
        free_stages();
    }
    if (!exchange_->has_begun())
    {
        begin_answer();
    }
    if (id)
    {
        last_event_ = id;
    }
    exchange_->write(event);
}

void request_run::begin_answer()
{
    header_list headers = head_->headers;
    remove_hop_by_hop(headers);
    headers.remove("content-length");
    body_framing framing = head_->framing;
    if (is_stream() || framing.kind == body_kind::until_close)
    {
        framing = {body_kind::chunked, 0};
    }
    exchange_->begin(head_->status, head_->phrase, headers, framing);
}

void request_run::on_call_end(call_end how)
{
    if (ended_)
    {
        return;
    }
    const std::string target = target_.get();
    const bool has_answer = head_.has_value();
    const bool whole = how == call_end::complete && has_answer && events_.rest().empty();
    if (whole)
    {
        context_.note_target_call(
            target_, head_->status >= 500 ? call_result::failed : call_result::succeeded);
        forget_call();
        answer_complete();
        return;
    }
    const bool not_sent = how == call_end::not_sent;
    context_.note_target_call(target_,
                              not_sent ? call_result::unreachable : call_result::broken);
    forget_call();
    log_event(entry_call_failed,
              {{"attempt", fields_.attempt.get()},
               {"target", target},
               {"end", to_string(how)},
               {"after_event", last_event_.value_or(-1)}});
    if (not_sent)
    {
        // it is no attempt: nothing reached the target
        --sends_;
        if (tried_.size() <= max_unsent && left() > millis(0))
        {
            send();
            return;
        }
        after_failure("no target can be reached");
        return;
    }
    may_have_run_ = true;
    const bool in_body = exchange_->has_begun() && !is_stream();
    if (in_body || !try_again(true))
    {
        after_failure("the target broke off");
    }
}

void request_run::answer_complete()
{
    free_stages();
    const int status = head_->status;
    if (!exchange_->has_begun())
    {
        if (is_stream() || head_->framing.kind == body_kind::until_close ||
            kept_.size() <= max_kept_body)
        {
            head_->framing = {body_kind::length, kept_.size()};
        }
        header_list headers = head_->headers;
        remove_hop_by_hop(headers);
        headers.remove("content-length");
        exchange_->begin(status, head_->phrase, headers, head_->framing);
        if (exchange_->head().method != "HEAD")
        {
            exchange_->write(kept_);
        }
    }
    exchange_->finish();
    end("answered", status);
}

void request_run::refuse(millis retry_after, absl::string_view why)
{
    if (exchange_->has_begun())
    {
        cut(why);
        return;
    }
    // callers honour at most a third of the time that they have left; a quarter more or
    // less keeps those that are refused together from coming back together
    const millis most = left() / 3;
    const double spread = 0.75 + 0.5 * context_.random.fraction();
    const millis delay(std::clamp<std::int64_t>(
        static_cast<std::int64_t>(static_cast<double>(retry_after.count()) * spread),
        0,
        std::max<std::int64_t>(0, most.count())));
    header_list headers;
    headers.add("Content-Type", "text/plain");
    const header_field field = context_.protocol.retry_after(delay);
    headers.add(field.name, field.value);
    context_.protocol.add_attempt(headers, fields_.attempt);
    exchange_->answer(status_unavailable, headers, absl::StrCat(why, "\n"));
    end(absl::StrCat("refused: ", why), status_unavailable);
}

void request_run::fail(int status, absl::string_view why)
{
    if (exchange_->has_begun())
    {
        cut(why);
        return;
    }
    header_list headers;
    headers.add("Content-Type", "text/plain");
    context_.protocol.add_attempt(headers, fields_.attempt);
    exchange_->answer(status, headers, absl::StrCat(why, "\n"));
    end(absl::StrCat("failed: ", why), status);
}

void request_run::cut(absl::string_view why)
{
    exchange_->abort();
    end(absl::StrCat("cut: ", why), head_ ? head_->status : 0);
}

void request_run::on_timeout()
{
    const bool never_sent = !may_have_run_ && (call_ == nullptr || !call_->has_sent());
    if (call_)
    {
        call_->cancel();
        forget_call();
    }
    if (never_sent)
    {
        refuse(retry_after_no_target, "time is over before a target could run it");
    }
    else
    {
        fail(status_gateway_timeout, "the target did not answer in time");
    }
}

void request_run::on_left()
{
    if (call_)
    {
        call_->cancel();
        forget_call();
    }
    end("caller left", 0);
}

void request_run::end(absl::string_view outcome, int status)
{
    if (ended_)
    {
        return;
    }
    ended_ = true;
    context_.loop.cancel(timer_);
    if (target_state* const planned = context_.targets.find(planned_))
    {
        --planned->in_flight;
    }
    if (pipeline_)
    {
        pipeline_->stop();
    }
    const millis took = context_.loop.now() - exchange_->arrived();
    log_event(entry_request_ended,
              {{"attempt", fields_.attempt.get()},
               {"route", route_.name.get()},
               {"version", configuration_->version},
               {"outcome", outcome},
               {"status", std::int64_t{status}},
               {"sends", std::int64_t{sends_}},
               {"took_ms", took.count()},
               {"aim_ms", route_.aim.count()}});
    context_.metrics->add("medlar_requests_total", {{"status", absl::StrCat(status)}});
    context_.metrics->observe("medlar_request_ms", {}, static_cast<double>(took.count()));
    exchange_->when_left(nullptr);
    exchange_->when_drained(nullptr);
    // the run ends after the event that ended it
    context_.loop.after(millis(0), [self = std::move(self_)] {});
}

} // namespace medlar
