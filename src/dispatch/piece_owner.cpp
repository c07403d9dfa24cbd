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

// targets that one owner serves: at 300 ms a call, some 100 calls a second
constexpr double most_group_targets = 32;
constexpr double least_group_targets = 8;

// 3.7 calls a second of 25 kB and their answers of 6 kB; half of the link is for the
// host's own requests
constexpr double link_mbps_a_target = 1.8;

// owners have at least this part of what the largest host can carry
constexpr double least_part_of_most = 0.25;

// limits that a host does not know or states as 0 do not keep it from owning groups
constexpr double least_share = 0.01;
constexpr double least_link_mbps = 1;

/// what a host can carry as an owner
double weight_of(const peer_host& host)
{
    return std::max(least_share, host.share) * std::max(least_link_mbps, host.link_mbps);
}

/// weighted rendezvous hashing: the score of a host is -weight / ln(u), u in (0, 1)
double weighted_score(std::uint64_t group_hash, const peer_host& host)
{
    constexpr double two_to_64 = 18446744073709551616.0;
    const std::uint64_t score = rendezvous_score(group_hash, target_id(host.id.get()));
    const double uniform = (static_cast<double>(score) + 0.5) / two_to_64;
    return -weight_of(host) / std::log(uniform);
}

} // namespace

std::size_t targets_of_a_group(const std::vector<peer_host>& hosts)
{
    double fastest = 0;
    for (const peer_host& each : hosts)
    {
        fastest = std::max(fastest, each.link_mbps);
    }
    return static_cast<std::size_t>(std::clamp(
        fastest / link_mbps_a_target, least_group_targets, most_group_targets));
}

piece_group group_for(const pool_id& pool,
                      const failure_domain_id& wanted,
                      const std::vector<failure_domain_id>& domains,
                      std::size_t most_targets)
{
    if (domains.size() <= most_targets)
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
    double most = 0;
    for (const peer_host& each : hosts)
    {
        most = std::max(most, weight_of(each));
    }
    // small hosts come after all others: one of them would hold up a whole pool
    std::vector<std::tuple<bool, double, host_id>> scored;
    for (const peer_host& each : hosts)
    {
        const bool is_small = weight_of(each) < most * least_part_of_most;
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
