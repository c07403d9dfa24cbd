#include <medlar/detail/dispatch/piece_queue.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace medlar
{

namespace
{

// moved bytes that are worth a longer wait for a target in the right failure domain
constexpr std::int64_t large_move_bytes = 200000;

// a call that takes this many times as long as it should is given to other targets too
constexpr double overdue_factor = 2.5;
constexpr double overdue_slack_ms = 250;

constexpr double slowness_smoothing = 0.3;

// beyond the estimate, for calls in progress whose state is not known
constexpr std::int64_t least_retry_ms = 200;

// time over which the work of jobs in time is averaged: some calls of each target
constexpr double rate_window_ms = 1500;

// least share of a pool that late jobs are expected to get
constexpr double least_left_share = 0.05;

// how long a target without room gets no call: results are freed within a call's time
constexpr millis room_pause{120};

// share of a target's room that is planned with; the rest is for results of other hosts
constexpr double used_room = 0.9;

std::int64_t to_ms(double value)
{
    return static_cast<std::int64_t>(std::ceil(value));
}

} // namespace

double piece_queue::call_ms(std::size_t items) const
{
    return rule_.call_ms + rule_.item_ms * static_cast<double>(items);
}

millis piece_queue::full_call() const
{
    return millis(to_ms(call_ms(static_cast<std::size_t>(std::max(1, rule_.batch)))));
}

void piece_queue::set_targets(const std::vector<piece_target>& targets)
{
    for (auto& each : targets_)
    {
        each.second.serving = false;
    }
    for (const piece_target& each : targets)
    {
        target_load& load = targets_[each.id];
        load.target = each;
        load.serving = true;
    }
    for (auto each = targets_.begin(); each != targets_.end();)
    {
        const bool unused = !each->second.serving && each->second.calls == 0;
        each = unused ? targets_.erase(each) : std::next(each);
    }
}

bool piece_queue::is_late(const piece_job& job, steady_time now) const
{
    return job.is_background || now + millis(to_ms(call_ms(job.pieces.size()))) > job.aim;
}

double piece_queue::wait_ms(const piece_job& job, bool late, steady_time now) const
{
    double serving = 0;
    for (const auto& each : targets_)
    {
        serving += each.second.serving ? 1.0 / std::max(1.0, each.second.slowness) : 0;
    }
    const auto rank = std::make_tuple(late, job.priority, job.aim.since_origin());
    double ahead = 0;
    for (const auto& each : jobs_)
    {
        const piece_job& other = each.second.job;
        const bool goes_first = std::make_tuple(is_late(other, now),
                                                other.priority,
                                                other.aim.since_origin()) <= rank;
        ahead += goes_first ? static_cast<double>(each.second.waiting.size()) : 0;
    }
    double running_ms = 0;
    for (const auto& each : calls_)
    {
        const double done = static_cast<double>((now - each.second.sent).count());
        running_ms += std::max(0.0, call_ms(each.second.pieces.size()) - done);
    }
    const int batch = std::max(1, rule_.batch);
    const double full = call_ms(static_cast<std::size_t>(batch));
    return (ahead / batch * full + running_ms) / std::max(1.0, serving);
}

double piece_queue::left_share(steady_time now) const
{
    double serving = 0;
    for (const auto& each : targets_)
    {
        serving += each.second.serving ? 1 : 0;
    }
    const int batch = std::max(1, rule_.batch);
    const double capacity_per_ms =
        std::max(1.0, serving) * batch / call_ms(static_cast<std::size_t>(batch));
    const double age = static_cast<double>((now - timely_at_).count());
    const double timely_per_ms =
        timely_pieces_ * std::exp(-age / rate_window_ms) / rate_window_ms;
    return std::max(least_left_share, 1 - timely_per_ms / capacity_per_ms);
}

void piece_queue::note_timely(std::size_t pieces, steady_time now)
{
    const double age = static_cast<double>((now - timely_at_).count());
    timely_pieces_ =
        timely_pieces_ * std::exp(-age / rate_window_ms) + static_cast<double>(pieces);
    timely_at_ = now;
}

job_verdict piece_queue::judge(const piece_job& job, steady_time now) const
{
    job_verdict verdict;
    const bool has_target = std::any_of(targets_.begin(),
                                        targets_.end(),
                                        [](const auto& each)
                                        {
                                            return each.second.serving;
                                        });
    if (!has_target)
    {
        verdict.accepted = false;
        verdict.retry_after = millis(least_retry_ms * 5);
        return verdict;
    }
    const auto batch = static_cast<std::size_t>(std::max(1, rule_.batch));
    const double own = call_ms(std::min(job.pieces.size(), batch));
    bool late = is_late(job, now);
    double wait = wait_ms(job, late, now);
    if (!late && now + millis(to_ms(wait + own)) > job.aim)
    {
        late = true;
        wait = wait_ms(job, late, now);
    }
    // jobs that are in time go before those that wait as late ones
    const double stretch = late ? 1 / left_share(now) : 1;
    verdict.is_late = late;
    verdict.expected = millis(to_ms(wait * stretch + own));
    verdict.accepted = !job.is_first || now + verdict.expected <= job.deadline;
    verdict.retry_after = millis(std::max(least_retry_ms, to_ms(wait / 2)));
    return verdict;
}

job_id piece_queue::add(piece_job job, steady_time now)
{
    const job_id id(++last_id_);
    // in time or not is decided once: with more work than capacity, those that wait
    // longest would else all be done just too late
    job.is_background = job.is_background || judge(job, now).is_late;
    job_state state;
    state.waiting = job.pieces;
    state.job = std::move(job);
    jobs_.emplace(id, std::move(state));
    return id;
}

void piece_queue::cancel(job_id job)
{
    jobs_.erase(job);
}

std::vector<job_id> piece_queue::order(steady_time now) const
{
    using key = std::tuple<bool, int, std::int64_t, job_id>;
    std::vector<key> keys;
    for (const auto& each : jobs_)
    {
        if (!each.second.waiting.empty())
        {
            keys.emplace_back(is_late(each.second.job, now),
                              each.second.job.priority,
                              each.second.job.aim.since_origin(),
                              each.first);
        }
    }
    std::sort(keys.begin(), keys.end());
    std::vector<job_id> ordered;
    ordered.reserve(keys.size());
    for (const key& each : keys)
    {
        ordered.push_back(std::get<3>(each));
    }
    return ordered;
}

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

bool piece_queue::suits(const job_state& job,
                        const target_load& target,
                        std::size_t ahead,
                        steady_time now) const
{
    if (job.job.moved_size.get() < large_move_bytes ||
        job.job.domain == target.target.domain || !has_target_in(job.job.domain, now))
    {
        return true;
    }
    // two full calls of waiting pieces in its own domain: it would be late there
    const bool crowded = ahead >= 2 * static_cast<std::size_t>(std::max(1, rule_.batch));
    const millis spare = job.job.aim - now;
    return crowded || (spare > millis(0) && spare < full_call() * 2);
}

std::size_t piece_queue::pieces_to_take(const job_state& job,
                                        std::size_t places,
                                        std::int64_t room) const
{
    const auto batch = static_cast<std::size_t>(std::max(1, rule_.batch));
    const std::int64_t size = std::max<std::int64_t>(1, job.job.result_size.get());
    const auto fitting = static_cast<std::size_t>(std::max<std::int64_t>(0, room / size));
    const std::size_t taken = std::min({job.waiting.size(), places, fitting});
    // results of a part would take room until the rest is made
    const bool is_part = taken < job.waiting.size();
    return is_part && taken < batch && job.waiting.size() <= batch ? 0 : taken;
}

std::optional<piece_call> piece_queue::fill(target_load& target,
                                            const std::vector<job_id>& ordered,
                                            steady_time now)
{
    const auto batch = static_cast<std::size_t>(std::max(1, rule_.batch));
    const std::int64_t room =
        rule_.room.get() == 0 ? INT64_MAX / 2
                              : static_cast<std::int64_t>(
                                    used_room * static_cast<double>(rule_.room.get()));
    piece_call call;
    call_state state;
    std::size_t timely = 0;
    std::map<failure_domain_id, std::size_t> ahead;
    for (const job_id id : ordered)
    {
        job_state& job = jobs_.at(id);
        const std::int64_t size = job.job.result_size.get();
        std::size_t& ahead_in_domain = ahead[job.job.domain];
        const bool suitable = suits(job, target, ahead_in_domain, now);
        ahead_in_domain +=
            job.job.moved_size.get() < large_move_bytes ? 0 : job.waiting.size();
        if (!suitable)
        {
            continue;
        }
        const std::size_t count = pieces_to_take(
            job, batch - call.items.size(), room - target.bytes - state.bytes);
        timely += is_late(job.job, now) ? 0 : count;
        for (std::size_t i = 0; i < count; ++i)
        {
            piece_item item;
            item.attempt = job.job.attempt;
            item.stage = job.job.stage;
            item.piece = job.waiting.front();
            item.left = job.job.deadline - now;
            item.key = job.job.key;
            item.inputs = job.job.inputs;
            call.items.push_back(std::move(item));
            state.pieces.emplace_back(id, job.waiting.front());
            state.bytes += size;
            ++job.in_calls;
            job.waiting.erase(job.waiting.begin());
        }
    }
    if (call.items.empty())
    {
        return std::nullopt;
    }
    note_timely(timely, now);
    call.id = piece_call_id(++last_id_);
    call.target = target.target;
    call.overdue_after =
        millis(to_ms(call_ms(call.items.size()) * overdue_factor + overdue_slack_ms));
    state.target = target.target.id;
    state.sent = now;
    ++target.calls;
    target.bytes += state.bytes;
    calls_.emplace(call.id, std::move(state));
    return call;
}

std::optional<piece_call> piece_queue::next(steady_time now)
{
    if (jobs_.empty())
    {
        return std::nullopt;
    }
    drop_old_results(now);
    const std::vector<job_id> ordered = order(now);
    if (ordered.empty())
    {
        return std::nullopt;
    }
    std::vector<target_load*> idle;
    for (auto& each : targets_)
    {
        if (each.second.serving && each.second.calls < rule_.slots &&
            each.second.paused_until <= now)
        {
            idle.push_back(&each.second);
        }
    }
    // the fastest target first, and the one with the most room
    std::sort(idle.begin(),
              idle.end(),
              [](const target_load* a, const target_load* b)
              {
                  return std::make_tuple(std::lround(a->slowness), a->bytes) <
                         std::make_tuple(std::lround(b->slowness), b->bytes);
              });
    for (target_load* each : idle)
    {
        if (std::optional<piece_call> call = fill(*each, ordered, now))
        {
            return call;
        }
    }
    return std::nullopt;
}

std::vector<finished_piece> piece_queue::answered(
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
        target->second.bytes -= state.bytes;
        const double took = static_cast<double>((now - state.sent).count());
        const double relative = took / std::max(1.0, call_ms(state.pieces.size()));
        target->second.slowness +=
            slowness_smoothing * (relative - target->second.slowness);
    }
    for (std::size_t i = 0; i < state.pieces.size(); ++i)
    {
        const piece_result result = i < results.size() ? results[i] : piece_result{};
        const auto job = jobs_.find(state.pieces[i].first);
        if (result.handle && target != targets_.end())
        {
            const std::int64_t size =
                state.bytes / static_cast<std::int64_t>(state.pieces.size());
            target->second.bytes += size;
            results_[*result.handle] = {state.target, size, now + rule_.result_life};
        }
        finished_piece done{job_id(0), state.pieces[i].second, result};
        if (job == jobs_.end())
        {
            finished.push_back(done);
            continue;
        }
        if (!state.is_overdue)
        {
            --job->second.in_calls;
        }
        const auto again = std::find(job->second.waiting.begin(),
                                     job->second.waiting.end(),
                                     state.pieces[i].second);
        if (!result.handle && result.failure == piece_failure::no_room &&
            target != targets_.end())
        {
            target->second.paused_until = now + room_pause;
        }
        const bool retry = !result.handle && (result.failure == piece_failure::no_room ||
                                              result.failure == piece_failure::failed);
        if (retry)
        {
            if (again == job->second.waiting.end())
            {
                job->second.waiting.push_back(state.pieces[i].second);
            }
            continue;
        }
        if (again != job->second.waiting.end())
        {
            job->second.waiting.erase(again);
        }
        done.job = job->first;
        finished.push_back(done);
        if (job->second.waiting.empty() && job->second.in_calls == 0)
        {
            jobs_.erase(job);
        }
    }
    return finished;
}

void piece_queue::put_back(const call_state& call)
{
    for (const auto& each : call.pieces)
    {
        const auto job = jobs_.find(each.first);
        if (job != jobs_.end())
        {
            --job->second.in_calls;
            job->second.waiting.push_back(each.second);
        }
    }
}

void piece_queue::failed(piece_call_id call, steady_time now, millis pause)
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
        target->second.bytes -= state.bytes;
        target->second.paused_until = now + pause;
    }
    if (!state.is_overdue)
    {
        put_back(state);
    }
}

void piece_queue::overdue(piece_call_id call, steady_time now)
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
        target->second.paused_until = now + full_call();
    }
    put_back(found->second);
}

std::vector<finished_piece> piece_queue::expire(steady_time now)
{
    std::vector<finished_piece> finished;
    for (auto each = jobs_.begin(); each != jobs_.end();)
    {
        if (each->second.job.deadline > now)
        {
            ++each;
            continue;
        }
        piece_result late;
        late.failure = piece_failure::late;
        for (const int piece : each->second.job.pieces)
        {
            finished.push_back({each->first, piece, late});
        }
        each = jobs_.erase(each);
    }
    return finished;
}

void piece_queue::freed(const result_handle& handle)
{
    const auto found = results_.find(handle);
    if (found == results_.end())
    {
        return;
    }
    const auto target = targets_.find(found->second.target);
    if (target != targets_.end())
    {
        target->second.bytes -= found->second.bytes;
    }
    results_.erase(found);
}

void piece_queue::drop_old_results(steady_time now)
{
    std::vector<result_handle> old;
    for (const auto& each : results_)
    {
        if (each.second.until <= now)
        {
            old.push_back(each.first);
        }
    }
    for (const result_handle& each : old)
    {
        freed(each);
    }
}

std::size_t piece_queue::waiting() const
{
    std::size_t count = 0;
    for (const auto& each : jobs_)
    {
        count += each.second.waiting.size();
    }
    return count;
}

} // namespace medlar
