#include <medlar/detail/membership/leaving_targets.hpp>

#include <algorithm>
#include <iterator>

namespace medlar
{

namespace
{

/// how long a refusal keeps new work from a target
constexpr millis refusal_lasts{30000};
/// entries of a peer that hold on for less are not worth telling
constexpr millis least_told{1000};
constexpr std::size_t max_told = 64;

} // namespace

std::set<target_id> leaving_targets::names() const
{
    std::set<target_id> names = listed_;
    for (const auto& [target, until] : seen_until_)
    {
        names.insert(target);
    }
    return names;
}

bool leaving_targets::extend(const target_id& target, steady_time until)
{
    const auto [entry, inserted] = seen_until_.emplace(target, until);
    entry->second = std::max(entry->second, until);
    return inserted && listed_.count(target) == 0;
}

bool leaving_targets::observe(const target_id& target, steady_time now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    back_until_.erase(target);
    return extend(target, now + refusal_lasts);
}

bool leaving_targets::set_listed(const std::vector<target_id>& listed, steady_time now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::set<target_id> before = names();
    const std::set<target_id> fresh(listed.begin(), listed.end());
    for (const target_id& target : listed_)
    {
        if (fresh.count(target) == 0)
        {
            seen_until_.erase(target);
            back_until_[target] = now + refusal_lasts;
        }
    }
    for (const target_id& target : fresh)
    {
        back_until_.erase(target);
    }
    listed_ = fresh;
    return names() != before;
}

bool leaving_targets::merge(const std::vector<leaving_target>& told, steady_time now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    bool changed = false;
    for (const leaving_target& each : told)
    {
        const millis left = std::min(each.left, refusal_lasts);
        if (left >= least_told && back_until_.count(each.name) == 0)
        {
            changed = extend(each.name, now + left) || changed;
        }
    }
    return changed;
}

bool leaving_targets::expire(steady_time now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (auto each = back_until_.begin(); each != back_until_.end();)
    {
        each = each->second > now ? std::next(each) : back_until_.erase(each);
    }
    bool changed = false;
    for (auto each = seen_until_.begin(); each != seen_until_.end();)
    {
        if (each->second > now)
        {
            ++each;
            continue;
        }
        changed = changed || listed_.count(each->first) == 0;
        each = seen_until_.erase(each);
    }
    return changed;
}

std::vector<target_id> leaving_targets::all() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::set<target_id> unique = names();
    return {unique.begin(), unique.end()};
}

std::vector<leaving_target> leaving_targets::to_tell(steady_time now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<leaving_target> told;
    for (const auto& [target, until] : seen_until_)
    {
        if (until - now >= least_told && told.size() < max_told)
        {
            told.push_back({target, until - now});
        }
    }
    return told;
}

} // namespace medlar
