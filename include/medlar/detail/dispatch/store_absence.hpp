#ifndef MEDLAR_DETAIL_DISPATCH_STORE_ABSENCE_HPP
#define MEDLAR_DETAIL_DISPATCH_STORE_ABSENCE_HPP

#include <medlar/detail/base/clock.hpp>

namespace medlar
{

/// @brief Tells after which absences of the store the entries of live targets may have
/// lapsed. Has no I/O and no clock.
///
/// A target writes its entry in each heartbeat, and the entry lapses after three without
/// a write. Several short absences in a row may hit the writes of one target each time:
/// they count as one until the store has answered for a whole heartbeat.
class store_absence
{
  public:
    /// @param heartbeat time between two writes of a target
    store_absence(millis heartbeat, steady_time now);

    /// @brief Sets the time between two writes of a target.
    void set_heartbeat(millis heartbeat)
    {
        heartbeat_ = heartbeat;
    }

    /// @brief Records that the store has answered this host.
    /// @param is_return whether calls have failed before, or were not made for long
    /// @return whether this ends an absence in which entries may have lapsed
    bool record_answer(steady_time now, bool is_return);

    /// @brief Records that the store has answered a relay of this host.
    /// @param as_of the time at which it answered
    void record_relay_answer(steady_time as_of);

  private:
    /// least length of an absence in which entries may lapse
    millis time_to_lapse() const;

    millis heartbeat_;
    /// last answer before the absences that count as one
    steady_time absent_since_;
    /// end of the last absence
    steady_time returned_at_;
    steady_time last_answer_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_STORE_ABSENCE_HPP
