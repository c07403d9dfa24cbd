#include <medlar/detail/dispatch/pool_retry_budget.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

// resolution of the sliding window
constexpr std::int64_t buckets_per_window = 10;

// fraction of the limit that is used: the windows of hosts are not aligned, and a host
// that restarts has lost its counts
constexpr double usable_fraction = 0.8;

} // namespace

pool_retry_budget::bucket& pool_retry_budget::current_bucket(steady_time now)
{
    const std::int64_t width =
        std::max<std::int64_t>(1, rule_.window.count() / buckets_per_window);
    const std::int64_t since_ms = now.since_origin() / width * width;
    // keeps one bucket more than the window, since the oldest one is only partly inside
    const std::int64_t oldest_ms = since_ms - buckets_per_window * width;
    while (!buckets_.empty() && buckets_.front().since_ms < oldest_ms)
    {
        buckets_.pop_front();
    }
    // with a longer window the last bucket may have begun later
    if (buckets_.empty() || buckets_.back().since_ms < since_ms)
    {
        buckets_.push_back({since_ms, 0, 0});
    }
    return buckets_.back();
}

void pool_retry_budget::record_first_try(steady_time now)
{
    ++current_bucket(now).first_tries;
}

void pool_retry_budget::record_retry(steady_time now)
{
    ++current_bucket(now).retries;
}

bool pool_retry_budget::may_retry(steady_time now, std::size_t hosts)
{
    current_bucket(now);
    std::int64_t first_tries = 0;
    std::int64_t retries = 0;
    for (const bucket& each : buckets_)
    {
        first_tries += each.first_tries;
        retries += each.retries;
    }
    const double slack =
        rule_.slack / static_cast<double>(std::max<std::size_t>(1, hosts));
    const double allowed =
        usable_fraction * (rule_.ratio * static_cast<double>(first_tries) + slack);
    return static_cast<double>(retries) + 1 <= allowed;
}

} // namespace medlar
