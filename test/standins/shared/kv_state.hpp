#ifndef MEDLAR_TEST_STANDINS_KV_STATE_HPP
#define MEDLAR_TEST_STANDINS_KV_STATE_HPP

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace standins
{

using kv_time = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/// @brief one entry of the key-value service
struct kv_entry
{
    std::string value;
    std::uint64_t create_index = 0;
    std::uint64_t modify_index = 0;
    std::uint64_t lock_index = 0;
    std::string session;
};

/// @brief a lease of the key-value service
struct kv_session
{
    milliseconds time_to_live{0};
    milliseconds lock_delay{0};
    kv_time lapses_at;
};

/// @brief entries under a prefix, and the index of their newest change
struct kv_reading
{
    std::uint64_t index = 1;
    std::map<std::string, kv_entry> entries;
};

/// @brief Entries, sessions and indexes of the key-value service, in memory.
/// @note Safe to call from every thread.
class kv_state
{
  public:
    /// @brief Reads the entries whose key is @p key, or starts with it.
    kv_reading read(const std::string& key, bool recurse)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        lapse_sessions();
        return read_locked(key, recurse);
    }

    /// @brief Waits until the reading's index is above @p after, for at most @p wait.
    /// @param given_up asked whenever the service's switches change
    kv_reading wait_and_read(const std::string& key,
                             bool recurse,
                             std::uint64_t after,
                             milliseconds wait,
                             const std::function<bool()>& given_up)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        const kv_time until = std::chrono::steady_clock::now() + wait;
        kv_reading now = read_locked(key, recurse);
        const std::uint64_t restores = restores_;
        while (now.index <= after && std::chrono::steady_clock::now() < until &&
               restores == restores_ && !given_up())
        {
            changed_.wait_until(lock, next_wake(until));
            lapse_sessions();
            now = read_locked(key, recurse);
        }
        return now;
    }

    /// @brief Writes an entry.
    /// @param expected set: only if its index is this; 0: only if there is none
    bool put(const std::string& key,
             const std::string& value,
             std::optional<std::uint64_t> expected)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = data_.entries.find(key);
        const std::uint64_t at =
            found == data_.entries.end() ? 0 : found->second.modify_index;
        if (expected && *expected != at)
        {
            return false;
        }
        write(key).value = value;
        return true;
    }

    /// @brief Removes an entry.
    void remove(const std::string& key)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (data_.entries.erase(key) > 0)
        {
            data_.removed[key] = ++data_.index;
            changed_.notify_all();
        }
    }

    /// @brief Writes and locks an entry for a session.
    /// @return unset if there is no such session
    std::optional<bool>
    acquire(const std::string& key, const std::string& value, const std::string& session)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        lapse_sessions();
        if (data_.sessions.count(session) == 0)
        {
            return std::nullopt;
        }
        const auto found = data_.entries.find(key);
        const std::string holder =
            found == data_.entries.end() ? "" : found->second.session;
        if ((!holder.empty() && holder != session) || delayed(key))
        {
            return false;
        }
        kv_entry& entry = write(key);
        entry.value = value;
        entry.lock_index += holder.empty() ? 1 : 0;
        entry.session = session;
        return true;
    }

    /// @brief Writes and unlocks an entry that the session holds.
    bool
    release(const std::string& key, const std::string& value, const std::string& session)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        lapse_sessions();
        const auto found = data_.entries.find(key);
        if (found == data_.entries.end() || found->second.session != session)
        {
            return false;
        }
        kv_entry& entry = write(key);
        entry.value = value;
        entry.session.clear();
        return true;
    }

    /// @brief Creates a session.
    std::string create_session(milliseconds time_to_live, milliseconds lock_delay)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const std::string id = "session-" + std::to_string(++next_session_);
        data_.sessions[id] = {
            time_to_live, lock_delay, std::chrono::steady_clock::now() + time_to_live};
        return id;
    }

    /// @brief Renews a session.
    /// @return its time to live; unset if it has lapsed
    std::optional<milliseconds> renew_session(const std::string& id)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        lapse_sessions();
        const auto found = data_.sessions.find(id);
        if (found == data_.sessions.end())
        {
            return std::nullopt;
        }
        found->second.lapses_at =
            std::chrono::steady_clock::now() + found->second.time_to_live;
        return found->second.time_to_live;
    }

    /// @brief Ends a session at once, or all if @p id is empty.
    /// @return how many were ended
    int end_sessions(const std::string& id)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        int ended = 0;
        for (const std::string& each : session_names())
        {
            if (id.empty() || each == id)
            {
                end_session(each);
                ++ended;
            }
        }
        return ended;
    }

    /// @brief Whether an entry may not be locked yet after its session has ended.
    bool is_delayed(const std::string& key)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return delayed(key);
    }

    /// @brief Keeps the present state as a snapshot.
    /// @return its number
    std::size_t snapshot()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        snapshots_.push_back(data_);
        return snapshots_.size() - 1;
    }

    /// @brief Goes back to a snapshot.
    /// @return false if there is none of that number
    bool restore(std::size_t number)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (number >= snapshots_.size())
        {
            return false;
        }
        data_ = snapshots_[number];
        ++restores_;
        changed_.notify_all();
        return true;
    }

    /// @brief Wakes all waiting reads.
    void wake()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        changed_.notify_all();
    }

  private:
    struct contents
    {
        std::uint64_t index = 1;
        std::map<std::string, kv_entry> entries;
        std::map<std::string, std::uint64_t> removed;
        std::map<std::string, kv_session> sessions;
        std::map<std::string, kv_time> delayed_until;
    };

    static bool matches(const std::string& key, const std::string& wanted, bool recurse)
    {
        return recurse ? key.compare(0, wanted.size(), wanted) == 0 : key == wanted;
    }

    kv_reading read_locked(const std::string& key, bool recurse) const
    {
        kv_reading reading;
        for (const auto& [name, entry] : data_.entries)
        {
            if (matches(name, key, recurse))
            {
                reading.entries[name] = entry;
                reading.index = std::max(reading.index, entry.modify_index);
            }
        }
        for (const auto& [name, at] : data_.removed)
        {
            reading.index =
                matches(name, key, recurse) ? std::max(reading.index, at) : reading.index;
        }
        return reading;
    }

    kv_entry& write(const std::string& key)
    {
        kv_entry& entry = data_.entries[key];
        entry.modify_index = ++data_.index;
        entry.create_index =
            entry.create_index == 0 ? entry.modify_index : entry.create_index;
        changed_.notify_all();
        return entry;
    }

    bool delayed(const std::string& key) const
    {
        const auto found = data_.delayed_until.find(key);
        return found != data_.delayed_until.end() &&
               std::chrono::steady_clock::now() < found->second;
    }

    std::vector<std::string> session_names() const
    {
        std::vector<std::string> names;
        for (const auto& [name, session] : data_.sessions)
        {
            names.push_back(name);
        }
        return names;
    }

    void lapse_sessions()
    {
        const kv_time now = std::chrono::steady_clock::now();
        for (const std::string& each : session_names())
        {
            if (data_.sessions[each].lapses_at <= now)
            {
                end_session(each);
            }
        }
    }

    void end_session(const std::string& id)
    {
        const milliseconds delay = data_.sessions[id].lock_delay;
        for (auto& [key, entry] : data_.entries)
        {
            if (entry.session == id)
            {
                write(key).session.clear();
                data_.delayed_until[key] = std::chrono::steady_clock::now() + delay;
            }
        }
        data_.sessions.erase(id);
    }

    kv_time next_wake(kv_time until) const
    {
        for (const auto& [name, session] : data_.sessions)
        {
            until = std::min(until, session.lapses_at);
        }
        return until;
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    contents data_;
    std::vector<contents> snapshots_;
    std::uint64_t next_session_ = 0;
    // ends the waits that began before a restore
    std::uint64_t restores_ = 0;
};

} // namespace standins

#endif // MEDLAR_TEST_STANDINS_KV_STATE_HPP
