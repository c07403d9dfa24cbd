#ifndef MEDLAR_DETAIL_OWNERSHIP_OWNERSHIP_HPP
#define MEDLAR_DETAIL_OWNERSHIP_OWNERSHIP_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/base/outcome.hpp>
#include <medlar/detail/cluster/view.hpp>
#include <medlar/detail/ownership/timing.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace medlar
{

/// @brief Request of a lease holder to a member of its view to grant its lease.
struct grant_request
{
    incarnation from;
    /// view adopted by the holder
    view_epoch epoch;
    /// digest_of() that view; tells apart different views of the same epoch
    std::uint64_t view_digest = 0;
};

/// @brief reply to a grant_request
struct grant_reply
{
    incarnation from;
    bool granted = false;
    /// view adopted by the replying process
    view_epoch adopted;
};

/// @brief Notice from the previous home to the new home of the requests that moved: the
/// sender no longer accepts any of them and has transferred its claims.
struct handover_notice
{
    incarnation from;
    /// view adopted by the sender, in which the receiver is the home
    view_epoch epoch;
    /// the sender may lack claims of requests issued up to this time
    wall_time floor;
};

// alternatives of ownership_decision

/// @brief This process is the home and may run the request.
struct accept_run
{
};

/// @brief Another process is the home.
struct other_home
{
    view_member home;
};

/// @brief It is not decided yet which process may accept the request; the caller retries
/// soon.
struct ownership_pending
{
    /// answer if the request cannot wait
    outcome fallback;
};

/// @brief An earlier home no longer accepts requests, but its handover is missing. As
/// long as that process runs, its handover can still show whether the request is new.
struct handover_pending
{
    incarnation earlier_home;
    /// answer if no handover arrives
    outcome fallback;
};

/// @brief The request can never be accepted.
struct refuse
{
    outcome answer;
};

using ownership_decision =
    std::variant<accept_run, other_home, ownership_pending, handover_pending, refuse>;

/// @brief Ownership state of one gateway process: the adopted view, the grants given to
/// other homes, its own lease, and the requests it may accept.
///
/// A pure state machine without threads, sockets or clock, so that the model checker
/// explores the code that the gateway runs. docs/OWNERSHIP.md describes its states and
/// transitions.
class ownership
{
  public:
    /// @param self identity of this process
    /// @param timing durations, the same on all hosts
    static ownership create(incarnation self, const ownership_timing& timing);

    // views

    /// @brief Handles a view record read from the store or received from a peer.
    /// @return whether it is newer than the newest known record
    bool on_view_record(const view_record& record, steady_time now, wall_time wall_now);

    /// @brief Adopts the newest known view once no grant for an older one is in force.
    /// @return whether a view was adopted
    bool try_adopt(steady_time now);

    /// @brief Returns the adopted view, or nullptr.
    const view* adopted() const;

    /// @brief Returns the newest known record, or nullptr.
    const view_record* newest() const;

    /// @brief Returns whether this process is a member of the adopted view.
    bool is_member() const;

    /// @brief Returns whether every view before the newest known one is closed, so that
    /// another view may be proposed.
    bool may_propose() const;

    // grants to lease holders, including this process

    /// @brief Handles a grant request and returns the reply.
    grant_reply on_grant_request(const grant_request& request, steady_time now);

    // lease of this process

    /// @brief Returns the grant request to send to each member of the adopted view.
    grant_request make_grant_request() const;

    /// @brief Handles a grant reply.
    /// @param requested_at when the request was made, by the clock of this process
    void on_grant_reply(const grant_reply& reply, steady_time requested_at);

    /// @brief Returns whether a majority of the adopted view has granted the lease and
    /// it has not expired.
    bool lease_valid(steady_time now) const;

    /// @brief Returns when the lease expires unless further grants arrive; 0 without a
    /// lease.
    steady_time lease_until() const;

    // closing of older views

    /// @brief Records that a process has stopped, for example because its address
    /// answers with another incarnation.
    void on_stopped(incarnation process, steady_time now);

    /// @brief Closes the older views in which no majority can grant a lease any more.
    void try_close(steady_time now, wall_time wall_now);

    // handover

    /// @brief Returns the floor of the handover of what this process owned before its
    /// adopted view (see handover_notice::floor).
    /// @return unset if it cannot hand over, because it owned nothing or does not know
    ///     all of what it owned
    std::optional<wall_time> handover_floor() const;

    /// @brief Handles a handover of the requests that moved from the sender to this
    /// process.
    /// @note The sender's claims must already be in the claim table.
    void on_handover(const handover_notice& notice);

    // decisions

    /// @brief Decides whether this process may accept a request that has no claim here.
    /// @param key_hash hash_of() its key
    /// @param issued_at when the caller first issued the request
    /// @param states_first_attempt whether the caller states that it has not sent the
    ///     request before and will not send it again within
    ///     ownership_timing::first_attempt_window of its issue
    ownership_decision decide(std::uint64_t key_hash,
                              wall_time issued_at,
                              bool states_first_attempt,
                              steady_time now,
                              wall_time wall_now) const;

    /// @brief Returns the state as bytes for the model checker: times relative to @p now,
    /// without what has expired.
    std::string fingerprint(steady_time now, wall_time wall_now) const;

  private:
    ownership(incarnation self, const ownership_timing& timing);

    /// @brief Bound on the requests that an earlier home may have accepted. While not
    /// settled, that home may still accept requests; once settled, a request issued
    /// after the floor is certainly new.
    struct fence
    {
        bool settled = false;
        wall_time floor;
        /// earlier home whose handover may still lower the floor
        std::optional<incarnation> handover_from = std::nullopt;
    };

    std::size_t index_of(view_epoch epoch) const;
    bool is_closed(view_epoch epoch) const;
    void mark_closed(view_epoch epoch, wall_time wall_now);
    void record_adoption(incarnation process, view_epoch epoch);
    void store_views(const view_record& record);
    bool cannot_form_majority(const view& old, steady_time now) const;
    std::vector<steady_time> grant_request_times() const;
    /// @brief Returns the fence after a view without any handover.
    fence takeover_fence(view_epoch closed_view) const;
    /// @brief Returns the fence of one key, left by its last home before this process.
    fence fence_for(std::uint64_t key_hash) const;
    ownership_decision refuse_below_floor(const fence& inherited) const;
    /// @brief Returns the fence of all requests that this process gained when the view at
    /// @p index of views_ replaced the one before.
    fence fence_for_gained(std::size_t index) const;
    std::optional<outcome>
    check_issue_time(wall_time issued_at, bool first_attempt, wall_time wall_now) const;

    incarnation self_;
    ownership_timing timing_;
    std::optional<view_record> newest_;
    // known views, ascending by epoch without gaps
    std::vector<view> views_;
    // epoch of the adopted view; 0: none
    view_epoch adopted_{0};
    // when the last grant given by this process expires
    std::optional<steady_time> granted_until_;
    // grants received in the adopted view: when each was requested, by grantor
    std::map<incarnation, steady_time> grants_;
    // newest view known to be adopted, by process
    std::map<incarnation, view_epoch> adopted_by_;
    // when this process learned that another has stopped
    std::map<incarnation, steady_time> stopped_since_;
    // when this process learned that a view is closed
    std::map<view_epoch, wall_time> closed_at_;
    // floors received in handovers, by the view in which this process is the home and
    // by sender
    std::map<view_epoch, std::map<incarnation, wall_time>> handovers_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_OWNERSHIP_OWNERSHIP_HPP
