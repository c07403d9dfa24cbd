#ifndef MEDLAR_DETAIL_MEMBERSHIP_LEAVING_TARGETS_HPP
#define MEDLAR_DETAIL_MEMBERSHIP_LEAVING_TARGETS_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/membership/messages.hpp>

#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace medlar
{

/// @brief Targets that get no new work, by what the local controller, this gateway's
/// own calls and its peers have seen.
///
/// What a gateway saw itself is told to its peers with the time that is left of it; the
/// time only shrinks on its way, so that an entry ends everywhere. A target that the
/// controller listed and lists no longer is live again.
/// @note Safe to call from every thread.
class leaving_targets
{
  public:
    /// @brief the target has itself refused work because it is leaving
    /// @return whether the list has changed
    bool observe(const target_id& target, steady_time now);

    /// @brief takes over the controller's list; what peers tell of a target that is on it
    /// no longer is older news and is left out for a while
    /// @return whether the list has changed
    bool set_listed(const std::vector<target_id>& listed, steady_time now);

    /// @brief takes over a peer's entries
    /// @return whether the list has changed
    bool merge(const std::vector<leaving_target>& told, steady_time now);

    /// @brief drops entries whose time is over
    /// @return whether the list has changed
    bool expire(steady_time now);

    /// @brief all targets of the list, sorted
    std::vector<target_id> all() const;

    /// @brief what to tell to peers
    std::vector<leaving_target> to_tell(steady_time now) const;

  private:
    std::set<target_id> names() const;
    bool extend(const target_id& target, steady_time until);

    mutable std::mutex mutex_;
    std::set<target_id> listed_;
    std::map<target_id, steady_time> seen_until_;
    // targets that have come back, and until when peers' news of them is old
    std::map<target_id, steady_time> back_until_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_MEMBERSHIP_LEAVING_TARGETS_HPP
