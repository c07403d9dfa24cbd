#include <medlar/detail/base/clock.hpp>

#include <ctime>

namespace medlar
{

namespace
{

constexpr std::int64_t ms_per_second = 1000;
constexpr std::int64_t ns_per_ms = 1000000;

std::int64_t read_ms(clockid_t id)
{
    timespec now{};
    clock_gettime(id, &now);
    return now.tv_sec * ms_per_second + now.tv_nsec / ns_per_ms;
}

} // namespace

clock::clock(bool manual, std::int64_t steady, std::int64_t wall)
    : manual_(manual), steady_(steady), wall_(wall)
{
}

clock::clock(const clock& other)
    : manual_(other.manual_), steady_(other.steady_.load()), wall_(other.wall_.load())
{
}

clock clock::system()
{
    return {false, 0, 0};
}

clock clock::manual(steady_time steady, wall_time wall)
{
    return {true, steady.since_origin(), wall.since_origin()};
}

steady_time clock::steady_now() const
{
    if (manual_)
    {
        return steady_time(steady_.load());
    }
    return steady_time(read_ms(CLOCK_BOOTTIME));
}

wall_time clock::wall_now() const
{
    if (manual_)
    {
        return wall_time(wall_.load());
    }
    const std::int64_t read = read_ms(CLOCK_REALTIME);
    std::int64_t latest = wall_.load();
    while (latest < read && !wall_.compare_exchange_weak(latest, read))
    {
    }
    return wall_time(latest < read ? read : latest);
}

void clock::advance(millis step)
{
    steady_ += step.count();
    wall_ += step.count();
}

} // namespace medlar
