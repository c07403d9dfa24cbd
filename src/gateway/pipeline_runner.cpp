#include <medlar/detail/gateway/pipeline_runner.hpp>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace medlar
{

/// @brief Which stages of one run have started and ended, shared by its threads.
class pipeline_runner::stage_board
{
  public:
    explicit stage_board(const run_context& context)
        : context_(context), progress_(context.of.stages.size(), stage_progress::waiting)
    {
    }

    /// @brief a stage to run, with what it takes
    struct task
    {
        std::size_t index;
        std::string input;
    };

    /// @brief Waits for a stage that may start.
    /// @param more set to whether a further one may start now
    /// @return unset if none will
    std::optional<task> next(bool& more)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        while (true)
        {
            const std::vector<std::size_t> ready =
                failure_ ? std::vector<std::size_t>()
                         : ready_stages(context_.of, progress_);
            if (!ready.empty())
            {
                more = ready.size() > 1;
                return start(ready.front());
            }
            if (running_ == 0)
            {
                return std::nullopt;
            }
            changed_.wait(lock);
        }
    }

    void end(std::size_t index, stage_end result)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        --running_;
        progress_[index] = stage_progress::done;
        if (result.output)
        {
            outputs_[context_.of.stages[index].name] = std::move(*result.output);
        }
        else if (!failure_)
        {
            failure_ = std::move(result);
        }
        changed_.notify_all();
    }

    bool complete() const
    {
        return outputs_.size() == context_.of.stages.size();
    }

    const stage_outputs& outputs() const
    {
        return outputs_;
    }

    stage_end failure() const
    {
        return failure_.value_or(stage_end{});
    }

  private:
    task start(std::size_t index)
    {
        ++running_;
        progress_[index] = stage_progress::started;
        return {index,
                stage_input(context_.of.stages[index], context_.request, outputs_)};
    }

    const run_context& context_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<stage_progress> progress_;
    int running_ = 0;
    stage_outputs outputs_;
    std::optional<stage_end> failure_;
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

run_end pipeline_runner::run(const run_context& context) const
{
    stage_board board(context);
    work(context, board);
    run_facts facts = context.log.facts();
    facts.complete = board.complete();
    const run_decision decision = decide_outcome(facts);
    run_end end;
    end.may_run_again = decision.may_run_again;
    end.answer.result.kind = decision.kind;
    end.answer.trace = write_trace(self_, context.log.calls());
    if (facts.complete)
    {
        end.answer.output = write_outputs(board.outputs());
        return end;
    }
    const stage_end failure = board.failure();
    end.answer.result.why = failure.why;
    end.answer.result.message = failure.message;
    if (decision.may_run_again)
    {
        end.answer.result.retry_after = failure.retry_after;
    }
    return end;
}

void pipeline_runner::work(const run_context& context, stage_board& board) const
{
    std::vector<std::thread> helpers;
    bool more = false;
    while (const std::optional<stage_board::task> task = board.next(more))
    {
        if (more)
        {
            helpers.emplace_back(
                [this, &context, &board]
                {
                    work(context, board);
                });
        }
        board.end(task->index, run_stage(context, task->index, task->input));
    }
    for (std::thread& helper : helpers)
    {
        helper.join();
    }
}

stage_end pipeline_runner::run_stage(const run_context& context,
                                     std::size_t index,
                                     const std::string& input) const
{
    const steady_time now = time_.steady_now();
    const arrival what{context.request.pipeline,
                       context.request.key.organisation,
                       size_of(context.request),
                       context.deadline};
    if (now >= context.deadline)
    {
        return {std::nullopt, reason::deadline_passed, "the deadline has passed", {}};
    }
    if (!policy_.worth_continuing(what, index, now))
    {
        return {std::nullopt,
                reason::deadline_unreachable,
                "the remaining stages cannot finish before the deadline",
                millis(1000)};
    }
    return stages_.run(context, context.of.stages[index], input);
}

} // namespace medlar
