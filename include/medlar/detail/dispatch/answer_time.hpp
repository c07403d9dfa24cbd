#ifndef MEDLAR_DETAIL_DISPATCH_ANSWER_TIME_HPP
#define MEDLAR_DETAIL_DISPATCH_ANSWER_TIME_HPP

#include <medlar/detail/base/clock.hpp>

namespace medlar
{

/// @brief Estimates how long a target takes to answer a request completely.
///
/// The estimate is the mean of recent answers plus four times their mean deviation, as
/// for the retransmission timeout of TCP (RFC 6298), so that few answers take longer.
class answer_time
{
  public:
    /// @brief Records the time from sending a request to the end of its answer.
    void record(millis took);

    /// @brief Returns the time in which nearly all answers are complete.
    millis estimate() const;

  private:
    bool is_measured_ = false;
    double mean_ms_ = 0;
    double deviation_ms_ = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_ANSWER_TIME_HPP
