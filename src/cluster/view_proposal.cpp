#include <medlar/detail/cluster/view_proposal.hpp>

#include <algorithm>
#include <set>

namespace medlar
{

namespace
{

// a change is proposed after this many stable times even if it has not become stable
constexpr std::int64_t max_stable_time_factor = 4;
// gateways of higher rank are not delayed further
constexpr std::size_t max_staggered_rank = 8;

using process_set = std::set<incarnation>;

process_set to_set(const std::vector<incarnation>& processes)
{
    return {processes.begin(), processes.end()};
}

process_set processes_of(const std::vector<view_member>& members)
{
    process_set processes;
    for (const view_member& member : members)
    {
        processes.insert(member.process);
    }
    return processes;
}

/// @brief Returns whether two processes exclude each other: they have the same host or
/// the same address.
bool mutually_exclusive(const view_member& a, const view_member& b)
{
    return a.host == b.host || a.link == b.link;
}

/// @brief Returns whether any of @p members excludes @p candidate.
bool excluded_by(const std::vector<view_member>& members, const view_member& candidate)
{
    return std::any_of(members.begin(),
                       members.end(),
                       [&candidate](const view_member& member)
                       {
                           return mutually_exclusive(member, candidate);
                       });
}

/// @brief Returns the waiting processes to be added; they do not exclude each other.
std::vector<view_member> joining(const view* current,
                                 const membership_observations& observed)
{
    const process_set leaving = to_set(observed.leaving);
    std::vector<view_member> joining;
    for (const view_member& candidate : observed.waiting)
    {
        const bool member = current != nullptr && current->find(candidate.process);
        if (!member && leaving.count(candidate.process) == 0 &&
            !excluded_by(joining, candidate))
        {
            joining.push_back(candidate);
        }
    }
    return joining;
}

/// @brief Returns the members that neither leave nor are replaced.
std::vector<view_member> staying(const view& current,
                                 const process_set& leaving,
                                 const std::vector<view_member>& replacements)
{
    std::vector<view_member> staying;
    for (const view_member& member : current.members)
    {
        if (leaving.count(member.process) == 0 && !excluded_by(replacements, member))
        {
            staying.push_back(member);
        }
    }
    return staying;
}

std::vector<view_member> without(const std::vector<view_member>& members,
                                 const process_set& removed)
{
    std::vector<view_member> kept;
    for (const view_member& member : members)
    {
        if (removed.count(member.process) == 0)
        {
            kept.push_back(member);
        }
    }
    return kept;
}

/// @brief Returns the members that may be evicted: never the gateway itself, and none if
/// this gateway could be in the minority of a network partition.
process_set evicted(const view& current, const membership_observations& observed)
{
    process_set lost = to_set(observed.lost);
    lost.erase(observed.self.process);
    const std::size_t reachable = without(current.members, lost).size();
    return 2 * reachable >= current.members.size() ? lost : process_set();
}

} // namespace

std::vector<view_member> next_members(const view& current,
                                      const membership_observations& observed)
{
    const std::vector<view_member> added = joining(&current, observed);
    std::vector<view_member> next = staying(current, to_set(observed.leaving), added);
    next = without(next, evicted(current, observed));
    next.insert(next.end(), added.begin(), added.end());
    return next.empty() ? current.members : next;
}

std::vector<view_member> first_members(const membership_observations& observed)
{
    membership_observations all = observed;
    all.waiting.insert(all.waiting.begin(), observed.self);
    return joining(nullptr, all);
}

bool same_processes(const std::vector<view_member>& a, const std::vector<view_member>& b)
{
    return processes_of(a) == processes_of(b);
}

std::size_t proposal_rank(const view& current, const membership_observations& observed)
{
    process_set lost = to_set(observed.lost);
    std::size_t rank = 0;
    for (const view_member& member : current.members)
    {
        if (member.process == observed.self.process)
        {
            return rank;
        }
        rank += lost.count(member.process) == 0 ? 1 : 0;
    }
    return rank + static_cast<std::size_t>(
                      std::count_if(observed.waiting.begin(),
                                    observed.waiting.end(),
                                    [&observed](const view_member& member)
                                    {
                                        return member.process < observed.self.process;
                                    }));
}

void silent_member_tracker::update(const std::vector<incarnation>& silent,
                                   steady_time now)
{
    std::map<incarnation, steady_time> updated;
    for (const incarnation process : silent)
    {
        const auto known = since_.find(process);
        updated[process] = known == since_.end() ? now : known->second;
    }
    since_ = std::move(updated);
}

std::vector<incarnation> silent_member_tracker::silent_for(millis min_duration,
                                                           steady_time now) const
{
    std::vector<incarnation> lost;
    for (const auto& [process, since] : since_)
    {
        if (now - since >= min_duration)
        {
            lost.push_back(process);
        }
    }
    return lost;
}

proposal_schedule::proposal_schedule(millis stable_time, millis stagger)
    : stable_time_(stable_time), stagger_(stagger)
{
}

bool proposal_schedule::due(const std::vector<view_member>& proposed,
                            std::size_t rank,
                            steady_time now)
{
    if (!unchanged_since_ || !same_processes(proposed_, proposed))
    {
        proposed_ = proposed;
        unchanged_since_ = now;
    }
    pending_since_ = pending_since_.value_or(now);
    const auto delay_steps =
        static_cast<std::int64_t>(std::min(rank, max_staggered_rank));
    const millis delay = stagger_ * delay_steps;
    return now - *unchanged_since_ >= stable_time_ + delay ||
           now - *pending_since_ >= stable_time_ * max_stable_time_factor + delay;
}

void proposal_schedule::reset()
{
    proposed_.clear();
    unchanged_since_.reset();
    pending_since_.reset();
}

} // namespace medlar
