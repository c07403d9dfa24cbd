#include <medlar/detail/policy/admission.hpp>
#include <medlar/detail/policy/fair_share.hpp>

#include <algorithm>
#include <queue>
#include <set>

namespace medlar
{

namespace
{

constexpr double least_horizon_ms = 1;

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

/// @brief one queue: indexes into the waiting requests, least slack first
struct organisation_queue
{
    std::vector<std::size_t> members;
    double weight = 1;
    double work_ms = 0;
    double horizon_ms = least_horizon_ms;
    /// slots that the organisation may use
    double slots = 1;
    /// whether it asks for more than that while others wait
    bool contended = false;
};

using queue_map = std::map<queue_key, organisation_queue>;

queue_map group(const std::vector<waiting_request>& waiting, const pool_outlooks& pools)
{
    queue_map queues;
    for (std::size_t i = 0; i < waiting.size(); ++i)
    {
        const pool_id pool = busiest_pool(waiting[i].need, pools);
        organisation_queue& queue = queues[{pool, waiting[i].organisation}];
        queue.members.push_back(i);
        queue.weight = waiting[i].weight;
        queue.work_ms += work_in(waiting[i].need, pool);
        queue.horizon_ms = std::max(queue.horizon_ms, waiting[i].slack_ms);
    }
    for (auto& [key, queue] : queues)
    {
        std::sort(queue.members.begin(),
                  queue.members.end(),
                  [&waiting](std::size_t a, std::size_t b)
                  {
                      return waiting[a].slack_ms < waiting[b].slack_ms;
                  });
    }
    return queues;
}

/// @brief sets the slots of the queues of one pool
void share_pool(queue_map& queues, const pool_id& pool, double capacity)
{
    std::vector<share_request> requests;
    std::vector<organisation_queue*> order;
    for (auto& [key, queue] : queues)
    {
        if (key.pool == pool)
        {
            const double demand = queue.work_ms / queue.horizon_ms;
            requests.push_back({key.organisation, queue.weight, demand});
            order.push_back(&queue);
        }
    }
    const std::vector<double> shares = fair_shares(requests, capacity);
    double left = capacity;
    for (const double share : shares)
    {
        left -= share;
    }
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        order[i]->slots = shares[i] + std::max(0.0, left);
        order[i]->contended = order.size() > 1 && shares[i] < requests[i].demand;
    }
}

void share_pools(queue_map& queues, const pool_outlooks& pools)
{
    std::set<pool_id> names;
    for (const auto& [key, queue] : queues)
    {
        names.insert(key.pool);
    }
    for (const pool_id& name : names)
    {
        const auto found = pools.find(name);
        const double capacity = found == pools.end() ? 1 : usable_slots(found->second);
        share_pool(queues, name, std::max(0.1, capacity));
    }
}

/// @brief when waiting requests of one host may start in a pool
struct start_outlook
{
    /// time until the next slot is free
    double first_ms = 0;
    /// work that may start then at once
    double at_once_ms = 0;
};

start_outlook outlook_of(const pool_id& name, const pool_outlooks& pools)
{
    const auto found = pools.find(name);
    if (found == pools.end())
    {
        return {};
    }
    const pool_outlook& pool = found->second;
    const double free = usable_slots(pool) - pool.own_pending;
    if (free > 0)
    {
        return {0, free * pool.load.mean_service_ms};
    }
    return {pool.load.mean_service_ms / std::max(1.0, pool.own_pending), 0};
}

/// @brief Drops the most demanding members until the rest can start in time.
/// @return the members that stay, least slack first; their expected starts are set
std::vector<std::size_t> drop_hopeless(const std::vector<waiting_request>& waiting,
                                       const queue_key& key,
                                       const organisation_queue& queue,
                                       const start_outlook& outlook,
                                       std::vector<waiting_plan>& plans)
{
    std::vector<std::size_t> kept;
    double work = 0;
    for (const std::size_t i : queue.members)
    {
        const double ahead = std::max(0.0, work - outlook.at_once_ms);
        plans[i].start_in_ms = outlook.first_ms + ahead / queue.slots;
        kept.push_back(i);
        work += work_in(waiting[i].need, key.pool);
        if (plans[i].start_in_ms <= waiting[i].slack_ms)
        {
            continue;
        }
        const auto most = std::max_element(kept.begin(),
                                           kept.end(),
                                           [&](std::size_t a, std::size_t b)
                                           {
                                               return work_in(waiting[a].need, key.pool) <
                                                      work_in(waiting[b].need, key.pool);
                                           });
        // A request that could not start in time even at the head is itself hopeless.
        const bool alone = waiting[i].slack_ms < outlook.first_ms;
        const auto victim = alone ? kept.end() - 1 : most;
        plans[*victim].decision = waiting_decision::drop;
        plans[*victim].over_share = queue.contended;
        work -= work_in(waiting[*victim].need, key.pool);
        kept.erase(victim);
    }
    return kept;
}

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
    queue_map queues = group(waiting, pools);
    share_pools(queues, pools);
    kept_map kept;
    for (const auto& [key, queue] : queues)
    {
        const start_outlook outlook = outlook_of(key.pool, pools);
        kept[key] = drop_hopeless(waiting, key, queue, outlook, plans);
    }
    mark_starts(waiting, kept, in_progress, pools, plans);
    return plans;
}

} // namespace medlar
