#include <medlar/detail/dispatch/stage_forecast.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace medlar
{

namespace
{

// a queue that is served at 4 calls a second looks different after this time
constexpr millis word_life{1000};

constexpr double smoothing = 0.5;

} // namespace

bool operator<(const forecast_key& a, const forecast_key& b)
{
    return std::tie(a.pool, a.priority, a.is_background) <
           std::tie(b.pool, b.priority, b.is_background);
}

void stage_forecast::note(const forecast_key& key, millis expected, steady_time now)
{
    const auto ms = static_cast<double>(expected.count());
    word& known = words_[key];
    const bool is_old = known.mean_ms == 0 || now - known.at > word_life;
    known.mean_ms = is_old ? ms : known.mean_ms + smoothing * (ms - known.mean_ms);
    known.at = now;
}

millis
stage_forecast::expected(const forecast_key& key, millis plain, steady_time now) const
{
    const auto found = words_.find(key);
    if (found == words_.end() || now - found->second.at > word_life)
    {
        return plain;
    }
    return std::max(plain, millis(std::lround(found->second.mean_ms)));
}

} // namespace medlar
