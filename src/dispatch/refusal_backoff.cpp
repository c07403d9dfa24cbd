#include <medlar/detail/dispatch/refusal_backoff.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

// after this time without a refusal the burst is over; a host gets about 4 requests per
// second
constexpr millis max_refusal_gap{1500};

// about two call times, after which the queues have changed
constexpr millis min_delay{600};

// bursts last up to 7 s, and callers wait for at most a third of their deadline
constexpr millis max_delay{5000};

} // namespace

millis refusal_backoff::record_refusal(steady_time now)
{
    if (!last_refusal_ || now - *last_refusal_ > max_refusal_gap)
    {
        burst_start_ = now;
    }
    last_refusal_ = now;
    return std::clamp(now - burst_start_, min_delay, max_delay);
}

} // namespace medlar
