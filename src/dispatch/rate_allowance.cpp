#include <medlar/detail/dispatch/rate_allowance.hpp>

#include <algorithm>
#include <cmath>

namespace medlar
{

namespace
{

constexpr double ms_per_s = 1000;

// a target that takes nothing is still asked once in ten seconds, since only its answers
// tell that its limit has ended
constexpr double min_per_s = 0.1;

// larger limits limit nothing, and would overflow
constexpr double max_per_s = 1e6;

// a burst that is let through at once: this part of a second, and this many requests at
// least
constexpr double burst_s = 0.25;
constexpr double min_burst = 2;

} // namespace

rate_allowance::rate_allowance(double per_s, steady_time now)
    : per_s_(std::clamp(per_s, min_per_s, max_per_s)), filled_at_(now)
{
}

double rate_allowance::capacity() const
{
    return std::max(min_burst, per_s_ * burst_s);
}

void rate_allowance::refill(steady_time now)
{
    const auto elapsed_ms = static_cast<double>((now - filled_at_).count());
    tokens_ =
        std::min(capacity(), tokens_ + std::max(0.0, elapsed_ms) * per_s_ / ms_per_s);
    filled_at_ = std::max(filled_at_, now);
}

void rate_allowance::set_rate(double per_s, steady_time now)
{
    refill(now);
    per_s_ = std::clamp(per_s, min_per_s, max_per_s);
    tokens_ = std::min(tokens_, capacity());
}

bool rate_allowance::take(steady_time now)
{
    refill(now);
    if (tokens_ < 1)
    {
        return false;
    }
    tokens_ -= 1;
    return true;
}

millis rate_allowance::time_until_next(steady_time now)
{
    refill(now);
    const double missing = std::max(0.0, 1 - tokens_);
    return millis(static_cast<std::int64_t>(std::ceil(missing * ms_per_s / per_s_)));
}

} // namespace medlar
