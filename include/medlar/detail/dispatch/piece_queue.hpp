#ifndef MEDLAR_DETAIL_DISPATCH_PIECE_QUEUE_HPP
#define MEDLAR_DETAIL_DISPATCH_PIECE_QUEUE_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/entry/protocol.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace medlar
{

/// @brief identity of one job within a queue
using job_id = strong_type<struct job_id_tag, std::uint64_t>;

/// @brief all pieces of one stage of one request
struct piece_job
{
    attempt_id attempt;
    std::size_t stage = 0;
    /// numbers of the pieces to be made
    std::vector<int> pieces;
    /// set for stages that need no results
    std::string key;
    std::vector<result_handle> inputs;
    /// 0 is the highest
    int priority = 0;
    /// when the pieces are needed for an answer in time
    steady_time aim;
    /// when nobody waits for them any more
    steady_time deadline;
    /// where a piece is made without moving bytes between failure domains
    failure_domain_id domain;
    /// bytes that move if a piece is made elsewhere
    byte_count moved_size{0};
    byte_count result_size{0};
    /// whether the request has no finished work that refusing it would waste
    bool is_first = true;
    /// whether its request can only be late: it uses what others leave
    bool is_background = false;
};

/// @brief a target that makes pieces
struct piece_target
{
    target_id id;
    endpoint where;
    failure_domain_id domain;
};

/// @brief identity of one call to a target
using piece_call_id = strong_type<struct piece_call_id_tag, std::uint64_t>;

/// @brief a call that is to be sent to a target now
struct piece_call
{
    piece_call_id id;
    piece_target target;
    std::vector<piece_item> items;
    /// when its pieces are given to other targets
    millis overdue_after{0};
};

/// @brief a piece that needs no more work in this queue
struct finished_piece
{
    job_id job;
    int piece = 0;
    piece_result result;
};

/// @brief the queue takes a job, or says when to come back
struct job_verdict
{
    bool accepted = true;
    /// expected time until the job is done
    millis expected{0};
    /// whether that is too late for an answer in time
    bool is_late = false;
    /// where it is not accepted: when there will be room
    millis retry_after{0};
    /// time since its request was refused; 0 if it was not
    millis waited{0};
};

/// @brief Makes up calls to the targets of one pool out of the pieces of many requests.
///
/// Load: bursts of 2 to 2.6 times the usual. A call costs its target a fixed time and a
/// small time for each piece, so the pool carries the burst only in full calls; a target
/// gets its next call when it has none, and by then the pieces have come together.
/// Pieces that can still be in time go first, by priority and then by when they are
/// needed; pieces that are late use what is left. Large results are made in the failure
/// domain that reads them, unless that would make them late.
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

    /// @brief Sets the targets that may be called.
    void set_targets(const std::vector<piece_target>& targets);

    /// @brief Says whether a job can be done in time.
    job_verdict judge(const piece_job& job, steady_time now) const;

    /// @brief Adds a job.
    job_id add(piece_job job, steady_time now);

    /// @brief Drops a job. Its pieces that are being made are finished for nobody.
    void cancel(job_id job);

    /// @brief the next call that should be sent now
    /// @return unset if all targets are busy or nothing waits
    std::optional<piece_call> next(steady_time now);

    /// @brief Takes the answer to a call.
    /// @param results in the order of the call's items
    /// @return pieces that are finished; results of dropped jobs have no job
    std::vector<finished_piece> answered(piece_call_id call,
                                         const std::vector<piece_result>& results,
                                         steady_time now);

    /// @brief Takes a call that was refused or got no answer; its pieces wait again.
    /// @param pause how long the target gets no call
    void failed(piece_call_id call, steady_time now, millis pause);

    /// @brief Gives the pieces of a call that takes too long to other targets.
    void overdue(piece_call_id call, steady_time now);

    /// @brief Fails the pieces of jobs whose deadline has passed.
    std::vector<finished_piece> expire(steady_time now);

    /// @brief Notes that a result takes no room any more.
    void freed(const result_handle& handle);

    /// @brief whether a job has pieces that are not finished
    bool holds(job_id job) const
    {
        return jobs_.count(job) > 0;
    }

    /// @brief pieces that wait
    std::size_t waiting() const;

    /// @brief jobs that are not finished
    std::size_t jobs() const
    {
        return jobs_.size();
    }

    /// @brief calls in progress
    std::size_t calls() const
    {
        return calls_.size();
    }

    /// @brief time of a call that is full
    millis full_call() const;

  private:
    struct job_state
    {
        piece_job job;
        std::vector<int> waiting;
        std::size_t in_calls = 0;
    };

    struct sent_piece
    {
        job_id job;
        int piece = 0;
        /// size of its result
        std::int64_t bytes = 0;
    };

    struct call_state
    {
        target_id target;
        std::vector<sent_piece> pieces;
        std::int64_t bytes = 0;
        steady_time sent;
        bool is_overdue = false;
    };

    struct target_load
    {
        piece_target target;
        int calls = 0;
        std::int64_t bytes = 0;
        steady_time paused_until;
        /// time of its calls relative to what the rule says
        double slowness = 1;
        bool serving = true;
    };

    struct kept_result
    {
        target_id target;
        std::int64_t bytes = 0;
        steady_time until;
    };

    /// @param slowness see mean_slowness(): once for all jobs that are looked at
    bool is_late(const piece_job& job, double slowness, steady_time now) const;
    /// share of the pool that jobs in time leave to late ones
    double left_share(steady_time now) const;
    void note_timely(std::size_t pieces, steady_time now);
    double wait_ms(const piece_job& job, bool late, steady_time now) const;
    std::vector<job_id> order(steady_time now) const;
    bool suits(const job_state& job,
               const target_load& target,
               std::size_t ahead,
               steady_time now) const;
    bool has_target_in(const failure_domain_id& domain, steady_time now) const;
    /// pieces of a job that go into a call with so many places and so much room left
    std::size_t
    pieces_to_take(const job_state& job, std::size_t places, std::int64_t room) const;
    std::optional<piece_call>
    fill(target_load& target, const std::vector<job_id>& ordered, steady_time now);
    void put_back(const call_state& call);
    void drop_old_results(steady_time now);
    double call_ms(std::size_t items) const;
    /// time of the call that a job's pieces will share with others
    double shared_call_ms(std::size_t pieces, double slowness) const;
    /// time of the serving targets' calls relative to what the rule says
    double mean_slowness() const;
    /// pieces of a full call
    std::size_t full_count() const
    {
        return static_cast<std::size_t>(std::max(1, rule_.batch));
    }
    static millis rounded_up(double ms);

    piece_rule rule_;
    std::map<target_id, target_load> targets_;
    std::map<job_id, job_state> jobs_;
    std::map<piece_call_id, call_state> calls_;
    std::map<result_handle, kept_result> results_;
    /// pieces of jobs in time that were sent lately, older ones weighing less
    double timely_pieces_ = 0;
    steady_time timely_at_;
    /// pieces of a call, averaged over the last calls
    double pieces_per_call_ = 0;
    std::uint64_t last_id_ = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_PIECE_QUEUE_HPP
