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

/// @brief what one gateway has seen of members and of those that wait to be members
struct membership_evidence
{
    /// the gateway whose sight this is
    view_member self;
    /// members not heard from for the eviction time
    std::vector<incarnation> lost;
    /// processes that have asked to be left out
    std::vector<incarnation> leaving;
    /// processes that answer but are in no view
    std::vector<view_member> waiting;
};

/// @brief The members that the next view should have.
///
/// Adds waiting processes, each in place of an older process of its host or address;
/// leaves out leaving and lost members. Lost members stay if fewer than half of the
/// view would be left of it, and the view is never emptied.
/// @return the members of @p current in their order, then the new ones
std::vector<view_member> next_members(const view& current,
                                      const membership_evidence& seen);

/// @brief The members of the first view: the gateway itself and those that wait.
std::vector<view_member> first_members(const membership_evidence& seen);

/// @brief whether two lists have the same processes, in any order
bool same_processes(const std::vector<view_member>& a, const std::vector<view_member>& b);

/// @brief How many gateways should propose before this one: its place among the
/// members that stay, the waiting ones after them.
std::size_t proposal_rank(const view& current, const membership_evidence& seen);

/// @brief Since when each member has been reported as not heard from, without a gap.
class silence_record
{
  public:
    /// @brief Takes over a report.
    void update(const std::vector<incarnation>& not_heard, steady_time now);

    /// @brief processes that were reported for at least @p at_least
    std::vector<incarnation> lost(millis at_least, steady_time now) const;

  private:
    std::map<incarnation, steady_time> since_;
};

/// @brief When a wanted change of the view is proposed: after it has settled, and
/// later at gateways of higher rank, so that one of them proposes.
class proposal_schedule
{
  public:
    /// @param settle how long the wanted members must stay the same
    /// @param stagger how much later each further rank proposes
    proposal_schedule(millis settle, millis stagger);

    /// @brief Takes note of the members wanted now.
    /// @return whether to propose them now
    bool due(const std::vector<view_member>& wanted, std::size_t rank, steady_time now);

    /// @brief Nothing is wanted any more, or it was proposed.
    void reset();

  private:
    millis settle_;
    millis stagger_;
    std::vector<view_member> wanted_;
    std::optional<steady_time> unchanged_since_;
    std::optional<steady_time> wanted_since_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CLUSTER_VIEW_PROPOSAL_HPP
