#ifndef MEDLAR_DETAIL_DISPATCH_COLD_PERMIT_ISSUER_HPP
#define MEDLAR_DETAIL_DISPATCH_COLD_PERMIT_ISSUER_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/dispatch/permit_issuer.hpp>

#include <map>

namespace medlar
{

/// @brief Gives out the permits for calls to cold targets.
///
/// Unlike those of targets with a limit, they are spaced evenly: the bound of a cold
/// target is one of a single second, and a burst of each of two issuers would exceed it.
/// All processes of a target share them.
class cold_permit_issuer
{
  public:
    /// @brief Gives out a permit for a call.
    /// @param per_s see cold_permit_rate()
    permit issue(const target_id& target, double per_s, steady_time now);

    /// @brief Returns what issue() would, without giving out a permit.
    permit try_issue(const target_id& target, double per_s, steady_time now) const
    {
        return cold_permit_issuer(*this).issue(target, per_s, now);
    }

  private:
    struct issued_permits
    {
        /// when the next one can be had; a fraction of a millisecond counts, too
        double next_ms = 0;
        /// refusals since the last permit
        int refused = 0;
        steady_time asked_at;
    };

    void forget_idle(steady_time now);

    std::map<target_id, issued_permits> issued_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_COLD_PERMIT_ISSUER_HPP
