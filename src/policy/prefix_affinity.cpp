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

constexpr std::size_t most_prefixes_per_target = 512;
constexpr std::uint64_t calls_between_agings = 256;
constexpr double aging_factor = 0.5;
constexpr double least_count = 0.2;
/// how much more than its equal part of the calls a target is given
constexpr double load_bound = 1.25;
/// added to the bound while few calls were counted, as shares are then uncertain
constexpr double load_bound_uncertainty = 3;
constexpr std::size_t most_prefixes_assigned = 64;

bool has_greater_share(const prefix_share& a, const prefix_share& b)
{
    return a.share != b.share ? a.share > b.share : a.prefix_hash < b.prefix_hash;
}

/// @brief Assigns one prefix and adds its share to the load of its targets.
/// @param most greatest load of a target
std::vector<std::size_t> assign_prefix(const prefix_share& prefix,
                                       const std::vector<target_id>& targets,
                                       double most,
                                       std::vector<double>& load)
{
    std::vector<std::size_t> chosen;
    double left = prefix.share;
    const std::vector<std::size_t> order = rendezvous_order(prefix.prefix_hash, targets);
    for (const std::size_t i : order)
    {
        const double room = most - load[i];
        // a prefix is split only if it is too much for one target
        const bool splits = prefix.share > most && room > 0;
        if (room < left && !splits)
        {
            continue;
        }
        const double given = std::min(room, left);
        load[i] += given;
        left -= given;
        chosen.push_back(i);
        if (left <= 0)
        {
            return chosen;
        }
    }
    if (chosen.empty())
    {
        chosen.push_back(order.front());
        load[order.front()] += left;
    }
    return chosen;
}

} // namespace

std::uint64_t rendezvous_score(std::uint64_t prefix_hash, const target_id& at)
{
    return XXH64(at.get().data(), at.get().size(), prefix_hash);
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

prefix_places assign_prefixes(std::vector<prefix_share> shares,
                              double calls,
                              const std::vector<target_id>& targets)
{
    prefix_places places;
    if (targets.empty())
    {
        return places;
    }
    std::sort(shares.begin(), shares.end(), has_greater_share);
    shares.resize(std::min(shares.size(), most_prefixes_assigned));
    const double bound =
        load_bound + load_bound_uncertainty / std::sqrt(std::max(1.0, calls));
    const double most = bound / static_cast<double>(targets.size());
    std::vector<double> load(targets.size(), 0);
    for (const prefix_share& each : shares)
    {
        places[each.prefix_hash] = assign_prefix(each, targets, most, load);
    }
    return places;
}

void prefix_counter::count(std::uint64_t prefix_hash)
{
    ++calls_;
    counts_[prefix_hash] += 1;
    weight_ += 1;
    if (calls_ % calls_between_agings == 0)
    {
        age();
    }
}

void prefix_counter::age()
{
    weight_ = 0;
    for (auto each = counts_.begin(); each != counts_.end();)
    {
        each->second *= aging_factor;
        weight_ += each->second;
        each = each->second < least_count ? counts_.erase(each) : std::next(each);
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

void prefix_belief::stored(std::uint64_t prefix_hash)
{
    dropped(prefix_hash);
    newest_first_.push_front(prefix_hash);
    places_[prefix_hash] = newest_first_.begin();
    if (newest_first_.size() > most_prefixes_per_target)
    {
        places_.erase(newest_first_.back());
        newest_first_.pop_back();
    }
}

void prefix_belief::dropped(std::uint64_t prefix_hash)
{
    const auto place = places_.find(prefix_hash);
    if (place != places_.end())
    {
        newest_first_.erase(place->second);
        places_.erase(place);
    }
}

void prefix_belief::take_event(std::uint64_t sequence,
                               bool was_stored,
                               std::uint64_t prefix_hash)
{
    if (sequence <= last_sequence_ && last_sequence_ != 0)
    {
        return;
    }
    if (last_sequence_ != 0 && sequence != last_sequence_ + 1)
    {
        forget_all();
    }
    last_sequence_ = sequence;
    if (was_stored)
    {
        stored(prefix_hash);
    }
    else
    {
        dropped(prefix_hash);
    }
}

bool prefix_belief::holds(std::uint64_t prefix_hash) const
{
    return places_.count(prefix_hash) != 0;
}

void prefix_belief::forget_all()
{
    newest_first_.clear();
    places_.clear();
}

} // namespace medlar
