#ifndef MEDLAR_DETAIL_DISPATCH_PIECE_OWNER_HPP
#define MEDLAR_DETAIL_DISPATCH_PIECE_OWNER_HPP

#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/base/ids.hpp>

#include <string>
#include <vector>

namespace medlar
{

/// Mbit/s of a link of which nothing is said
constexpr double default_link_mbps = 1000;

/// @brief an entry host as its peers see it
struct peer_host
{
    host_id id;
    failure_domain_id domain;
    endpoint link;
    /// part of a core that it may use
    double share = 1;
    /// what its network link carries, in Mbit/s
    double link_mbps = default_link_mbps;
};

/// @brief the targets of one pool whose calls one host makes up
struct piece_group
{
    pool_id pool;
    /// unset where the group is the whole pool
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

/// @brief How many targets one owner may serve, by the fastest link of the hosts.
std::size_t targets_of_a_group(const std::vector<peer_host>& hosts);

/// @brief The group that makes pieces for requests of one failure domain.
///
/// Load: a host sees too few pieces to fill calls, so those of all hosts meet at the
/// owner of a group. Small pools are one group; large ones have a group for each failure
/// domain, so that no owner's work grows with the pool.
/// @param domains the failure domain of each target of the pool
/// @param most_targets see targets_of_a_group()
piece_group group_for(const pool_id& pool,
                      const failure_domain_id& wanted,
                      const std::vector<failure_domain_id>& domains,
                      std::size_t most_targets);

/// @brief The hosts in the order in which they own a group; all hosts that know the same
/// peers agree. A host owns groups by its share of a core times its link's rate: a full
/// call is some 25 kB with its inputs' names, and a target idles while it is on its way.
/// Hosts with less than a quarter of the largest own groups only where no other is left.
std::vector<host_id> owners_of(const piece_group& group,
                               const std::vector<peer_host>& hosts);

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_PIECE_OWNER_HPP
