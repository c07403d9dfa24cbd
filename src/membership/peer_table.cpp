#include <medlar/detail/membership/peer_table.hpp>

#include <algorithm>
#include <iterator>

namespace medlar
{

namespace
{

/// silence timeouts for which an entry is kept
constexpr std::int64_t retention_timeouts = 10;

bool contains(const std::vector<incarnation>& processes, incarnation process)
{
    return std::find(processes.begin(), processes.end(), process) != processes.end();
}

} // namespace

peer_table::peer_table(incarnation self, millis silence_timeout)
    : self_(self), silence_timeout_(silence_timeout)
{
}

void peer_table::record_message(incarnation from,
                                const peer_gossip& gossip,
                                const std::optional<view_member>& known,
                                steady_time now)
{
    if (from == self_)
    {
        return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    entry& one = entries_[from];
    one.heard_at = std::max(one.heard_at, now);
    one.not_heard = gossip.not_heard;
    one.leaving = gossip.leaving_self;
    if (gossip.sender && gossip.sender->process == from)
    {
        one.member = gossip.sender;
    }
    else if (known && known->process == from)
    {
        one.member = known;
    }
}

void peer_table::view_adopted(steady_time now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    adopted_at_ = now;
}

void peer_table::forget_silent(steady_time now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (auto each = entries_.begin(); each != entries_.end();)
    {
        const bool old =
            each->second.heard_at + silence_timeout_ * retention_timeouts < now;
        each = old ? entries_.erase(each) : std::next(each);
    }
}

bool peer_table::is_silent(incarnation process, steady_time now) const
{
    const auto found = entries_.find(process);
    return found == entries_.end() || found->second.heard_at + silence_timeout_ < now;
}

std::vector<incarnation> peer_table::silent_members(const view& members,
                                                    steady_time now) const
{
    std::vector<incarnation> silent;
    if (adopted_at_ + silence_timeout_ >= now)
    {
        return silent;
    }
    for (const view_member& member : members.members)
    {
        if (member.process != self_ && is_silent(member.process, now))
        {
            silent.push_back(member.process);
        }
    }
    return silent;
}

std::vector<incarnation> peer_table::not_heard(const view& members, steady_time now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return silent_members(members, now);
}

std::vector<incarnation> peer_table::majority_not_heard(const view& members,
                                                        steady_time now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::vector<incarnation> own = silent_members(members, now);
    std::vector<incarnation> agreed;
    for (const incarnation suspect : own)
    {
        std::size_t voters = 1;
        std::size_t votes = 1;
        for (const view_member& member : members.members)
        {
            const auto found = entries_.find(member.process);
            if (member.process == self_ || is_silent(member.process, now))
            {
                continue;
            }
            ++voters;
            votes += contains(found->second.not_heard, suspect) ? 1 : 0;
        }
        if (2 * votes > voters)
        {
            agreed.push_back(suspect);
        }
    }
    return agreed;
}

std::vector<view_member> peer_table::waiting(const view* members, steady_time now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<view_member> waiting;
    for (const auto& [process, one] : entries_)
    {
        const bool member = members != nullptr && members->find(process) != nullptr;
        if (!member && !one.leaving && one.member && !is_silent(process, now))
        {
            waiting.push_back(*one.member);
        }
    }
    return waiting;
}

std::vector<incarnation> peer_table::leaving(steady_time now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<incarnation> leaving;
    for (const auto& [process, one] : entries_)
    {
        if (one.leaving && !is_silent(process, now))
        {
            leaving.push_back(process);
        }
    }
    return leaving;
}

bool peer_table::is_responding(incarnation process, steady_time now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return !is_silent(process, now);
}

std::optional<view_member> peer_table::find(incarnation process) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = entries_.find(process);
    return found == entries_.end() ? std::nullopt : found->second.member;
}

std::vector<view_member> peer_table::known(steady_time now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<view_member> known;
    for (const auto& [process, one] : entries_)
    {
        if (one.member && !is_silent(process, now))
        {
            known.push_back(*one.member);
        }
    }
    return known;
}

} // namespace medlar
