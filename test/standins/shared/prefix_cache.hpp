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

/// @brief Cache of prompt prefixes in limited memory, least recently used out first,
/// with events that are published late and with gaps.
class prefix_cache
{
  public:
    prefix_cache(std::int64_t capacity, medlar::millis event_delay, int gap_every)
        : capacity_(capacity), event_delay_(event_delay), gap_every_(gap_every)
    {
    }

    /// @brief Looks a prefix up and keeps it.
    /// @return tokens of it that were cached
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

    /// @brief the published events after a sequence number
    nlohmann::json events_after(std::uint64_t after)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const medlar::steady_time shown = time_.steady_now() - event_delay_;
        nlohmann::json found = nlohmann::json::array();
        for (const change& each : changes_)
        {
            if (each.sequence > after && each.at <= shown)
            {
                found.push_back({{"sequence", each.sequence},
                                 {"stored", each.stored},
                                 {"prefix_hash", each.hash}});
            }
        }
        return found;
    }

  private:
    static constexpr std::size_t max_changes = 1000;

    struct entry
    {
        std::uint64_t hash;
        std::int64_t tokens;
    };

    struct change
    {
        std::uint64_t sequence;
        medlar::steady_time at;
        bool stored;
        std::uint64_t hash;
    };

    void store(std::uint64_t hash, std::int64_t tokens)
    {
        while (!entries_.empty() && used_ + tokens > capacity_)
        {
            publish(false, entries_.back().hash);
            used_ -= entries_.back().tokens;
            entries_.pop_back();
        }
        entries_.push_front({hash, tokens});
        used_ += tokens;
        publish(true, hash);
    }

    void publish(bool stored, std::uint64_t hash)
    {
        ++sequence_;
        if (gap_every_ > 0 && sequence_ % static_cast<std::uint64_t>(gap_every_) == 0)
        {
            return;
        }
        changes_.push_back({sequence_, time_.steady_now(), stored, hash});
        if (changes_.size() > max_changes)
        {
            changes_.pop_front();
        }
    }

    const std::int64_t capacity_;
    const medlar::millis event_delay_;
    const int gap_every_;
    const medlar::clock time_ = medlar::clock::system();
    std::mutex mutex_;
    std::list<entry> entries_;
    std::int64_t used_ = 0;
    std::uint64_t sequence_ = 0;
    std::deque<change> changes_;
};

} // namespace standins

#endif // MEDLAR_TEST_STANDINS_PREFIX_CACHE_HPP
