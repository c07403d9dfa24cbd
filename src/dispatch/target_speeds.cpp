#include <medlar/detail/dispatch/target_speeds.hpp>

#include <algorithm>
#include <cmath>

namespace medlar
{

namespace
{

// streams of which the lower quartile counts; a machine that turns slow for good shows
// within some seconds of a busy pool
constexpr std::size_t max_streams = 12;

// streams after which an estimate counts: one alone may have been disturbed throughout
constexpr std::size_t min_streams = 4;

// targets with an estimate from which a median means something
constexpr std::size_t min_targets = 4;

// plausible times between two events, in ms
constexpr double min_gap_ms = 0.5;
constexpr double max_gap_ms = 2000;

// Targets within this factor of the median count as equal.
constexpr double equal_speed_factor = 1.3;

// A pool counts as uneven if the pace of its streams at slow targets (four fifths are
// faster) is so many times that at fast ones (a fifth is faster). Differences of load
// change the pace of equal engines, too, and moving prompts between these would only
// lose what they have in their caches.
constexpr double uneven_factor = 1.8;

// Queueing delay grows faster than the share of the prompts, so that slow targets get
// less than their speed alone would give them.
constexpr double weight_exponent = 2;
constexpr double min_weight = 0.1;
constexpr double max_weight = 6;

// An estimate that differs by less keeps its value: each change moves prompts away from
// the engines that have them in their caches.
constexpr double change_factor = 1.3;

double lower_quartile(const std::deque<double>& values)
{
    std::vector<double> sorted(values.begin(), values.end());
    const auto quartile = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 4);
    std::nth_element(sorted.begin(), quartile, sorted.end());
    return *quartile;
}

} // namespace

void target_speeds::record(const target_id& target, double gap_ms)
{
    if (!(gap_ms >= min_gap_ms && gap_ms <= max_gap_ms))
    {
        return;
    }
    estimate& known = estimates_[target];
    known.streams.push_back(gap_ms);
    if (known.streams.size() > max_streams)
    {
        known.streams.pop_front();
    }
    if (known.streams.size() < min_streams)
    {
        return;
    }
    const double gap = lower_quartile(known.streams);
    if (gap > known.gap_ms * change_factor || gap < known.gap_ms / change_factor)
    {
        known.gap_ms = gap;
        known.changed_at = ++version_;
    }
}

void target_speeds::set(const target_pace& pace)
{
    if (!(pace.gap_ms >= min_gap_ms && pace.gap_ms <= max_gap_ms))
    {
        return;
    }
    estimates_[pace.target].gap_ms = pace.gap_ms;
}

double target_speeds::gap_of_uneven_pool_ms() const
{
    std::vector<double> gaps;
    for (const auto& each : estimates_)
    {
        if (each.second.gap_ms > 0)
        {
            gaps.push_back(each.second.gap_ms);
        }
    }
    if (gaps.size() < min_targets)
    {
        return 0;
    }
    std::sort(gaps.begin(), gaps.end());
    const bool is_uneven =
        gaps[gaps.size() * 4 / 5] >= uneven_factor * gaps[gaps.size() / 5];
    return is_uneven ? gaps[gaps.size() / 2] : 0;
}

double target_speeds::speed_of(const target_id& target) const
{
    const auto found = estimates_.find(target);
    const double median = gap_of_uneven_pool_ms();
    if (found == estimates_.end() || found->second.gap_ms <= 0 || median <= 0)
    {
        return 1;
    }
    return median / found->second.gap_ms;
}

double target_speeds::weight_of(const target_id& target) const
{
    const double speed = speed_of(target);
    if (speed < equal_speed_factor && speed > 1 / equal_speed_factor)
    {
        return 1;
    }
    return std::clamp(std::pow(speed, weight_exponent), min_weight, max_weight);
}

std::vector<target_pace> target_speeds::changes_since(std::uint64_t version) const
{
    std::vector<target_pace> changed;
    for (const auto& each : estimates_)
    {
        if (each.second.changed_at > version)
        {
            changed.push_back({each.first, each.second.gap_ms});
        }
    }
    return changed;
}

} // namespace medlar
