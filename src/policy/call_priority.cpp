#include <medlar/detail/policy/call_priority.hpp>

namespace medlar
{

int call_priority(wall_time deadline)
{
    constexpr std::int64_t ms_per_step = 10;
    constexpr std::int64_t max_priority = 1000000000;
    const std::int64_t steps = deadline.since_origin() / ms_per_step % max_priority;
    return static_cast<int>(max_priority - steps);
}

} // namespace medlar
