#ifndef MEDLAR_DETAIL_OWNERSHIP_TIMING_HPP
#define MEDLAR_DETAIL_OWNERSHIP_TIMING_HPP

#include <medlar/detail/base/clock.hpp>

namespace medlar
{

/// @brief Durations of the ownership protocol. All hosts of a system must use the same
/// values.
struct ownership_timing
{
    /// validity of a lease at its holder, counted from when it was requested
    millis lease_duration{3000};
    /// how much longer than @ref lease_duration a grantor keeps its grant; allows for
    /// clock drift
    millis drift_allowance{60};
    /// interval at which a holder renews its lease
    millis renew_interval{1000};
    /// maximum difference between a caller's clock and a host's
    millis max_caller_skew{500};
    /// maximum difference between the clocks of two hosts
    millis max_host_skew{100};
    /// how long a request can be retried and still be recognised, counted from its
    /// issue
    millis retention{600000};
    /// how long a caller that states a first attempt must not resend the request,
    /// counted from its issue
    millis first_attempt_window{10000};

    /// @brief Returns how long a grantor keeps a grant.
    millis grant_duration() const
    {
        return lease_duration + drift_allowance;
    }

    /// @brief Returns how long a claim is kept, counted from the issue of its request.
    /// Exceeds @ref retention so that a host whose clock is behind does not accept a
    /// request whose claim another host has already dropped.
    millis claim_lifetime() const
    {
        return retention + max_host_skew * 2;
    }

    /// @brief Returns how long after the closing of an old view a request must have been
    /// issued to be certainly new to its new home.
    millis takeover_margin() const
    {
        return max_caller_skew + max_host_skew;
    }
};

} // namespace medlar

#endif // MEDLAR_DETAIL_OWNERSHIP_TIMING_HPP
