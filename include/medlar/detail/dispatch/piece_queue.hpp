#ifndef MEDLAR_DETAIL_DISPATCH_PIECE_QUEUE_HPP
#define MEDLAR_DETAIL_DISPATCH_PIECE_QUEUE_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/dispatch/wait_statistics.hpp>
#include <medlar/detail/entry/protocol.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace medlar
{

/// @brief Identifier of a job within a queue
using job_id = strong_type<struct job_id_tag, std::uint64_t>;

/// @brief Pieces of one stage of one request
struct piece_job
{
    attempt_id attempt;
    std::size_t stage = 0;
    /// numbers of the pieces to execute
    std::vector<int> pieces;
    /// request key; set for stages that read no results of other stages
    std::string key;
    std::vector<result_handle> inputs;
    /// 0 is the highest
    int priority = 0;
    /// when the results are needed for an answer in time
    steady_time soft_deadline;
    /// when the request is given up; the results are of no use after it
    steady_time deadline;
    /// failure domain in which a piece is executed without a transfer between domains
    failure_domain_id preferred_domain;
    /// bytes transferred between domains if a piece is executed elsewhere
    byte_count transfer_size{0};
    /// size of the result of one piece
    byte_count result_size{0};
    /// whether the job may be refused: its request has no finished work to waste
    bool is_refusable = true;
    /// whether its request can only be late; it uses the capacity that others leave
    bool is_background = false;
};

/// @brief Target that executes pieces
struct piece_target
{
    target_id id;
    endpoint where;
    failure_domain_id domain;
};

/// @brief Identifier of a call to a target
using piece_call_id = strong_type<struct piece_call_id_tag, std::uint64_t>;

/// @brief Batched call to send to a target now
struct piece_call
{
    piece_call_id id;
    piece_target target;
    std::vector<piece_item> items;
    /// time after which its pieces are reassigned to other targets
    millis overdue_after{0};
};

/// @brief Piece that is completed or has failed for good
struct finished_piece
{
    job_id job;
    int piece = 0;
    piece_result result;
};

/// @brief Whether a queue accepts a job, and the times expected for it
struct job_decision
{
    bool accepted = true;
    /// estimated time until the job is completed
    millis expected_time{0};
    /// time in the queue by the state of the queue alone, in ms; what was learned from
    /// earlier jobs is not in it
    double computed_wait_ms = 0;
    /// time of the call that its pieces share with others, in ms
    double call_ms = 0;
    /// by how much the expected time of such jobs grows in a second, at least 0
    millis growth{0};
    /// whether the job is expected to miss its soft deadline
    bool is_late = false;
    /// if it is not accepted: time after which there is likely to be capacity
    millis retry_after{0};
    /// time since its request was first refused; 0 if it was not refused before
    millis time_since_refusal{0};
};

/// @brief Builds batched calls to the targets of one pool from the pieces of many
/// requests.
///
/// A call costs its target a fixed time plus a small time per piece, so bursts of 2 to
/// 2.6 times the usual load are only sustained with full calls. A target gets its next
/// call when it has a free slot; pieces accumulate in the meantime. Pieces that can
/// meet their soft deadline go first, by priority and then by soft deadline; late pieces
/// use the remaining capacity. Pieces with large results are executed in the failure
/// domain that reads the results, unless that would make them late.
class piece_queue
{
  public:
    explicit piece_queue(const piece_rule& rule) : rule_(rule)
    {
    }

    void set_rule(const piece_rule& rule)
    {
        rule_ = rule;
    }

    /// @brief Replaces the targets that may be called. Calls in progress at targets that
    /// are removed continue.
    void set_targets(const std::vector<piece_target>& targets);

    /// @brief Estimates when a job would be completed and whether it is accepted.
    ///
    /// A refusable job is not accepted if it would miss its deadline, or if the jobs
    /// queued before it make it miss its soft deadline. One that would be late without
    /// them is accepted.
    job_decision evaluate(const piece_job& job, steady_time now) const;

    /// @brief Adds a job, even one that evaluate() would not accept.
    job_id add(piece_job job, steady_time now);

    /// @brief Removes a job. Results of its pieces in progress are returned without a
    /// job.
    void cancel(job_id job);

    /// @brief Builds the next call to send now.
    /// @return unset if no target has a free slot or no piece can be sent
    std::optional<piece_call> next_call(steady_time now);

    /// @brief Handles the response to a call. Pieces that failed or found no memory at
    /// the target are queued again.
    /// @param results in the order of the call's items
    /// @return pieces that are finished; those of cancelled jobs have job 0
    std::vector<finished_piece> handle_results(piece_call_id call,
                                               const std::vector<piece_result>& results,
                                               steady_time now);

    /// @brief Handles a call that was refused or got no response; its pieces are queued
    /// again.
    /// @param pause how long no call is sent to the target
    void handle_failure(piece_call_id call, steady_time now, millis pause);

    /// @brief Requeues the pieces of a call that takes too long, for other targets.
    /// The call stays open: its results are still used if they come first.
    void handle_overdue(piece_call_id call, steady_time now);

    /// @brief Fails the pieces of jobs whose deadline has passed.
    std::vector<finished_piece> expire(steady_time now);

    /// @brief Records that a target has freed the memory of a result.
    void release_result(const result_handle& handle, steady_time now);

    /// @brief Returns whether a job has unfinished pieces.
    bool contains(job_id job) const
    {
        return jobs_.count(job) > 0;
    }

    /// @brief Returns whether all unfinished pieces of a job are queued.
    bool is_waiting(job_id job) const;

    /// @brief Returns the number of queued pieces.
    std::size_t waiting_pieces() const;

    /// @brief Returns the number of unfinished jobs.
    std::size_t job_count() const
    {
        return jobs_.size();
    }

    /// @brief Returns the number of calls in progress.
    std::size_t call_count() const
    {
        return calls_.size();
    }

    /// @brief Returns whether a job waits for a piece that is queued or in a call. Calls
    /// whose jobs have ended, or were cancelled, may go on after that.
    bool has_unfinished_jobs() const
    {
        return !jobs_.empty();
    }

    /// @brief Returns the execution time of a full call.
    millis full_call_time() const;

  private:
    struct job_state
    {
        piece_job job;
        std::vector<int> waiting;
        std::size_t in_calls = 0;
        steady_time added_at;
        /// what was computed when it was added
        double computed_wait_ms = 0;
        double call_ms = 0;
    };

    struct sent_piece
    {
        job_id job;
        int piece = 0;
        /// size of its result
        std::int64_t result_bytes = 0;
    };

    struct call_state
    {
        target_id target;
        std::vector<sent_piece> pieces;
        /// sum of the sizes of its results
        std::int64_t result_bytes = 0;
        steady_time sent;
        bool is_overdue = false;
    };

    struct target_load
    {
        piece_target target;
        /// calls in progress
        int calls = 0;
        /// memory reserved for results of calls in progress and for stored results
        std::int64_t result_bytes = 0;
        steady_time paused_until;
        /// smoothed ratio of its call times to those of the rule
        double slowness = 1;
        /// false once it was removed while calls are in progress
        bool serving = true;
    };

    /// result in the memory of a target
    struct stored_result
    {
        target_id target;
        std::int64_t bytes = 0;
        /// time at which the call that made it was sent
        steady_time reserved_at;
        steady_time expires_at;
    };

    /// whether a job would miss its soft deadline even if it was sent now
    /// @param slowness mean_slowness(), computed once for all jobs
    bool is_late(const piece_job& job, double slowness, steady_time now) const;
    /// share of the capacity that jobs in time leave to late jobs, in (0, 1]
    double late_job_share(steady_time now) const;
    /// counts pieces of jobs in time that are sent
    void record_timely(std::size_t pieces, steady_time now);
    /// estimated time in the queue until the last piece of a job is sent: pieces share
    /// calls, and each call needs a free slot and memory for its results
    double wait_ms(const piece_job& job, bool late, steady_time now) const;
    /// by how much the wait of jobs in time grows in a second: the work that arrives
    /// beyond what the serving targets can execute; at least 0
    /// @param priority jobs that are less urgent do not count
    double growth_ms(int priority, steady_time now) const;
    /// estimated time until targets have memory for results
    /// @param bytes sizes of the results of a job and of all pieces that go first
    double memory_wait_ms(double bytes) const;
    /// memory of a target that results may use
    std::int64_t usable_memory() const;
    /// expected times until the slots of serving targets are free, in ascending order
    std::vector<double> slots_free_after_ms(steady_time now) const;
    /// jobs with queued pieces in the order in which they are sent
    std::vector<job_id> ordered_jobs(steady_time now) const;
    /// whether a job may be sent to a target although its bytes would be transferred
    /// @param ahead queued pieces with large transfers that go first in its domain
    bool is_suitable(const job_state& job,
                     const target_load& target,
                     std::size_t ahead,
                     steady_time now) const;
    /// whether a target in a failure domain can get calls
    bool has_target_in(const failure_domain_id& domain, steady_time now) const;
    /// number of pieces of a job to put into a call
    /// @param free_items items that the call can still take
    /// @param free_bytes memory for results that the target has left
    std::size_t pieces_to_take(const job_state& job,
                               std::size_t free_items,
                               std::int64_t free_bytes) const;
    /// builds a call to a target; unset if no piece can be sent to it
    std::optional<piece_call>
    build_call(target_load& target, const std::vector<job_id>& ordered, steady_time now);
    void requeue(const call_state& call);
    void drop_expired_results(steady_time now);
    /// execution time of a call
    double call_ms(std::size_t items) const;
    /// pieces a ms that targets execute in full calls
    double full_call_rate(double targets) const;
    /// execution time of the call that the pieces of a job will share with others
    double shared_call_ms(std::size_t pieces, double slowness) const;
    /// mean slowness of the serving targets, at least 1
    double mean_slowness() const;
    /// number of pieces in a full call
    std::size_t max_batch_size() const
    {
        return static_cast<std::size_t>(std::max(1, rule_.max_batch_size));
    }
    static millis round_up(double ms);

    piece_rule rule_;
    std::map<target_id, target_load> targets_;
    std::map<job_id, job_state> jobs_;
    std::map<piece_call_id, call_state> calls_;
    std::map<result_handle, stored_result> results_;
    /// exponentially decayed count of the pieces of jobs in time that were sent
    double timely_pieces_ = 0;
    /// time of the last update of timely_pieces_
    steady_time timely_updated_at_;
    wait_statistics statistics_;
    /// moving average of the number of pieces of a call
    double mean_batch_size_ = 0;
    /// moving average of the time for which the memory of a result is reserved
    double mean_occupancy_ms_ = 0;
    std::uint64_t last_id_ = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_PIECE_QUEUE_HPP
