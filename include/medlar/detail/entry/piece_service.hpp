#ifndef MEDLAR_DETAIL_ENTRY_PIECE_SERVICE_HPP
#define MEDLAR_DETAIL_ENTRY_PIECE_SERVICE_HPP

#include <medlar/detail/dispatch/piece_owner.hpp>
#include <medlar/detail/dispatch/piece_queue.hpp>
#include <medlar/detail/dispatch/refused_callers.hpp>
#include <medlar/detail/entry/entry_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace medlar
{

/// @brief receives what becomes of a job
struct job_sink
{
    std::function<void(int piece, const piece_result&)> on_piece;
};

/// @brief a job at this host's queues
struct job_ticket
{
    piece_group group;
    job_id job;
};

/// @brief Makes pieces of stages for this host and for others, at the targets of the
/// groups that this host owns.
class piece_service
{
  public:
    explicit piece_service(entry_context& context) : context_(context)
    {
    }

    piece_service(const piece_service&) = delete;
    piece_service& operator=(const piece_service&) = delete;

    /// @brief Says whether a job can be done in time. The aim of a request that was
    /// refused before is counted from then.
    job_verdict judge(const piece_group& group, piece_job& job);

    /// @brief Notes that a request is refused which would have been this group's.
    void note_refused(const piece_group& group, const std::string& key);

    /// @brief Adds a job.
    job_ticket add(const piece_group& group, piece_job job, job_sink sink);

    /// @brief Drops a job; nothing more is told of it.
    void cancel(const job_ticket& ticket);

    /// @brief Frees results at the targets that hold them.
    void free(const std::vector<result_handle>& handles);

    /// @brief pieces that wait, and calls in progress, of all groups
    std::pair<std::size_t, std::size_t> load() const;

  private:
    struct group_state
    {
        explicit group_state(const piece_rule& rule) : queue(rule)
        {
        }

        piece_queue queue;
        refused_callers callers;
        std::map<job_id, job_sink> sinks;
        bool pump_pending = false;
        timer_id retry{0};
    };

    /// a call in progress
    struct sent_call
    {
        piece_group group;
        piece_call_id id;
        target_id target;
        std::size_t pieces = 0;
        steady_time sent_at;
        int status = 0;
        std::string body;
        timer_id overdue{0};
        timer_id give_up{0};
        std::shared_ptr<client_call> call;
    };

    group_state& state_of(const piece_group& group);
    void refresh_targets(const piece_group& group, group_state& state);
    void pump_soon(const piece_group& group);
    void pump(const piece_group& group);
    void send(const piece_group& group, const piece_call& call);
    void ended(const std::shared_ptr<sent_call>& call, call_end how);
    void log_answer(const sent_call& call,
                    const std::vector<piece_result>& results,
                    const piece_queue& queue) const;
    void watch_time(const std::shared_ptr<sent_call>& call, millis overdue_after);
    void deliver(group_state& state, const std::vector<finished_piece>& finished);
    void flush_freed();

    entry_context& context_;
    std::map<piece_group, std::unique_ptr<group_state>> groups_;
    std::map<endpoint, std::vector<result_handle>> to_free_;
    bool flush_pending_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_PIECE_SERVICE_HPP
