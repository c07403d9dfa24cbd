#ifndef MEDLAR_DETAIL_DISPATCH_PIECE_OWNER_HPP
#define MEDLAR_DETAIL_DISPATCH_PIECE_OWNER_HPP

#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/base/ids.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace medlar
{

/// Rate of a network link if none is configured, in Mbit/s
constexpr double default_link_mbps = 1000;

/// @brief Entry host as registered with its peers
struct peer_host
{
    host_id id;
    failure_domain_id domain;
    /// address on which its peers connect
    endpoint link;
    /// CPU quota as a fraction of one core
    double cpu_share = 1;
    /// rate of its network link, in Mbit/s
    double link_mbps = default_link_mbps;
    /// address to which its peers forward requests; port 0 if it accepts none
    endpoint forward = {};
    /// whether what it passes on of the store includes evacuations
    bool mirrors_evacuations = false;
    /// whether it heeds rulings on the refusals of targets, see refusal_tolerance
    bool counts_refusals = false;
};

/// @brief Targets of one pool whose batched calls are built by one host, the owner
struct piece_group
{
    pool_id pool;
    /// failure domain of the targets; empty if the group is the whole pool
    std::string domain;

    friend bool operator<(const piece_group& a, const piece_group& b)
    {
        return a.pool != b.pool ? a.pool < b.pool : a.domain < b.domain;
    }

    friend bool operator==(const piece_group& a, const piece_group& b)
    {
        return a.pool == b.pool && a.domain == b.domain;
    }
};

/// @brief Returns how many targets one owner may serve, limited by the fastest link of
/// the hosts.
std::size_t max_targets_per_group(const std::vector<peer_host>& hosts);

/// @brief Returns the group that executes the pieces of requests of one failure domain.
///
/// One host alone has too few pieces to fill calls, so the pieces of all hosts are
/// collected at the owner of a group. A small pool is one group; a large pool has one
/// group for each failure domain, so that the load of an owner does not grow with the
/// pool.
/// @param request_domain failure domain of the request
/// @param target_domains failure domain of each target of the pool
/// @param max_targets largest pool that is one group, see max_targets_per_group()
/// @param spread selects the domain if the pool has no target in that of the request,
/// each by its number of targets: all requests of an evacuated domain would overload one
piece_group select_group(const pool_id& pool,
                         const failure_domain_id& request_domain,
                         const std::vector<failure_domain_id>& target_domains,
                         std::size_t max_targets,
                         std::uint64_t spread = 0);

/// @brief Returns the hosts in order of preference as owner of a group.
///
/// Hosts with the same list of peers compute the same order. A host is weighted by its
/// CPU share times its link rate: a full call has about 25 kB including the names of its
/// inputs, and the target idles while it is transferred. Hosts with less than a quarter
/// of the largest weight come last.
std::vector<host_id> rank_owners(const piece_group& group,
                                 const std::vector<peer_host>& hosts);

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_PIECE_OWNER_HPP
