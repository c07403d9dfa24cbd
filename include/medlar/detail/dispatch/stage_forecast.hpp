#ifndef MEDLAR_DETAIL_DISPATCH_STAGE_FORECAST_HPP
#define MEDLAR_DETAIL_DISPATCH_STAGE_FORECAST_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>

#include <map>

namespace medlar
{

/// @brief the jobs that wait together in a pool
struct forecast_key
{
    pool_id pool;
    int priority = 0;
    /// whether the jobs can only be late
    bool is_background = false;

    friend bool operator<(const forecast_key& a, const forecast_key& b);
};

/// @brief What the owners of pools said lately of the time that a job needs there.
///
/// Load: a burst of 2.5 to 3 times at one stage of several. A request that will be late
/// at its last stage must not take the first ones from those that can be in time; so the
/// time of all its stages is added up when it arrives. Words of owners age quickly, and
/// without any a stage is expected to need its plain time.
class stage_forecast
{
  public:
    /// @brief Takes the word of an owner.
    void note(const forecast_key& key, millis expected, steady_time now);

    /// @brief the expected time of a job
    /// @param plain the time of its calls alone
    millis expected(const forecast_key& key, millis plain, steady_time now) const;

  private:
    struct word
    {
        double mean_ms = 0;
        steady_time at;
    };

    std::map<forecast_key, word> words_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_STAGE_FORECAST_HPP
