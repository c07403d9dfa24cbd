#include <medlar/detail/policy/admission.hpp>

#include <algorithm>
#include <queue>
#include <set>

namespace medlar
{

namespace
{

constexpr double least_slots = 0.1;

/// @brief the waiting requests of one organisation that one pool holds up
struct queue_key
{
    pool_id pool;
    organisation_id organisation;

    friend bool operator<(const queue_key& a, const queue_key& b)
    {
        return a.pool != b.pool ? a.pool < b.pool : a.organisation < b.organisation;
    }
};

/// @brief indexes into the waiting requests, least slack first
using pool_queues = std::map<pool_id, std::vector<std::size_t>>;

pool_queues group_by_pool(const std::vector<waiting_request>& waiting,
                          const pool_outlooks& pools)
{
    pool_queues queues;
    for (std::size_t i = 0; i < waiting.size(); ++i)
    {
        queues[busiest_pool(waiting[i].need, pools)].push_back(i);
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

/// @brief when waiting requests of one host may start in a pool
struct start_outlook
{
    /// time until the next slot is free
    double first_ms = 0;
    /// work that may start then at once
    double at_once_ms = 0;
    double slots = 1;
};

start_outlook outlook_of(const pool_id& name, const pool_outlooks& pools)
{
    const auto found = pools.find(name);
    if (found == pools.end())
    {
        return {};
    }
    const pool_outlook& pool = found->second;
    const double slots = std::max(least_slots, usable_slots(pool));
    const double free = slots - pool.own_pending;
    if (free > 0)
    {
        return {0, free * pool.load.mean_service_ms, slots};
    }
    return {pool.load.mean_service_ms / std::max(1.0, pool.own_pending), 0, slots};
}

/// @brief Decides which members of one pool's queue are dropped.
class drop_decision
{
  public:
    drop_decision(const std::vector<waiting_request>& waiting,
                  const pool_id& pool,
                  const start_outlook& outlook,
                  const work_in_progress& in_progress,
                  std::vector<waiting_plan>& plans)
        : waiting_(waiting),
          pool_(pool),
          outlook_(outlook),
          held_(in_progress),
          plans_(plans)
    {
    }

    /// @return the members that stay, least slack first; their expected starts are set
    std::vector<std::size_t> decide(const std::vector<std::size_t>& members)
    {
        for (const std::size_t i : members)
        {
            const double ahead = std::max(0.0, kept_work_ - outlook_.at_once_ms);
            plans_[i].start_in_ms = outlook_.first_ms + ahead / outlook_.slots;
            keep(i);
            if (waiting_[i].slack_ms < outlook_.first_ms)
            {
                drop(kept_.size() - 1, false);
            }
            else if (plans_[i].start_in_ms > waiting_[i].slack_ms)
            {
                drop(victim(), true);
            }
        }
        return kept_;
    }

  private:
    double work(std::size_t i) const
    {
        return work_in(waiting_[i].need, pool_);
    }

    void keep(std::size_t i)
    {
        kept_.push_back(i);
        kept_work_ += work(i);
        held_[waiting_[i].organisation] += work(i);
    }

    void drop(std::size_t place, bool contended)
    {
        const std::size_t i = kept_[place];
        const bool alone = held_.size() < 2;
        plans_[i].decision = waiting_decision::drop;
        plans_[i].over_share = contended && !alone;
        kept_work_ -= work(i);
        held_[waiting_[i].organisation] -= work(i);
        kept_.erase(kept_.begin() + static_cast<std::ptrdiff_t>(place));
    }

    /// @brief what its organisation holds, by weight
    double share_held(std::size_t i) const
    {
        const auto held = held_.find(waiting_[i].organisation);
        return held == held_.end() ? 0 : held->second / waiting_[i].weight;
    }

    /// @brief the place of the member to be dropped
    std::size_t victim() const
    {
        std::size_t chosen = 0;
        for (std::size_t place = 1; place < kept_.size(); ++place)
        {
            const std::size_t one = kept_[place];
            const std::size_t other = kept_[chosen];
            const bool same = waiting_[one].organisation == waiting_[other].organisation;
            const bool better =
                same ? work(one) > work(other) : share_held(one) > share_held(other);
            chosen = better ? place : chosen;
        }
        return chosen;
    }

    const std::vector<waiting_request>& waiting_;
    const pool_id& pool_;
    const start_outlook outlook_;
    /// work that each organisation has in progress or kept here
    work_in_progress held_;
    std::vector<waiting_plan>& plans_;
    std::vector<std::size_t> kept_;
    double kept_work_ = 0;
};

/// @brief the next request of one queue in the order of starts
struct turn
{
    double progress = 0; ///< work in progress by weight
    queue_key key;

    friend bool operator>(const turn& a, const turn& b)
    {
        return a.progress != b.progress ? a.progress > b.progress : b.key < a.key;
    }
};

using kept_map = std::map<queue_key, std::vector<std::size_t>>;
using turn_queue = std::priority_queue<turn, std::vector<turn>, std::greater<>>;

double total_work(const request_need& need)
{
    double total = 0;
    for (const stage_need& stage : need.stages)
    {
        total += stage.service_ms;
    }
    return total;
}

/// @brief Marks requests as starting, organisations in turn, while pools have room.
void mark_starts(const std::vector<waiting_request>& waiting,
                 const kept_map& kept,
                 const work_in_progress& in_progress,
                 pool_outlooks pools,
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
        const turn taken = turns.top();
        turns.pop();
        const std::vector<std::size_t>& members = kept.at(taken.key);
        const std::size_t i = members[next[taken.key]++];
        if (blocked.count(taken.key.pool) != 0)
        {
            continue;
        }
        if (!has_room(waiting[i].need, pools))
        {
            blocked.insert(taken.key.pool);
            continue;
        }
        plans[i].decision = waiting_decision::start;
        plans[i].start_in_ms = 0;
        add_pending(waiting[i].need, pools);
        progress[taken.key.organisation] += total_work(waiting[i].need);
        if (next[taken.key] < members.size())
        {
            const double done = progress[taken.key.organisation];
            turns.push({done / waiting[i].weight, taken.key});
        }
    }
}

} // namespace

std::vector<waiting_plan> plan_waiting(const std::vector<waiting_request>& waiting,
                                       const work_in_progress& in_progress,
                                       const pool_outlooks& pools)
{
    std::vector<waiting_plan> plans(waiting.size());
    for (std::size_t i = 0; i < waiting.size(); ++i)
    {
        plans[i].ticket = waiting[i].ticket;
    }
    kept_map kept;
    for (const auto& [pool, members] : group_by_pool(waiting, pools))
    {
        const start_outlook outlook = outlook_of(pool, pools);
        drop_decision decision(waiting, pool, outlook, in_progress, plans);
        for (const std::size_t i : decision.decide(members))
        {
            kept[{pool, waiting[i].organisation}].push_back(i);
        }
    }
    mark_starts(waiting, kept, in_progress, pools, plans);
    return plans;
}

} // namespace medlar
