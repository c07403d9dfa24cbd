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
/// for transitions, so that no transition occurs between a decision and the opening of
/// the claim that follows from it.
/// @note Safe to call from every thread.
class guarded_ownership
{
  public:
    explicit guarded_ownership(ownership initial) : state_(std::move(initial))
    {
    }

    /// @brief Calls @p reader with the state; no transition occurs meanwhile.
    template <typename Reader>
    auto read(Reader reader) const
    {
        const std::shared_lock<std::shared_mutex> lock(mutex_);
        return reader(static_cast<const ownership&>(state_));
    }

    /// @brief Calls @p step with exclusive access to the state, then wakes the waiting
    /// threads.
    template <typename Step>
    auto write(Step step)
    {
        const transition_notifier notifier(*this);
        const std::unique_lock<std::shared_mutex> lock(mutex_);
        return step(state_);
    }

    /// @brief number of transitions so far
    std::uint64_t transitions() const
    {
        const std::lock_guard<std::mutex> lock(transitions_mutex_);
        return transitions_;
    }

    /// @brief Waits until the number of transitions differs from @p seen, at most @p
    /// span.
    void wait_for_transition(std::uint64_t seen, millis span) const
    {
        std::unique_lock<std::mutex> lock(transitions_mutex_);
        changed_.wait_for(lock,
                          std::chrono::milliseconds(span.count()),
                          [this, seen]
                          {
                              return transitions_ != seen;
                          });
    }

  private:
    /// @brief counts a transition and wakes the waiting threads when it goes out of scope
    class transition_notifier
    {
      public:
        explicit transition_notifier(guarded_ownership& changed) : changed_(changed)
        {
        }

        transition_notifier(const transition_notifier&) = delete;
        transition_notifier& operator=(const transition_notifier&) = delete;

        ~transition_notifier()
        {
            {
                const std::lock_guard<std::mutex> lock(changed_.transitions_mutex_);
                ++changed_.transitions_;
            }
            changed_.changed_.notify_all();
        }

      private:
        guarded_ownership& changed_;
    };

    mutable std::shared_mutex mutex_;
    ownership state_;
    mutable std::mutex transitions_mutex_;
    mutable std::condition_variable changed_;
    std::uint64_t transitions_ = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_MEMBERSHIP_GUARDED_OWNERSHIP_HPP
