#include <medlar/detail/dispatch/first_event_delay.hpp>

#include <algorithm>
#include <cmath>

namespace medlar
{

namespace
{

// assumed before the first measurement: time to process a prompt of a few thousand tokens
constexpr double initial_ms = 400;

// weight of the newest measurement; the first ones weigh more
constexpr double smoothing = 0.05;

// the assumption weighs as much as so many measurements
constexpr double initial_samples = 4;

// measurements of a size from which its own average is used
constexpr std::size_t min_samples = 4;

constexpr std::int64_t smallest_size = 1024;

} // namespace

void first_event_delay::average::record(double ms)
{
    ++samples;
    mean_ms += std::max(smoothing, 1 / static_cast<double>(samples)) * (ms - mean_ms);
}

std::size_t first_event_delay::size_of(token_count prompt)
{
    std::size_t size = 0;
    for (std::int64_t limit = smallest_size;
         prompt.get() > limit && size + 1 < size_count;
         limit *= 2)
    {
        ++size;
    }
    return size;
}

void first_event_delay::record(token_count prompt, millis took)
{
    const auto ms = static_cast<double>(took.count());
    all_.record(ms);
    by_size_[size_of(prompt)].record(ms);
}

millis first_event_delay::estimate(token_count prompt) const
{
    const average& own = by_size_[size_of(prompt)];
    if (own.samples >= min_samples)
    {
        return millis(std::lround(own.mean_ms));
    }
    const auto samples = static_cast<double>(all_.samples);
    return millis(std::lround((initial_ms * initial_samples + all_.mean_ms * samples) /
                              (initial_samples + samples)));
}

} // namespace medlar
