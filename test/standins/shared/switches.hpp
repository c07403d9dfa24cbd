#ifndef MEDLAR_TEST_STANDINS_SWITCHES_HPP
#define MEDLAR_TEST_STANDINS_SWITCHES_HPP

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <mutex>

namespace standins
{

/// @brief faults that a target shows on purpose
struct switches
{
    int delay_ms = 0;
    /// status of the answer; 0: none
    int fail = 0;
    bool refuse = false;
    bool leaving = false;
    bool drop_before = false;
    bool drop_after = false;
    bool truncate = false;
    bool wrong_request_id = false;
    bool malformed = false;
    bool oversized = false;
    bool pause = false;
    /// factor on every duration
    double straggle = 1;
    /// calls that the faults are shown to; negative: all
    int calls = -1;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(switches,
                                                delay_ms,
                                                fail,
                                                refuse,
                                                leaving,
                                                drop_before,
                                                drop_after,
                                                truncate,
                                                wrong_request_id,
                                                malformed,
                                                oversized,
                                                pause,
                                                straggle,
                                                calls)

/// @brief The switches of one target, set over HTTP while it runs.
class switchboard
{
  public:
    /// @brief Sets all switches; those not named go back to their defaults.
    void set(const switches& wanted)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        now_ = wanted;
        changed_.notify_all();
    }

    void set_leaving()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        now_.leaving = true;
    }

    /// @brief the switches for the next call, after any pause
    switches take()
    {
        std::unique_lock<std::mutex> lock(mutex_);
        changed_.wait(lock,
                      [this]
                      {
                          return !now_.pause;
                      });
        if (now_.calls == 0)
        {
            switches none;
            none.leaving = now_.leaving;
            return none;
        }
        now_.calls -= now_.calls > 0 ? 1 : 0;
        return now_;
    }

    /// @brief the present switches, without waiting
    switches peek()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return now_;
    }

  private:
    std::mutex mutex_;
    std::condition_variable changed_;
    switches now_;
};

} // namespace standins

#endif // MEDLAR_TEST_STANDINS_SWITCHES_HPP
