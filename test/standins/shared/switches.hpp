#ifndef MEDLAR_TEST_STANDINS_SWITCHES_HPP
#define MEDLAR_TEST_STANDINS_SWITCHES_HPP

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <mutex>

namespace standins
{

/// @brief Faults injected into the calls that a target serves.
struct switches
{
    int delay_ms = 0;
    /// HTTP status of the error response; 0: no error
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
    /// factor applied to every execution time
    double straggle = 1;
    /// number of further calls that get the faults; negative: all
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

/// @brief Fault injection switches of one target, which tests set over HTTP while it
/// runs.
class switchboard
{
  public:
    /// @brief Replaces all switches; those missing in the JSON text of `/test/switches`
    /// return to their defaults.
    void set(const switches& values)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        current_ = values;
        changed_.notify_all();
    }

    void set_leaving()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        current_.leaving = true;
    }

    /// @brief Returns the switches for the next call and counts it against `calls`;
    /// blocks while `pause` is set.
    switches take()
    {
        std::unique_lock<std::mutex> lock(mutex_);
        changed_.wait(lock,
                      [this]
                      {
                          return !current_.pause;
                      });
        if (current_.calls == 0)
        {
            switches none;
            none.leaving = current_.leaving;
            return none;
        }
        current_.calls -= current_.calls > 0 ? 1 : 0;
        return current_;
    }

    /// @brief Returns the current switches without blocking.
    switches peek()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return current_;
    }

  private:
    std::mutex mutex_;
    std::condition_variable changed_;
    switches current_;
};

} // namespace standins

#endif // MEDLAR_TEST_STANDINS_SWITCHES_HPP
