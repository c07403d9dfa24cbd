#ifndef MEDLAR_DETAIL_DISPATCH_REFUSAL_TOLERANCE_HPP
#define MEDLAR_DETAIL_DISPATCH_REFUSAL_TOLERANCE_HPP

#include <medlar/detail/base/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace medlar
{

/// @brief A refusal for lack of capacity as hosts tell each other of it
struct refusal_report
{
    /// random number, equal at all hosts
    std::uint64_t id = 0;
    millis age{0};
};

/// @brief What the counting host lets all hosts do after a refusal
struct refusal_ruling
{
    /// time without calls to the target
    millis pause{0};
    /// time in which each call needs a permit, from the same moment on
    millis permits{0};
};

/// @brief Answer to a request for a permit to call a target that may refuse the call
struct refusal_permit
{
    bool is_granted = false;
    /// time until the next one can be had
    millis wait{0};
    /// time until calls need no permits; 0 if they need none now
    millis needed{0};
};

/// @brief Keeps the refusals of a target, by all hosts together, within the number per
/// second that it tolerates.
///
/// Each host has one for each target with such a limit. A refusal pauses the target for
/// pause_after_refusal(). The host that counts then shortens that pause at all hosts, as
/// far as the refusals of the last second permit. A host that does not hear it keeps to
/// the longer pause.
///
/// While a third of the limit is used up, calls need permits of the counting host. A call
/// for which one was given out counts like a refusal until it would have been refused.
class refusal_tolerance
{
  public:
    /// @brief Returns whether the counting host shortens pauses for a limit. It does not
    /// for less than 2 refusals per second: one that is not heard of in time would exceed
    /// them.
    static bool is_countable(double per_s);

    /// @brief Records a refusal, of this host or of another one.
    /// @param pause time for which it pauses the target unless a ruling shortens that
    void record(std::uint64_t id, millis pause, steady_time now);

    /// @brief Records a refusal that another host knew of; it only counts.
    void record_earlier(const refusal_report& known, steady_time now);

    /// @brief Records what the counting host has decided after a refusal.
    void apply(std::uint64_t id, const refusal_ruling& ruling, steady_time now);

    /// @brief Records how long calls need permits.
    void set_permits_needed(millis left, steady_time now)
    {
        permits_until_ = now + left;
    }

    /// @brief Returns the refusals of the last second, the latest 64 of them.
    std::vector<refusal_report> recent(steady_time now) const;

    /// @brief Returns until when the target gets no calls of this host.
    steady_time paused_until() const;

    /// @brief Returns until when a host without rulings sends no calls, as if each
    /// refusal paused the target.
    /// @param pause see pause_after_refusal()
    steady_time paused_without_rulings_until(millis pause) const;

    /// @brief Returns until when calls of this host need permits.
    steady_time permits_needed_until() const
    {
        return permits_until_;
    }

    /// @brief Decides, at the counting host, how long the target is paused.
    /// @param per_s refusals per second that the target tolerates
    refusal_ruling rule(double per_s, steady_time now) const;

    /// @brief Gives out, at the counting host, a permit for a call.
    refusal_permit issue(double per_s, steady_time now);

    /// @brief Returns what issue() would, without giving out a permit.
    refusal_permit try_issue(double per_s, steady_time now) const
    {
        return refusal_tolerance(*this).issue(per_s, now);
    }

    /// @brief Returns whether nothing of it is in effect any more.
    bool is_idle(steady_time now) const;

  private:
    struct known_refusal
    {
        std::uint64_t id = 0;
        steady_time at;
        /// no later than this without a ruling
        steady_time paused_until;
        bool is_ruled = false;
    };

    known_refusal& find_or_add(std::uint64_t id, steady_time at);
    void forget(steady_time now);
    std::size_t count(steady_time now) const;
    /// time until fewer than @p limit refusals count
    millis time_until_below(double limit, steady_time now) const;

    /// in order of time
    std::deque<known_refusal> refusals_;
    /// from the latest ruling
    steady_time ruled_pause_until_;
    steady_time permits_until_;
    /// when permits were given out, at the counting host
    std::deque<steady_time> issued_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_REFUSAL_TOLERANCE_HPP
