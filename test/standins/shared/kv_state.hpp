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

/// @brief An entry of the key-value service.
struct kv_entry
{
    std::string value;
    std::uint64_t create_index = 0;
    std::uint64_t modify_index = 0;
    std::uint64_t lock_index = 0;
    std::string session;
};

/// @brief A session of the key-value service.
struct kv_session
{
    milliseconds time_to_live{0};
    milliseconds lock_delay{0};
    kv_time expires_at;
};

/// @brief Result of a read: the matching entries and the index of their newest change.
struct kv_reading
{
    std::uint64_t index = 1;
    std::map<std::string, kv_entry> entries;
};

/// @brief Entries, sessions and indexes of the key-value service, in memory.
/// @note Thread-safe.
class kv_state
{
  public:
    /// @brief Returns the entry @p key, or with @p recurse all entries whose keys start
    /// with it.
    kv_reading read(const std::string& key, bool recurse)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        expire_sessions();
        return read_locked(key, recurse);
    }

    /// @brief Waits until the index of the read is above @p after, for at most @p wait. A
    /// restore() ends the wait as well.
    /// @param cancelled ends the wait if true; checked at every wake-up, also by wake()
    kv_reading wait_and_read(const std::string& key,
                             bool recurse,
                             std::uint64_t after,
                             milliseconds wait,
                             const std::function<bool()>& cancelled)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        const kv_time until = std::chrono::steady_clock::now() + wait;
        kv_reading reading = read_locked(key, recurse);
        const std::uint64_t restores = restore_count_;
        while (reading.index <= after && std::chrono::steady_clock::now() < until &&
               restores == restore_count_ && !cancelled())
        {
            changed_.wait_until(lock, next_wakeup(until));
            expire_sessions();
            reading = read_locked(key, recurse);
        }
        return reading;
    }

    /// @brief Writes an entry.
    /// @param expected if set, writes only if the modify index of the entry equals it; 0:
    /// only if there is no entry
    /// @return whether the entry was written
    bool put(const std::string& key,
             const std::string& value,
             std::optional<std::uint64_t> expected)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = data_.entries.find(key);
        const std::uint64_t current_index =
            found == data_.entries.end() ? 0 : found->second.modify_index;
        if (expected && *expected != current_index)
        {
            return false;
        }
        write(key).value = value;
        return true;
    }

    void remove(const std::string& key)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (data_.entries.erase(key) > 0)
        {
            data_.removed[key] = ++data_.index;
            changed_.notify_all();
        }
    }

    /// @brief Writes an entry and locks it for a session.
    /// @return whether the lock was acquired; unset if there is no such session
    std::optional<bool>
    acquire(const std::string& key, const std::string& value, const std::string& session)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        expire_sessions();
        if (data_.sessions.count(session) == 0)
        {
            return std::nullopt;
        }
        const auto found = data_.entries.find(key);
        const std::string holder =
            found == data_.entries.end() ? "" : found->second.session;
        if ((!holder.empty() && holder != session) || has_lock_delay(key))
        {
            return false;
        }
        kv_entry& entry = write(key);
        entry.value = value;
        entry.lock_index += holder.empty() ? 1 : 0;
        entry.session = session;
        return true;
    }

    /// @brief Writes and unlocks an entry that the session has locked.
    /// @return false if the session does not hold the lock
    bool
    release(const std::string& key, const std::string& value, const std::string& session)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        expire_sessions();
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

    /// @brief Creates a session and returns its id.
    std::string create_session(milliseconds time_to_live, milliseconds lock_delay)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const std::string id = "session-" + std::to_string(++next_session_);
        data_.sessions[id] = {
            time_to_live, lock_delay, std::chrono::steady_clock::now() + time_to_live};
        return id;
    }

    /// @brief Renews a session.
    /// @return its time to live; unset if it has expired
    std::optional<milliseconds> renew_session(const std::string& id)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        expire_sessions();
        const auto found = data_.sessions.find(id);
        if (found == data_.sessions.end())
        {
            return std::nullopt;
        }
        found->second.expires_at =
            std::chrono::steady_clock::now() + found->second.time_to_live;
        return found->second.time_to_live;
    }

    /// @brief Ends a session at once, or all sessions if @p id is empty.
    /// @return number of sessions ended
    int end_sessions(const std::string& id)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        int ended = 0;
        for (const std::string& each : session_ids())
        {
            if (id.empty() || each == id)
            {
                end_session(each);
                ++ended;
            }
        }
        return ended;
    }

    /// @brief Returns whether the lock delay after the end of a session still blocks an
    /// entry.
    bool is_delayed(const std::string& key)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return has_lock_delay(key);
    }

    /// @brief Stores a copy of the current state.
    /// @return number of the snapshot
    std::size_t snapshot()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        snapshots_.push_back(data_);
        return snapshots_.size() - 1;
    }

    /// @brief Replaces the current state by a snapshot.
    /// @return false if there is no snapshot with that number
    bool restore(std::size_t number)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (number >= snapshots_.size())
        {
            return false;
        }
        data_ = snapshots_[number];
        ++restore_count_;
        changed_.notify_all();
        return true;
    }

    /// @brief Wakes all blocked reads, which check whether they are cancelled.
    void wake()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        changed_.notify_all();
    }

  private:
    struct store_data
    {
        std::uint64_t index = 1;
        std::map<std::string, kv_entry> entries;
        std::map<std::string, std::uint64_t> removed;
        std::map<std::string, kv_session> sessions;
        std::map<std::string, kv_time> delayed_until;
    };

    static bool
    matches(const std::string& key, const std::string& key_or_prefix, bool recurse)
    {
        return recurse ? key.compare(0, key_or_prefix.size(), key_or_prefix) == 0
                       : key == key_or_prefix;
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
        for (const auto& [name, removed_at] : data_.removed)
        {
            reading.index = matches(name, key, recurse)
                                ? std::max(reading.index, removed_at)
                                : reading.index;
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

    bool has_lock_delay(const std::string& key) const
    {
        const auto found = data_.delayed_until.find(key);
        return found != data_.delayed_until.end() &&
               std::chrono::steady_clock::now() < found->second;
    }

    std::vector<std::string> session_ids() const
    {
        std::vector<std::string> names;
        for (const auto& [name, session] : data_.sessions)
        {
            names.push_back(name);
        }
        return names;
    }

    void expire_sessions()
    {
        const kv_time now = std::chrono::steady_clock::now();
        for (const std::string& each : session_ids())
        {
            if (data_.sessions[each].expires_at <= now)
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

    kv_time next_wakeup(kv_time until) const
    {
        for (const auto& [name, session] : data_.sessions)
        {
            until = std::min(until, session.expires_at);
        }
        return until;
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    store_data data_;
    std::vector<store_data> snapshots_;
    std::uint64_t next_session_ = 0;
    // number of restores; a change ends the reads that blocked before it
    std::uint64_t restore_count_ = 0;
};

} // namespace standins

#endif // MEDLAR_TEST_STANDINS_KV_STATE_HPP
