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

/// @brief load of a target at one time
struct load_sample
{
    medlar::steady_time at;
    int running = 0;
    int queued = 0;
};

/// @brief Slots of a target, given to waiting calls by priority; counts executions.
class work
{
  public:
    work(int slots, medlar::millis report_lag) : slots_(slots), report_lag_(report_lag)
    {
        samples_.push_back({time_.steady_now(), 0, 0});
    }

    /// @brief Waits for a slot and counts an execution of the call.
    /// @return false if the call was cancelled while it waited
    bool enter(const std::string& call_id, int priority)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        const place mine{-priority, ++arrivals_};
        waiting_.insert(mine);
        record();
        changed_.wait(lock,
                      [&]
                      {
                          return cancelled_.count(call_id) != 0 ||
                                 (running_ < slots_ && *waiting_.begin() == mine);
                      });
        waiting_.erase(mine);
        const bool run = cancelled_.count(call_id) == 0;
        running_ += run ? 1 : 0;
        executions_[call_id] += run ? 1 : 0;
        record();
        changed_.notify_all();
        return run;
    }

    void leave()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        --running_;
        record();
        changed_.notify_all();
    }

    void cancel(const std::string& call_id)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        cancelled_.insert(call_id);
        changed_.notify_all();
    }

    /// @brief forgets an earlier cancel, for a call that is made again
    void begin(const std::string& call_id)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        cancelled_.erase(call_id);
    }

    /// @brief Lets time pass in a slot.
    /// @return false if the call was cancelled meanwhile
    bool spend(const std::string& call_id, double microseconds)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        const auto span = std::chrono::microseconds(static_cast<long>(microseconds));
        return !changed_.wait_for(lock,
                                  span,
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

    /// @brief the newest sample that is at least as old as the lag
    load_sample reported()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const medlar::steady_time shown = time_.steady_now() - report_lag_;
        while (samples_.size() > 1 && samples_[1].at <= shown)
        {
            samples_.pop_front();
        }
        load_sample sample = samples_.front();
        sample.at = shown;
        return sample;
    }

    std::map<std::string, int> executions()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return executions_;
    }

  private:
    struct place
    {
        int order;
        std::uint64_t arrival;

        friend bool operator<(const place& a, const place& b)
        {
            return a.order != b.order ? a.order < b.order : a.arrival < b.arrival;
        }

        friend bool operator==(const place& a, const place& b)
        {
            return a.arrival == b.arrival;
        }
    };

    void record()
    {
        samples_.push_back(
            {time_.steady_now(), running_, static_cast<int>(waiting_.size())});
        const medlar::steady_time shown = time_.steady_now() - report_lag_;
        while (samples_.size() > 1 && samples_[1].at <= shown)
        {
            samples_.pop_front();
        }
    }

    const int slots_;
    const medlar::millis report_lag_;
    const medlar::clock time_ = medlar::clock::system();
    std::mutex mutex_;
    std::condition_variable changed_;
    int running_ = 0;
    std::uint64_t arrivals_ = 0;
    std::set<place> waiting_;
    std::set<std::string> cancelled_;
    std::map<std::string, int> executions_;
    std::deque<load_sample> samples_;
};

/// @brief a slot that a call holds while it runs
class slot
{
  public:
    slot(work& of, const std::string& call_id, int priority)
        : of_(of), held_(of.enter(call_id, priority))
    {
    }

    slot(const slot&) = delete;
    slot& operator=(const slot&) = delete;

    ~slot()
    {
        if (held_)
        {
            of_.leave();
        }
    }

    bool held() const
    {
        return held_;
    }

  private:
    work& of_;
    const bool held_;
};

} // namespace standins

#endif // MEDLAR_TEST_STANDINS_WORK_HPP
