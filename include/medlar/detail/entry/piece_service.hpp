#ifndef MEDLAR_DETAIL_ENTRY_PIECE_SERVICE_HPP
#define MEDLAR_DETAIL_ENTRY_PIECE_SERVICE_HPP

#include <medlar/detail/dispatch/piece_owner.hpp>
#include <medlar/detail/dispatch/piece_queue.hpp>
#include <medlar/detail/dispatch/refused_requests.hpp>
#include <medlar/detail/entry/entry_context.hpp>
#include <medlar/detail/entry/piece_permits.hpp>
#include <medlar/detail/hosts/limit_controller.hpp>
#include <medlar/detail/hosts/path_controller.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace medlar
{

/// @brief callbacks for the outcome of a job
struct job_callbacks
{
    std::function<void(int piece, const piece_result&)> on_piece;
};

/// @brief identifies a job in this host's queues
struct job_ticket
{
    piece_group group;
    job_id job;
};

/// @brief Executes pieces of stages, for this host and for others, by batched calls to
/// the targets of the groups that this host owns.
class piece_service
{
  public:
    piece_service(entry_context& context,
                  limit_controller& limits,
                  path_controller& paths)
        : context_(context), limits_(limits), paths_(paths), permits_(context, limits)
    {
    }

    piece_service(const piece_service&) = delete;
    piece_service& operator=(const piece_service&) = delete;

    /// @brief Decides whether to accept a job, by whether it can be done in time. If it
    /// belongs to a retry of a refused request, its soft deadline is moved earlier by the
    /// time since the refusal.
    job_decision evaluate(const piece_group& group, piece_job& job);

    /// @brief Records the refusal of a request whose pieces belong to this group.
    void record_refusal(const piece_group& group, const std::string& key);

    /// @brief Adds a job to the queue of its group.
    job_ticket add(const piece_group& group, piece_job job, job_callbacks callbacks);

    /// @brief Cancels a job; none of its callbacks is called any more.
    void cancel(const job_ticket& ticket);

    /// @brief Returns whether all unfinished pieces of a job are queued.
    bool is_waiting(const job_ticket& ticket) const;

    /// @brief Frees results at the targets that hold them.
    void free(const std::vector<result_handle>& handles);

    /// @brief Returns whether a job of any group is unfinished.
    bool has_unfinished_jobs() const;

    /// @brief queued pieces and calls in progress, of all groups
    std::pair<std::size_t, std::size_t> load() const;

  private:
    struct group_state
    {
        explicit group_state(const piece_rule& rule) : queue(rule)
        {
        }

        piece_queue queue;
        refused_requests refusals;
        std::map<job_id, job_callbacks> callbacks;
        bool pump_pending = false;
        timer_id retry_timer{0};
    };

    /// a call in progress
    struct sent_call
    {
        piece_group group;
        piece_call_id id;
        target_id target;
        /// the process that gets the call, as far as this host knows
        process_start process;
        /// whether a connection was opened for the call
        bool is_new_connection = false;
        endpoint where;
        std::size_t pieces = 0;
        steady_time sent_at;
        int status = 0;
        std::string body;
        timer_id overdue_timer{0};
        timer_id give_up_timer{0};
        std::shared_ptr<client_call> call;
    };

    group_state& state_of(const piece_group& group);
    /// @param is_for_sending whether cold targets need a permit now
    void
    refresh_targets(const piece_group& group, group_state& state, bool is_for_sending);
    /// whether a target is not cold, or a permit for it is held; asks for one if pieces
    /// wait
    bool may_send_to(const piece_group& group,
                     const group_state& state,
                     const target_state& target);
    void schedule_pump(const piece_group& group);
    void pump(const piece_group& group);
    void send(const piece_group& group, const piece_call& call);
    void handle_call_end(const std::shared_ptr<sent_call>& call, call_end how);
    void handle_results(const sent_call& call,
                        const std::vector<piece_result>& results,
                        group_state& state);
    void log_answer(const sent_call& call,
                    const std::vector<piece_result>& results,
                    const piece_queue& queue) const;
    void start_timers(const std::shared_ptr<sent_call>& call, millis overdue_after);
    void append_answer(const std::shared_ptr<sent_call>& call, absl::string_view data);
    void give_up(const std::shared_ptr<sent_call>& call, call_end how);
    /// returns whether a target has given this answer before: each result has a handle of
    /// its own, so a second copy belongs to an earlier call. Answers without results are
    /// never taken for copies
    bool is_copy(const target_id& target, const std::vector<piece_result>& results);
    void deliver(group_state& state, const std::vector<finished_piece>& finished);
    void flush_frees();

    entry_context& context_;
    limit_controller& limits_;
    path_controller& paths_;
    piece_permits permits_;
    std::map<piece_group, std::unique_ptr<group_state>> groups_;
    std::set<std::shared_ptr<sent_call>> sent_calls_;
    /// hashes of the first results of the newest answers of each target
    std::map<target_id, std::deque<std::uint64_t>> answers_by_target_;
    std::map<endpoint, std::vector<result_handle>> to_free_;
    bool flush_pending_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_PIECE_SERVICE_HPP
