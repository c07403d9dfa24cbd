#include <medlar/detail/cluster/view_proposal.hpp>

#include <algorithm>
#include <set>

namespace medlar
{

namespace
{

// after this many settle times a change is proposed although it still grows
constexpr std::int64_t longest_settle_factor = 4;
// gateways of a higher rank than this propose together with it
constexpr std::size_t highest_staggered_rank = 8;

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

/// @brief whether two processes cannot both run: of one host, or of one address
bool same_place(const view_member& a, const view_member& b)
{
    return a.host == b.host || a.link == b.link;
}

bool has_place_of(const std::vector<view_member>& members, const view_member& wanted)
{
    return std::any_of(members.begin(),
                       members.end(),
                       [&wanted](const view_member& member)
                       {
                           return same_place(member, wanted);
                       });
}

/// @brief waiting processes that are to be added, one for each place
std::vector<view_member> joining(const view* current, const membership_evidence& seen)
{
    const process_set leaving = to_set(seen.leaving);
    std::vector<view_member> joining;
    for (const view_member& candidate : seen.waiting)
    {
        const bool member = current != nullptr && current->find(candidate.process);
        if (!member && leaving.count(candidate.process) == 0 &&
            !has_place_of(joining, candidate))
        {
            joining.push_back(candidate);
        }
    }
    return joining;
}

/// @brief members that neither leave nor are replaced
std::vector<view_member> staying(const view& current,
                                 const process_set& leaving,
                                 const std::vector<view_member>& replacements)
{
    std::vector<view_member> staying;
    for (const view_member& member : current.members)
    {
        if (leaving.count(member.process) == 0 && !has_place_of(replacements, member))
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

/// @brief Members that may be evicted: never the gateway itself, and none if this
/// gateway could be on the smaller side of a cut.
process_set evicted(const view& current, const membership_evidence& seen)
{
    process_set lost = to_set(seen.lost);
    lost.erase(seen.self.process);
    const std::size_t heard = without(current.members, lost).size();
    return 2 * heard >= current.members.size() ? lost : process_set();
}

} // namespace

std::vector<view_member> next_members(const view& current,
                                      const membership_evidence& seen)
{
    const std::vector<view_member> added = joining(&current, seen);
    std::vector<view_member> next = staying(current, to_set(seen.leaving), added);
    next = without(next, evicted(current, seen));
    next.insert(next.end(), added.begin(), added.end());
    return next.empty() ? current.members : next;
}

std::vector<view_member> first_members(const membership_evidence& seen)
{
    membership_evidence all = seen;
    all.waiting.insert(all.waiting.begin(), seen.self);
    return joining(nullptr, all);
}

bool same_processes(const std::vector<view_member>& a, const std::vector<view_member>& b)
{
    return processes_of(a) == processes_of(b);
}

std::size_t proposal_rank(const view& current, const membership_evidence& seen)
{
    process_set silent = to_set(seen.lost);
    std::size_t rank = 0;
    for (const view_member& member : current.members)
    {
        if (member.process == seen.self.process)
        {
            return rank;
        }
        rank += silent.count(member.process) == 0 ? 1 : 0;
    }
    return rank + static_cast<std::size_t>(
                      std::count_if(seen.waiting.begin(),
                                    seen.waiting.end(),
                                    [&seen](const view_member& member)
                                    {
                                        return member.process < seen.self.process;
                                    }));
}

void silence_record::update(const std::vector<incarnation>& not_heard, steady_time now)
{
    std::map<incarnation, steady_time> updated;
    for (const incarnation process : not_heard)
    {
        const auto known = since_.find(process);
        updated[process] = known == since_.end() ? now : known->second;
    }
    since_ = std::move(updated);
}

std::vector<incarnation> silence_record::lost(millis at_least, steady_time now) const
{
    std::vector<incarnation> lost;
    for (const auto& [process, since] : since_)
    {
        if (now - since >= at_least)
        {
            lost.push_back(process);
        }
    }
    return lost;
}

proposal_schedule::proposal_schedule(millis settle, millis stagger)
    : settle_(settle), stagger_(stagger)
{
}

bool proposal_schedule::due(const std::vector<view_member>& wanted,
                            std::size_t rank,
                            steady_time now)
{
    if (!unchanged_since_ || !same_processes(wanted_, wanted))
    {
        wanted_ = wanted;
        unchanged_since_ = now;
    }
    wanted_since_ = wanted_since_.value_or(now);
    const auto steps = static_cast<std::int64_t>(std::min(rank, highest_staggered_rank));
    const millis delay = stagger_ * steps;
    return now - *unchanged_since_ >= settle_ + delay ||
           now - *wanted_since_ >= settle_ * longest_settle_factor + delay;
}

void proposal_schedule::reset()
{
    wanted_.clear();
    unchanged_since_.reset();
    wanted_since_.reset();
}

} // namespace medlar
