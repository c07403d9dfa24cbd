#ifndef MEDLAR_DETAIL_DISPATCH_PERMIT_ISSUER_HPP
#define MEDLAR_DETAIL_DISPATCH_PERMIT_ISSUER_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/dispatch/rate_allowance.hpp>
#include <medlar/detail/dispatch/target_starts.hpp>

#include <map>
#include <optional>

namespace medlar
{

/// @brief Answer to a request for a permit
struct permit
{
    bool is_granted = false;
    /// time until the next one can be had
    millis wait{0};
    /// the target no longer has a limit
    bool has_ended = false;
};

/// @brief How permits for a target are to be had
struct permit_terms
{
    /// requests per second of all hosts
    double per_s = 0;
    host_id issuer;
    /// whether it is cold, or else has a limit
    bool is_for_cold = false;
};

/// @brief Gives out the permits for calls to targets with a limit.
///
/// Hosts may know different starts of a target. A call of a host that knows an earlier
/// one reaches the process that has started since, so its permit counts for that process
/// too. What the limit is, and that it has ended, holds for the start of which it was
/// said.
class permit_issuer
{
  public:
    /// @brief Gives out a permit for a call.
    /// @param start the process that the host knows at the target
    /// @param per_s the limit that the target has stated
    /// @param stated_at when it last stated that
    permit issue(const process_start& start,
                 double per_s,
                 steady_time stated_at,
                 steady_time now);

    /// @brief Returns what issue() would, without giving out a permit.
    permit try_issue(const process_start& start,
                     double per_s,
                     steady_time stated_at,
                     steady_time now) const
    {
        return permit_issuer(*this).issue(start, per_s, stated_at, now);
    }

    /// @brief Records that a target has stated no limit any more.
    void record_end(const process_start& start, steady_time now);

  private:
    /// the permits for one process
    struct issued_permits
    {
        rate_allowance allowance;
        /// when the target last stated the limit, and that it has none any more
        steady_time stated_at;
        std::optional<steady_time> ended_at;
        steady_time asked_at;
    };

    using permit_map = std::map<process_start, issued_permits>;

    permit_map::iterator find_or_add(const process_start& start,
                                     double per_s,
                                     steady_time stated_at,
                                     steady_time now);
    void forget_idle(steady_time now);

    permit_map issued_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_PERMIT_ISSUER_HPP
