#include <medlar/detail/dispatch/repeat_budget.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

// parts of a window that are counted apart
constexpr std::int64_t buckets_in_window = 10;

// part of the bound that is used: windows of hosts are not aligned, and a host that
// starts again has forgotten what it spent
constexpr double used_part = 0.8;

} // namespace

repeat_budget::bucket& repeat_budget::current(steady_time now)
{
    const std::int64_t width =
        std::max<std::int64_t>(1, rule_.window.count() / buckets_in_window);
    const std::int64_t number = now.since_origin() / width;
    // one bucket more than the window, since the oldest one is only partly inside
    while (!buckets_.empty() && buckets_.front().number < number - buckets_in_window)
    {
        buckets_.pop_front();
    }
    if (buckets_.empty() || buckets_.back().number != number)
    {
        buckets_.push_back({number, 0, 0});
    }
    return buckets_.back();
}

void repeat_budget::note_first(steady_time now)
{
    ++current(now).first;
}

void repeat_budget::note_repeat(steady_time now)
{
    ++current(now).repeats;
}

bool repeat_budget::may_repeat(steady_time now, std::size_t hosts)
{
    current(now);
    std::int64_t first = 0;
    std::int64_t repeats = 0;
    for (const bucket& each : buckets_)
    {
        first += each.first;
        repeats += each.repeats;
    }
    const double part =
        rule_.slack / static_cast<double>(std::max<std::size_t>(1, hosts));
    const double allowed = used_part * (rule_.ratio * static_cast<double>(first) + part);
    return static_cast<double>(repeats) + 1 <= allowed;
}

} // namespace medlar
