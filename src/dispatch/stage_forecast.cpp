#include <medlar/detail/dispatch/stage_forecast.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace medlar
{

namespace
{

// a queue that is served at 4 calls per second has changed after this time
constexpr millis max_estimate_age{1000};

// a queue that grows faster is refused by the estimate itself
constexpr millis max_growth{1000};

constexpr double smoothing = 0.5;

} // namespace

bool operator<(const forecast_key& a, const forecast_key& b)
{
    return std::tie(a.pool, a.priority, a.is_background) <
           std::tie(b.pool, b.priority, b.is_background);
}

void stage_forecast::record_estimate(const forecast_key& key,
                                     millis expected,
                                     millis growth,
                                     steady_time now)
{
    const auto ms = static_cast<double>(expected.count());
    const auto growth_ms =
        static_cast<double>(std::clamp(growth, millis(0), max_growth).count());
    estimate& current = estimates_[key];
    const bool is_outdated =
        current.mean_ms == 0 || now - current.updated_at > max_estimate_age;
    current.mean_ms =
        is_outdated ? ms : current.mean_ms + smoothing * (ms - current.mean_ms);
    current.growth_ms_per_s =
        is_outdated
            ? growth_ms
            : current.growth_ms_per_s + smoothing * (growth_ms - current.growth_ms_per_s);
    current.updated_at = now;
}

millis stage_forecast::expected_time(const forecast_key& key,
                                     millis service_time,
                                     steady_time now,
                                     millis ahead) const
{
    const auto found = estimates_.find(key);
    if (found == estimates_.end() || now - found->second.updated_at > max_estimate_age)
    {
        return service_time;
    }
    const double grown_ms =
        found->second.growth_ms_per_s * static_cast<double>(ahead.count()) / 1000;
    return std::max(service_time, millis(std::lround(found->second.mean_ms + grown_ms)));
}

} // namespace medlar
