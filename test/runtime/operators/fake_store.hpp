#ifndef MEDLAR_TEST_RUNTIME_OPERATORS_FAKE_STORE_HPP
#define MEDLAR_TEST_RUNTIME_OPERATORS_FAKE_STORE_HPP

#include <medlar/detail/base/error.hpp>
#include <medlar/detail/store/store_client.hpp>

#include <absl/strings/match.h>

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <utility>

namespace medlar::test
{

/// @brief outcome of one write to a key
enum class write_outcome
{
    done,
    lost_after,  ///< takes effect, but its reply is lost
    lost_before, ///< does not take effect, and its reply is lost
    refused,
};

/// @brief In-memory store that can lose replies and become unreachable.
class fake_store : public store_client
{
  public:
    // faults to inject

    bool down = false;
    /// outcomes of the next writes, except those of audit records and contents
    std::deque<write_outcome> write_outcomes;
    /// whether the store is down after a write whose reply is lost
    bool down_after_loss = false;
    /// called once before the next write that is not an audit record or a content
    std::function<void()> before_write;
    /// whether writes of audit records and contents fail
    bool audit_down = false;

    absl::StatusOr<std::optional<store_entry>> get(const std::string& key) override
    {
        const std::lock_guard<std::recursive_mutex> lock(mutex_);
        if (down)
        {
            return unreachable();
        }
        const auto found = entries_.find(key);
        return found == entries_.end() ? std::nullopt : std::make_optional(found->second);
    }

    absl::StatusOr<store_folder> list(const std::string& prefix) override
    {
        const std::lock_guard<std::recursive_mutex> lock(mutex_);
        if (down)
        {
            return unreachable();
        }
        store_folder folder{store_index(index_), {}};
        for (const auto& [key, entry] : entries_)
        {
            if (absl::StartsWith(key, prefix))
            {
                folder.entries.push_back(entry);
            }
        }
        return folder;
    }

    absl::StatusOr<store_folder>
    watch(const std::string& prefix, store_index /*after*/, millis /*wait*/) override
    {
        return list(prefix);
    }

    absl::StatusOr<bool> compare_and_swap(const std::string& key,
                                          const std::string& value,
                                          store_index expected) override
    {
        const std::lock_guard<std::recursive_mutex> lock(mutex_);
        const bool is_audit = absl::StartsWith(key, "medlar/audit/") ||
                              absl::StartsWith(key, "medlar/contents/");
        if (down || (is_audit && audit_down))
        {
            return unreachable();
        }
        if (is_audit)
        {
            return write(key, value, expected);
        }
        if (before_write)
        {
            std::exchange(before_write, nullptr)();
        }
        return write_with_outcome(key, value, expected);
    }

    absl::StatusOr<store_lease> create_lease(millis /*time_to_live*/) override
    {
        return store_lease("lease");
    }

    absl::StatusOr<bool> renew_lease(const store_lease& /*lease*/) override
    {
        return true;
    }

    absl::StatusOr<bool> acquire(const std::string& /*key*/,
                                 const std::string& /*value*/,
                                 const store_lease& /*lease*/) override
    {
        return true;
    }

    absl::StatusOr<bool> release(const std::string& /*key*/,
                                 const std::string& /*value*/,
                                 const store_lease& /*lease*/) override
    {
        return true;
    }

    /// @brief Returns the value of a key; empty if there is none.
    std::string value_of(const std::string& key) const
    {
        const auto found = entries_.find(key);
        return found == entries_.end() ? "" : found->second.value;
    }

    /// @brief Sets a value unconditionally, bypassing the injected faults.
    void set(const std::string& key, const std::string& value)
    {
        ++index_;
        store_entry entry;
        entry.key = key;
        entry.value = value;
        entry.modified = store_index(index_);
        entries_[key] = entry;
    }

    void erase(const std::string& key)
    {
        entries_.erase(key);
    }

    std::size_t size() const
    {
        return entries_.size();
    }

  private:
    static absl::Status unreachable()
    {
        return make_error(
            absl::StatusCode::kUnavailable, error_number::store_unreachable, "down");
    }

    absl::StatusOr<bool> write_with_outcome(const std::string& key,
                                            const std::string& value,
                                            store_index expected)
    {
        write_outcome outcome = write_outcome::done;
        if (!write_outcomes.empty())
        {
            outcome = write_outcomes.front();
            write_outcomes.pop_front();
        }
        if (outcome == write_outcome::refused)
        {
            return make_error(
                absl::StatusCode::kUnavailable, error_number::store_refused, "busy");
        }
        const bool takes_effect = outcome != write_outcome::lost_before;
        const bool written = takes_effect && write(key, value, expected);
        if (outcome == write_outcome::done)
        {
            return written;
        }
        down = down_after_loss;
        return make_error(
            absl::StatusCode::kUnavailable, error_number::store_reply_lost, "lost");
    }

    bool write(const std::string& key, const std::string& value, store_index expected)
    {
        const auto found = entries_.find(key);
        const store_index stored_index =
            found == entries_.end() ? store_index(0) : found->second.modified;
        if (stored_index != expected)
        {
            return false;
        }
        set(key, value);
        return true;
    }

    std::recursive_mutex mutex_;
    std::uint64_t index_ = 100;
    std::map<std::string, store_entry> entries_;
};

} // namespace medlar::test

#endif // MEDLAR_TEST_RUNTIME_OPERATORS_FAKE_STORE_HPP
