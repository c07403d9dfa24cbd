#ifndef MEDLAR_TEST_STANDINS_WORK_HPP
#define MEDLAR_TEST_STANDINS_WORK_HPP

#include <medlar/detail/base/clock.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace standins
{

/// @brief Load of a target at one point in time.
struct load_sample
{
    medlar::steady_time at;
    int running = 0;
    int queued = 0;
};

/// @brief Execution slots of a target: assigns them to queued calls by priority, then in
/// order of arrival, and counts the executions of each call.
class work
{
  public:
    work(int slots, medlar::millis report_lag) : slots_(slots), report_lag_(report_lag)
    {
        samples_.push_back({clock_.steady_now(), 0, 0});
    }

    /// @brief Waits for a free slot and counts an execution of the call.
    /// @return false if the call was cancelled while queued
    bool enter(const std::string& call_id, int priority)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        const queued_call own{-priority, ++arrivals_};
        waiting_.insert(own);
        record_sample();
        changed_.wait(lock,
                      [&]
                      {
                          return cancelled_.count(call_id) != 0 ||
                                 (running_ < slots_ && *waiting_.begin() == own);
                      });
        waiting_.erase(own);
        const bool acquired = cancelled_.count(call_id) == 0;
        running_ += acquired ? 1 : 0;
        executions_[call_id] += acquired ? 1 : 0;
        record_sample();
        changed_.notify_all();
        return acquired;
    }

    void leave()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        --running_;
        record_sample();
        changed_.notify_all();
    }

    void cancel(const std::string& call_id)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        cancelled_.insert(call_id);
        changed_.notify_all();
    }

    /// @brief Clears an earlier cancellation, for a call that is retried under the same
    /// id.
    void begin(const std::string& call_id)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        cancelled_.erase(call_id);
    }

    /// @brief Simulates execution by waiting.
    /// @return false if the call was cancelled before the time was up
    bool spend(const std::string& call_id, double microseconds)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        const auto duration = std::chrono::microseconds(static_cast<long>(microseconds));
        return !changed_.wait_for(lock,
                                  duration,
                                  [&]
                                  {
                                      return cancelled_.count(call_id) != 0;
                                  });
    }

    int running()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return running_;
    }

    int slots() const
    {
        return slots_;
    }

    /// @brief Returns the newest load sample that is at least as old as the report lag.
    load_sample reported()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const medlar::steady_time reported_time = clock_.steady_now() - report_lag_;
        while (samples_.size() > 1 && samples_[1].at <= reported_time)
        {
            samples_.pop_front();
        }
        load_sample sample = samples_.front();
        sample.at = reported_time;
        return sample;
    }

    std::map<std::string, int> executions()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return executions_;
    }

  private:
    struct queued_call
    {
        int negated_priority;
        std::uint64_t arrival;

        friend bool operator<(const queued_call& a, const queued_call& b)
        {
            return a.negated_priority != b.negated_priority
                       ? a.negated_priority < b.negated_priority
                       : a.arrival < b.arrival;
        }

        friend bool operator==(const queued_call& a, const queued_call& b)
        {
            return a.arrival == b.arrival;
        }
    };

    void record_sample()
    {
        samples_.push_back(
            {clock_.steady_now(), running_, static_cast<int>(waiting_.size())});
        const medlar::steady_time reported_time = clock_.steady_now() - report_lag_;
        while (samples_.size() > 1 && samples_[1].at <= reported_time)
        {
            samples_.pop_front();
        }
    }

    const int slots_;
    const medlar::millis report_lag_;
    const medlar::clock clock_ = medlar::clock::system();
    std::mutex mutex_;
    std::condition_variable changed_;
    int running_ = 0;
    std::uint64_t arrivals_ = 0;
    std::set<queued_call> waiting_;
    std::set<std::string> cancelled_;
    std::map<std::string, int> executions_;
    std::deque<load_sample> samples_;
};

/// @brief Holds an execution slot for a call in its scope.
class slot
{
  public:
    slot(work& owner, const std::string& call_id, int priority)
        : work_(owner), held_(owner.enter(call_id, priority))
    {
    }

    slot(const slot&) = delete;
    slot& operator=(const slot&) = delete;

    ~slot()
    {
        if (held_)
        {
            work_.leave();
        }
    }

    bool held() const
    {
        return held_;
    }

  private:
    work& work_;
    const bool held_;
};

} // namespace standins

#endif // MEDLAR_TEST_STANDINS_WORK_HPP
