#ifndef MEDLAR_TEST_SOAK_ENDING_TARGETS_HPP
#define MEDLAR_TEST_SOAK_ENDING_TARGETS_HPP

#include "soak/numbered_stream.hpp"
#include "support/entry/entry_fixture.hpp"
#include "support/fault_proxy.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlar::soak
{

/// @brief How an answer of a target has ended, on the target's side.
enum class answer_end
{
    open,
    whole,            ///< sent up to its last event
    cut,              ///< the process ended between two events
    cut_within_event, ///< the process ended within an event
    cut_by_reset,     ///< the process ended, and its connections were reset
    left,             ///< the connection was closed from the other side
};

/// @brief An answer of a target with a stream, or with a part of one.
struct target_answer
{
    std::shared_ptr<caller_exchange> exchange;
    stream_shape shape;
    std::string name;
    std::string target;
    std::string version;
    answer_end end = answer_end::open;
    steady_time ended_at;
    /// when its process ended, if it has
    std::optional<steady_time> process_ended_at;
    /// version of the next process at the address
    std::string next_version;
    /// whether its target was leaving when it began or ended
    bool was_leaving = false;
    /// whether a part of an event was sent, and not yet the rest
    bool is_within_event = false;
    int next_number = 0;

    bool is_cut() const
    {
        return end == answer_end::cut || end == answer_end::cut_within_event ||
               end == answer_end::cut_by_reset;
    }
};

/// @brief What targets that end say of themselves, besides their entries.
enum class start_report
{
    stated,
    missing, ///< their reports lack the time of their start
};

/// @brief Targets that answer streams of numbered events, and end as processes do: the
/// listener and all connections close at once, the entry stays, and after a time without
/// anything at the address the next process starts there under the same id.
class ending_targets
{
  public:
    using exchange_ptr = std::shared_ptr<caller_exchange>;
    using answer_ptr = std::shared_ptr<target_answer>;

    /// pool of the targets
    static constexpr char pool[] = "ending";

    /// @param record adds a line to the history of the run
    ending_targets(event_loop& loop,
                   test::stand_in_store& store,
                   std::uint64_t seed,
                   start_report reports,
                   std::function<void(const std::string&)> record);

    void start_ends();

    void stop_ends()
    {
        is_ending_ = false;
    }

    /// @brief Writes all entries to the store.
    void write_entries();

    /// @brief Returns an entry as a host without a path to these targets has it: nothing
    /// accepts at its address.
    std::string without_path(const std::string& key, const std::string& value) const;

    /// @brief the answers with a stream, in the order in which they began
    const std::vector<answer_ptr>& answers_of(const std::string& name)
    {
        return answers_[name];
    }

  private:
    struct ending_target
    {
        std::unique_ptr<test::stand_in_target> server;
        std::unique_ptr<test::fault_proxy> path;
        /// nothing accepts there
        endpoint unreachable;
        int sequence = 0;
        bool is_down = false;
        bool is_leaving = false;
        /// answers nothing until then
        steady_time silent_until;
        std::vector<answer_ptr> answers;
    };

    void add_target();
    void write_entry(ending_target& target);
    /// runs an action at once, or when the target is not silent any more
    void when_not_silent(ending_target& target, std::function<void()> action);
    void handle_call(ending_target& target, const exchange_ptr& exchange);
    void begin_stream(ending_target& target, const exchange_ptr& exchange);
    void send_event(ending_target& target, const answer_ptr& answer);
    void finish(ending_target& target, const answer_ptr& answer);
    nlohmann::json report_of(const ending_target& target) const;
    void schedule_end();
    /// has the store away for most of the time
    void schedule_outage();
    void end_one();
    void end_process(ending_target& target, answer_end how);
    void close_connections(ending_target& target, answer_end how);
    void start_again(ending_target& target, const std::string& version);
    void leave(ending_target& target);
    void end_when_unused(ending_target& target);
    void fall_silent(ending_target& target);

    event_loop& loop_;
    test::stand_in_store& store_;
    random_source random_;
    start_report reports_;
    std::function<void(const std::string&)> record_;
    std::vector<std::unique_ptr<ending_target>> targets_;
    std::map<std::string, std::vector<answer_ptr>> answers_;
    int last_version_ = 1;
    /// whether targets may start again at a newer version; else all streams may go on
    bool has_versions_ = false;
    bool is_ending_ = false;
};

} // namespace medlar::soak

#endif // MEDLAR_TEST_SOAK_ENDING_TARGETS_HPP
