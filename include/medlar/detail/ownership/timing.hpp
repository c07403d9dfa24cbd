#ifndef MEDLAR_DETAIL_OWNERSHIP_TIMING_HPP
#define MEDLAR_DETAIL_OWNERSHIP_TIMING_HPP

#include <medlar/detail/base/clock.hpp>

namespace medlar
{

/// @brief Durations on which the ownership of requests rests. All hosts of a system
/// use the same values.
struct ownership_timing
{
    /// how long a lease lasts from when it was asked for, at its holder
    millis lease{3000};
    /// how much longer than @ref lease a grantor keeps its grant, for clock drift
    millis drift_allowance{60};
    /// how often a holder renews
    millis renew_every{1000};
    /// how far a caller's clock may be from a host's
    millis caller_skew{500};
    /// how far two hosts' clocks may be from each other
    millis host_skew{100};
    /// how long after its issue a request is remembered
    millis retention{600000};

    /// how long after its issue a caller that states a first attempt sends it only once
    millis first_attempt_window{10000};

    /// @brief how long a grantor keeps a grant
    millis grant() const
    {
        return lease + drift_allowance;
    }

    /// @brief how long after its issue a claim is kept, so that no host whose clock is
    /// behind accepts a request whose claim another host has dropped
    millis claim_lifetime() const
    {
        return retention + host_skew * 2;
    }

    /// @brief how long after a takeover requests must have been issued to be new
    millis takeover_margin() const
    {
        return caller_skew + host_skew;
    }
};

} // namespace medlar

#endif // MEDLAR_DETAIL_OWNERSHIP_TIMING_HPP
