#ifndef MEDLAR_DETAIL_CLUSTER_VIEW_PROPOSAL_HPP
#define MEDLAR_DETAIL_CLUSTER_VIEW_PROPOSAL_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/cluster/view.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace medlar
{

/// @brief observations of one gateway about members and processes waiting to join
struct membership_observations
{
    /// the observing gateway
    view_member self;
    /// members that were silent for the eviction time
    std::vector<incarnation> lost;
    /// processes that have requested to leave
    std::vector<incarnation> leaving;
    /// processes that respond but are in no view
    std::vector<view_member> waiting;
};

/// @brief Returns the members that the next view should have.
///
/// Adds waiting processes, each replacing an older process of its host or address, and
/// removes leaving and lost members. Lost members stay if without them less than half
/// of the view would remain, and the view never becomes empty.
/// @return the remaining members of @p current in their order, then the new ones
std::vector<view_member> next_members(const view& current,
                                      const membership_observations& observed);

/// @brief Returns the members of the first view: the observing gateway and the waiting
/// processes.
std::vector<view_member> first_members(const membership_observations& observed);

/// @brief Returns whether two lists have the same processes, in any order.
bool same_processes(const std::vector<view_member>& a, const std::vector<view_member>& b);

/// @brief Returns how many gateways should propose before this one: its position among
/// the members that are not lost, followed by the waiting processes.
std::size_t proposal_rank(const view& current, const membership_observations& observed);

/// @brief Tracks since when each member has been silent without interruption.
class silent_member_tracker
{
  public:
    /// @brief Records the members that are silent now; all others count as heard from.
    void update(const std::vector<incarnation>& silent, steady_time now);

    /// @brief Returns the members that have been silent for at least @p min_duration.
    std::vector<incarnation> silent_for(millis min_duration, steady_time now) const;

  private:
    std::map<incarnation, steady_time> since_;
};

/// @brief Decides when a change of the view is proposed: once it is stable, and later at
/// gateways of higher rank, so that normally only one of them proposes.
class proposal_schedule
{
  public:
    /// @param stable_time how long the proposed members must stay the same
    /// @param stagger additional delay per rank
    proposal_schedule(millis stable_time, millis stagger);

    /// @brief Records the members to be proposed.
    /// @return whether to propose them now
    bool due(const std::vector<view_member>& proposed, std::size_t rank, steady_time now);

    /// @brief Discards the pending change, after it was proposed or is no longer needed.
    void reset();

  private:
    millis stable_time_;
    millis stagger_;
    std::vector<view_member> proposed_;
    std::optional<steady_time> unchanged_since_;
    std::optional<steady_time> pending_since_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CLUSTER_VIEW_PROPOSAL_HPP
