#include <medlar/detail/dispatch/piece_queue.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace medlar
{

namespace
{

// a job with larger transfers waits longer for a target in its failure domain
constexpr std::int64_t large_transfer_bytes = 200000;

// a job with larger transfers leaves its failure domain only if that is overloaded
constexpr std::int64_t huge_transfer_bytes = 1000000;

// the pieces of a call that takes longer than this factor times the expected time plus
// the slack are sent to other targets too
constexpr double overdue_factor = 2.5;
constexpr double overdue_slack_ms = 250;

constexpr double slowness_smoothing = 0.3;

// averages over about ten calls, less than a second for a group of 16 targets
constexpr double batch_size_smoothing = 0.1;

// pause after a target had no memory for results; some are freed within a call time
constexpr millis no_memory_pause{120};

} // namespace

bool piece_queue::has_target_in(const failure_domain_id& domain, steady_time now) const
{
    return std::any_of(targets_.begin(),
                       targets_.end(),
                       [&](const auto& each)
                       {
                           return each.second.serving &&
                                  each.second.target.domain == domain &&
                                  each.second.paused_until <= now;
                       });
}

bool piece_queue::is_suitable(const job_state& job,
                              const target_load& target,
                              std::size_t ahead,
                              steady_time now) const
{
    if (job.job.transfer_size.get() < large_transfer_bytes ||
        job.job.preferred_domain == target.target.domain ||
        !has_target_in(job.job.preferred_domain, now))
    {
        return true;
    }
    // with two full calls queued before it in its own domain, it would be late there
    const bool overloaded = ahead >= 2 * max_batch_size();
    const millis slack = job.job.soft_deadline - now;
    const bool soon_late = job.job.transfer_size.get() < huge_transfer_bytes &&
                           slack > millis(0) && slack < full_call_time() * 3 / 2;
    return overloaded || soon_late;
}

std::size_t piece_queue::pieces_to_take(const job_state& job,
                                        std::size_t free_items,
                                        std::int64_t free_bytes) const
{
    const std::size_t batch = max_batch_size();
    const std::int64_t size = std::max<std::int64_t>(1, job.job.result_size.get());
    const auto fitting =
        static_cast<std::size_t>(std::max<std::int64_t>(0, free_bytes / size));
    const std::size_t count = std::min({job.waiting.size(), free_items, fitting});
    // results of a part of a job would occupy memory until the rest is completed
    const bool is_partial = count < job.waiting.size();
    return is_partial && count < batch && job.waiting.size() <= batch ? 0 : count;
}

std::optional<piece_call> piece_queue::build_call(target_load& target,
                                                  const std::vector<job_id>& ordered,
                                                  steady_time now)
{
    const std::size_t batch = max_batch_size();
    const std::int64_t usable_bytes = usable_memory();
    piece_call call;
    call_state state;
    const double slowness = mean_slowness();
    std::size_t timely = 0;
    std::map<failure_domain_id, std::size_t> ahead;
    for (const job_id id : ordered)
    {
        job_state& job = jobs_.at(id);
        const std::int64_t size = job.job.result_size.get();
        std::size_t& ahead_in_domain = ahead[job.job.preferred_domain];
        const bool suitable = is_suitable(job, target, ahead_in_domain, now);
        ahead_in_domain +=
            job.job.transfer_size.get() < large_transfer_bytes ? 0 : job.waiting.size();
        if (!suitable)
        {
            continue;
        }
        const std::size_t count =
            pieces_to_take(job,
                           batch - call.items.size(),
                           usable_bytes - target.result_bytes - state.result_bytes);
        timely += is_late(job.job, slowness, now) ? 0 : count;
        for (std::size_t i = 0; i < count; ++i)
        {
            piece_item item;
            item.attempt = job.job.attempt;
            item.stage = job.job.stage;
            item.piece = job.waiting.front();
            item.remaining = job.job.deadline - now;
            item.key = job.job.key;
            item.inputs = job.job.inputs;
            call.items.push_back(std::move(item));
            state.pieces.push_back({id, job.waiting.front(), size});
            state.result_bytes += size;
            ++job.in_calls;
            job.waiting.erase(job.waiting.begin());
        }
    }
    if (call.items.empty())
    {
        return std::nullopt;
    }
    record_timely(timely, now);
    mean_batch_size_ += batch_size_smoothing *
                        (static_cast<double>(call.items.size()) - mean_batch_size_);
    call.id = piece_call_id(++last_id_);
    call.target = target.target;
    call.overdue_after =
        round_up(call_ms(call.items.size()) * overdue_factor + overdue_slack_ms);
    state.target = target.target.id;
    state.sent = now;
    ++target.calls;
    target.result_bytes += state.result_bytes;
    calls_.emplace(call.id, std::move(state));
    return call;
}

std::optional<piece_call> piece_queue::next_call(steady_time now)
{
    if (jobs_.empty())
    {
        return std::nullopt;
    }
    drop_expired_results(now);
    const std::vector<job_id> ordered = ordered_jobs(now);
    if (ordered.empty())
    {
        return std::nullopt;
    }
    std::vector<target_load*> available;
    for (auto& each : targets_)
    {
        if (each.second.serving && each.second.calls < rule_.slots &&
            each.second.paused_until <= now)
        {
            available.push_back(&each.second);
        }
    }
    // the fastest target first, then the one with the least memory in use
    std::sort(available.begin(),
              available.end(),
              [](const target_load* a, const target_load* b)
              {
                  return std::make_tuple(std::lround(a->slowness), a->result_bytes) <
                         std::make_tuple(std::lround(b->slowness), b->result_bytes);
              });
    for (target_load* each : available)
    {
        if (std::optional<piece_call> call = build_call(*each, ordered, now))
        {
            return call;
        }
    }
    return std::nullopt;
}

std::vector<finished_piece> piece_queue::handle_results(
    piece_call_id call, const std::vector<piece_result>& results, steady_time now)
{
    std::vector<finished_piece> finished;
    const auto found = calls_.find(call);
    if (found == calls_.end())
    {
        return finished;
    }
    const call_state state = std::move(found->second);
    calls_.erase(found);
    const auto target = targets_.find(state.target);
    if (target != targets_.end())
    {
        --target->second.calls;
        target->second.result_bytes -= state.result_bytes;
        const double elapsed_ms = static_cast<double>((now - state.sent).count());
        const double ratio = elapsed_ms / std::max(1.0, call_ms(state.pieces.size()));
        target->second.slowness += slowness_smoothing * (ratio - target->second.slowness);
    }
    for (std::size_t i = 0; i < state.pieces.size(); ++i)
    {
        const sent_piece& sent = state.pieces[i];
        const piece_result result = i < results.size() ? results[i] : piece_result{};
        const auto job = jobs_.find(sent.job);
        if (result.handle && target != targets_.end())
        {
            target->second.result_bytes += sent.result_bytes;
            results_[*result.handle] = {
                state.target, sent.result_bytes, state.sent, now + rule_.result_lifetime};
        }
        finished_piece done{job_id(0), sent.piece, result};
        if (job == jobs_.end())
        {
            finished.push_back(done);
            continue;
        }
        if (!state.is_overdue)
        {
            --job->second.in_calls;
        }
        const auto queued =
            std::find(job->second.waiting.begin(), job->second.waiting.end(), sent.piece);
        if (!result.handle && result.failure == piece_failure::no_result_memory &&
            target != targets_.end())
        {
            target->second.paused_until = now + no_memory_pause;
        }
        const bool is_retryable =
            !result.handle && (result.failure == piece_failure::no_result_memory ||
                               result.failure == piece_failure::failed);
        if (is_retryable)
        {
            if (queued == job->second.waiting.end())
            {
                job->second.waiting.push_back(sent.piece);
            }
            continue;
        }
        if (queued != job->second.waiting.end())
        {
            job->second.waiting.erase(queued);
        }
        done.job = job->first;
        finished.push_back(done);
        if (job->second.waiting.empty() && job->second.in_calls == 0)
        {
            const job_state& ended = job->second;
            if (!ended.job.is_background)
            {
                const auto took_ms = static_cast<double>((now - ended.added_at).count());
                statistics_.record_wait(ended.job.priority,
                                        std::max(0.0, took_ms - ended.call_ms),
                                        ended.computed_wait_ms,
                                        now);
            }
            jobs_.erase(job);
        }
    }
    return finished;
}

void piece_queue::requeue(const call_state& call)
{
    for (const sent_piece& each : call.pieces)
    {
        const auto job = jobs_.find(each.job);
        if (job != jobs_.end())
        {
            --job->second.in_calls;
            job->second.waiting.push_back(each.piece);
        }
    }
}

void piece_queue::handle_failure(piece_call_id call, steady_time now, millis pause)
{
    const auto found = calls_.find(call);
    if (found == calls_.end())
    {
        return;
    }
    const call_state state = std::move(found->second);
    calls_.erase(found);
    const auto target = targets_.find(state.target);
    if (target != targets_.end())
    {
        --target->second.calls;
        target->second.result_bytes -= state.result_bytes;
        target->second.paused_until = now + pause;
    }
    if (!state.is_overdue)
    {
        requeue(state);
    }
}

void piece_queue::handle_overdue(piece_call_id call, steady_time now)
{
    const auto found = calls_.find(call);
    if (found == calls_.end() || found->second.is_overdue)
    {
        return;
    }
    found->second.is_overdue = true;
    const auto target = targets_.find(found->second.target);
    if (target != targets_.end())
    {
        target->second.slowness = std::max(target->second.slowness, overdue_factor);
        target->second.paused_until = now + full_call_time();
    }
    requeue(found->second);
}

} // namespace medlar
