#include <medlar/detail/dispatch/refusal_delay.hpp>

#include <algorithm>
#include <cstdint>

namespace medlar
{

millis refusal_delay(millis retry_after, millis remaining, random_source& random)
{
    const millis max_delay = remaining / 3;
    const double jitter = 0.75 + 0.5 * random.fraction();
    return millis(std::clamp<std::int64_t>(
        static_cast<std::int64_t>(static_cast<double>(retry_after.count()) * jitter),
        0,
        std::max<std::int64_t>(0, max_delay.count())));
}

} // namespace medlar
