#ifndef MEDLAR_DETAIL_ENTRY_PIECE_BROKER_HPP
#define MEDLAR_DETAIL_ENTRY_PIECE_BROKER_HPP

#include <medlar/detail/entry/piece_service.hpp>
#include <medlar/detail/hosts/peer_network.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace medlar
{

/// @brief identifies a job, the pieces of one stage of one request, at the broker
using broker_ticket = strong_type<struct broker_ticket_tag, std::uint64_t>;

/// @brief callbacks for the outcome of a job
struct broker_callbacks
{
    /// the owner refused the job; no other callback follows
    std::function<void(millis retry_after)> on_refused;
    std::function<void(int piece, const piece_result&)> on_piece;
    /// the request is a retry of a refused one, whose caller has waited since the refusal
    std::function<void(millis time_since_refusal)> on_retry_detected;
};

/// @brief Sends the jobs of this host's requests to the hosts that own their piece groups
/// and build the batched calls, and accepts jobs from other hosts. If an owner does not
/// answer, the job is reassigned to the next one, and finally to this host.
class piece_broker
{
  public:
    piece_broker(entry_context& context,
                 peer_network& peers,
                 piece_service& service,
                 path_controller& paths);

    piece_broker(const piece_broker&) = delete;
    piece_broker& operator=(const piece_broker&) = delete;

    /// a group and its current owner
    struct owned_group
    {
        piece_group group;
        host_id owner;
    };

    /// @brief Returns the group that executes a job of this host, and the host that owns
    /// it now.
    owned_group owner_of(const pool_id& pool, const piece_job& job) const;

    /// @brief Has the pieces of a stage executed by the owner of their group.
    broker_ticket submit(const pool_id& pool, piece_job job, broker_callbacks callbacks);

    /// @brief Cancels a job; none of its callbacks is called any more.
    void cancel(broker_ticket ticket);

    /// @brief Notifies the owner of a piece group of a refused request, so that a retry
    /// of it is recognized.
    void record_refusal(const pool_id& pool,
                        const failure_domain_id& domain,
                        const std::string& key);

    /// @brief Frees results, through the hosts whose calls made them: these account for
    /// the memory of the targets.
    void free(const std::vector<result_handle>& handles);

    /// @brief Handles a message that another host sent on a link of its own.
    /// @return false if its type is not one of the broker's
    bool handle_request(const std::shared_ptr<message_link>& from,
                        const nlohmann::json& message);

    /// @brief Handles the answer of an owner to a job of this host.
    /// @return false if its type is not one of the broker's
    bool handle_answer(const host_id& from, const nlohmann::json& message);

    /// @brief Reassigns the jobs of an owner whose link ended.
    void handle_owner_lost(const host_id& owner);

    /// @brief Gives up the jobs of a pool to which this host has lost the path: they are
    /// reassigned by the hosts that they belong to.
    void handle_path_lost(const pool_id& pool);

    /// @brief Gives up the jobs that wait here, since this host leaves: those whose
    /// pieces are at a target are kept until they return.
    void hand_over_waiting();

    /// @brief Cancels the jobs of a requesting host whose link ended.
    void handle_requester_lost(const message_link* link);

  private:
    /// a job of this host, at its owner
    struct open_job
    {
        pool_id pool;
        piece_group group;
        piece_job job;
        broker_callbacks callbacks;
        std::set<int> missing;
        host_id owner;
        bool is_local = false;
        job_ticket local;
        timer_id acknowledgement{0};
        int reassignments = 0;
        /// hosts that did not take it, since they have no path to the targets
        int rejections = 0;
    };

    /// a job of another host, executed by this one
    struct remote_job
    {
        std::weak_ptr<message_link> requester;
        const message_link* requester_key = nullptr;
        std::uint64_t number = 0;
        job_ticket ticket;
        std::set<int> missing;
    };

    /// @param key input of the job, or its attempt, see select_group()
    owned_group owner_for(const pool_id& pool,
                          const failure_domain_id& domain,
                          const std::string& key) const;
    void dispatch(broker_ticket ticket);
    void dispatch_locally(broker_ticket ticket, open_job& open);
    void
    record_expected(const open_job& open, bool is_late, millis expected, millis growth);
    void notify_retry(broker_ticket ticket, millis time_since_refusal);
    void reassign(broker_ticket ticket);
    /// @param maker the host that called the target
    void piece_done(broker_ticket ticket,
                    int piece,
                    const piece_result& result,
                    const host_id& maker);
    void refuse(broker_ticket ticket, millis retry_after);
    void handle_job(const std::shared_ptr<message_link>& from,
                    const nlohmann::json& message);
    void drop_remote(std::uint64_t key);
    /// whether another host should own the jobs of a pool
    bool is_left_to_others(const pool_id& pool) const;
    /// has the jobs that this host executes, and that are selected, executed by others
    void hand_over(const std::function<bool(const job_ticket&)>& is_selected);

    entry_context& context_;
    peer_network& peers_;
    piece_service& service_;
    path_controller& paths_;
    std::map<broker_ticket, open_job> open_jobs_;
    std::map<std::uint64_t, remote_job> remote_jobs_;
    /// the hosts whose calls made the results that this host's requests hold
    std::map<result_handle, host_id> makers_;
    std::uint64_t last_id_ = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_PIECE_BROKER_HPP
