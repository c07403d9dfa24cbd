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
constexpr double least_spread = 1e-6;

double kilobytes(const request_size& size)
{
    return static_cast<double>(size.input.get()) / bytes_per_kilobyte;
}

double smoothed(double old_value, double sample)
{
    return old_value + smoothing * (sample - old_value);
}

/// @brief moves towards samples below faster than towards samples above
double low_smoothed(double old_value, double sample)
{
    const double step = sample > old_value ? smoothing * weight_above_line : smoothing;
    return old_value + step * (sample - old_value);
}

} // namespace

void size_line::learn(double size, double time_ms)
{
    const double weight = known() && time_ms > at(size) ? weight_above_line : 1.0;
    weight_ = weight_ * sample_decay + weight;
    sum_size_ = sum_size_ * sample_decay + weight * size;
    sum_time_ = sum_time_ * sample_decay + weight * time_ms;
    sum_size_size_ = sum_size_size_ * sample_decay + weight * size * size;
    sum_size_time_ = sum_size_time_ * sample_decay + weight * size * time_ms;
}

double size_line::slope() const
{
    const double spread = sum_size_size_ - sum_size_ * sum_size_ / weight_;
    if (spread < least_spread * weight_)
    {
        return 0;
    }
    const double fitted = (sum_size_time_ - sum_size_ * sum_time_ / weight_) / spread;
    // the time at size 0 is not negative, whatever a few samples say
    const double steepest = sum_time_ / std::max(sum_size_, least_spread);
    return std::clamp(fitted, 0.0, steepest);
}

double size_line::at(double size) const
{
    if (!known())
    {
        return 0;
    }
    const double mean_size = sum_size_ / weight_;
    const double mean_time = sum_time_ / weight_;
    return std::max(0.0, mean_time + slope() * (size - mean_size));
}

void service_model::learn(const call_observation& seen)
{
    const auto elapsed = static_cast<double>(seen.elapsed.count());
    if (!seen.first_token || seen.tokens_written.get() <= 0)
    {
        start_.learn(kilobytes(seen.size), elapsed);
        return;
    }
    const auto first = static_cast<double>(seen.first_token->count());
    const auto tokens = static_cast<double>(seen.tokens_written.get());
    const bool cached = seen.cached_tokens.get() > 0;
    (cached ? cached_start_ : start_).learn(kilobytes(seen.size), first);
    cached_share_ = smoothed(cached_share_, cached ? 1 : 0);
    const double ms_per_token = std::max(0.0, elapsed - first) / tokens;
    const auto most = static_cast<double>(seen.size.max_tokens.get());
    const double share = most > 0 ? std::min(1.0, tokens / most) : 1.0;
    ms_per_token_ =
        tokens_known_ ? low_smoothed(ms_per_token_, ms_per_token) : ms_per_token;
    mean_tokens_ = tokens_known_ ? smoothed(mean_tokens_, tokens) : tokens;
    share_of_max_tokens_ = tokens_known_ ? smoothed(share_of_max_tokens_, share) : share;
    tokens_known_ = true;
}

double service_model::expected_tokens(const request_size& size) const
{
    const auto most = static_cast<double>(size.max_tokens.get());
    return most > 0 ? most * share_of_max_tokens_ : mean_tokens_;
}

double service_model::start_ms(const request_size& size) const
{
    const double size_kb = kilobytes(size);
    if (!cached_start_.known())
    {
        return start_.at(size_kb);
    }
    if (!start_.known())
    {
        return cached_start_.at(size_kb);
    }
    return cached_share_ * cached_start_.at(size_kb) +
           (1 - cached_share_) * start_.at(size_kb);
}

double service_model::prefix_saving_ms(const request_size& size) const
{
    if (!start_.known())
    {
        return 0;
    }
    const double cached = cached_start_.known() ? cached_start_.at(kilobytes(size)) : 0;
    return std::max(0.0, start_.at(kilobytes(size)) - cached);
}

double service_model::estimate_ms(const request_size& size) const
{
    return start_ms(size) + expected_tokens(size) * ms_per_token_;
}

double service_model::estimate_ms(const call_observation& seen) const
{
    const bool cached = seen.cached_tokens.get() > 0 && cached_start_.known();
    const double start = (cached ? cached_start_ : start_).at(kilobytes(seen.size));
    const auto written = static_cast<double>(seen.tokens_written.get());
    return start + written * ms_per_token_;
}

} // namespace medlar
