#ifndef MEDLAR_DETAIL_ENTRY_PIECE_BROKER_HPP
#define MEDLAR_DETAIL_ENTRY_PIECE_BROKER_HPP

#include <medlar/detail/entry/peer_network.hpp>
#include <medlar/detail/entry/piece_service.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace medlar
{

/// @brief identity of one stage of one request at the broker
using broker_ticket = strong_type<struct broker_ticket_tag, std::uint64_t>;

/// @brief receives what becomes of the pieces of a stage
struct broker_sink
{
    /// the owner does not take the job; nothing more follows
    std::function<void(millis retry_after)> on_refused;
    std::function<void(int piece, const piece_result&)> on_piece;
    /// the request was refused before; its caller waits since then
    std::function<void(millis waited)> on_returned;
};

/// @brief Brings pieces of this host's requests to the hosts that make up the calls, and
/// takes those of other hosts. If an owner does not answer, the next one takes its place,
/// this host at the latest.
class piece_broker
{
  public:
    piece_broker(entry_context& context, peer_network& peers, piece_service& service);

    piece_broker(const piece_broker&) = delete;
    piece_broker& operator=(const piece_broker&) = delete;

    /// @brief Has the pieces of a stage made.
    broker_ticket submit(const pool_id& pool, piece_job job, broker_sink sink);

    /// @brief Drops a job; nothing more is told of it.
    void cancel(broker_ticket ticket);

    /// @brief Tells the owner of a pool that a request is refused, so that it is known
    /// when it comes back.
    void note_refused(const pool_id& pool,
                      const failure_domain_id& domain,
                      const std::string& key);

    /// @brief Frees results of a pool's targets.
    void free(const pool_id& pool,
              const failure_domain_id& domain,
              const std::vector<result_handle>& handles);

    /// @brief Takes a message of another host about pieces.
    /// @return whether it was one
    bool take_request(const std::shared_ptr<message_link>& from,
                      const nlohmann::json& message);

    /// @brief Takes the answer of an owner.
    bool take_answer(const host_id& from, const nlohmann::json& message);

    /// @brief The link to an owner ended: its jobs go elsewhere.
    void owner_lost(const host_id& owner);

    /// @brief The link of another host ended: nobody waits for its jobs.
    void asker_lost(const message_link* link);

  private:
    struct open_job
    {
        pool_id pool;
        piece_group group;
        piece_job job;
        broker_sink sink;
        std::set<int> missing;
        host_id owner;
        bool is_local = false;
        job_ticket local;
        timer_id acknowledgement{0};
        int moves = 0;
    };

    struct foreign_job
    {
        std::weak_ptr<message_link> asker;
        const message_link* asker_key = nullptr;
        std::uint64_t number = 0;
        job_ticket ticket;
        std::set<int> missing;
    };

    /// a group and the host that makes up its calls now
    struct owned_group
    {
        piece_group group;
        host_id owner;
    };

    owned_group owner_for(const pool_id& pool, const failure_domain_id& domain);
    void place(broker_ticket ticket);
    void place_here(broker_ticket ticket, open_job& open);
    void note_verdict(const open_job& open, bool is_late, millis expected);
    void tell_returned(broker_ticket ticket, millis waited);
    void move(broker_ticket ticket);
    void piece_done(broker_ticket ticket, int piece, const piece_result& result);
    void refuse(broker_ticket ticket, millis retry_after);
    void take_job(const std::shared_ptr<message_link>& from,
                  const nlohmann::json& message);
    void drop_foreign(std::uint64_t key);

    entry_context& context_;
    peer_network& peers_;
    piece_service& service_;
    std::map<broker_ticket, open_job> open_;
    std::map<std::uint64_t, foreign_job> foreign_;
    std::uint64_t last_id_ = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_PIECE_BROKER_HPP
