#ifndef MEDLAR_DETAIL_LOOP_TCP_SILENCE_RULE_HPP
#define MEDLAR_DETAIL_LOOP_TCP_SILENCE_RULE_HPP

#include <medlar/detail/base/clock.hpp>

namespace medlar
{

/// @brief When TCP probes a silent peer of an idle connection, and when it gives the
/// connection up, as Linux does.
struct tcp_silence_rule
{
    /// time without a byte or an acknowledgement of the peer until the first probe, in
    /// whole seconds
    millis first_probe{1000};
    /// time between probes that are not acknowledged, in whole seconds
    millis probe_interval{1000};
    /// probes without acknowledgement after which the connection is given up, if
    /// user_timeout is 0
    int probes = 3;
    /// time without acknowledgement after which the connection is given up at the next
    /// probe, whatever their count; also of bytes that were sent; 0 if not set
    millis user_timeout{3500};

    /// @brief Returns the time from the last byte or acknowledgement of the peer until
    /// an idle connection is given up.
    constexpr millis given_up_after() const
    {
        if (user_timeout == millis(0))
        {
            return first_probe + probe_interval * probes;
        }
        // after one probe at least
        millis at = first_probe + probe_interval;
        while (at < user_timeout)
        {
            at = at + probe_interval;
        }
        return at;
    }

    /// @brief Returns how long a peer of an idle connection may be silent, whenever that
    /// begins, without losing the connection: a probe has to follow.
    constexpr millis longest_silence() const
    {
        const millis last_probe = given_up_after() - probe_interval;
        return last_probe - first_probe;
    }
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOOP_TCP_SILENCE_RULE_HPP
