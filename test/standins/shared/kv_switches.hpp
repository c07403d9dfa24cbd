#ifndef MEDLAR_TEST_STANDINS_KV_SWITCHES_HPP
#define MEDLAR_TEST_STANDINS_KV_SWITCHES_HPP

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <mutex>
#include <string>

namespace standins
{

/// @brief Faults injected into the key-value service.
struct kv_switches
{
    /// every call has no effect and its connection is closed
    bool down = false;
    /// new connections are refused as well; only with `down`
    bool refuse = false;
    int delay_ms = 0;
    /// calls take effect, then the connection is closed without a response
    bool lose_replies = false;
    /// number of further writes that take effect but get no response
    int lose_next_writes = 0;
    /// rate limits for writes and reads; 0: unlimited
    int max_writes_per_second = 0;
    int max_reads_per_second = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(kv_switches,
                                                down,
                                                refuse,
                                                delay_ms,
                                                lose_replies,
                                                lose_next_writes,
                                                max_writes_per_second,
                                                max_reads_per_second)

/// @brief Fault injection switches, call counters and rate limiter of the key-value
/// service.
class kv_switchboard
{
  public:
    /// @brief Sets the switches that @p changes contains; the others keep their value.
    void set(const nlohmann::json& changes)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        nlohmann::json merged = current_;
        merged.update(changes);
        current_ = merged.get<kv_switches>();
    }

    kv_switches peek() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return current_;
    }

    /// @brief Returns whether to drop the response to the current call; counts a write
    /// against `lose_next_writes`.
    bool consume_lost_reply(bool writes)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (writes && current_.lose_next_writes > 0)
        {
            --current_.lose_next_writes;
            return true;
        }
        return current_.lose_replies;
    }

    void count(const std::string& kind)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++calls_[kind];
    }

    /// @brief Returns the number of calls so far by kind.
    std::map<std::string, std::int64_t> calls() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return calls_;
    }

    /// @brief Counts a call in the current second and returns whether it is within the
    /// rate limit.
    bool within_rate(bool writes)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const int limit =
            writes ? current_.max_writes_per_second : current_.max_reads_per_second;
        window& usage = writes ? writes_ : reads_;
        const auto second = std::chrono::time_point_cast<std::chrono::seconds>(
            std::chrono::steady_clock::now());
        if (usage.second != second)
        {
            usage = {second, 0};
        }
        ++usage.calls;
        return limit == 0 || usage.calls <= limit;
    }

  private:
    struct window
    {
        std::chrono::time_point<std::chrono::steady_clock, std::chrono::seconds> second;
        int calls = 0;
    };

    mutable std::mutex mutex_;
    kv_switches current_;
    std::map<std::string, std::int64_t> calls_;
    window writes_;
    window reads_;
};

} // namespace standins

#endif // MEDLAR_TEST_STANDINS_KV_SWITCHES_HPP
