#ifndef MEDLAR_DETAIL_DISPATCH_EVENT_PACE_HPP
#define MEDLAR_DETAIL_DISPATCH_EVENT_PACE_HPP

#include <medlar/detail/base/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace medlar
{

/// @brief The times at which the events of one stream arrived.
class event_pace
{
  public:
    /// @brief Records the arrival of an event.
    void record(steady_time now);

    /// @brief Forgets the last arrival, since the next event comes from another target.
    void begin_target()
    {
        last_.reset();
        gaps_ms_.clear();
    }

    /// @brief Returns the arrival of the first event; unset before it.
    std::optional<steady_time> first() const
    {
        return first_;
    }

    /// @brief Returns the longest time between two events.
    millis longest_gap() const
    {
        return longest_gap_;
    }

    /// @brief Returns the time between two events of the current target while it does
    /// nothing else, in ms: the lower quartile, since the prompts of other requests are
    /// processed between many of the events.
    /// @return unset if too few events arrived
    std::optional<double> typical_gap_ms() const;

  private:
    std::optional<steady_time> first_;
    std::optional<steady_time> last_;
    millis longest_gap_{0};
    std::vector<std::uint16_t> gaps_ms_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_EVENT_PACE_HPP
