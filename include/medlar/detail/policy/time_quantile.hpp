#ifndef MEDLAR_DETAIL_POLICY_TIME_QUANTILE_HPP
#define MEDLAR_DETAIL_POLICY_TIME_QUANTILE_HPP

#include <algorithm>

namespace medlar
{

/// @brief Tracks a quantile of a changing series in constant memory by stochastic
/// approximation: the upward and downward steps balance at the quantile.
class time_quantile
{
  public:
    /// @param quantile between 0 and 1
    /// @param start estimate before the first sample
    time_quantile(double quantile, double start) : quantile_(quantile), value_(start)
    {
    }

    /// @brief Updates the estimate with a sample.
    void learn(double sample)
    {
        const double step = relative_step * std::max(value_, min_value);
        value_ += sample > value_ ? step * quantile_ : -step * (1 - quantile_);
    }

    /// @brief Returns the current estimate.
    double value() const
    {
        return value_;
    }

  private:
    static constexpr double relative_step = 0.05;
    static constexpr double min_value = 0.01;

    double quantile_;
    double value_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_TIME_QUANTILE_HPP
