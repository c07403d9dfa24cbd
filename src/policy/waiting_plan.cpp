#include <medlar/detail/policy/admission.hpp>

#include <algorithm>
#include <queue>
#include <set>

namespace medlar
{

namespace
{

constexpr double min_slots = 0.1;

/// @brief identifies the queued requests of one organisation whose bottleneck is one pool
struct queue_key
{
    pool_id pool;
    organisation_id organisation;

    friend bool operator<(const queue_key& a, const queue_key& b)
    {
        return a.pool != b.pool ? a.pool < b.pool : a.organisation < b.organisation;
    }
};

/// @brief indexes of the queued requests by bottleneck pool, least slack first
using pool_queues = std::map<pool_id, std::vector<std::size_t>>;

pool_queues group_by_pool(const std::vector<waiting_request>& waiting,
                          const pool_estimates& pools)
{
    pool_queues queues;
    for (std::size_t i = 0; i < waiting.size(); ++i)
    {
        queues[busiest_pool(waiting[i].demand, pools)].push_back(i);
    }
    for (auto& [pool, members] : queues)
    {
        std::sort(members.begin(),
                  members.end(),
                  [&waiting](std::size_t a, std::size_t b)
                  {
                      return waiting[a].slack_ms < waiting[b].slack_ms;
                  });
    }
    return queues;
}

/// @brief estimate of when a host's queued requests can start in a pool
struct start_estimate
{
    /// time until the next slot is free
    double next_slot_ms = 0;
    /// service time of the calls that can start immediately
    double ready_work_ms = 0;
    double slots = 1;
};

start_estimate estimate_start(const pool_id& name, const pool_estimates& pools)
{
    const auto found = pools.find(name);
    if (found == pools.end())
    {
        return {};
    }
    const pool_estimate& pool = found->second;
    const double slots = std::max(min_slots, usable_slots(pool));
    const double free = slots - pool.own_pending_calls;
    if (free > 0)
    {
        return {0, free * pool.load.mean_service_ms, slots};
    }
    return {pool.load.mean_service_ms / std::max(1.0, pool.own_pending_calls), 0, slots};
}

/// @brief Decides which requests of one pool's queue are dropped.
class drop_planner
{
  public:
    drop_planner(const std::vector<waiting_request>& waiting,
                 const pool_id& pool,
                 const start_estimate& estimate,
                 const work_in_progress& in_progress,
                 std::vector<waiting_plan>& plans)
        : waiting_(waiting),
          pool_(pool),
          estimate_(estimate),
          held_(in_progress),
          plans_(plans)
    {
    }

    /// @return the requests that are kept, least slack first; their expected starts are
    /// set
    std::vector<std::size_t> decide(const std::vector<std::size_t>& members)
    {
        for (const std::size_t i : members)
        {
            const double ahead = std::max(0.0, kept_work_ - estimate_.ready_work_ms);
            plans_[i].start_in_ms = estimate_.next_slot_ms + ahead / estimate_.slots;
            keep(i);
            if (waiting_[i].slack_ms < estimate_.next_slot_ms)
            {
                drop(kept_.size() - 1, false);
            }
            else if (plans_[i].start_in_ms > waiting_[i].slack_ms)
            {
                drop(choose_drop(), true);
            }
        }
        return kept_;
    }

  private:
    double work(std::size_t i) const
    {
        return work_in_pool_ms(waiting_[i].demand, pool_);
    }

    void keep(std::size_t i)
    {
        kept_.push_back(i);
        kept_work_ += work(i);
        held_[waiting_[i].organisation] += work(i);
    }

    void drop(std::size_t position, bool contended)
    {
        const std::size_t i = kept_[position];
        const bool only_organisation = held_.size() < 2;
        plans_[i].decision = waiting_decision::drop;
        plans_[i].over_share = contended && !only_organisation;
        kept_work_ -= work(i);
        held_[waiting_[i].organisation] -= work(i);
        kept_.erase(kept_.begin() + static_cast<std::ptrdiff_t>(position));
    }

    /// @brief Returns the work of a request's organisation relative to its weight.
    double share_held(std::size_t i) const
    {
        const auto held = held_.find(waiting_[i].organisation);
        return held == held_.end() ? 0 : held->second / waiting_[i].weight;
    }

    /// @brief Returns the position in @ref kept_ of the request to drop: the longest one
    /// of the organisation that holds the most work relative to its weight.
    std::size_t choose_drop() const
    {
        std::size_t chosen = 0;
        for (std::size_t position = 1; position < kept_.size(); ++position)
        {
            const std::size_t one = kept_[position];
            const std::size_t other = kept_[chosen];
            const bool same = waiting_[one].organisation == waiting_[other].organisation;
            const bool is_heavier =
                same ? work(one) > work(other) : share_held(one) > share_held(other);
            chosen = is_heavier ? position : chosen;
        }
        return chosen;
    }

    const std::vector<waiting_request>& waiting_;
    const pool_id& pool_;
    const start_estimate estimate_;
    /// work of each organisation, in progress or kept in this queue
    work_in_progress held_;
    std::vector<waiting_plan>& plans_;
    std::vector<std::size_t> kept_;
    double kept_work_ = 0;
};

/// @brief position of one organisation's queue in the start order
struct turn
{
    double progress = 0; ///< work in progress relative to the organisation's weight
    queue_key key;

    friend bool operator>(const turn& a, const turn& b)
    {
        return a.progress != b.progress ? a.progress > b.progress : b.key < a.key;
    }
};

using kept_map = std::map<queue_key, std::vector<std::size_t>>;
using turn_queue = std::priority_queue<turn, std::vector<turn>, std::greater<>>;

double total_work(const request_demand& demand)
{
    double total = 0;
    for (const stage_demand& stage : demand.stages)
    {
        total += stage.service_ms;
    }
    return total;
}

/// @brief Marks requests as starting while their pools have capacity, organisations in
/// turn.
void mark_starts(const std::vector<waiting_request>& waiting,
                 const kept_map& kept,
                 const work_in_progress& in_progress,
                 pool_estimates pools,
                 std::vector<waiting_plan>& plans)
{
    std::map<organisation_id, double> progress = in_progress;
    std::map<queue_key, std::size_t> next;
    turn_queue turns;
    for (const auto& [key, members] : kept)
    {
        if (!members.empty())
        {
            const double weight = waiting[members.front()].weight;
            turns.push({progress[key.organisation] / weight, key});
        }
    }
    std::set<pool_id> blocked;
    while (!turns.empty())
    {
        const turn current = turns.top();
        turns.pop();
        const std::vector<std::size_t>& members = kept.at(current.key);
        const std::size_t i = members[next[current.key]++];
        if (blocked.count(current.key.pool) != 0)
        {
            continue;
        }
        if (!has_capacity(waiting[i].demand, pools))
        {
            blocked.insert(current.key.pool);
            continue;
        }
        plans[i].decision = waiting_decision::start;
        plans[i].start_in_ms = 0;
        add_pending(waiting[i].demand, pools);
        progress[current.key.organisation] += total_work(waiting[i].demand);
        if (next[current.key] < members.size())
        {
            const double new_progress = progress[current.key.organisation];
            turns.push({new_progress / waiting[i].weight, current.key});
        }
    }
}

} // namespace

std::vector<waiting_plan> plan_waiting(const std::vector<waiting_request>& waiting,
                                       const work_in_progress& in_progress,
                                       const pool_estimates& pools)
{
    std::vector<waiting_plan> plans(waiting.size());
    for (std::size_t i = 0; i < waiting.size(); ++i)
    {
        plans[i].ticket = waiting[i].ticket;
    }
    kept_map kept;
    for (const auto& [pool, members] : group_by_pool(waiting, pools))
    {
        const start_estimate estimate = estimate_start(pool, pools);
        drop_planner planner(waiting, pool, estimate, in_progress, plans);
        for (const std::size_t i : planner.decide(members))
        {
            kept[{pool, waiting[i].organisation}].push_back(i);
        }
    }
    mark_starts(waiting, kept, in_progress, pools, plans);
    return plans;
}

} // namespace medlar
