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

/// @brief Returns the rendezvous hashing score of a target for a prefix, equal on every
/// host.
std::uint64_t rendezvous_score(std::uint64_t prefix_hash, const target_id& target_name);

/// @brief Returns the targets in a prefix's order of preference.
/// @return indexes into @p targets
std::vector<std::size_t> rendezvous_order(std::uint64_t prefix_hash,
                                          const std::vector<target_id>& targets);

/// @brief Returns the first element of rendezvous_order() without sorting.
/// @param targets at least one
std::size_t rendezvous_first(std::uint64_t prefix_hash,
                             const std::vector<target_id>& targets);

/// @brief relative frequency of one prefix
struct prefix_share
{
    std::uint64_t prefix_hash = 0;
    /// share of the pool's calls, 0 to 1
    double share = 0;
};

/// @brief targets that each prefix is assigned to, as indexes, the preferred one first
using prefix_assignment = std::unordered_map<std::uint64_t, std::vector<std::size_t>>;

/// @brief Assigns the most frequent prefixes to targets so that no target is expected to
/// get much more than an equal part of the calls: rendezvous hashing with bounded loads,
/// applied to the expected load. Hosts with the same shares compute the same assignment.
/// @param calls number of calls from which the shares were counted; the fewer, the more
/// load
///     a target may get before a prefix is moved to another one
prefix_assignment assign_prefixes(std::vector<prefix_share> shares,
                                  double calls,
                                  const std::vector<target_id>& targets);

/// @brief Counts calls by prefix with exponential decay.
class prefix_counter
{
  public:
    void count(std::uint64_t prefix_hash);

    /// @brief Returns the number of calls counted since the start.
    std::uint64_t calls() const
    {
        return calls_;
    }

    /// @brief Returns the decayed number of calls.
    double weight() const
    {
        return weight_;
    }

    /// @brief Returns the share of each prefix.
    std::vector<prefix_share> shares() const;

  private:
    void decay();

    std::uint64_t calls_ = 0;
    double weight_ = 0;
    std::unordered_map<std::uint64_t, double> counts_;
};

/// @brief The prefixes that a target is estimated to have cached, bounded by evicting the
/// least recently used. The estimate comes from own calls and from cache events, which
/// arrive late and with gaps.
class cached_prefixes
{
  public:
    /// @brief Records that the target has cached a prefix.
    void add(std::uint64_t prefix_hash);

    /// @brief Records that the target has evicted a prefix.
    void remove(std::uint64_t prefix_hash);

    /// @brief Applies a cache event; a gap in the sequence numbers clears the estimate
    /// first.
    void handle_event(std::uint64_t sequence, bool was_stored, std::uint64_t prefix_hash);

    /// @brief Returns whether the target is estimated to have cached a prefix.
    bool contains(std::uint64_t prefix_hash) const;

  private:
    void clear_all();

    std::uint64_t last_sequence_ = 0;
    std::list<std::uint64_t> newest_first_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_PREFIX_AFFINITY_HPP
