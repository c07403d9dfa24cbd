#include <medlar/detail/policy/prefix_affinity.hpp>

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace medlar
{

namespace
{

constexpr std::size_t most_prefixes_per_target = 512;

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
