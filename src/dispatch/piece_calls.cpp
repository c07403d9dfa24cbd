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

// moved bytes that leave their failure domain only when its targets are overrun
constexpr std::int64_t huge_move_bytes = 1000000;

// a call that takes this many times as long as it should is given to other targets too
constexpr double overdue_factor = 2.5;
constexpr double overdue_slack_ms = 250;

constexpr double slowness_smoothing = 0.3;

// over some ten calls, a part of a second for a group of 16 targets
constexpr double fill_smoothing = 0.1;

// how long a target without room gets no call: results are freed within a call's time
constexpr millis room_pause{120};

// share of a target's room that is planned with; the rest is for results of other hosts
constexpr double used_room = 0.9;

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
    const bool crowded = ahead >= 2 * full_count();
    const millis spare = job.job.aim - now;
    const bool soon_late = job.job.moved_size.get() < huge_move_bytes &&
                           spare > millis(0) && spare < full_call() * 3 / 2;
    return crowded || soon_late;
}

std::size_t piece_queue::pieces_to_take(const job_state& job,
                                        std::size_t places,
                                        std::int64_t room) const
{
    const std::size_t batch = full_count();
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
    const std::size_t batch = full_count();
    const std::int64_t room =
        rule_.room.get() == 0 ? INT64_MAX / 2
                              : static_cast<std::int64_t>(
                                    used_room * static_cast<double>(rule_.room.get()));
    piece_call call;
    call_state state;
    const double slowness = mean_slowness();
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
        timely += is_late(job.job, slowness, now) ? 0 : count;
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
            state.pieces.push_back({id, job.waiting.front(), size});
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
    pieces_per_call_ +=
        fill_smoothing * (static_cast<double>(call.items.size()) - pieces_per_call_);
    call.id = piece_call_id(++last_id_);
    call.target = target.target;
    call.overdue_after =
        rounded_up(call_ms(call.items.size()) * overdue_factor + overdue_slack_ms);
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
        const sent_piece& sent = state.pieces[i];
        const piece_result result = i < results.size() ? results[i] : piece_result{};
        const auto job = jobs_.find(sent.job);
        if (result.handle && target != targets_.end())
        {
            target->second.bytes += sent.bytes;
            results_[*result.handle] = {
                state.target, sent.bytes, now + rule_.result_life};
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
        const auto again =
            std::find(job->second.waiting.begin(), job->second.waiting.end(), sent.piece);
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
                job->second.waiting.push_back(sent.piece);
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

} // namespace medlar
