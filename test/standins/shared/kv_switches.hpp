#ifndef MEDLAR_TEST_STANDINS_KV_SWITCHES_HPP
#define MEDLAR_TEST_STANDINS_KV_SWITCHES_HPP

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <mutex>
#include <string>

namespace standins
{

/// @brief faults that the key-value service shows on purpose
struct kv_switches
{
    /// every call is met by a closed connection and has no effect
    bool down = false;
    /// connections are refused, too; needs "down"
    bool refuse = false;
    int delay_ms = 0;
    /// calls take effect, then the connection is closed without an answer
    bool lose_replies = false;
    /// writes whose reply is lost from now on
    int lose_next_writes = 0;
    /// bounds by kind a second; 0: none
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

/// @brief The switches, call counts and rate limits of the key-value service.
class kv_switchboard
{
  public:
    /// @brief Sets the switches that @p wanted names; the others keep their value.
    void set(const nlohmann::json& wanted)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        nlohmann::json merged = now_;
        merged.update(wanted);
        now_ = merged.get<kv_switches>();
    }

    kv_switches peek() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return now_;
    }

    /// @brief Whether the reply to the present call is to be lost.
    bool take_lost_reply(bool writes)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (writes && now_.lose_next_writes > 0)
        {
            --now_.lose_next_writes;
            return true;
        }
        return now_.lose_replies;
    }

    /// @brief Counts a call.
    void count(const std::string& kind)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++calls_[kind];
    }

    /// @brief calls so far by kind
    std::map<std::string, std::int64_t> calls() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return calls_;
    }

    /// @brief Whether one more call of its kind is within the rate limit.
    bool within_rate(bool writes)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const int limit = writes ? now_.max_writes_per_second : now_.max_reads_per_second;
        window& used = writes ? writes_ : reads_;
        const auto second = std::chrono::time_point_cast<std::chrono::seconds>(
            std::chrono::steady_clock::now());
        if (used.second != second)
        {
            used = {second, 0};
        }
        ++used.calls;
        return limit == 0 || used.calls <= limit;
    }

  private:
    struct window
    {
        std::chrono::time_point<std::chrono::steady_clock, std::chrono::seconds> second;
        int calls = 0;
    };

    mutable std::mutex mutex_;
    kv_switches now_;
    std::map<std::string, std::int64_t> calls_;
    window writes_;
    window reads_;
};

} // namespace standins

#endif // MEDLAR_TEST_STANDINS_KV_SWITCHES_HPP
