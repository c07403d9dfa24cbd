#ifndef MEDLAR_DETAIL_MEMBERSHIP_GUARDED_OWNERSHIP_HPP
#define MEDLAR_DETAIL_MEMBERSHIP_GUARDED_OWNERSHIP_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/ownership/ownership.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <shared_mutex>
#include <utility>

namespace medlar
{

/// @brief The ownership of this process under a lock: shared for decisions, exclusive
/// for its transitions, so that none of them falls between a decision and the claim
/// that is opened on it.
/// @note Safe to call from every thread.
class guarded_ownership
{
  public:
    explicit guarded_ownership(ownership initial) : state_(std::move(initial))
    {
    }

    /// @brief Calls @p look with the state; no transition happens meanwhile.
    template <typename Look>
    auto read(Look look) const
    {
        const std::shared_lock<std::shared_mutex> lock(mutex_);
        return look(static_cast<const ownership&>(state_));
    }

    /// @brief Calls @p step with the state alone, then wakes those that wait.
    template <typename Step>
    auto write(Step step)
    {
        const change_note note(*this);
        const std::unique_lock<std::shared_mutex> lock(mutex_);
        return step(state_);
    }

    /// @brief number of transitions so far
    std::uint64_t changes() const
    {
        const std::lock_guard<std::mutex> lock(changes_mutex_);
        return changes_;
    }

    /// @brief Waits for a transition after the first @p seen, at most for @p span.
    void wait_for_change(std::uint64_t seen, millis span) const
    {
        std::unique_lock<std::mutex> lock(changes_mutex_);
        changed_.wait_for(lock,
                          std::chrono::milliseconds(span.count()),
                          [this, seen]
                          {
                              return changes_ != seen;
                          });
    }

  private:
    /// @brief counts a transition when it goes out of scope
    class change_note
    {
      public:
        explicit change_note(guarded_ownership& changed) : changed_(changed)
        {
        }

        change_note(const change_note&) = delete;
        change_note& operator=(const change_note&) = delete;

        ~change_note()
        {
            {
                const std::lock_guard<std::mutex> lock(changed_.changes_mutex_);
                ++changed_.changes_;
            }
            changed_.changed_.notify_all();
        }

      private:
        guarded_ownership& changed_;
    };

    mutable std::shared_mutex mutex_;
    ownership state_;
    mutable std::mutex changes_mutex_;
    mutable std::condition_variable changed_;
    std::uint64_t changes_ = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_MEMBERSHIP_GUARDED_OWNERSHIP_HPP
