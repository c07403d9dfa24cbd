#include <medlar/detail/dispatch/target_selection.hpp>
#include <medlar/detail/entry/local_reply.hpp>
#include <medlar/detail/entry/request_run.hpp>
#include <medlar/detail/http/status.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace medlar
{

namespace
{

// a stream that is taken up waits so long for the store, which alone may know where it
// began: a shorter outage costs no stream
constexpr millis resumption_store_wait{3000};

// a stream that is repeated has brought its caller nothing: refused soon, it can begin
// again under another attempt
constexpr millis repetition_store_wait{300};

} // namespace

request_run::request_run(entry_context& context,
                         const run_services& services,
                         std::shared_ptr<caller_exchange> exchange,
                         request_fields fields,
                         configuration_ptr configuration,
                         const route& matched_route,
                         std::optional<organisation_rule> organisation,
                         bool is_forwarded)
    : context_(context),
      broker_(services.broker),
      crashes_(services.crashes),
      limits_(services.limits),
      origins_(services.origins),
      paths_(services.paths),
      slow_starts_(services.slow_starts),
      speeds_(services.speeds),
      exchange_(std::move(exchange)),
      fields_(std::move(fields)),
      configuration_(std::move(configuration)),
      route_(matched_route),
      organisation_(std::move(organisation)),
      key_(make_key()),
      suspects_(suspects_of(key_, fields_.prompt)),
      attempts_(attempt_limit::create(
          is_forwarded
              ? max_sends_of_forwarded(exchange_->head(), matched_route.max_attempts)
              : matched_route.max_attempts)),
      is_forwarded_(is_forwarded),
      answer_charge_(context.loop.memory())
{
    deadline_ =
        exchange_->arrived() +
        (fields_.deadline ? std::min(*fields_.deadline, route_.timeout) : route_.timeout);
    std::int64_t resumed_after = 0;
    if (is_resumption() && absl::SimpleAtoi(fields_.resume_after, &resumed_after))
    {
        last_event_id_ = resumed_after;
    }
}

std::shared_ptr<request_run>
request_run::create(entry_context& context,
                    const run_services& services,
                    std::shared_ptr<caller_exchange> exchange,
                    request_fields fields,
                    configuration_ptr configuration,
                    const route& matched_route,
                    std::optional<organisation_rule> organisation,
                    bool is_forwarded)
{
    return std::shared_ptr<request_run>(new request_run(context,
                                                        services,
                                                        std::move(exchange),
                                                        std::move(fields),
                                                        std::move(configuration),
                                                        matched_route,
                                                        std::move(organisation),
                                                        is_forwarded));
}

request_key request_run::make_key() const
{
    const request_head& head = exchange_->head();
    return key_of_request({head.method,
                           head.headers.get("host"),
                           head.target,
                           organisation_ ? organisation_->name.get() : fields_.access_key,
                           exchange_->body()});
}

bool request_run::is_stream() const
{
    return route_.kind == route_kind::stream;
}

millis request_run::remaining_time() const
{
    return deadline_ - context_.loop.now();
}

bool request_run::has_not_run() const
{
    return !may_have_run_ && (call_ == nullptr || !call_->has_sent()) &&
           (forward_ == nullptr || !forward_->has_sent());
}

millis request_run::needed_time() const
{
    const millis stages = pipeline_ ? pipeline_->remaining_service_time() : millis(0);
    return stages + context_.expected_answer_time(pool_);
}

bool request_run::is_cut_by_shutdown() const
{
    return context_.shutdown &&
           !context_.shutdown->is_answerable(context_.loop.now(), needed_time());
}

int request_run::priority() const
{
    return organisation_ && organisation_->priority ? *organisation_->priority
                                                    : route_.priority;
}

void request_run::start()
{
    context_.running_requests.insert(shared_from_this());
    timer_ = context_.loop.after(deadline_ - exchange_->arrived(),
                                 [this]
                                 {
                                     on_timeout();
                                 });
    exchange_->set_disconnect_handler(
        [this]
        {
            on_caller_left();
        });
    if (end_if_refused(refusal_of_suspect()))
    {
        return;
    }
    pool_ = choose_pool(route_.pools, context_.random);
    if (forward_if_no_path())
    {
        return;
    }
    if (needs_origin())
    {
        find_origin();
        return;
    }
    begin_work();
}

bool request_run::is_resumption() const
{
    return is_stream() && route_.may_retry() && !fields_.resume_after.empty();
}

bool request_run::may_have_begun_elsewhere() const
{
    return is_forwarded_ && is_stream() && route_.may_retry() && !is_resumption() &&
           exchange_->head().headers.find(forward_repeated_header) != nullptr;
}

bool request_run::needs_origin() const
{
    return is_resumption() || may_have_begun_elsewhere();
}

const attempt_id& request_run::beginning_attempt() const
{
    // the caller names the stream by this attempt later, whichever host has begun it
    return is_resumption() ? fields_.resumed_attempt : fields_.attempt;
}

std::vector<pool_id> request_run::pools_of_route() const
{
    std::vector<pool_id> pools;
    for (const weighted_pool& each : route_.pools)
    {
        pools.push_back(each.pool);
    }
    return pools;
}

std::optional<request_run::refusal>
request_run::refusal_of_origin(const std::optional<stream_origin>& found) const
{
    if (!found)
    {
        return refusal{status_unavailable,
                       retry_after_no_target,
                       "the version that began the stream is unknown"};
    }
    const std::vector<pool_id> pools = pools_of_route();
    if (std::find(pools.begin(), pools.end(), found->pool) == pools.end())
    {
        return refusal{status_unavailable,
                       retry_after_no_target,
                       "the stream began in a pool that the route left"};
    }
    return std::nullopt;
}

void request_run::find_origin()
{
    const attempt_id& begun_by = beginning_attempt();
    const std::vector<pool_id> pools = pools_of_route();
    const std::weak_ptr<request_run> weak = weak_from_this();
    origins_.find(begun_by,
                  pools,
                  is_resumption() ? resumption_store_wait : repetition_store_wait,
                  [weak, begun_by](const origin_result& found)
                  {
                      const std::optional<stream_origin>& origin = found.origin;
                      const auto self = weak.lock();
                      if (!self || self->ended_)
                      {
                          return;
                      }
                      log_event(
                          entry_origin_found,
                          {{"attempt", self->fields_.attempt.get()},
                           {"resumes", begun_by.get()},
                           {"pool", origin ? origin->pool.get() : ""},
                           {"version", origin ? origin->version.get() : ""},
                           {"source", to_string(found.source)},
                           {"evidence", to_string(found.evidence)},
                           {"possible", static_cast<std::int64_t>(found.possible)},
                           {"keeper_missing", std::int64_t{found.is_keeper_missing}},
                           {"records_read", std::int64_t{found.has_read_records}},
                           {"copy_age_ms", self->origins_.copy_age().count()}});
                      if (const auto refused = self->refusal_of_origin(origin))
                      {
                          self->refuse(refused->retry_after, refused->why);
                          return;
                      }
                      const auto unlisted = read_unlisted_version(origin->version);
                      if (unlisted && !is_of_unknown_start(origin->version))
                      {
                          // another host knows that the entry of the target is older
                          self->context_.record_target_start(unlisted->target,
                                                             unlisted->started_ms);
                      }
                      self->origin_ = origin;
                      self->pool_ = origin->pool;
                      self->begin_work();
                  });
}

void request_run::begin_work()
{
    if (const std::optional<refusal> refused = refusal_of_work())
    {
        refuse(refused->retry_after, refused->why);
    }
    else if (route_.stages.empty())
    {
        send();
    }
    else
    {
        run_stages();
    }
}

bool request_run::may_run_at(const target_state& target) const
{
    if (!origin_)
    {
        return true;
    }
    if (is_of_unknown_start(origin_->version))
    {
        // whichever process has begun it, another one may answer by now
        const bool has_begun =
            may_have_run_ || is_resumption() || may_have_begun_elsewhere();
        return !has_begun &&
               read_unlisted_version(origin_->version)->target == target.record.id;
    }
    return origins_.is_of(*origin_, origins_.version_of(target));
}

bool request_run::has_target_of_origin() const
{
    if (!origin_)
    {
        return true;
    }
    const std::vector<target_state*> serving = context_.targets.serving(pool_);
    return std::any_of(serving.begin(),
                       serving.end(),
                       [this](const target_state* each)
                       {
                           return may_run_at(*each);
                       });
}

std::optional<failure_domain_id> request_run::inputs_domain() const
{
    return has_inputs_ ? pipeline_->results_domain() : std::nullopt;
}

selected_target request_run::select(random_source& random, skip_record* skipped) const
{
    target_choice_input input;
    input.candidates = context_.targets.of_pool(pool_);
    input.tried = tried_targets_;
    input.local_domain = context_.settings.domain;
    input.now = context_.loop.now();
    if (is_stream())
    {
        input.prefix = shared_prefix_hash(fields_.prompt);
    }
    selection_rules rules;
    rules.may_run_at = [this](const target_state& each)
    {
        return may_run_at(each);
    };
    rules.is_left_out_as_cold = [this](const target_state& each)
    {
        return is_left_out_as_cold(each);
    };
    rules.host_count = context_.host_count;
    rules.version = version_of_new_stream();
    rules.version_of = [this](const target_state& each)
    {
        return origins_.version_of(each);
    };
    rules.inputs_domain = inputs_domain();
    // a target is planned before the stages run; a slot would lapse meanwhile
    const bool is_planned = !route_.stages.empty() && !has_inputs_;
    if (!is_planned && slow_starts_.limits_any())
    {
        rules.slots = slots_in_use();
    }
    return select_target(std::move(input), rules, random, skipped);
}

target_state* request_run::choose_target()
{
    const selected_target selected = select(context_.random);
    if (selected.missed != nullptr)
    {
        slow_starts_.ask_ahead(selected.missed->record.id);
    }
    if (selected.target != nullptr)
    {
        begin_probe_if_due(*selected.target, context_.loop.now());
    }
    return selected.target;
}

std::optional<software_version> request_run::version_of_new_stream() const
{
    return is_stream() && route_.may_retry() && !origin_
               ? origins_.version_for(fields_.attempt, pool_)
               : std::nullopt;
}

void request_run::run_stages()
{
    target_state* const planned = choose_target();
    if (planned != nullptr)
    {
        planned_ = process_of(*planned);
        context_.targets.begin_call(*planned_);
        // a probe begins with the call; the stages may fail before
        planned->health = cancel_probe(planned->health);
    }
    pipeline_callbacks callbacks;
    callbacks.on_done = [this](const std::vector<result_handle>& inputs)
    {
        on_stages_done(inputs);
    };
    callbacks.on_failed = [this](pipeline_failure why, millis retry_after)
    {
        on_stages_failed(why, retry_after);
    };
    pipeline_ = stage_pipeline::create(
        context_, broker_, make_pipeline_request(planned), std::move(callbacks));
    pipeline_->start();
}

pipeline_request request_run::make_pipeline_request(const target_state* planned) const
{
    pipeline_request request;
    request.attempt = fields_.attempt;
    request.piece_key = fields_.piece_key;
    request.stages = route_.stages;
    request.pieces = fields_.pieces;
    request.priority = priority();
    request.is_resumption = is_resumption();
    // the caller leaves if the answer begins later
    request.deadline =
        std::min(deadline_, exchange_->arrived() + route_.caller_timeout()) -
        context_.expected_first_event_delay(pool_, fields_.prompt_tokens);
    request.soft_deadline =
        exchange_->arrived() + route_.soft_timeout -
        context_.expected_first_event_delay(pool_, fields_.prompt_tokens);
    request.planned_domain =
        planned == nullptr ? context_.settings.domain : planned->record.domain;
    if (context_.shutdown)
    {
        request.deadline = std::min(request.deadline,
                                    context_.shutdown->last_answer_at() -
                                        context_.expected_answer_time(pool_));
        request.soft_deadline = std::min(request.soft_deadline, request.deadline);
    }
    return request;
}

void request_run::on_stages_done(const std::vector<result_handle>& inputs)
{
    inputs_ = inputs;
    has_inputs_ = true;
    are_results_freed_ = false;
    send();
}

void request_run::on_stages_failed(pipeline_failure why, millis retry_after)
{
    // the request may have run already: its stages may have run again for a retry
    end_if_refused(refusal_of_stages(why, retry_after, context_.caller_backoff));
}

request_run::refusal request_run::refusal_of_stages(pipeline_failure why,
                                                    millis retry_after,
                                                    refusal_backoff& backoff) const
{
    if (why == pipeline_failure::refused)
    {
        retry_after = std::max(retry_after, backoff.record_refusal(context_.loop.now()));
    }
    return {status_gateway_timeout, retry_after, absl::StrCat("stages ", to_string(why))};
}

void request_run::free_stage_results()
{
    if (pipeline_)
    {
        pipeline_->free_results();
        are_results_freed_ = true;
    }
}

void request_run::apply(const shutdown_plan& plan)
{
    const bool is_waiting = has_not_run() && call_ == nullptr && forward_ == nullptr;
    if (is_waiting && is_cut_by_shutdown())
    {
        refuse_for_shutdown();
    }
    else if (context_.loop.now() >= plan.last_answer_at())
    {
        end_without_target("this host is stopping",
                           "this host stopped before the target had answered");
    }
}

void request_run::refuse_for_shutdown()
{
    const absl::string_view why = why_stopping;
    if (!is_forwarded_)
    {
        refuse(retry_after_no_target, why);
        return;
    }
    // the host that has forwarded the request chooses another one
    send_local_reply(context_.protocol,
                     *exchange_,
                     fields_.attempt,
                     status_unavailable,
                     {{forward_not_taken_header, std::string(why)}},
                     why);
    end_run(absl::StrCat("refused: ", why), status_unavailable);
}

void request_run::on_timeout()
{
    if (call_ && call_->has_sent() && !head_)
    {
        end_probe(call_result::timed_out);
    }
    end_without_target("time is over before a target could run it",
                       "the target did not answer in time");
}

void request_run::end_without_target(absl::string_view why_refused,
                                     absl::string_view why_failed)
{
    const bool is_refused = has_not_run();
    if (call_)
    {
        call_->cancel();
        release_call();
    }
    release_forward();
    if (is_refused)
    {
        refuse(retry_after_no_target, why_refused);
    }
    else
    {
        fail(status_gateway_timeout, why_failed);
    }
}

void request_run::on_caller_left()
{
    if (call_)
    {
        call_->cancel();
        release_call();
    }
    release_forward();
    end_run("caller left", 0);
}

void request_run::end_run(absl::string_view outcome, int status)
{
    if (ended_)
    {
        return;
    }
    ended_ = true;
    context_.loop.cancel(timer_);
    release_planned();
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
               {"sends", std::int64_t{attempts_.sends()}},
               {"framing", head_ ? to_string(head_->framing.kind) : ""},
               {"after_event", last_event_id_.value_or(-1)},
               {"first_event_ms",
                pace_.first() ? (*pace_.first() - exchange_->arrived()).count()
                              : std::int64_t{-1}},
               {"longest_gap_ms", pace_.longest_gap().count()},
               {"typical_gap_ms",
                static_cast<std::int64_t>(pace_.typical_gap_ms().value_or(-1))},
               {"took_ms", took.count()},
               {"aim_ms", route_.soft_timeout.count()}});
    context_.metrics->add("medlar_requests_total", {{"status", absl::StrCat(status)}});
    context_.metrics->observe("medlar_request_ms", {}, static_cast<double>(took.count()));
    exchange_->set_disconnect_handler(nullptr);
    exchange_->set_drain_handler(nullptr);
    // releases the run after the current event, which still uses it
    const std::shared_ptr<request_run> self = shared_from_this();
    context_.running_requests.erase(self);
    context_.loop.after(millis(0), [self] {});
}

} // namespace medlar
