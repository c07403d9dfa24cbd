#include <medlar/detail/policy/admission_shard.hpp>
#include <medlar/detail/policy/fair_share.hpp>

#include <algorithm>
#include <cmath>
#include <set>

namespace medlar
{

namespace
{

constexpr millis plan_lifetime{5};
constexpr double shortest_check_ms = 2;
constexpr double longest_check_ms = 20;
constexpr millis shortest_retry_after{20};

millis whole_ms(double ms)
{
    return millis(static_cast<std::int64_t>(std::ceil(std::max(0.0, ms))));
}

} // namespace

admission_shard::admission_shard(int max_requests) : max_requests_(max_requests)
{
}

admission admission_shard::admit(const admission_request& request,
                                 const read_pools& read,
                                 steady_time now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const bool known = waiting_.count(request.ticket) != 0;
    if (now >= request.what.deadline)
    {
        waiting_.erase(request.ticket);
        return turned_away{reason::deadline_passed, millis(0)};
    }
    if (!known)
    {
        if (const auto refused = refuse_to_hold(request))
        {
            return *refused;
        }
    }
    if (request.policy == admission_policy::none)
    {
        start(request);
        return admitted{};
    }
    if (!known)
    {
        waiting_[request.ticket] = request;
        outdated_ = true;
    }
    return ask_waiting(request, read, now);
}

admission admission_shard::ask_waiting(const admission_request& request,
                                       const read_pools& read,
                                       steady_time now)
{
    const bool unplanned = plan_.count(request.ticket) == 0;
    const bool stale = now - planned_at_ >= plan_lifetime;
    if (unplanned || stale || (outdated_ && now > planned_at_))
    {
        make_plan(read, now);
    }
    const waiting_plan decided = plan_[request.ticket];
    switch (decided.decision)
    {
        case waiting_decision::start:
            start(request);
            return admitted{};
        case waiting_decision::drop:
            return drop(request, decided);
        case waiting_decision::wait:
            break;
    }
    const double check = decided.start_in_ms / 2;
    return queued{whole_ms(std::clamp(check, shortest_check_ms, longest_check_ms))};
}

std::optional<turned_away>
admission_shard::refuse_to_hold(const admission_request& request) const
{
    held_requests held;
    held.most = max_requests_;
    held.of_all = static_cast<int>(waiting_.size() + running_.size());
    const millis retry_after = std::max(shortest_retry_after, whole_ms(drain_ms_));
    if (held.of_all >= held.most)
    {
        return turned_away{reason::host_full, retry_after};
    }
    if (request.policy == admission_policy::none || 2 * held.of_all < held.most)
    {
        return std::nullopt;
    }
    std::map<organisation_id, double> weights{
        {request.what.organisation, request.weight}};
    for (const auto& [ticket, each] : waiting_)
    {
        weights[each.what.organisation] = each.weight;
        held.of_organisation += each.what.organisation == request.what.organisation;
    }
    for (const auto& [ticket, each] : running_)
    {
        weights.emplace(each.what.organisation, 1);
        held.of_organisation += each.what.organisation == request.what.organisation;
    }
    held.weight = request.weight;
    held.active_weight = 0;
    for (const auto& [name, weight] : weights)
    {
        held.active_weight += weight;
    }
    if (within_share(held))
    {
        return std::nullopt;
    }
    return turned_away{reason::organisation_over_share, retry_after};
}

void admission_shard::start(const admission_request& request)
{
    waiting_.erase(request.ticket);
    plan_.erase(request.ticket);
    running_request running;
    running.what = request.what;
    running.need = request.need;
    running.ended.resize(request.need.stages.size(), false);
    running_[request.ticket] = std::move(running);
}

turned_away admission_shard::drop(const admission_request& request,
                                  const waiting_plan& decided)
{
    waiting_.erase(request.ticket);
    plan_.erase(request.ticket);
    outdated_ = true;
    const reason why = decided.over_share ? reason::organisation_over_share
                                          : reason::deadline_unreachable;
    return {why, std::max(shortest_retry_after, whole_ms(drain_ms_))};
}

void admission_shard::make_plan(const read_pools& read, steady_time now)
{
    pools_ = read();
    count_pending(pools_);
    std::vector<waiting_request> all;
    for (const auto& [ticket, request] : waiting_)
    {
        all.push_back(as_waiting(request, now));
    }
    plan_.clear();
    for (const waiting_plan& each : plan_waiting(all, count_work(), pools_))
    {
        plan_[each.ticket] = each;
    }
    drain_ms_ = medlar::drain_ms(all, pools_);
    planned_at_ = now;
    outdated_ = false;
}

waiting_request admission_shard::as_waiting(const admission_request& request,
                                            steady_time now) const
{
    waiting_request out;
    out.ticket = request.ticket;
    out.organisation = request.what.organisation;
    out.weight = request.weight;
    out.need = request.need;
    const double span = expected_span_ms(request.need, pools_, 0);
    const auto left = static_cast<double>((request.what.deadline - now).count());
    const double bare = bare_span_ms(request.need, 0);
    out.slack_ms = left - judged_span_ms(span, bare, request.objective);
    return out;
}

void admission_shard::count_pending(pool_outlooks& pools) const
{
    for (const auto& [ticket, running] : running_)
    {
        for (std::size_t i = 0; i < running.ended.size(); ++i)
        {
            const auto found = pools.find(running.need.stages[i].pool);
            if (!running.ended[i] && found != pools.end())
            {
                found->second.own_pending += 1;
            }
        }
    }
}

work_in_progress admission_shard::count_work() const
{
    work_in_progress work;
    for (const auto& [ticket, running] : running_)
    {
        for (std::size_t i = 0; i < running.ended.size(); ++i)
        {
            const double service = running.need.stages[i].service_ms;
            work[running.what.organisation] += running.ended[i] ? 0 : service;
        }
    }
    return work;
}

bool admission_shard::end_stage(running_request& running, const call_observation& seen)
{
    for (std::size_t i = 0; i < running.ended.size(); ++i)
    {
        if (running.ended[i] || running.need.stages[i].pool != seen.pool)
        {
            continue;
        }
        running.ended[i] = true;
        if (seen.ticket != 0)
        {
            call_observation sized = seen;
            sized.size.input = running.what.size.input;
            models_[{running.what.pipeline, i}].learn(sized);
        }
        return true;
    }
    return false;
}

void admission_shard::stage_succeeded(const call_observation& seen)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    outdated_ = true;
    if (seen.ticket != 0)
    {
        const auto found = running_.find(seen.ticket);
        if (found != running_.end())
        {
            end_stage(found->second, seen);
        }
        return;
    }
    for (auto& [ticket, running] : running_)
    {
        if (end_stage(running, seen))
        {
            return;
        }
    }
}

std::optional<double> admission_shard::service_ms(const pipeline_id& of,
                                                  std::size_t stage,
                                                  const request_size& size) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto model = models_.find({of, stage});
    if (model == models_.end())
    {
        return std::nullopt;
    }
    return model->second.estimate_ms(size);
}

void admission_shard::finish(std::uint64_t ticket)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    waiting_.erase(ticket);
    running_.erase(ticket);
    plan_.erase(ticket);
    outdated_ = true;
}

std::size_t admission_shard::held() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return waiting_.size() + running_.size();
}

} // namespace medlar
