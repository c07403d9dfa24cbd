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

/// @brief mistakes that can be built into the processes of a model
struct model_faults
{
    /// adopts a view although its own grants are in force
    bool adopts_at_once = false;
    /// takes a stopped process's grants as over at once
    bool no_wait_after_stop = false;
    /// a restarted process keeps its identity, but forgets what it has granted
    bool forgets_grants = false;
    /// a restarted process is taken as the member that it was, while others know that
    /// this one has stopped
    bool restarted_is_member = false;
    /// how much of the margin after a takeover is left out
    millis margin_left_out{0};
    /// decides as if each request were issued just now
    bool skips_age_fence = false;
    /// repeats the first attempt's statement as soon as it likes
    bool resends_first_attempt_early = false;
};

/// @brief one small system to be explored
struct model_setup
{
    std::string name;
    /// durations that the processes use; one unit is one step of time
    ownership_timing timing;
    /// members of each view, by process number from 1
    std::vector<std::vector<std::uint64_t>> views;
    /// the process that is home of the request in each view
    std::vector<std::uint64_t> homes;
    /// wall clock of each process less the true time
    std::vector<int> skews;
    /// how far the callers' clocks really are from the processes'
    int caller_skew = 2;
    /// steps of time explored
    int horizon = 6;
    /// processes that may restart, once in all
    std::vector<std::uint64_t> may_restart;
    /// whether homes hand over what moves
    bool hands_over = false;
    /// requests are accepted from this view on, as if none had come before
    std::uint64_t runs_from_view = 1;
    model_faults faults;
};

/// @brief what an exploration found
struct model_result
{
    std::uint64_t states = 0;
    /// empty: no request ran twice; else which one, and how
    std::string double_run;
    /// a request ran at its first home
    bool first_home_ran = false;
    /// a request ran at its last home
    bool last_home_ran = false;
    /// a request ran at the last home that only a handover lets it accept
    bool ran_after_handover = false;
    /// the last view was adopted everywhere, and its predecessors were closed
    bool settled = false;
};

/// @brief Explores every interleaving of the steps of some gateway processes that use
/// medlar::ownership, with one request for each moment of issue.
///
/// Steps: a view is written to the store; a process learns a view, adopts it, asks for
/// grants, answers, receives an answer, closes views, restarts, learns that another has
/// stopped, hands over, receives a handover; time passes. Each step may come at any
/// time or never, which stands for pauses, lost messages and store outages.
///
/// A request is run at the moment of its acceptance: a pause between the check and the
/// dispatch changes nothing for the other processes, so a run at any later moment is
/// one of the runs counted here. Every attempt may come to every process at any time
/// and any number of times. Acceptance of one request does not change how another is
/// decided, so all moments of issue are followed at once.
class ownership_model
{
  public:
    explicit ownership_model(model_setup setup);

    /// @brief explores until the horizon or until a request runs twice
    model_result explore();

  private:
    static constexpr std::size_t max_processes = 4;
    static constexpr std::size_t max_views = 3;
    using issue_set = std::uint32_t;

    /// @brief one process at one moment
    struct node
    {
        std::size_t process;
        ownership state;
        // moments of issue that it would accept now
        issue_set accepts = 0;
        issue_set accepts_first = 0;
    };

    /// @brief grants that a process has asked for
    struct round
    {
        std::int8_t asked_at = -1;
        std::uint8_t epoch = 0;
        // for each process: 0 nothing, 1 asked, above: an answer
        std::array<std::uint8_t, max_processes> legs{};
    };

    struct handover
    {
        std::uint8_t sent = 0;
        std::uint8_t received = 0;
        std::int8_t floor = 0;
        std::uint8_t spare = 0;
        issue_set claims = 0;
        issue_set claims_stated = 0;
    };

    /// @brief one state of the system; compared byte by byte
    struct state
    {
        std::array<std::uint32_t, max_processes> nodes{};
        std::array<round, max_processes> rounds{};
        std::array<handover, max_views> handovers{};
        // requests run by attempts without statement, by stated first attempts, and by
        // attempts that repeat these; the last slot is for processes that have stopped
        std::array<issue_set, max_processes + 1> ran{};
        std::array<issue_set, max_processes + 1> ran_first{};
        std::array<issue_set, max_processes + 1> ran_resent{};
        // claims received by handover, without and with a stated first attempt
        std::array<issue_set, max_processes> received{};
        std::array<issue_set, max_processes> received_stated{};
        std::uint8_t stored_epoch = 1;
        std::uint8_t restarted = 0;
        // no padding: states are compared byte by byte
        std::array<std::uint8_t, 2> spare{};
    };

    /// @brief digest of a state's bytes
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

    /// @brief the effect of a step of one process
    struct transition
    {
        std::uint32_t node = 0;
        // answer that it gives, if any
        std::uint8_t reply = 0;
    };

    // exploration
    void begin();
    void explore_layer();
    void pass_time();
    void expand(const state& from);
    void visit(state next);
    void run_requests(state& next);
    void check_run_twice(const state& next);
    void check_handed_over(const state& next);
    void note_reachability(const state& next);

    // steps
    void store_steps(const state& from);
    void view_steps(const state& from, std::size_t process);
    void grant_steps(const state& from, std::size_t process);
    void answer_step(const state& from, std::size_t asker, std::size_t other);
    void receive_step(const state& from, std::size_t asker, std::size_t other);
    void restart_steps(const state& from, std::size_t process);
    void stop_steps(const state& from, std::size_t process);
    void handover_steps(const state& from);

    // processes
    std::uint32_t intern(std::size_t process, ownership value);
    bool is_home(const ownership& value, std::size_t process) const;
    const ownership& owner(const state& of, std::size_t process) const;
    template <typename Step>
    transition
    apply(const state& from, std::size_t process, std::uint32_t number, Step step);
    template <typename Step>
    void change(const state& from, std::size_t process, std::uint32_t number, Step step);
    incarnation identity(const state& of, std::size_t process) const;
    steady_time now() const;
    wall_time wall_of(std::size_t process) const;
    wall_time issued_at(int moment) const;
    issue_set accepted_by(const ownership& value, std::size_t process, bool first) const;
    issue_set resent_by_now() const;
    issue_set issued_by_now() const;
    int latest_caller_skew() const;
    std::uint8_t intern_reply(const grant_reply& reply);

    model_setup setup_;
    model_result result_;
    std::vector<view_record> records_;
    std::vector<std::uint64_t> digests_;
    std::uint64_t key_ = 0;
    int time_ = 0;
    std::deque<node> nodes_;
    std::unordered_map<std::string, std::uint32_t> node_numbers_;
    std::vector<grant_reply> replies_;
    // next process state by process state and step, for the present moment
    std::unordered_map<std::uint64_t, transition> transitions_;
    std::unordered_set<digest, digest_hash> seen_;
    std::vector<state> layer_;
    std::vector<state> todo_;
};

} // namespace medlar::testing

#endif // MEDLAR_TEST_DECISIONS_MODEL_OWNERSHIP_MODEL_HPP
