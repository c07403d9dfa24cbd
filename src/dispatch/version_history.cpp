#include <medlar/detail/dispatch/version_history.hpp>

#include <algorithm>

namespace medlar
{

bool version_history::record_target(const stream_origin& origin, steady_time now)
{
    const auto [found, is_new] = versions_.try_emplace(origin);
    const bool was_recent = !is_new && is_recent(found->second, now);
    found->second.seen_at = now;
    return !was_recent;
}

bool version_history::record_stored(const stream_origin& origin, steady_time now)
{
    const auto [found, is_new] = versions_.try_emplace(origin);
    if (is_new)
    {
        found->second.seen_at = now;
    }
    found->second.is_stored = true;
    return is_new;
}

void version_history::record_removed(const stream_origin& origin)
{
    const auto found = versions_.find(origin);
    if (found != versions_.end())
    {
        found->second.is_stored = false;
    }
}

std::set<stream_origin> version_history::origins_in(const std::vector<pool_id>& pools,
                                                    steady_time now) const
{
    std::set<stream_origin> found;
    for (const auto& [origin, known] : versions_)
    {
        const bool is_asked =
            std::find(pools.begin(), pools.end(), origin.pool) != pools.end();
        if (is_asked && (known.is_stored || is_recent(known, now)))
        {
            found.insert(origin);
        }
    }
    return found;
}

bool version_history::is_mixed(const pool_id& pool, steady_time now) const
{
    return origins_in({pool}, now).size() > 1;
}

std::vector<stream_origin> version_history::unstored(steady_time now) const
{
    std::vector<stream_origin> found;
    for (const auto& [origin, known] : versions_)
    {
        if (!known.is_stored && is_recent(known, now))
        {
            found.push_back(origin);
        }
    }
    return found;
}

std::vector<stream_origin> version_history::outlived(steady_time now) const
{
    std::vector<stream_origin> found;
    for (const auto& [origin, known] : versions_)
    {
        if (known.is_stored && !is_recent(known, now))
        {
            found.push_back(origin);
        }
    }
    return found;
}

} // namespace medlar
