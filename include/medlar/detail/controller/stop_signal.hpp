#ifndef MEDLAR_DETAIL_CONTROLLER_STOP_SIGNAL_HPP
#define MEDLAR_DETAIL_CONTROLLER_STOP_SIGNAL_HPP

#include <medlar/detail/base/clock.hpp>

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace medlar
{

/// @brief Signals the threads of a controller to stop, and interrupts their pauses.
/// @note Thread-safe.
class stop_signal
{
  public:
    /// @brief Signals every thread to stop.
    void stop()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopped_ = true;
        changed_.notify_all();
    }

    bool stopped() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return stopped_;
    }

    /// @brief Waits for @p pause, or until stop().
    /// @return whether the thread should continue
    bool pause(millis pause)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        changed_.wait_for(lock,
                          std::chrono::milliseconds(pause.count()),
                          [this]
                          {
                              return stopped_;
                          });
        return !stopped_;
    }

  private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool stopped_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CONTROLLER_STOP_SIGNAL_HPP
