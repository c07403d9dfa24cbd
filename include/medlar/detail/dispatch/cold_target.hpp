#ifndef MEDLAR_DETAIL_DISPATCH_COLD_TARGET_HPP
#define MEDLAR_DETAIL_DISPATCH_COLD_TARGET_HPP

#include <medlar/detail/base/clock.hpp>

#include <optional>

namespace medlar
{

/// @brief How the targets of a pool behave while they are cold.
struct cold_rule
{
    /// how long a target is cold after it has started; 0 if starts do not make it cold
    millis after_start{0};
    /// requests per second that a cold target takes from all hosts; 0 if the pool has no
    /// cold targets
    double per_s = 0;
};

/// @brief The requests that a cold target may receive in one second: the rate of its pool
/// times @p over, plus @p slack.
struct cold_bound
{
    double over = 1.5;
    double slack = 5;
};

/// @brief longest time for which a statement makes a target cold; larger ones are cut
constexpr millis max_cold_time{600000};

/// @brief larger rates are cut: permits are spaced by 1 ms or more
constexpr double max_cold_per_s = 1000;

/// @brief Rate below which no permits are issued: a bound or a limit that allows less
/// still lets the target become warm.
constexpr double min_cold_permits_per_s = 0.1;

/// @brief Time from the question for a permit in which the request has to be written to
/// the target; a permit that would be used later is dropped.
///
/// It bounds how many permits of earlier seconds can be used within one second.
constexpr millis cold_permit_validity{200};

/// @brief Until when a target is cold, as far as a host knows.
class cold_phase
{
  public:
    /// @brief Records what the entry of the target says.
    /// @param left how much longer it is cold; unset if the entry does not say
    void record_entry(std::optional<millis> left, steady_time now);

    /// @brief Records what an answer of the target, or another host, says. It can only
    /// make the time longer: the answer may be older than the entry.
    void record_statement(millis left, steady_time now);

    /// @brief Records that a process has started at the target, whose cold time nobody
    /// has stated.
    void record_start(const cold_rule& rule, steady_time now);

    /// @brief Returns when the target stops being cold; in the past if it is not cold.
    steady_time until() const;

  private:
    steady_time entry_until_;
    steady_time stated_until_;
};

/// @brief Returns the number of permits per second that one host issues for a cold
/// target.
///
/// Two hosts may issue permits for one target for a while, since they know different
/// hosts. Both together stay within the bound, also if permits are used at the end of
/// their validity.
/// @param limit the limit that the target states; unset if it has none
double cold_permit_rate(const cold_rule& rule,
                        const cold_bound& bound,
                        std::optional<double> limit);

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_COLD_TARGET_HPP
