#ifndef MEDLAR_DETAIL_POLICY_PREFIX_AFFINITY_HPP
#define MEDLAR_DETAIL_POLICY_PREFIX_AFFINITY_HPP

#include <medlar/detail/base/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace medlar
{

/// @brief the rendezvous score of a target for a prefix, equal on every host
std::uint64_t rendezvous_score(std::uint64_t prefix_hash, const target_id& at);

/// @brief the targets in the order in which a prefix prefers them
/// @return indexes into @p targets
std::vector<std::size_t> rendezvous_order(std::uint64_t prefix_hash,
                                          const std::vector<target_id>& targets);

/// @brief the first of rendezvous_order()
/// @param targets at least one
std::size_t rendezvous_first(std::uint64_t prefix_hash,
                             const std::vector<target_id>& targets);

/// @brief how often one prefix is asked for
struct prefix_share
{
    std::uint64_t prefix_hash = 0;
    /// share of the pool's calls, 0 to 1
    double share = 0;
};

/// @brief targets that keep a prefix, as indexes, the preferred one first
using prefix_assignment = std::unordered_map<std::uint64_t, std::vector<std::size_t>>;

/// @brief Assigns prefixes to targets so that no target is expected to get much more
/// than its part of the calls: rendezvous hashing with bounded loads, where the load is
/// the expected one. Hosts that see the same shares assign alike.
/// Only the prefixes with the greatest shares are assigned.
/// @param calls calls from which the shares were counted; the fewer, the more load is
///     allowed before a prefix is moved
prefix_assignment assign_prefixes(std::vector<prefix_share> shares,
                                  double calls,
                                  const std::vector<target_id>& targets);

/// @brief Counts how often each prefix is asked for, older calls weighing less.
class prefix_counter
{
  public:
    /// @brief Counts one call.
    void count(std::uint64_t prefix_hash);

    /// @brief calls counted since the start
    std::uint64_t calls() const
    {
        return calls_;
    }

    /// @brief calls counted, older ones weighing less
    double weight() const
    {
        return weight_;
    }

    /// @brief the share of each prefix
    std::vector<prefix_share> shares() const;

  private:
    void age();

    std::uint64_t calls_ = 0;
    double weight_ = 0;
    std::unordered_map<std::uint64_t, double> counts_;
};

/// @brief The prefixes that a target is believed to hold, the least recently seen
/// forgotten first. Beliefs come from own calls and from cache events, which are late
/// and have gaps.
class cached_prefixes
{
  public:
    /// @brief Notes that the target holds a prefix.
    void add(std::uint64_t prefix_hash);

    /// @brief Notes that the target dropped a prefix.
    void remove(std::uint64_t prefix_hash);

    /// @brief Takes a cache event; a gap in the sequence forgets what was believed.
    void handle_event(std::uint64_t sequence, bool was_stored, std::uint64_t prefix_hash);

    /// @brief whether the target is believed to hold a prefix
    bool contains(std::uint64_t prefix_hash) const;

  private:
    void clear_all();

    std::uint64_t last_sequence_ = 0;
    std::list<std::uint64_t> newest_first_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_PREFIX_AFFINITY_HPP
