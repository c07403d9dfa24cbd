#include <medlar/detail/dispatch/piece_owner.hpp>
#include <medlar/detail/policy/prefix_affinity.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace medlar
{

namespace
{

// targets that one owner serves: about 100 calls per second at 300 ms per call
constexpr double max_group_targets = 32;
constexpr double min_group_targets = 8;

// 3.7 calls per second of 25 kB with responses of 6 kB; half of the link is left for the
// requests of the host itself
constexpr double link_mbps_per_target = 1.8;

// hosts below this fraction of the largest weight are owners only as a last resort
constexpr double min_weight_fraction = 0.25;

// floors, so that a host that reports 0 or does not know its limits can own groups
constexpr double min_cpu_share = 0.01;
constexpr double min_link_mbps = 1;

/// weight of a host as an owner
double weight_of(const peer_host& host)
{
    return std::max(min_cpu_share, host.cpu_share) *
           std::max(min_link_mbps, host.link_mbps);
}

/// score in weighted rendezvous hashing: -weight / ln(u), u in (0, 1)
double weighted_score(std::uint64_t group_hash, const peer_host& host)
{
    constexpr double two_to_64 = 18446744073709551616.0;
    const std::uint64_t score = rendezvous_score(group_hash, target_id(host.id.get()));
    const double uniform = (static_cast<double>(score) + 0.5) / two_to_64;
    return -weight_of(host) / std::log(uniform);
}

} // namespace

std::size_t max_targets_per_group(const std::vector<peer_host>& hosts)
{
    double max_link_mbps = 0;
    for (const peer_host& each : hosts)
    {
        max_link_mbps = std::max(max_link_mbps, each.link_mbps);
    }
    return static_cast<std::size_t>(std::clamp(
        max_link_mbps / link_mbps_per_target, min_group_targets, max_group_targets));
}

piece_group select_group(const pool_id& pool,
                         const failure_domain_id& request_domain,
                         const std::vector<failure_domain_id>& target_domains,
                         std::size_t max_targets,
                         std::uint64_t spread)
{
    if (target_domains.size() <= max_targets)
    {
        return {pool, {}};
    }
    if (std::find(target_domains.begin(), target_domains.end(), request_domain) !=
        target_domains.end())
    {
        return {pool, request_domain.get()};
    }
    std::vector<failure_domain_id> ordered = target_domains;
    const auto chosen =
        ordered.begin() + static_cast<std::ptrdiff_t>(spread % ordered.size());
    std::nth_element(ordered.begin(), chosen, ordered.end());
    return {pool, chosen->get()};
}

std::vector<host_id> rank_owners(const piece_group& group,
                                 const std::vector<peer_host>& hosts)
{
    const std::string name = group.pool.get() + "/" + group.domain;
    const std::uint64_t hash = XXH3_64bits(name.data(), name.size());
    double max_weight = 0;
    for (const peer_host& each : hosts)
    {
        max_weight = std::max(max_weight, weight_of(each));
    }
    // small hosts come after all others, since one of them would slow down a whole pool
    std::vector<std::tuple<bool, double, host_id>> scored;
    for (const peer_host& each : hosts)
    {
        const bool is_small = weight_of(each) < max_weight * min_weight_fraction;
        scored.emplace_back(is_small, -weighted_score(hash, each), each.id);
    }
    std::sort(scored.begin(), scored.end());
    std::vector<host_id> ordered;
    for (auto& each : scored)
    {
        ordered.push_back(std::move(std::get<host_id>(each)));
    }
    return ordered;
}

} // namespace medlar
