#include <medlar/detail/policy/service_model.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

constexpr double sample_decay = 0.98;
constexpr double weight_above_line = 0.15;
constexpr double bytes_per_kilobyte = 1024;
constexpr double smoothing = 0.05;
constexpr double min_spread = 1e-6;

double kilobytes(const request_size& size)
{
    return static_cast<double>(size.input.get()) / bytes_per_kilobyte;
}

double smoothed(double old_value, double sample)
{
    return old_value + smoothing * (sample - old_value);
}

/// @brief Smooths with a smaller step for samples above the old value than for those
/// below it.
double smoothed_low(double old_value, double sample)
{
    const double step = sample > old_value ? smoothing * weight_above_line : smoothing;
    return old_value + step * (sample - old_value);
}

} // namespace

void size_regression::learn(double size, double time_ms)
{
    const double weight =
        has_samples() && time_ms > predict_ms(size) ? weight_above_line : 1.0;
    weight_ = weight_ * sample_decay + weight;
    sum_size_ = sum_size_ * sample_decay + weight * size;
    sum_time_ = sum_time_ * sample_decay + weight * time_ms;
    sum_size_size_ = sum_size_size_ * sample_decay + weight * size * size;
    sum_size_time_ = sum_size_time_ * sample_decay + weight * size * time_ms;
}

double size_regression::slope() const
{
    const double spread = sum_size_size_ - sum_size_ * sum_size_ / weight_;
    if (spread < min_spread * weight_)
    {
        return 0;
    }
    const double fitted = (sum_size_time_ - sum_size_ * sum_time_ / weight_) / spread;
    // the time at size 0 is not negative, whatever a few samples suggest
    const double max_slope = sum_time_ / std::max(sum_size_, min_spread);
    return std::clamp(fitted, 0.0, max_slope);
}

double size_regression::predict_ms(double size) const
{
    if (!has_samples())
    {
        return 0;
    }
    const double mean_size = sum_size_ / weight_;
    const double mean_time = sum_time_ / weight_;
    return std::max(0.0, mean_time + slope() * (size - mean_size));
}

void service_model::learn(const call_observation& observation)
{
    const auto elapsed = static_cast<double>(observation.elapsed.count());
    if (!observation.first_token || observation.tokens_written.get() <= 0)
    {
        uncached_start_.learn(kilobytes(observation.size), elapsed);
        return;
    }
    const auto first = static_cast<double>(observation.first_token->count());
    const auto tokens = static_cast<double>(observation.tokens_written.get());
    const bool cached = observation.cached_tokens.get() > 0;
    (cached ? cached_start_ : uncached_start_).learn(kilobytes(observation.size), first);
    cached_share_ = smoothed(cached_share_, cached ? 1 : 0);
    const double ms_per_token = std::max(0.0, elapsed - first) / tokens;
    const auto max_tokens = static_cast<double>(observation.size.max_tokens.get());
    const double share = max_tokens > 0 ? std::min(1.0, tokens / max_tokens) : 1.0;
    ms_per_token_ =
        tokens_known_ ? smoothed_low(ms_per_token_, ms_per_token) : ms_per_token;
    mean_tokens_ = tokens_known_ ? smoothed(mean_tokens_, tokens) : tokens;
    share_of_max_tokens_ = tokens_known_ ? smoothed(share_of_max_tokens_, share) : share;
    tokens_known_ = true;
}

double service_model::expected_tokens(const request_size& size) const
{
    const auto max_tokens = static_cast<double>(size.max_tokens.get());
    return max_tokens > 0 ? max_tokens * share_of_max_tokens_ : mean_tokens_;
}

double service_model::start_ms(const request_size& size) const
{
    const double size_kb = kilobytes(size);
    if (!cached_start_.has_samples())
    {
        return uncached_start_.predict_ms(size_kb);
    }
    if (!uncached_start_.has_samples())
    {
        return cached_start_.predict_ms(size_kb);
    }
    return cached_share_ * cached_start_.predict_ms(size_kb) +
           (1 - cached_share_) * uncached_start_.predict_ms(size_kb);
}

double service_model::prefix_saving_ms(const request_size& size) const
{
    if (!uncached_start_.has_samples())
    {
        return 0;
    }
    const double cached =
        cached_start_.has_samples() ? cached_start_.predict_ms(kilobytes(size)) : 0;
    return std::max(0.0, uncached_start_.predict_ms(kilobytes(size)) - cached);
}

double service_model::estimate_ms(const request_size& size) const
{
    return start_ms(size) + expected_tokens(size) * ms_per_token_;
}

double service_model::estimate_ms(const call_observation& observation) const
{
    const bool cached =
        observation.cached_tokens.get() > 0 && cached_start_.has_samples();
    const double start = (cached ? cached_start_ : uncached_start_)
                             .predict_ms(kilobytes(observation.size));
    const auto written = static_cast<double>(observation.tokens_written.get());
    return start + written * ms_per_token_;
}

} // namespace medlar
