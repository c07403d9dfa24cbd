#ifndef MEDLAR_DETAIL_DISPATCH_STAGE_FORECAST_HPP
#define MEDLAR_DETAIL_DISPATCH_STAGE_FORECAST_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>

#include <map>

namespace medlar
{

/// @brief Class of jobs that are queued alike in a pool
struct forecast_key
{
    pool_id pool;
    int priority = 0;
    /// whether the jobs can only be late
    bool is_background = false;

    friend bool operator<(const forecast_key& a, const forecast_key& b);
};

/// @brief Recent estimates, by the owners of pools, of the time that a job takes there.
///
/// In a burst of 2.5 to 3 times the usual load at one stage of several, a request that
/// will be late at its last stage must not use the capacity of the first ones, which
/// other requests need to be in time. So the times of all stages are added up when a
/// request arrives. A queue that grows has grown by the time at which the stages before
/// are done. Estimates expire quickly; without one, the service time is used.
class stage_forecast
{
  public:
    /// @brief Records an estimate by an owner; smooths it with the one before.
    /// @param growth by how much the expected time grows in a second
    void record_estimate(const forecast_key& key,
                         millis expected,
                         millis growth,
                         steady_time now);

    /// @brief Returns the expected time of a job, at least its service time.
    /// @param service_time time of its calls without queueing
    /// @param ahead time from now until it is queued
    millis expected_time(const forecast_key& key,
                         millis service_time,
                         steady_time now,
                         millis ahead = millis(0)) const;

  private:
    struct estimate
    {
        double mean_ms = 0;
        double growth_ms_per_s = 0;
        steady_time updated_at;
    };

    std::map<forecast_key, estimate> estimates_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_STAGE_FORECAST_HPP
