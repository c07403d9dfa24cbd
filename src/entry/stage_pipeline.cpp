#include <medlar/detail/base/stage_graph.hpp>
#include <medlar/detail/dispatch/stage_path.hpp>
#include <medlar/detail/entry/stage_pipeline.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <algorithm>
#include <cmath>
#include <map>

namespace medlar
{

namespace
{

// results are lost only with their target; losing them twice may be chance, a third time
// shows that the pool is unstable
constexpr int max_restarts = 2;

// a queue that is too long now is short enough after a fraction of its expected time
constexpr std::int64_t retry_after_divisor = 4;

// size of results above which an engine in their domain is preferred to one that has the
// prompt's shared parts cached: prefilling 13,000 tokens again costs less than moving one
// result of 3 MB between failure domains
constexpr std::int64_t min_bytes_to_follow = 1000000;

// retry delay of a request whose stages failed
constexpr millis retry_after_failure{1000};

} // namespace

absl::string_view to_string(pipeline_failure why)
{
    switch (why)
    {
        case pipeline_failure::refused:
            return "refused";
        case pipeline_failure::late:
            return "late";
        case pipeline_failure::failed:
            return "failed";
    }
    return "unknown";
}

stage_pipeline::stage_pipeline(entry_context& context,
                               piece_broker& broker,
                               pipeline_request request,
                               pipeline_callbacks callbacks)
    : context_(context),
      broker_(broker),
      request_(std::move(request)),
      callbacks_(std::move(callbacks)),
      stages_(request_.stages.size()),
      any_done_(request_.is_resumption)
{
    request_.pieces.resize(request_.stages.size(), 0);
}

std::shared_ptr<stage_pipeline> stage_pipeline::create(entry_context& context,
                                                       piece_broker& broker,
                                                       pipeline_request request,
                                                       pipeline_callbacks callbacks)
{
    return std::shared_ptr<stage_pipeline>(
        new stage_pipeline(context, broker, std::move(request), std::move(callbacks)));
}

start_input stage_pipeline::make_start_input() const
{
    const steady_time now = context_.loop.now();
    return {total_expected_time(),
            total_service_time(),
            request_.soft_deadline - now,
            request_.deadline - now,
            any_done_};
}

millis stage_pipeline::time_until_retry(const start_input& input)
{
    return input.expected_time / retry_after_divisor;
}

void stage_pipeline::handle_retry(millis time_since_refusal)
{
    if (ended_ || is_retry_)
    {
        return;
    }
    is_retry_ = true;
    request_.soft_deadline = request_.soft_deadline - time_since_refusal;
    const start_input input = make_start_input();
    const start_decision chosen = decide_retry(input);
    log_event(entry_caller_returned,
              {{"attempt", request_.attempt.get()},
               {"waited_ms", time_since_refusal.count()},
               {"expected_ms", input.expected_time.count()},
               {"unqueued_ms", input.service_time.count()},
               {"until_aim_ms", input.until_soft_deadline.count()},
               {"chosen", to_string(chosen)}});
    if (chosen == start_decision::refused)
    {
        fail(pipeline_failure::refused, time_until_retry(input));
        return;
    }
    is_background_ = is_background_ || chosen == start_decision::late;
}

void stage_pipeline::record_refusal()
{
    for (std::size_t i = 0; i < stages_.size(); ++i)
    {
        if (request_.stages[i].after.empty() && request_.pieces[i] > 0)
        {
            broker_.record_refusal(
                request_.stages[i].pool, request_.planned_domain, request_.piece_key);
            return;
        }
    }
}

void stage_pipeline::start()
{
    const start_input input = make_start_input();
    const start_decision chosen = decide_start(input);
    log_event(entry_stages_begun,
              {{"attempt", request_.attempt.get()},
               {"expected_ms", input.expected_time.count()},
               {"unqueued_ms", input.service_time.count()},
               {"until_aim_ms", input.until_soft_deadline.count()},
               {"until_deadline_ms", input.until_deadline.count()},
               {"restarts", std::int64_t{restarts_}},
               {"chosen", to_string(chosen)}});
    if (chosen == start_decision::refused)
    {
        // deferred: the request is still being set up
        const std::weak_ptr<stage_pipeline> weak = weak_from_this();
        context_.loop.after(millis(0),
                            [weak, wait = time_until_retry(input)]
                            {
                                if (const auto self = weak.lock())
                                {
                                    self->fail(pipeline_failure::refused, wait);
                                }
                            });
        return;
    }
    is_background_ = is_background_ || chosen == start_decision::late;
    for (std::size_t i = 0; i < stages_.size(); ++i)
    {
        stages_[i] = stage_state{};
        if (request_.pieces[i] <= 0)
        {
            stages_[i].status = stage_status::done;
        }
    }
    advance();
}

bool stage_pipeline::restart()
{
    if (restarts_ >= max_restarts)
    {
        return false;
    }
    ++restarts_;
    stop();
    ended_ = false;
    any_done_ = true;
    start();
    return true;
}

void stage_pipeline::stop()
{
    ended_ = true;
    for (std::size_t i = 0; i < stages_.size(); ++i)
    {
        if (stages_[i].status == stage_status::running)
        {
            broker_.cancel(stages_[i].ticket);
        }
        free_stage(i);
    }
}

void stage_pipeline::free_results()
{
    for (std::size_t i = 0; i < stages_.size(); ++i)
    {
        free_stage(i);
    }
}

stage_pipeline::domain_results
stage_pipeline::largest_domain(const std::vector<std::size_t>& stages) const
{
    std::map<failure_domain_id, std::int64_t> bytes;
    for (const std::size_t stage : stages)
    {
        for (const result_handle& each : results_of(stage))
        {
            const absl::StatusOr<endpoint> holder = context_.protocol.holder_of(each);
            const target_state* const target =
                holder.ok() ? context_.targets.find_by_address(*holder) : nullptr;
            if (target != nullptr)
            {
                bytes[target->record.domain] += request_.stages[stage].result_size.get();
            }
        }
    }
    domain_results largest{request_.planned_domain, 0};
    for (const auto& each : bytes)
    {
        if (each.second > largest.bytes)
        {
            largest = {each.first, each.second};
        }
    }
    return largest;
}

std::optional<failure_domain_id> stage_pipeline::results_domain() const
{
    std::vector<std::size_t> last;
    for (std::size_t i = 0; i < stages_.size(); ++i)
    {
        if (!has_dependents(i))
        {
            last.push_back(i);
        }
    }
    const domain_results largest = largest_domain(last);
    return largest.bytes < min_bytes_to_follow
               ? std::nullopt
               : std::optional<failure_domain_id>(largest.domain);
}

bool stage_pipeline::has_dependents(std::size_t stage) const
{
    return std::any_of(request_.stages.begin(),
                       request_.stages.end(),
                       [stage](const stage_rule& each)
                       {
                           return depends_on(each, stage);
                       });
}

bool stage_pipeline::is_ready(std::size_t stage) const
{
    const std::vector<std::size_t>& after = request_.stages[stage].after;
    return stages_[stage].status == stage_status::waiting &&
           std::all_of(after.begin(),
                       after.end(),
                       [this](std::size_t each)
                       {
                           return each < stages_.size() &&
                                  stages_[each].status == stage_status::done;
                       });
}

void stage_pipeline::advance()
{
    bool all_done = true;
    for (std::size_t i = 0; i < stages_.size() && !ended_; ++i)
    {
        if (is_ready(i))
        {
            start_stage(i);
        }
        all_done = all_done && stages_[i].status == stage_status::done;
    }
    if (!all_done || ended_)
    {
        return;
    }
    std::vector<result_handle> inputs;
    for (std::size_t i = 0; i < stages_.size(); ++i)
    {
        if (!has_dependents(i))
        {
            const std::vector<result_handle> results = results_of(i);
            inputs.insert(inputs.end(), results.begin(), results.end());
        }
    }
    callbacks_.on_done(inputs);
}

millis stage_pipeline::service_time(std::size_t stage) const
{
    const pool_rule* const pool =
        context_.configuration->find_pool(request_.stages[stage].pool);
    if (request_.pieces[stage] <= 0 || pool == nullptr || !pool->pieces)
    {
        return millis(0);
    }
    const int in_call = std::min(request_.pieces[stage], pool->pieces->max_batch_size);
    return millis(std::lround(pool->pieces->call_ms + pool->pieces->item_ms * in_call));
}

millis stage_pipeline::service_time_after(std::size_t stage) const
{
    return longest_path_after(request_.stages,
                              stage,
                              [this](std::size_t each)
                              {
                                  return service_time(each);
                              });
}

millis stage_pipeline::total_service_time() const
{
    return longest_path(request_.stages,
                        0,
                        [this](std::size_t each)
                        {
                            return service_time(each);
                        });
}

millis stage_pipeline::remaining_service_time() const
{
    return longest_path(request_.stages,
                        0,
                        [this](std::size_t each)
                        {
                            return stages_[each].status == stage_status::done
                                       ? millis(0)
                                       : service_time(each);
                        });
}

millis stage_pipeline::expected_time(std::size_t stage, millis ahead) const
{
    if (request_.pieces[stage] <= 0)
    {
        return millis(0);
    }
    const forecast_key key{
        request_.stages[stage].pool, request_.priority, is_background_};
    return context_.forecast.expected_time(
        key, service_time(stage), context_.loop.now(), ahead);
}

millis stage_pipeline::total_expected_time() const
{
    return end_of_all_stages<millis>(request_.stages,
                                     0,
                                     [this](std::size_t each, millis ahead)
                                     {
                                         return expected_time(each, ahead);
                                     });
}

piece_job stage_pipeline::make_job(std::size_t stage) const
{
    const stage_rule& rule = request_.stages[stage];
    piece_job job;
    job.attempt = request_.attempt;
    job.stage = stage;
    if (rule.after.empty())
    {
        job.key = request_.piece_key;
    }
    for (const std::size_t each : rule.after)
    {
        const std::vector<result_handle> results = results_of(each);
        job.inputs.insert(job.inputs.end(), results.begin(), results.end());
    }
    job.priority = request_.priority;
    const millis time_after = service_time_after(stage);
    job.soft_deadline = request_.soft_deadline - time_after;
    job.deadline = request_.deadline - time_after;
    // each piece reads all inputs, while its result is read once
    const domain_results inputs = largest_domain(rule.after);
    const bool follows_inputs = inputs.bytes > rule.result_size.get();
    job.preferred_domain = follows_inputs ? inputs.domain : request_.planned_domain;
    job.transfer_size = follows_inputs ? byte_count(inputs.bytes) : rule.result_size;
    job.result_size = rule.result_size;
    job.is_refusable = !any_done_;
    job.is_background = is_background_;
    return job;
}

void stage_pipeline::start_stage(std::size_t stage)
{
    stage_state& state = stages_[stage];
    state.status = stage_status::running;
    state.results.assign(static_cast<std::size_t>(request_.pieces[stage]), std::nullopt);
    state.missing = request_.pieces[stage];
    state.started_at = context_.loop.now();
    piece_job job = make_job(stage);
    for (int i = 0; i < request_.pieces[stage]; ++i)
    {
        job.pieces.push_back(i);
    }
    const std::weak_ptr<stage_pipeline> weak = weak_from_this();
    broker_callbacks callbacks;
    callbacks.on_refused = [weak](millis retry_after)
    {
        if (const auto self = weak.lock())
        {
            self->fail(pipeline_failure::refused, retry_after);
        }
    };
    callbacks.on_retry_detected = [weak](millis time_since_refusal)
    {
        if (const auto self = weak.lock())
        {
            self->handle_retry(time_since_refusal);
        }
    };
    callbacks.on_piece = [weak, stage](int piece, const piece_result& result)
    {
        if (const auto self = weak.lock())
        {
            self->piece_done(stage, piece, result);
        }
    };
    state.ticket =
        broker_.submit(request_.stages[stage].pool, std::move(job), std::move(callbacks));
}

void stage_pipeline::piece_done(std::size_t stage, int piece, const piece_result& result)
{
    stage_state& state = stages_[stage];
    const auto index = static_cast<std::size_t>(piece);
    if (ended_ || index >= state.results.size() || state.results[index])
    {
        return;
    }
    if (!result.handle)
    {
        if (result.failure == piece_failure::input_gone && restart())
        {
            return;
        }
        fail(result.failure == piece_failure::late ? pipeline_failure::late
                                                   : pipeline_failure::failed,
             retry_after_failure);
        return;
    }
    state.results[index] = result.handle;
    if (--state.missing == 0)
    {
        stage_done(stage);
    }
}

void stage_pipeline::stage_done(std::size_t stage)
{
    stage_state& state = stages_[stage];
    state.status = stage_status::done;
    any_done_ = true;
    const millis took = context_.loop.now() - state.started_at;
    context_.metrics->observe("medlar_stage_ms",
                              {{"pool", request_.stages[stage].pool.get()}},
                              static_cast<double>(took.count()));
    log_event(entry_stage_ended,
              {{"attempt", request_.attempt.get()},
               {"stage", static_cast<std::int64_t>(stage)},
               {"pool", request_.stages[stage].pool.get()},
               {"pieces", std::int64_t{request_.pieces[stage]}},
               {"took_ms", took.count()}});
    free_consumed_results();
    advance();
}

void stage_pipeline::free_consumed_results()
{
    for (std::size_t i = 0; i < stages_.size(); ++i)
    {
        bool is_consumed = has_dependents(i) && stages_[i].status == stage_status::done;
        for (std::size_t next = 0; next < stages_.size(); ++next)
        {
            if (depends_on(request_.stages[next], i))
            {
                is_consumed = is_consumed && stages_[next].status == stage_status::done;
            }
        }
        if (is_consumed)
        {
            free_stage(i);
        }
    }
}

void stage_pipeline::free_stage(std::size_t stage)
{
    broker_.free(results_of(stage));
    stages_[stage].results.clear();
}

std::vector<result_handle> stage_pipeline::results_of(std::size_t stage) const
{
    std::vector<result_handle> handles;
    for (const std::optional<result_handle>& each : stages_[stage].results)
    {
        if (each)
        {
            handles.push_back(*each);
        }
    }
    return handles;
}

void stage_pipeline::fail(pipeline_failure why, millis retry_after)
{
    if (ended_)
    {
        return;
    }
    const std::shared_ptr<stage_pipeline> self = shared_from_this();
    stop();
    if (why == pipeline_failure::refused && !request_.piece_key.empty())
    {
        record_refusal();
    }
    callbacks_.on_failed(why, retry_after);
}

} // namespace medlar
