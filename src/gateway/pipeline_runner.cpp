#include <medlar/detail/gateway/pipeline_runner.hpp>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace medlar
{

/// @brief Tracks the stages of one run. Shared by the threads of the run.
class pipeline_runner::stage_tracker
{
  public:
    explicit stage_tracker(const run_context& context)
        : context_(context),
          progress_(context.definition.stages.size(), stage_progress::waiting)
    {
    }

    /// @brief A stage to run, and its input.
    struct task
    {
        std::size_t index;
        std::string input;
    };

    /// @brief Waits for a stage that may start, and marks it as started.
    /// @param more_ready set to whether another one may start now
    /// @return unset if no further stage will start
    std::optional<task> next(bool& more_ready)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        while (true)
        {
            const std::vector<std::size_t> ready =
                failure_ ? std::vector<std::size_t>()
                         : ready_stages(context_.definition, progress_);
            if (!ready.empty())
            {
                more_ready = ready.size() > 1;
                return start(ready.front());
            }
            if (running_ == 0)
            {
                return std::nullopt;
            }
            changed_.wait(lock);
        }
    }

    void record_result(std::size_t index, stage_result result)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        --running_;
        progress_[index] = stage_progress::done;
        if (result.output)
        {
            outputs_[context_.definition.stages[index].name] = std::move(*result.output);
        }
        else if (!failure_)
        {
            failure_ = std::move(result);
        }
        changed_.notify_all();
    }

    bool complete() const
    {
        return outputs_.size() == context_.definition.stages.size();
    }

    const stage_outputs& outputs() const
    {
        return outputs_;
    }

    stage_result failure() const
    {
        return failure_.value_or(stage_result{});
    }

  private:
    task start(std::size_t index)
    {
        ++running_;
        progress_[index] = stage_progress::started;
        return {
            index,
            stage_input(context_.definition.stages[index], context_.request, outputs_)};
    }

    const run_context& context_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<stage_progress> progress_;
    int running_ = 0;
    stage_outputs outputs_;
    std::optional<stage_result> failure_;
};

std::unique_ptr<pipeline_runner> pipeline_runner::create(const clock& time,
                                                         const stage_runner& stages,
                                                         const policy_engine& policy,
                                                         const host_id& self)
{
    return std::unique_ptr<pipeline_runner>(
        new pipeline_runner(time, stages, policy, self));
}

pipeline_runner::pipeline_runner(const clock& time,
                                 const stage_runner& stages,
                                 const policy_engine& policy,
                                 const host_id& self)
    : time_(time), stages_(stages), policy_(policy), self_(self)
{
}

run_result pipeline_runner::run(const run_context& context) const
{
    stage_tracker tracker(context);
    run_ready_stages(context, tracker);
    run_facts facts = context.log.facts();
    facts.complete = tracker.complete();
    const run_decision decision = decide_outcome(facts);
    run_result result;
    result.may_run_again = decision.may_run_again;
    result.answer.result.kind = decision.kind;
    result.answer.trace = write_trace(self_, context.log.calls());
    if (facts.complete)
    {
        result.answer.output = write_outputs(tracker.outputs());
        return result;
    }
    const stage_result failure = tracker.failure();
    result.answer.result.why = failure.why;
    result.answer.result.message = failure.message;
    if (decision.may_run_again)
    {
        result.answer.result.retry_after = failure.retry_after;
    }
    return result;
}

void pipeline_runner::run_ready_stages(const run_context& context,
                                       stage_tracker& tracker) const
{
    std::vector<std::thread> threads;
    bool more_ready = false;
    while (const std::optional<stage_tracker::task> task = tracker.next(more_ready))
    {
        if (more_ready)
        {
            threads.emplace_back(
                [this, &context, &tracker]
                {
                    run_ready_stages(context, tracker);
                });
        }
        tracker.record_result(task->index, run_stage(context, task->index, task->input));
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
}

stage_result pipeline_runner::run_stage(const run_context& context,
                                        std::size_t index,
                                        const std::string& input) const
{
    const steady_time now = time_.steady_now();
    const arrival attributes{context.request.pipeline,
                             context.request.key.organisation,
                             size_of(context.request),
                             context.deadline};
    if (now >= context.deadline)
    {
        return {std::nullopt, reason::deadline_passed, "the deadline has passed", {}};
    }
    if (!policy_.worth_continuing(attributes, index, now))
    {
        return {std::nullopt,
                reason::deadline_unreachable,
                "the remaining stages cannot finish before the deadline",
                millis(1000)};
    }
    return stages_.run(context, context.definition.stages[index], input);
}

} // namespace medlar
