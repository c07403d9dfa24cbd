#include <medlar/detail/dispatch/resumable_pools.hpp>

#include <algorithm>

namespace medlar
{

void resumable_pools::update(const configuration_ptr& configuration)
{
    if (configuration_ == configuration)
    {
        return;
    }
    configuration_ = configuration;
    sharing_.clear();
    longest_timeout_ = millis(0);
    if (!configuration)
    {
        return;
    }
    for (const route& each : configuration->routes)
    {
        if (each.kind != route_kind::stream || !each.may_retry())
        {
            continue;
        }
        longest_timeout_ = std::max(longest_timeout_, each.timeout);
        for (const weighted_pool& one : each.pools)
        {
            for (const weighted_pool& other : each.pools)
            {
                sharing_[one.pool].insert(other.pool);
            }
        }
    }
}

std::set<pool_id> resumable_pools::all() const
{
    std::set<pool_id> pools;
    for (const auto& each : sharing_)
    {
        pools.insert(each.first);
    }
    return pools;
}

std::vector<pool_id> resumable_pools::sharing_routes_with(const pool_id& pool) const
{
    const auto found = sharing_.find(pool);
    return found == sharing_.end()
               ? std::vector<pool_id>{pool}
               : std::vector<pool_id>(found->second.begin(), found->second.end());
}

} // namespace medlar
