#ifndef MEDLAR_DETAIL_BASE_CLOCK_HPP
#define MEDLAR_DETAIL_BASE_CLOCK_HPP

#include <medlar/detail/base/strong_type.hpp>

#include <atomic>
#include <cstdint>

namespace medlar
{

/// @brief a duration in milliseconds
class millis
{
  public:
    constexpr millis() = default;

    constexpr explicit millis(std::int64_t count) : count_(count)
    {
    }

    constexpr std::int64_t count() const
    {
        return count_;
    }

    friend constexpr millis operator+(millis a, millis b)
    {
        return millis(a.count_ + b.count_);
    }

    friend constexpr millis operator-(millis a, millis b)
    {
        return millis(a.count_ - b.count_);
    }

    friend constexpr millis operator*(millis a, std::int64_t factor)
    {
        return millis(a.count_ * factor);
    }

    friend constexpr millis operator/(millis a, std::int64_t divisor)
    {
        return millis(a.count_ / divisor);
    }

    friend constexpr bool operator==(millis a, millis b)
    {
        return a.count_ == b.count_;
    }

    friend constexpr bool operator!=(millis a, millis b)
    {
        return a.count_ != b.count_;
    }

    friend constexpr bool operator<(millis a, millis b)
    {
        return a.count_ < b.count_;
    }

    friend constexpr bool operator>(millis a, millis b)
    {
        return a.count_ > b.count_;
    }

    friend constexpr bool operator<=(millis a, millis b)
    {
        return a.count_ <= b.count_;
    }

    friend constexpr bool operator>=(millis a, millis b)
    {
        return a.count_ >= b.count_;
    }

  private:
    std::int64_t count_ = 0;
};

/// @brief a point in time in milliseconds on the clock that @p Tag identifies
template <typename Tag>
class time_point
{
  public:
    constexpr time_point() = default;

    constexpr explicit time_point(std::int64_t since_origin_ms) : value_(since_origin_ms)
    {
    }

    /// @brief milliseconds since the clock's epoch
    constexpr std::int64_t since_origin() const
    {
        return value_;
    }

    friend constexpr time_point operator+(time_point t, millis d)
    {
        return time_point(t.value_ + d.count());
    }

    friend constexpr time_point operator-(time_point t, millis d)
    {
        return time_point(t.value_ - d.count());
    }

    friend constexpr millis operator-(time_point a, time_point b)
    {
        return millis(a.value_ - b.value_);
    }

    friend constexpr bool operator==(time_point a, time_point b)
    {
        return a.value_ == b.value_;
    }

    friend constexpr bool operator!=(time_point a, time_point b)
    {
        return a.value_ != b.value_;
    }

    friend constexpr bool operator<(time_point a, time_point b)
    {
        return a.value_ < b.value_;
    }

    friend constexpr bool operator>(time_point a, time_point b)
    {
        return a.value_ > b.value_;
    }

    friend constexpr bool operator<=(time_point a, time_point b)
    {
        return a.value_ <= b.value_;
    }

    friend constexpr bool operator>=(time_point a, time_point b)
    {
        return a.value_ >= b.value_;
    }

  private:
    std::int64_t value_ = 0;
};

/// @brief monotonic time since boot, including suspend (CLOCK_BOOTTIME)
using steady_time = time_point<struct steady_tag>;

/// @brief time since 1970-01-01 UTC
using wall_time = time_point<struct wall_tag>;

/// @brief Source of monotonic and wall time in milliseconds: the system clocks, or a
/// manual clock for tests.
class clock
{
  public:
    /// @brief Returns a clock that reads the system clocks.
    static clock system();

    /// @brief Returns a clock that changes only when advance() is called.
    static clock manual(steady_time steady, wall_time wall);

    clock(const clock& other);
    clock& operator=(const clock&) = delete;

    /// @brief Returns the current monotonic time.
    steady_time steady_now() const;

    /// @brief Returns the current wall time, never less than an earlier reading.
    wall_time wall_now() const;

    /// @brief Advances a manual clock by @p step.
    void advance(millis step);

  private:
    clock(bool manual, std::int64_t steady, std::int64_t wall);

    bool manual_;
    std::atomic<std::int64_t> steady_;
    mutable std::atomic<std::int64_t> wall_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_BASE_CLOCK_HPP
