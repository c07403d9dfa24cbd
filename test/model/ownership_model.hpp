#ifndef MEDLAR_TEST_DECISIONS_MODEL_OWNERSHIP_MODEL_HPP
#define MEDLAR_TEST_DECISIONS_MODEL_OWNERSHIP_MODEL_HPP

#include <medlar/detail/ownership/ownership.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace medlar::testing
{

/// @brief faults that can be injected into the processes of a model
struct model_faults
{
    /// adopts a view while grants that it has given are in force
    bool ignores_own_grants = false;
    /// treats the grants of a stopped process as expired immediately
    bool ignores_grants_of_stopped = false;
    /// a restarted process keeps its identity but loses the grants it has given
    bool loses_grants_on_restart = false;
    /// a restarted process keeps the membership of its previous run, although others
    /// know that that run has stopped
    bool keeps_membership_on_restart = false;
    /// part of the takeover margin that is omitted
    millis omitted_margin{0};
    /// decides as if each request were issued now
    bool skips_issue_time_check = false;
    /// callers resend a stated first attempt at any time
    bool resends_first_attempt_early = false;
};

/// @brief system to be explored
struct model_setup
{
    std::string name;
    /// durations that the processes use; one millisecond is one step of time
    ownership_timing timing;
    /// members of each view, as process numbers from 1
    std::vector<std::vector<std::uint64_t>> views;
    /// home of the request in each view, as a process number
    std::vector<std::uint64_t> homes;
    /// offset of each process's wall clock from the true time, in steps
    std::vector<int> clock_offsets;
    /// actual maximum difference between a caller's clock and a process's, in steps
    int caller_skew = 2;
    /// explored time, in steps
    int horizon = 6;
    /// processes that may restart; at most one restart happens
    std::vector<std::uint64_t> may_restart;
    /// whether homes hand over the requests that move
    bool with_handover = false;
    /// requests arrive only from this view on
    std::uint64_t first_accepting_view = 1;
    model_faults faults;
};

/// @brief result of an exploration
struct model_result
{
    std::uint64_t states = 0;
    /// empty: no request ran twice; else where and when one did
    std::string double_run;
    /// a request ran at its first home
    bool first_home_ran = false;
    /// a request ran at its last home
    bool last_home_ran = false;
    /// a request ran at the last home that it can accept only after a handover
    bool ran_after_handover = false;
    /// the last home adopted the last view, and all earlier views were closed
    bool last_view_established = false;
};

/// @brief Explicit-state model checker: explores every interleaving of the steps of
/// gateway processes that use medlar::ownership, with one request per time of issue.
///
/// Steps: a view is written to the store; a process receives a view, adopts it, requests
/// grants, replies, receives a reply, closes views, restarts, learns that another has
/// stopped, hands over, receives a handover; time advances. Each step may happen at any
/// time or never, which models pauses, lost messages and store outages.
///
/// A request runs when it is accepted: a pause between the check and the dispatch does
/// not affect the other processes, so a run at any later time is covered. Every attempt
/// may arrive at every process at any time and any number of times. Accepting one
/// request does not affect the decision on another, so all times of issue are explored
/// together.
class ownership_model
{
  public:
    explicit ownership_model(model_setup setup);

    /// @brief Explores up to the horizon or until a request runs twice.
    model_result explore();

  private:
    static constexpr std::size_t max_processes = 4;
    static constexpr std::size_t max_views = 3;
    /// set of times of issue; bit 0 is the earliest one
    using issue_set = std::uint32_t;

    /// @brief system_state of one process at the current time
    struct process_state
    {
        std::size_t process;
        ownership state;
        // requests it would accept now, without and with a stated first attempt
        issue_set accepts = 0;
        issue_set accepts_first = 0;
    };

    /// @brief grant requests that a process has sent to all others
    struct grant_round
    {
        std::int8_t requested_at = -1;
        std::uint8_t epoch = 0;
        // by grantor: 0 none, exchange_requested, or exchange_replied plus a reply number
        std::array<std::uint8_t, max_processes> exchanges{};
    };

    /// @brief handover between the homes of two consecutive views
    struct handover
    {
        std::uint8_t sent = 0;
        std::uint8_t received = 0;
        std::int8_t floor = 0;
        std::uint8_t padding = 0;
        issue_set claims = 0;
        issue_set claims_stated = 0;
    };

    /// @brief system_state of the system; compared byte by byte, so it must have no
    /// implicit padding
    struct system_state
    {
        // numbers of process states
        std::array<std::uint32_t, max_processes> processes{};
        std::array<grant_round, max_processes> rounds{};
        std::array<handover, max_views> handovers{};
        // requests run by attempts without a statement, by stated first attempts and by
        // resent first attempts; the last element is for processes that have stopped
        std::array<issue_set, max_processes + 1> ran{};
        std::array<issue_set, max_processes + 1> ran_first{};
        std::array<issue_set, max_processes + 1> ran_resent{};
        // claims received by handover, without and with a stated first attempt
        std::array<issue_set, max_processes> received{};
        std::array<issue_set, max_processes> received_stated{};
        std::uint8_t stored_epoch = 1;
        std::uint8_t restarted = 0;
        std::array<std::uint8_t, 2> padding{};
    };

    /// @brief 128-bit digest of the bytes of a system state
    struct digest
    {
        std::uint64_t low = 0;
        std::uint64_t high = 0;

        friend bool operator==(const digest& a, const digest& b)
        {
            return a.low == b.low && a.high == b.high;
        }
    };

    struct digest_hash
    {
        std::size_t operator()(const digest& value) const
        {
            return value.low;
        }
    };

    /// @brief effect of a step of one process
    struct transition
    {
        // number of the resulting process state
        std::uint32_t resulting_state = 0;
        // number of the reply, if the step replies
        std::uint8_t reply = 0;
    };

    // exploration
    void initialise();
    void explore_time_step();
    void advance_time();
    void expand(const system_state& from);
    void visit(system_state next);
    void run_requests(system_state& next);
    void check_run_twice(const system_state& next);
    void check_handed_over(const system_state& next);
    void record_reached(const system_state& next);

    // steps
    void expand_store(const system_state& from);
    void expand_views(const system_state& from, std::size_t process);
    void expand_grants(const system_state& from, std::size_t process);
    void expand_reply(const system_state& from, std::size_t requester, std::size_t other);
    void
    expand_receipt(const system_state& from, std::size_t requester, std::size_t other);
    void expand_restart(const system_state& from, std::size_t process);
    void expand_stop(const system_state& from, std::size_t process);
    void expand_handovers(const system_state& from);

    // processes
    std::uint32_t intern(std::size_t process, ownership value);
    bool is_home(const ownership& value, std::size_t process) const;
    const ownership& ownership_of(const system_state& of, std::size_t process) const;
    template <typename Step>
    transition
    apply(const system_state& from, std::size_t process, std::uint32_t number, Step step);
    template <typename Step>
    void change(const system_state& from,
                std::size_t process,
                std::uint32_t number,
                Step step);
    incarnation identity(const system_state& of, std::size_t process) const;
    steady_time now() const;
    wall_time wall_of(std::size_t process) const;
    wall_time issued_at(int issue) const;
    issue_set accepted_by(const ownership& value, std::size_t process, bool first) const;
    issue_set resent_by_now() const;
    issue_set issued_by_now() const;
    int max_caller_offset() const;
    std::uint8_t intern_reply(const grant_reply& reply);

    model_setup setup_;
    model_result result_;
    std::vector<view_record> records_;
    std::vector<std::uint64_t> digests_;
    std::uint64_t key_ = 0;
    int time_ = 0;
    std::deque<process_state> process_states_;
    std::unordered_map<std::string, std::uint32_t> process_state_numbers_;
    std::vector<grant_reply> replies_;
    // transitions by process state and step, for the current time
    std::unordered_map<std::uint64_t, transition> transitions_;
    std::unordered_set<digest, digest_hash> visited_;
    std::vector<system_state> current_states_;
    std::vector<system_state> pending_;
};

} // namespace medlar::testing

#endif // MEDLAR_TEST_DECISIONS_MODEL_OWNERSHIP_MODEL_HPP
