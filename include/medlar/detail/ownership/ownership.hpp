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

/// @brief A holder asks a member of its view for a lease grant.
struct grant_request
{
    incarnation from;
    /// the view that the holder has adopted
    view_epoch epoch;
    /// digest_of() that view, so that two views of one number are never taken for one
    std::uint64_t view_digest = 0;
};

/// @brief answer to a grant_request
struct grant_reply
{
    incarnation from;
    bool granted = false;
    /// the newest view that the answering process has adopted
    view_epoch adopted;
};

/// @brief What an old home tells the new home of the requests that moved: it accepts
/// none of them any more, and these are the claims that it held.
struct handover_notice
{
    incarnation from;
    /// the view that the sender has adopted, in which the receiver is the home
    view_epoch epoch;
    /// requests issued before this were not all known to the sender
    wall_time floor;
};

// decisions on a request, in the order of their certainty

/// @brief this process is the home and may run the request
struct accept_run
{
};

/// @brief another process is the home
struct at_home
{
    view_member home;
};

/// @brief the home is not settled yet; ask again soon
struct not_settled
{
    /// what the answer is if the request cannot wait
    outcome otherwise;
};

/// @brief An earlier home acts no more, but has not handed over yet. While it lives its
/// handover tells whether the request is new.
struct awaits_handover
{
    incarnation earlier;
    /// what the answer is if no handover comes
    outcome otherwise;
};

/// @brief the request can never be accepted
struct refuse
{
    outcome answer;
};

using ownership_decision =
    std::variant<accept_run, at_home, not_settled, awaits_handover, refuse>;

/// @brief Ownership of requests at one gateway process: which view it has adopted,
/// what it has granted to other homes, whether its own lease holds, and which requests
/// it may accept.
///
/// A value without threads, sockets or clock; the model checker and the gateway use
/// the same one. docs/OWNERSHIP.md describes the states and steps.
class ownership
{
  public:
    /// @param self identity of this process
    /// @param timing durations shared by all hosts
    static ownership create(incarnation self, const ownership_timing& timing);

    // views

    /// @brief Takes note of a record read from the store or from a peer.
    /// @return whether it is newer than what was known
    bool learn(const view_record& record, steady_time now, wall_time wall_now);

    /// @brief Adopts the newest known view once no grant for an older one is in force.
    /// @return whether a view was adopted
    bool try_adopt(steady_time now);

    /// @brief the adopted view, or nullptr
    const view* adopted() const;

    /// @brief the newest known record, or nullptr
    const view_record* newest() const;

    /// @brief whether this process belongs to the adopted view
    bool is_member() const;

    /// @brief whether every view before the newest known one is closed, so that a
    /// further one may be proposed
    bool may_propose() const;

    // grants to others, the own one included

    /// @brief Answers a request for a grant.
    grant_reply on_grant_request(const grant_request& request, steady_time now);

    // the own lease

    /// @brief the grant request to send to each member of the adopted view
    grant_request make_grant_request() const;

    /// @brief Counts an answer.
    /// @param asked_at when the request was made, by this process's clock
    void on_grant_reply(const grant_reply& reply, steady_time asked_at);

    /// @brief whether a majority of the adopted view has granted the lease
    bool lease_valid(steady_time now) const;

    /// @brief until when the lease is valid if nothing more is granted
    steady_time lease_until() const;

    // evidence that older views are closed

    /// @brief Takes note that a process cannot act any more, such as when its address
    /// answers with another incarnation.
    void on_stopped(incarnation process, steady_time now);

    /// @brief Closes older views whose remaining members cannot make a majority.
    void try_close(steady_time now, wall_time wall_now);

    // handover

    /// @brief Whether this process can hand over what it owned before its adopted view.
    /// @return unset if it does not know all of it
    std::optional<wall_time> handover_floor() const;

    /// @brief Takes over the requests that moved from the sender to this process.
    /// @note The sender's claims must be in the claim table before.
    void on_handover(const handover_notice& notice);

    // decisions

    /// @brief Decides on a request of which this process has no claim.
    /// @param key_hash hash_of() its key
    /// @param issued_at when its caller first issued it
    /// @param states_first_attempt whether its caller states that it was never sent
    ///     before, and will not be until ownership_timing::first_attempt_window is over
    ownership_decision decide(std::uint64_t key_hash,
                              wall_time issued_at,
                              bool states_first_attempt,
                              steady_time now,
                              wall_time wall_now) const;

    /// @brief The state as bytes, for the model checker: times relative to @p now,
    /// without what is over.
    std::string fingerprint(steady_time now, wall_time wall_now) const;

  private:
    ownership(incarnation self, const ownership_timing& timing);

    /// @brief what is known of the requests of an earlier home: unsettled while that
    /// home may still accept, then only those issued after the floor are new
    struct fence
    {
        bool settled = false;
        wall_time floor;
        /// the earlier home, if it may still hand over and so lower the floor
        std::optional<incarnation> handover_from = std::nullopt;
    };

    std::size_t index_of(view_epoch epoch) const;
    bool closed(view_epoch epoch) const;
    void mark_closed(view_epoch epoch, wall_time wall_now);
    void note_adoption(incarnation process, view_epoch epoch);
    void remember_views(const view_record& record);
    bool cannot_make_majority(const view& old, steady_time now) const;
    std::vector<steady_time> grant_times() const;
    fence takeover_fence(view_epoch closed_view) const;
    fence fence_for(std::uint64_t key_hash) const;
    ownership_decision refused_by(const fence& taken_over) const;
    fence fence_of_gain(std::size_t index) const;
    std::optional<outcome>
    refused_for_age(wall_time issued_at, bool first_attempt, wall_time wall_now) const;

    incarnation self_;
    ownership_timing timing_;
    std::optional<view_record> newest_;
    // views known, ascending by epoch without gaps
    std::vector<view> views_;
    // adopted view; 0: none
    view_epoch adopted_{0};
    // end of the last grant given
    std::optional<steady_time> granted_until_;
    // when each grant of the adopted view was asked for
    std::map<incarnation, steady_time> grants_;
    // newest view that each process has adopted
    std::map<incarnation, view_epoch> adopted_by_;
    // since when each process is known to have stopped
    std::map<incarnation, steady_time> stopped_since_;
    // when this process learned that a view is closed
    std::map<view_epoch, wall_time> closed_at_;
    // floors received, by sender and by the view in which the receiver is home
    std::map<view_epoch, std::map<incarnation, wall_time>> handovers_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_OWNERSHIP_OWNERSHIP_HPP
