#include <medlar/detail/dispatch/piece_queue.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace medlar
{

namespace
{

// floor of the estimate, since the progress of running calls is not known
constexpr millis min_retry_delay{200};

// time constant of the average rate of jobs in time: several calls of each target
constexpr double rate_window_ms = 1500;

// usable share of the result memory of a target; the rest is for results of other hosts
constexpr double usable_memory_share = 0.9;

// a message of another host may name any size
constexpr double max_memory_wait_ms = 86400000;

// averages over about twenty results
constexpr double occupancy_smoothing = 0.05;

// minimum of the share of a pool that late jobs are expected to get
constexpr double min_late_job_share = 0.05;

} // namespace

millis piece_queue::round_up(double ms)
{
    return millis(static_cast<std::int64_t>(std::ceil(ms)));
}

double piece_queue::call_ms(std::size_t items) const
{
    return rule_.call_ms + rule_.item_ms * static_cast<double>(items);
}

millis piece_queue::full_call_time() const
{
    return round_up(call_ms(max_batch_size()));
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
    const auto typical = static_cast<std::size_t>(std::lround(mean_batch_size_));
    return call_ms(std::min(max_batch_size(), std::max(pieces, typical))) * slowness;
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
           now + round_up(shared_call_ms(job.pieces.size(), slowness)) >
               job.soft_deadline;
}

double piece_queue::wait_ms(const piece_job& job, bool late, steady_time now) const
{
    const double slowness = mean_slowness();
    const auto own_rank =
        std::make_tuple(late, job.priority, job.soft_deadline.since_origin());
    double pieces_ahead = 0;
    double bytes = static_cast<double>(job.pieces.size()) *
                   static_cast<double>(job.result_size.get());
    for (const auto& each : jobs_)
    {
        const piece_job& other = each.second.job;
        const bool goes_first =
            std::make_tuple(is_late(other, slowness, now),
                            other.priority,
                            other.soft_deadline.since_origin()) <= own_rank;
        if (goes_first)
        {
            pieces_ahead += static_cast<double>(each.second.waiting.size());
            bytes += static_cast<double>(each.second.waiting.size()) *
                     static_cast<double>(other.result_size.get());
        }
    }
    const std::vector<double> free_after = slots_free_after_ms(now);
    if (free_after.empty())
    {
        return 0;
    }
    const auto calls_ahead = static_cast<std::size_t>(
        (pieces_ahead + std::max(1.0, static_cast<double>(job.pieces.size())) - 1) /
        static_cast<double>(max_batch_size()));
    const std::size_t rounds = calls_ahead / free_after.size();
    const double slot_wait_ms =
        free_after[calls_ahead % free_after.size()] +
        static_cast<double>(rounds) * call_ms(max_batch_size()) * slowness;
    return std::max(slot_wait_ms, memory_wait_ms(bytes));
}

std::int64_t piece_queue::usable_memory() const
{
    return rule_.result_memory.get() == 0
               ? INT64_MAX / 2
               : static_cast<std::int64_t>(
                     usable_memory_share *
                     static_cast<double>(rule_.result_memory.get()));
}

double piece_queue::memory_wait_ms(double bytes) const
{
    if (rule_.result_memory.get() == 0)
    {
        return 0;
    }
    std::int64_t reserved = 0;
    double missing = bytes;
    for (const auto& each : targets_)
    {
        if (each.second.serving)
        {
            reserved += each.second.result_bytes;
            missing -= static_cast<double>(
                std::max<std::int64_t>(0, usable_memory() - each.second.result_bytes));
        }
    }
    if (missing <= 0 || reserved <= 0)
    {
        return 0;
    }
    // memory is released at the rate of reserved bytes / mean occupancy
    return std::min(max_memory_wait_ms,
                    missing * mean_occupancy_ms_ / static_cast<double>(reserved));
}

std::vector<double> piece_queue::slots_free_after_ms(steady_time now) const
{
    std::vector<double> free_after;
    for (const auto& each : targets_)
    {
        const auto pause_ms =
            static_cast<double>((each.second.paused_until - now).count());
        for (int i = each.second.calls; each.second.serving && i < rule_.slots; ++i)
        {
            free_after.push_back(std::max(0.0, pause_ms));
        }
    }
    for (const auto& each : calls_)
    {
        const auto target = targets_.find(each.second.target);
        if (target != targets_.end() && target->second.serving && !each.second.is_overdue)
        {
            const auto elapsed_ms = static_cast<double>((now - each.second.sent).count());
            const double expected_ms = call_ms(each.second.pieces.size()) *
                                       std::max(1.0, target->second.slowness);
            // a call that takes longer than expected is not about to end
            const double overtime_ms = std::min(expected_ms, elapsed_ms - expected_ms);
            free_after.push_back(std::max(expected_ms - elapsed_ms, overtime_ms));
        }
    }
    std::sort(free_after.begin(), free_after.end());
    return free_after;
}

double piece_queue::full_call_rate(double targets) const
{
    return std::max(1.0, targets) * static_cast<double>(max_batch_size()) /
           call_ms(max_batch_size());
}

double piece_queue::late_job_share(steady_time now) const
{
    double serving = 0;
    for (const auto& each : targets_)
    {
        serving += each.second.serving ? 1 : 0;
    }
    const double capacity_per_ms = full_call_rate(serving);
    const double age_ms = static_cast<double>((now - timely_updated_at_).count());
    const double timely_per_ms =
        timely_pieces_ * std::exp(-age_ms / rate_window_ms) / rate_window_ms;
    return std::max(min_late_job_share, 1 - timely_per_ms / capacity_per_ms);
}

void piece_queue::record_timely(std::size_t pieces, steady_time now)
{
    const double age_ms = static_cast<double>((now - timely_updated_at_).count());
    timely_pieces_ =
        timely_pieces_ * std::exp(-age_ms / rate_window_ms) + static_cast<double>(pieces);
    timely_updated_at_ = now;
}

double piece_queue::growth_ms(int priority, steady_time now) const
{
    double serving = 0;
    for (const auto& each : targets_)
    {
        serving += each.second.serving ? 1.0 / std::max(1.0, each.second.slowness) : 0;
    }
    const double load =
        statistics_.arrivals_per_ms(priority, now) / full_call_rate(serving);
    return std::max(0.0, (load - 1) * 1000);
}

job_decision piece_queue::evaluate(const piece_job& job, steady_time now) const
{
    job_decision decision;
    const bool has_target = std::any_of(targets_.begin(),
                                        targets_.end(),
                                        [](const auto& each)
                                        {
                                            return each.second.serving;
                                        });
    if (!has_target)
    {
        decision.accepted = false;
        decision.retry_after = min_retry_delay * 5;
        return decision;
    }
    const double slowness = mean_slowness();
    const double own_call_ms = shared_call_ms(job.pieces.size(), slowness);
    const bool late_without_queue = is_late(job, slowness, now);
    bool late = late_without_queue;
    decision.call_ms = own_call_ms;
    decision.computed_wait_ms = wait_ms(job, late, now);
    double queued_ms = decision.computed_wait_ms;
    if (!late)
    {
        queued_ms *= statistics_.wait_factor(job.priority, now);
        if (now + round_up(queued_ms + own_call_ms) > job.soft_deadline)
        {
            late = true;
            queued_ms = wait_ms(job, late, now);
        }
    }
    // late jobs only get the capacity that jobs in time leave
    const double slowdown = late ? 1 / late_job_share(now) : 1;
    decision.is_late = late;
    decision.growth = round_up(late ? 0 : growth_ms(job.priority, now));
    decision.expected_time = round_up(queued_ms * slowdown + own_call_ms);
    // the requester decided by an estimate that a burst may have outdated: the results of
    // jobs that the queue makes late would occupy memory that jobs in time need
    const bool late_by_queue = late && !late_without_queue;
    decision.accepted = !job.is_refusable ||
                        (!late_by_queue && now + decision.expected_time <= job.deadline);
    decision.retry_after = std::max(min_retry_delay, round_up(queued_ms / 2));
    return decision;
}

job_id piece_queue::add(piece_job job, steady_time now)
{
    const job_id id(++last_id_);
    // whether a job is late is decided once: under overload, the jobs that are queued
    // longest would otherwise all be completed just too late
    const job_decision expected = evaluate(job, now);
    job.is_background = job.is_background || expected.is_late;
    if (!job.is_background)
    {
        statistics_.record_arrival(job.priority, job.pieces.size(), now);
    }
    job_state state;
    state.added_at = now;
    state.computed_wait_ms = expected.computed_wait_ms;
    state.call_ms = expected.call_ms;
    state.waiting = job.pieces;
    state.job = std::move(job);
    jobs_.emplace(id, std::move(state));
    return id;
}

void piece_queue::cancel(job_id job)
{
    jobs_.erase(job);
}

std::vector<job_id> piece_queue::ordered_jobs(steady_time now) const
{
    using rank = std::tuple<bool, int, std::int64_t, job_id>;
    const double slowness = mean_slowness();
    std::vector<rank> ranks;
    for (const auto& each : jobs_)
    {
        if (!each.second.waiting.empty())
        {
            ranks.emplace_back(is_late(each.second.job, slowness, now),
                               each.second.job.priority,
                               each.second.job.soft_deadline.since_origin(),
                               each.first);
        }
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<job_id> ordered;
    ordered.reserve(ranks.size());
    for (const rank& each : ranks)
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
        piece_result expired;
        expired.failure = piece_failure::late;
        for (const int piece : each->second.job.pieces)
        {
            finished.push_back({each->first, piece, expired});
        }
        each = jobs_.erase(each);
    }
    return finished;
}

void piece_queue::release_result(const result_handle& handle, steady_time now)
{
    const auto found = results_.find(handle);
    if (found == results_.end())
    {
        return;
    }
    const auto target = targets_.find(found->second.target);
    if (target != targets_.end())
    {
        target->second.result_bytes -= found->second.bytes;
    }
    const auto occupancy_ms =
        static_cast<double>((now - found->second.reserved_at).count());
    mean_occupancy_ms_ += occupancy_smoothing * (occupancy_ms - mean_occupancy_ms_);
    results_.erase(found);
}

void piece_queue::drop_expired_results(steady_time now)
{
    std::vector<result_handle> expired;
    for (const auto& each : results_)
    {
        if (each.second.expires_at <= now)
        {
            expired.push_back(each.first);
        }
    }
    for (const result_handle& each : expired)
    {
        release_result(each, now);
    }
}

bool piece_queue::is_waiting(job_id job) const
{
    const auto found = jobs_.find(job);
    return found != jobs_.end() && found->second.in_calls == 0 &&
           !found->second.waiting.empty();
}

std::size_t piece_queue::waiting_pieces() const
{
    std::size_t count = 0;
    for (const auto& each : jobs_)
    {
        count += each.second.waiting.size();
    }
    return count;
}

} // namespace medlar
