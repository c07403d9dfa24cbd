#ifndef MEDLAR_TEST_STANDINS_PREFIX_CACHE_HPP
#define MEDLAR_TEST_STANDINS_PREFIX_CACHE_HPP

#include <medlar/detail/base/clock.hpp>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <mutex>
#include <string>

namespace standins
{

/// @brief LRU cache of prompt prefixes, bounded in tokens. Its events are published with
/// a delay, and some are left out to simulate gaps.
class prefix_cache
{
  public:
    prefix_cache(std::int64_t capacity, medlar::millis event_delay, int gap_every)
        : capacity_(capacity), event_delay_(event_delay), gap_every_(gap_every)
    {
    }

    /// @brief Looks up a prefix and stores it on a miss.
    /// @return number of its tokens that were cached
    std::int64_t use(const std::string& prefix, std::size_t token_count)
    {
        const auto tokens = static_cast<std::int64_t>(token_count);
        if (tokens == 0 || tokens > capacity_)
        {
            return 0;
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        const std::uint64_t hash = XXH64(prefix.data(), prefix.size(), 0);
        const auto found = std::find_if(entries_.begin(),
                                        entries_.end(),
                                        [hash](const entry& each)
                                        {
                                            return each.hash == hash;
                                        });
        if (found != entries_.end())
        {
            entries_.splice(entries_.begin(), entries_, found);
            return tokens;
        }
        store(hash, tokens);
        return 0;
    }

    /// @brief Returns the published events with a sequence number above @p after.
    nlohmann::json events_after(std::uint64_t after)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const medlar::steady_time published_until = clock_.steady_now() - event_delay_;
        nlohmann::json events = nlohmann::json::array();
        for (const cache_event& each : events_)
        {
            if (each.sequence > after && each.at <= published_until)
            {
                events.push_back({{"sequence", each.sequence},
                                  {"stored", each.stored},
                                  {"prefix_hash", each.hash}});
            }
        }
        return events;
    }

  private:
    static constexpr std::size_t max_events = 1000;

    struct entry
    {
        std::uint64_t hash;
        std::int64_t tokens;
    };

    struct cache_event
    {
        std::uint64_t sequence;
        medlar::steady_time at;
        bool stored;
        std::uint64_t hash;
    };

    void store(std::uint64_t hash, std::int64_t tokens)
    {
        while (!entries_.empty() && used_tokens_ + tokens > capacity_)
        {
            append_event(false, entries_.back().hash);
            used_tokens_ -= entries_.back().tokens;
            entries_.pop_back();
        }
        entries_.push_front({hash, tokens});
        used_tokens_ += tokens;
        append_event(true, hash);
    }

    void append_event(bool stored, std::uint64_t hash)
    {
        ++sequence_;
        if (gap_every_ > 0 && sequence_ % static_cast<std::uint64_t>(gap_every_) == 0)
        {
            return;
        }
        events_.push_back({sequence_, clock_.steady_now(), stored, hash});
        if (events_.size() > max_events)
        {
            events_.pop_front();
        }
    }

    const std::int64_t capacity_;
    const medlar::millis event_delay_;
    const int gap_every_;
    const medlar::clock clock_ = medlar::clock::system();
    std::mutex mutex_;
    std::list<entry> entries_;
    std::int64_t used_tokens_ = 0;
    std::uint64_t sequence_ = 0;
    std::deque<cache_event> events_;
};

} // namespace standins

#endif // MEDLAR_TEST_STANDINS_PREFIX_CACHE_HPP
