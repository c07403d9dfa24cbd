#include <medlar/detail/dispatch/piece_queue.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace medlar
{

namespace
{

// beyond the estimate, for calls in progress whose state is not known
constexpr millis least_retry{200};

// time over which the work of jobs in time is averaged: some calls of each target
constexpr double rate_window_ms = 1500;

// least share of a pool that late jobs are expected to get
constexpr double least_left_share = 0.05;

} // namespace

millis piece_queue::rounded_up(double ms)
{
    return millis(static_cast<std::int64_t>(std::ceil(ms)));
}

double piece_queue::call_ms(std::size_t items) const
{
    return rule_.call_ms + rule_.item_ms * static_cast<double>(items);
}

millis piece_queue::full_call() const
{
    return rounded_up(call_ms(full_count()));
}

double piece_queue::mean_slowness() const
{
    double sum = 0;
    std::size_t serving = 0;
    for (const auto& each : targets_)
    {
        sum += each.second.serving ? each.second.slowness : 0;
        serving += each.second.serving ? 1 : 0;
    }
    return serving == 0 ? 1 : std::max(1.0, sum / static_cast<double>(serving));
}

double piece_queue::shared_call_ms(std::size_t pieces, double slowness) const
{
    const auto usual = static_cast<std::size_t>(std::lround(pieces_per_call_));
    return call_ms(std::min(full_count(), std::max(pieces, usual))) * slowness;
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

bool piece_queue::is_late(const piece_job& job, double slowness, steady_time now) const
{
    return job.is_background ||
           now + rounded_up(shared_call_ms(job.pieces.size(), slowness)) > job.aim;
}

double piece_queue::wait_ms(const piece_job& job, bool late, steady_time now) const
{
    double serving = 0;
    for (const auto& each : targets_)
    {
        serving += each.second.serving ? 1.0 / std::max(1.0, each.second.slowness) : 0;
    }
    const double slowness = mean_slowness();
    const auto rank = std::make_tuple(late, job.priority, job.aim.since_origin());
    double ahead = 0;
    for (const auto& each : jobs_)
    {
        const piece_job& other = each.second.job;
        const bool goes_first = std::make_tuple(is_late(other, slowness, now),
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
    const double calls_ahead = ahead / static_cast<double>(full_count());
    return (calls_ahead * call_ms(full_count()) + running_ms) / std::max(1.0, serving);
}

double piece_queue::left_share(steady_time now) const
{
    double serving = 0;
    for (const auto& each : targets_)
    {
        serving += each.second.serving ? 1 : 0;
    }
    const double capacity_per_ms = std::max(1.0, serving) *
                                   static_cast<double>(full_count()) /
                                   call_ms(full_count());
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
        verdict.retry_after = least_retry * 5;
        return verdict;
    }
    const double slowness = mean_slowness();
    const double own = shared_call_ms(job.pieces.size(), slowness);
    bool late = is_late(job, slowness, now);
    double wait = wait_ms(job, late, now);
    if (!late && now + rounded_up(wait + own) > job.aim)
    {
        late = true;
        wait = wait_ms(job, late, now);
    }
    // jobs that are in time go before those that wait as late ones
    const double stretch = late ? 1 / left_share(now) : 1;
    verdict.is_late = late;
    verdict.expected = rounded_up(wait * stretch + own);
    verdict.accepted = !job.is_first || now + verdict.expected <= job.deadline;
    verdict.retry_after = std::max(least_retry, rounded_up(wait / 2));
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
    const double slowness = mean_slowness();
    std::vector<key> keys;
    for (const auto& each : jobs_)
    {
        if (!each.second.waiting.empty())
        {
            keys.emplace_back(is_late(each.second.job, slowness, now),
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
