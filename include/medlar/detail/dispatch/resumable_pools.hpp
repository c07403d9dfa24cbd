#ifndef MEDLAR_DETAIL_DISPATCH_RESUMABLE_POOLS_HPP
#define MEDLAR_DETAIL_DISPATCH_RESUMABLE_POOLS_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/entry/serving_configuration.hpp>

#include <map>
#include <set>
#include <vector>

namespace medlar
{

/// @brief The pools at which streams begin that callers may take up again.
///
/// Whoever takes a stream up asks at which of its route's pools it began. So what is kept
/// of a stream depends on all pools that share a route with its own.
class resumable_pools
{
  public:
    /// @brief Reads the pools of the resumable routes of a configuration.
    /// @param configuration may be null, which has none
    void update(const configuration_ptr& configuration);

    bool contains(const pool_id& pool) const
    {
        return sharing_.count(pool) > 0;
    }

    std::set<pool_id> all() const;

    /// @brief Returns a pool and all that share a resumable route with it.
    /// @return the pool alone if it has no such route
    std::vector<pool_id> sharing_routes_with(const pool_id& pool) const;

    /// @brief Returns the longest timeout of the routes.
    millis longest_timeout() const
    {
        return longest_timeout_;
    }

  private:
    configuration_ptr configuration_;
    std::map<pool_id, std::set<pool_id>> sharing_;
    millis longest_timeout_{0};
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_RESUMABLE_POOLS_HPP
