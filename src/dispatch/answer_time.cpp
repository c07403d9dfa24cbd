#include <medlar/detail/dispatch/answer_time.hpp>

#include <cmath>

namespace medlar
{

namespace
{

// estimate before the first measurement
constexpr millis initial_estimate{1000};

// weights of the newest measurement, and of the deviation in the estimate (RFC 6298)
constexpr double mean_weight = 0.125;
constexpr double deviation_weight = 0.25;
constexpr double deviations = 4;

} // namespace

void answer_time::record(millis took)
{
    const auto measured_ms = static_cast<double>(took.count());
    if (!is_measured_)
    {
        is_measured_ = true;
        mean_ms_ = measured_ms;
        deviation_ms_ = measured_ms / 2;
        return;
    }
    deviation_ms_ +=
        deviation_weight * (std::abs(measured_ms - mean_ms_) - deviation_ms_);
    mean_ms_ += mean_weight * (measured_ms - mean_ms_);
}

millis answer_time::estimate() const
{
    return is_measured_ ? millis(std::lround(mean_ms_ + deviations * deviation_ms_))
                        : initial_estimate;
}

} // namespace medlar
