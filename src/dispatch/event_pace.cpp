#include <medlar/detail/dispatch/event_pace.hpp>

#include <algorithm>
#include <limits>

namespace medlar
{

namespace
{

// with fewer gaps a prompt that is processed in between may stretch most of them
constexpr std::size_t min_gaps = 5;

// bound on the memory of one stream
constexpr std::size_t max_gaps = 64;

} // namespace

void event_pace::record(steady_time now)
{
    if (!first_)
    {
        first_ = now;
    }
    if (last_)
    {
        const millis gap = now - *last_;
        longest_gap_ = std::max(longest_gap_, gap);
        if (gaps_ms_.size() < max_gaps)
        {
            gaps_ms_.push_back(static_cast<std::uint16_t>(std::min<std::int64_t>(
                gap.count(), std::numeric_limits<std::uint16_t>::max())));
        }
    }
    last_ = now;
}

std::optional<double> event_pace::typical_gap_ms() const
{
    if (gaps_ms_.size() < min_gaps)
    {
        return std::nullopt;
    }
    std::vector<std::uint16_t> sorted = gaps_ms_;
    const auto quartile = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 4);
    std::nth_element(sorted.begin(), quartile, sorted.end());
    return *quartile;
}

} // namespace medlar
