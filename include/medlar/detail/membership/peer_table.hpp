#ifndef MEDLAR_DETAIL_MEMBERSHIP_PEER_TABLE_HPP
#define MEDLAR_DETAIL_MEMBERSHIP_PEER_TABLE_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/cluster/view.hpp>
#include <medlar/detail/membership/messages.hpp>

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace medlar
{

/// @brief The other gateways, with what their last messages stated and when those came.
/// @note Safe to call from every thread.
class peer_table
{
  public:
    /// @param silence_timeout how long a process may send nothing before it counts as
    /// silent
    peer_table(incarnation self, millis silence_timeout);

    /// @brief Records a message from a peer.
    /// @param known the sender as known from elsewhere, used if the gossip has no sender
    void record_message(incarnation from,
                        const peer_gossip& gossip,
                        const std::optional<view_member>& known,
                        steady_time now);

    /// @brief Restarts the silence timeout of all members, after a view was adopted.
    void view_adopted(steady_time now);

    /// @brief Removes processes that have been silent for several timeouts.
    void forget_silent(steady_time now);

    /// @brief members of @p members that are silent for this gateway
    std::vector<incarnation> not_heard(const view& members, steady_time now) const;

    /// @brief members that are silent for this gateway and by the reports of a majority
    /// of the responding members, this one included
    std::vector<incarnation> majority_not_heard(const view& members,
                                                steady_time now) const;

    /// @brief responding processes that are not in @p members and are not leaving
    std::vector<view_member> waiting(const view* members, steady_time now) const;

    /// @brief responding processes that have asked to be left out of the view
    std::vector<incarnation> leaving(steady_time now) const;

    /// @brief whether a message of the process arrived within the silence timeout
    bool is_responding(incarnation process, steady_time now) const;

    /// @brief Returns the member entry of a process; unset if it has sent no message or
    /// its address is unknown.
    std::optional<view_member> find(incarnation process) const;

    /// @brief all responding processes whose addresses are known
    std::vector<view_member> known(steady_time now) const;

  private:
    struct entry
    {
        std::optional<view_member> member;
        steady_time heard_at;
        std::vector<incarnation> not_heard;
        bool leaving = false;
    };

    bool is_silent(incarnation process, steady_time now) const;
    std::vector<incarnation> silent_members(const view& members, steady_time now) const;

    const incarnation self_;
    const millis silence_timeout_;
    mutable std::mutex mutex_;
    std::map<incarnation, entry> entries_;
    steady_time adopted_at_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_MEMBERSHIP_PEER_TABLE_HPP
