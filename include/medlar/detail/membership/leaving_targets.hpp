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

/// @brief Targets that get no new work, as reported by the local controller, this
/// gateway's own calls and its peers.
///
/// A refusal that a gateway received itself is sent to its peers with its remaining
/// lifetime. The lifetime only shrinks as it is passed on, so the entry expires at every
/// gateway. A target that the controller has removed from its list is live again.
/// @note Safe to call from every thread.
class leaving_targets
{
  public:
    /// @brief Records that the target has refused work because it is leaving.
    /// @return whether the list has changed
    bool record_refusal(const target_id& target, steady_time now);

    /// @brief Replaces the controller's list. Peers' entries for a target that was
    /// removed from it are outdated and are ignored for a while.
    /// @return whether the list has changed
    bool set_controller_list(const std::vector<target_id>& listed, steady_time now);

    /// @brief Merges the entries of a peer.
    /// @return whether the list has changed
    bool merge(const std::vector<leaving_target>& entries, steady_time now);

    /// @brief Removes expired entries.
    /// @return whether the list has changed
    bool expire(steady_time now);

    /// @brief all targets of the list, sorted
    std::vector<target_id> all() const;

    /// @brief entries to send to peers
    std::vector<leaving_target> entries_for_peers(steady_time now) const;

  private:
    std::set<target_id> names() const;
    bool extend(const target_id& target, steady_time until);

    mutable std::mutex mutex_;
    std::set<target_id> controller_list_;
    std::map<target_id, steady_time> leaving_until_;
    // targets that are live again, and until when peers' entries for them are ignored
    std::map<target_id, steady_time> returned_until_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_MEMBERSHIP_LEAVING_TARGETS_HPP
