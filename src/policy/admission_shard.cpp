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
constexpr double min_check_ms = 2;
constexpr double max_check_ms = 20;
constexpr millis min_retry_after{20};

millis whole_ms(double ms)
{
    return millis(static_cast<std::int64_t>(std::ceil(std::max(0.0, ms))));
}

} // namespace

admission_shard::admission_shard(int max_requests) : max_requests_(max_requests)
{
}

admission admission_shard::admit(const admission_request& request,
                                 const pool_estimator& estimate_pools,
                                 steady_time now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const bool is_waiting = waiting_.count(request.ticket) != 0;
    if (now >= request.attributes.deadline)
    {
        waiting_.erase(request.ticket);
        return admission_refusal{reason::deadline_passed, millis(0)};
    }
    if (!is_waiting)
    {
        if (const auto refusal = check_limits(request))
        {
            return *refusal;
        }
    }
    if (request.policy == admission_policy::none)
    {
        start(request);
        return admitted{};
    }
    if (!is_waiting)
    {
        waiting_[request.ticket] = request;
        outdated_ = true;
    }
    return decide_waiting(request, estimate_pools, now);
}

admission admission_shard::decide_waiting(const admission_request& request,
                                          const pool_estimator& estimate_pools,
                                          steady_time now)
{
    const bool unplanned = plan_.count(request.ticket) == 0;
    const bool stale = now - planned_at_ >= plan_lifetime;
    if (unplanned || stale || (outdated_ && now > planned_at_))
    {
        update_plan(estimate_pools, now);
    }
    const waiting_plan plan = plan_[request.ticket];
    switch (plan.decision)
    {
        case waiting_decision::start:
            start(request);
            return admitted{};
        case waiting_decision::drop:
            return drop(request, plan);
        case waiting_decision::wait:
            break;
    }
    const double check_ms = plan.start_in_ms / 2;
    return queued{whole_ms(std::clamp(check_ms, min_check_ms, max_check_ms))};
}

std::optional<admission_refusal>
admission_shard::check_limits(const admission_request& request) const
{
    held_requests held;
    held.max_requests = max_requests_;
    held.total_count = static_cast<int>(waiting_.size() + running_.size());
    const millis retry_after = std::max(min_retry_after, whole_ms(drain_ms_));
    if (held.total_count >= held.max_requests)
    {
        return admission_refusal{reason::host_full, retry_after};
    }
    if (request.policy == admission_policy::none ||
        2 * held.total_count < held.max_requests)
    {
        return std::nullopt;
    }
    std::map<organisation_id, double> weights{
        {request.attributes.organisation, request.weight}};
    for (const auto& [ticket, each] : waiting_)
    {
        weights[each.attributes.organisation] = each.weight;
        held.organisation_count +=
            each.attributes.organisation == request.attributes.organisation;
    }
    for (const auto& [ticket, each] : running_)
    {
        weights.emplace(each.attributes.organisation, 1);
        held.organisation_count +=
            each.attributes.organisation == request.attributes.organisation;
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
    return admission_refusal{reason::organisation_over_share, retry_after};
}

void admission_shard::start(const admission_request& request)
{
    waiting_.erase(request.ticket);
    plan_.erase(request.ticket);
    running_request running;
    running.attributes = request.attributes;
    running.demand = request.demand;
    running.ended.resize(request.demand.stages.size(), false);
    running_[request.ticket] = std::move(running);
}

admission_refusal admission_shard::drop(const admission_request& request,
                                        const waiting_plan& plan)
{
    waiting_.erase(request.ticket);
    plan_.erase(request.ticket);
    outdated_ = true;
    const reason why =
        plan.over_share ? reason::organisation_over_share : reason::deadline_unreachable;
    return {why, std::max(min_retry_after, whole_ms(drain_ms_))};
}

void admission_shard::update_plan(const pool_estimator& estimate_pools, steady_time now)
{
    pools_ = estimate_pools();
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
    out.organisation = request.attributes.organisation;
    out.weight = request.weight;
    out.demand = request.demand;
    const double expected_span = expected_span_ms(request.demand, pools_, 0);
    const auto remaining_ms =
        static_cast<double>((request.attributes.deadline - now).count());
    const double service_span = service_span_ms(request.demand, 0);
    out.slack_ms = remaining_ms -
                   span_with_margin_ms(expected_span, service_span, request.objective);
    return out;
}

void admission_shard::count_pending(pool_estimates& pools) const
{
    for (const auto& [ticket, running] : running_)
    {
        for (std::size_t i = 0; i < running.ended.size(); ++i)
        {
            const auto found = pools.find(running.demand.stages[i].pool);
            if (!running.ended[i] && found != pools.end())
            {
                found->second.own_pending_calls += 1;
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
            const double service = running.demand.stages[i].service_ms;
            work[running.attributes.organisation] += running.ended[i] ? 0 : service;
        }
    }
    return work;
}

bool admission_shard::end_stage(running_request& running,
                                const call_observation& observation)
{
    for (std::size_t i = 0; i < running.ended.size(); ++i)
    {
        if (running.ended[i] || running.demand.stages[i].pool != observation.pool)
        {
            continue;
        }
        running.ended[i] = true;
        if (observation.ticket != 0)
        {
            call_observation sized = observation;
            sized.size.input = running.attributes.size.input;
            models_[{running.attributes.pipeline, i}].learn(sized);
        }
        return true;
    }
    return false;
}

void admission_shard::stage_succeeded(const call_observation& observation)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    outdated_ = true;
    if (observation.ticket != 0)
    {
        const auto found = running_.find(observation.ticket);
        if (found != running_.end())
        {
            end_stage(found->second, observation);
        }
        return;
    }
    for (auto& [ticket, running] : running_)
    {
        if (end_stage(running, observation))
        {
            return;
        }
    }
}

std::optional<double> admission_shard::service_ms(const pipeline_id& name,
                                                  std::size_t stage,
                                                  const request_size& size) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto model = models_.find({name, stage});
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
