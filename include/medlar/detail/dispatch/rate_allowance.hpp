#ifndef MEDLAR_DETAIL_DISPATCH_RATE_ALLOWANCE_HPP
#define MEDLAR_DETAIL_DISPATCH_RATE_ALLOWANCE_HPP

#include <medlar/detail/base/clock.hpp>

namespace medlar
{

/// @brief Token bucket of the requests that a target with a limit takes from all hosts.
///
/// Answers bursts and pools that are limited as a whole: what comes evenly is let through
/// at the full rate, and a burst of a quarter of a second at once. Two hosts that give
/// out permits for one target for a while, since they disagree on who does, stay below
/// the users' bound of one and a half times the limit and five requests in 4 s together.
class rate_allowance
{
  public:
    /// @param per_s requests per second; values that are too small to ever find out that
    /// the limit has ended are raised
    rate_allowance(double per_s, steady_time now);

    /// @brief Changes the limit; what was taken counts on.
    void set_rate(double per_s, steady_time now);

    /// @brief Takes one request.
    /// @return false if none is left now
    bool take(steady_time now);

    /// @brief Returns the time until take() succeeds if nothing else is taken.
    millis time_until_next(steady_time now);

  private:
    void refill(steady_time now);
    double capacity() const;

    double per_s_ = 0;
    double tokens_ = 1;
    steady_time filled_at_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_RATE_ALLOWANCE_HPP
