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

/// @brief What this gateway has heard of the other gateways.
/// @note Safe to call from every thread.
class peer_table
{
  public:
    /// @param self this process
    /// @param silence how long a member may be silent before it counts as not heard
    peer_table(incarnation self, millis silence);

    /// @brief Takes note of a message.
    /// @param known the sender's addresses if the message does not hold them
    void heard(incarnation from,
               const peer_news& news,
               const std::optional<view_member>& known,
               steady_time now);

    /// @brief A view was adopted: all its members have the time of silence from now on.
    void view_adopted(steady_time now);

    /// @brief Forgets processes that have long been silent.
    void forget_silent(steady_time now);

    /// @brief members of @p members that this gateway has not heard
    std::vector<incarnation> not_heard(const view& members, steady_time now) const;

    /// @brief members that most of the members heard, this one included, have not heard
    std::vector<incarnation> agreed_not_heard(const view& members, steady_time now) const;

    /// @brief processes heard that are not in @p members and do not leave
    std::vector<view_member> waiting(const view* members, steady_time now) const;

    /// @brief processes heard that have asked to be left out of the view
    std::vector<incarnation> leaving(steady_time now) const;

    /// @brief whether a process was heard within the time of silence
    bool heard_lately(incarnation process, steady_time now) const;

    /// @brief addresses of a process that made itself known
    std::optional<view_member> find(incarnation process) const;

    /// @brief all processes that made themselves known, or are members, and were heard
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
    const millis silence_;
    mutable std::mutex mutex_;
    std::map<incarnation, entry> entries_;
    steady_time adopted_at_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_MEMBERSHIP_PEER_TABLE_HPP
