#ifndef MEDLAR_DETAIL_DISPATCH_WAIT_STATISTICS_HPP
#define MEDLAR_DETAIL_DISPATCH_WAIT_STATISTICS_HPP

#include <medlar/detail/base/clock.hpp>

#include <cstddef>
#include <map>

namespace medlar
{

/// @brief What a queue learns from its jobs in time: how long they wait in comparison to
/// what was computed, and how much work arrives.
///
/// Under overload, all requests are started that are expected to be just in time. If the
/// expected wait is a tenth too short, all of them are just late.
class wait_statistics
{
  public:
    /// @brief Records the wait of a completed job.
    /// @param computed_ms wait that was computed for it when it was added
    void record_wait(int priority, double actual_ms, double computed_ms, steady_time now);

    /// @brief Returns the ratio of recent waits to those computed, 0.5 to 3.
    double wait_factor(int priority, steady_time now) const;

    /// @brief Counts the pieces of a job that is added.
    void record_arrival(int priority, std::size_t pieces, steady_time now);

    /// @brief Returns the pieces a ms that arrive for jobs that are as urgent or more.
    double arrivals_per_ms(int priority, steady_time now) const;

  private:
    /// exponentially decayed sums
    struct wait_sums
    {
        double actual_ms = 0;
        double computed_ms = 0;
        steady_time updated_at;
    };

    std::map<int, wait_sums> waits_;
    /// exponentially decayed counts by priority, as of arrivals_updated_at_
    std::map<int, double> arrivals_;
    steady_time arrivals_updated_at_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_WAIT_STATISTICS_HPP
