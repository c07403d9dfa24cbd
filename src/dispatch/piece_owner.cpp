#include <medlar/detail/dispatch/piece_owner.hpp>
#include <medlar/detail/policy/prefix_affinity.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace medlar
{

namespace
{

// targets that one owner serves: at 300 ms a call, some 30 calls a second
constexpr std::size_t max_group_targets = 32;

// limits that a host does not know or states as 0 do not keep it from owning groups
constexpr double least_share = 0.01;
constexpr double least_link_mbps = 1;

/// weighted rendezvous hashing: the score of a host is -weight / ln(u), u in (0, 1)
double weighted_score(std::uint64_t group_hash, const peer_host& host)
{
    constexpr double two_to_64 = 18446744073709551616.0;
    const std::uint64_t score = rendezvous_score(group_hash, target_id(host.id.get()));
    const double uniform = (static_cast<double>(score) + 0.5) / two_to_64;
    const double weight =
        std::max(least_share, host.share) * std::max(least_link_mbps, host.link_mbps);
    return -weight / std::log(uniform);
}

} // namespace

piece_group group_for(const pool_id& pool,
                      const failure_domain_id& wanted,
                      const std::vector<failure_domain_id>& domains)
{
    if (domains.size() <= max_group_targets)
    {
        return {pool, {}};
    }
    if (std::find(domains.begin(), domains.end(), wanted) != domains.end())
    {
        return {pool, wanted.get()};
    }
    return {pool, std::min_element(domains.begin(), domains.end())->get()};
}

std::vector<host_id> owners_of(const piece_group& group,
                               const std::vector<peer_host>& hosts)
{
    const std::string name = group.pool.get() + "/" + group.domain;
    const std::uint64_t hash = XXH3_64bits(name.data(), name.size());
    std::vector<std::pair<double, host_id>> scored;
    for (const peer_host& each : hosts)
    {
        scored.emplace_back(-weighted_score(hash, each), each.id);
    }
    std::sort(scored.begin(), scored.end());
    std::vector<host_id> ordered;
    for (auto& each : scored)
    {
        ordered.push_back(std::move(each.second));
    }
    return ordered;
}

} // namespace medlar
