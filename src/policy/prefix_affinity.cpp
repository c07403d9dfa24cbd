#include <medlar/detail/policy/prefix_affinity.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>

namespace medlar
{

namespace
{

constexpr std::size_t max_cached_prefixes = 512;
constexpr std::uint64_t calls_between_decays = 256;
constexpr double decay_factor = 0.5;
constexpr double min_count = 0.2;
/// maximum load of a target relative to an equal share of the calls
constexpr double max_load_factor = 1.25;
/// divided by the square root of the calls counted and added to that factor, as the
/// shares of few calls are uncertain
constexpr double load_factor_uncertainty = 3;
constexpr std::size_t max_assigned_prefixes = 64;

bool has_greater_share(const prefix_share& a, const prefix_share& b)
{
    return a.share != b.share ? a.share > b.share : a.prefix_hash < b.prefix_hash;
}

/// @brief Assigns one prefix and adds its share to the load of its targets.
/// @param max_load maximum load of a target
std::vector<std::size_t> assign_prefix(const prefix_share& prefix,
                                       const std::vector<target_id>& targets,
                                       double max_load,
                                       std::vector<double>& load)
{
    std::vector<std::size_t> chosen;
    double remaining = prefix.share;
    const std::vector<std::size_t> order = rendezvous_order(prefix.prefix_hash, targets);
    for (const std::size_t i : order)
    {
        const double free_load = max_load - load[i];
        // only a prefix whose share exceeds the limit of one target is split
        const bool may_split = prefix.share > max_load && free_load > 0;
        if (free_load < remaining && !may_split)
        {
            continue;
        }
        const double part = std::min(free_load, remaining);
        load[i] += part;
        remaining -= part;
        chosen.push_back(i);
        if (remaining <= 0)
        {
            return chosen;
        }
    }
    if (chosen.empty())
    {
        chosen.push_back(order.front());
        load[order.front()] += remaining;
    }
    return chosen;
}

} // namespace

std::uint64_t rendezvous_score(std::uint64_t prefix_hash, const target_id& target_name)
{
    return XXH64(target_name.get().data(), target_name.get().size(), prefix_hash);
}

std::vector<std::size_t> rendezvous_order(std::uint64_t prefix_hash,
                                          const std::vector<target_id>& targets)
{
    std::vector<std::uint64_t> scores;
    scores.reserve(targets.size());
    for (const target_id& each : targets)
    {
        scores.push_back(rendezvous_score(prefix_hash, each));
    }
    std::vector<std::size_t> order(targets.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(),
              order.end(),
              [&scores](std::size_t a, std::size_t b)
              {
                  return scores[a] > scores[b];
              });
    return order;
}

prefix_assignment assign_prefixes(std::vector<prefix_share> shares,
                                  double calls,
                                  const std::vector<target_id>& targets)
{
    prefix_assignment assignment;
    if (targets.empty())
    {
        return assignment;
    }
    std::sort(shares.begin(), shares.end(), has_greater_share);
    shares.resize(std::min(shares.size(), max_assigned_prefixes));
    const double load_factor =
        max_load_factor + load_factor_uncertainty / std::sqrt(std::max(1.0, calls));
    const double max_load = load_factor / static_cast<double>(targets.size());
    std::vector<double> load(targets.size(), 0);
    for (const prefix_share& each : shares)
    {
        assignment[each.prefix_hash] = assign_prefix(each, targets, max_load, load);
    }
    return assignment;
}

void prefix_counter::count(std::uint64_t prefix_hash)
{
    ++calls_;
    counts_[prefix_hash] += 1;
    weight_ += 1;
    if (calls_ % calls_between_decays == 0)
    {
        decay();
    }
}

void prefix_counter::decay()
{
    weight_ = 0;
    for (auto each = counts_.begin(); each != counts_.end();)
    {
        each->second *= decay_factor;
        weight_ += each->second;
        each = each->second < min_count ? counts_.erase(each) : std::next(each);
    }
}

std::vector<prefix_share> prefix_counter::shares() const
{
    std::vector<prefix_share> all;
    for (const auto& [prefix_hash, count] : counts_)
    {
        all.push_back({prefix_hash, count / std::max(1.0, weight_)});
    }
    return all;
}

std::size_t rendezvous_first(std::uint64_t prefix_hash,
                             const std::vector<target_id>& targets)
{
    std::size_t best = 0;
    std::uint64_t best_score = 0;
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        const std::uint64_t score = rendezvous_score(prefix_hash, targets[i]);
        if (score >= best_score)
        {
            best = i;
            best_score = score;
        }
    }
    return best;
}

void cached_prefixes::add(std::uint64_t prefix_hash)
{
    remove(prefix_hash);
    newest_first_.push_front(prefix_hash);
    positions_[prefix_hash] = newest_first_.begin();
    if (newest_first_.size() > max_cached_prefixes)
    {
        positions_.erase(newest_first_.back());
        newest_first_.pop_back();
    }
}

void cached_prefixes::remove(std::uint64_t prefix_hash)
{
    const auto position = positions_.find(prefix_hash);
    if (position != positions_.end())
    {
        newest_first_.erase(position->second);
        positions_.erase(position);
    }
}

void cached_prefixes::handle_event(std::uint64_t sequence,
                                   bool was_stored,
                                   std::uint64_t prefix_hash)
{
    if (sequence <= last_sequence_ && last_sequence_ != 0)
    {
        return;
    }
    if (last_sequence_ != 0 && sequence != last_sequence_ + 1)
    {
        clear_all();
    }
    last_sequence_ = sequence;
    if (was_stored)
    {
        add(prefix_hash);
    }
    else
    {
        remove(prefix_hash);
    }
}

bool cached_prefixes::contains(std::uint64_t prefix_hash) const
{
    return positions_.count(prefix_hash) != 0;
}

void cached_prefixes::clear_all()
{
    newest_first_.clear();
    positions_.clear();
}

} // namespace medlar
