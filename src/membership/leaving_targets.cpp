#include <medlar/detail/membership/leaving_targets.hpp>

#include <algorithm>
#include <iterator>

namespace medlar
{

namespace
{

/// how long a target gets no new work after a refusal
constexpr millis refusal_lifetime{30000};
/// entries with a shorter remaining lifetime are neither sent nor accepted
constexpr millis min_remaining{1000};
constexpr std::size_t max_entries_for_peers = 64;

} // namespace

std::set<target_id> leaving_targets::names() const
{
    std::set<target_id> names = controller_list_;
    for (const auto& [target, until] : leaving_until_)
    {
        names.insert(target);
    }
    return names;
}

bool leaving_targets::extend(const target_id& target, steady_time until)
{
    const auto [entry, inserted] = leaving_until_.emplace(target, until);
    entry->second = std::max(entry->second, until);
    return inserted && controller_list_.count(target) == 0;
}

bool leaving_targets::record_refusal(const target_id& target, steady_time now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    returned_until_.erase(target);
    return extend(target, now + refusal_lifetime);
}

bool leaving_targets::set_controller_list(const std::vector<target_id>& listed,
                                          steady_time now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::set<target_id> before = names();
    const std::set<target_id> fresh(listed.begin(), listed.end());
    for (const target_id& target : controller_list_)
    {
        if (fresh.count(target) == 0)
        {
            leaving_until_.erase(target);
            returned_until_[target] = now + refusal_lifetime;
        }
    }
    for (const target_id& target : fresh)
    {
        returned_until_.erase(target);
    }
    controller_list_ = fresh;
    return names() != before;
}

bool leaving_targets::merge(const std::vector<leaving_target>& entries, steady_time now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    bool changed = false;
    for (const leaving_target& each : entries)
    {
        const millis remaining = std::min(each.remaining, refusal_lifetime);
        if (remaining >= min_remaining && returned_until_.count(each.name) == 0)
        {
            changed = extend(each.name, now + remaining) || changed;
        }
    }
    return changed;
}

bool leaving_targets::expire(steady_time now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (auto each = returned_until_.begin(); each != returned_until_.end();)
    {
        each = each->second > now ? std::next(each) : returned_until_.erase(each);
    }
    bool changed = false;
    for (auto each = leaving_until_.begin(); each != leaving_until_.end();)
    {
        if (each->second > now)
        {
            ++each;
            continue;
        }
        changed = changed || controller_list_.count(each->first) == 0;
        each = leaving_until_.erase(each);
    }
    return changed;
}

std::vector<target_id> leaving_targets::all() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::set<target_id> unique = names();
    return {unique.begin(), unique.end()};
}

std::vector<leaving_target> leaving_targets::entries_for_peers(steady_time now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<leaving_target> entries;
    for (const auto& [target, until] : leaving_until_)
    {
        if (until - now >= min_remaining && entries.size() < max_entries_for_peers)
        {
            entries.push_back({target, until - now});
        }
    }
    return entries;
}

} // namespace medlar
