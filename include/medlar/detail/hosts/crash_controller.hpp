#ifndef MEDLAR_DETAIL_HOSTS_CRASH_CONTROLLER_HPP
#define MEDLAR_DETAIL_HOSTS_CRASH_CONTROLLER_HPP

#include <medlar/detail/dispatch/crash_evidence.hpp>
#include <medlar/detail/dispatch/process_start.hpp>
#include <medlar/detail/entry/entry_context.hpp>
#include <medlar/detail/hosts/connection_probe.hpp>
#include <medlar/detail/hosts/peer_network.hpp>
#include <medlar/detail/hosts/store_controller.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace medlar
{

/// @brief What keeps a request from being sent, since targets crash under it
struct blocked_suspect
{
    crash_suspect suspect;
    /// time until it is tried again
    millis left{0};
};

/// @brief Blocks prompt parts and requests under which targets crash, on all hosts.
///
/// Each host reports the crashes that it sees to two hosts, the judges, which all hosts
/// choose alike. A judge that suspects something asks all hosts whether it has been
/// harmless since, see crash_evidence; if not, it tells them that it is blocked, and
/// writes that to the store, from where hosts that start learn it.
class crash_controller
{
  public:
    crash_controller(entry_context& context,
                     peer_network& peers,
                     store_controller& store);

    crash_controller(const crash_controller&) = delete;
    crash_controller& operator=(const crash_controller&) = delete;

    /// @brief Records that the call of a request to a target broke, which may be a crash
    /// of the target.
    /// @param target its entry when the call was sent
    /// @param started_ms start of the process that got the call, Unix time in ms
    /// @param has_begun whether the target had begun to answer
    void record_broken_call(const target_record& target,
                            std::int64_t started_ms,
                            const request_suspects& request,
                            steady_time sent_at,
                            bool has_begun);

    /// @brief Records that an answer to a request has begun, so that the parts of its
    /// prompt are harmless.
    void record_begun(const prompt_suspects& prompt);

    /// @brief Records that a request was answered completely, so that it is harmless.
    void record_answered(const request_suspects& request);

    /// @brief Returns what of a request is blocked, the request first.
    /// @return unset if nothing is
    std::optional<blocked_suspect> find_blocked(const request_suspects& request) const;

    /// @brief Returns the number of blocked parts and requests.
    std::size_t blocked_count() const
    {
        return blocks_.size();
    }

    /// @brief Handles a message that another host sent on a link of its own.
    /// @return false if its type is not one of this controller's
    bool handle_request(const std::shared_ptr<message_link>& from,
                        const nlohmann::json& message);

    /// @brief Handles an answer to this host's question.
    /// @return false if its type is not one of this controller's
    bool handle_answer(const nlohmann::json& message);

    /// @brief Handles the end of a link that this host opened.
    void handle_peer_lost();

    /// @brief Handles an item below the prefix of blocked parts in the store.
    void handle_item(const store_item& item);

    /// @brief Handles that an item is missing after an outage of the store: writes it
    /// again while its part is blocked.
    void handle_item_expired(const std::string& key);

    /// @brief Handles that the store has returned from a copy: writes what is blocked and
    /// was in no host's mirror of the store yet.
    void handle_new_era();

  private:
    struct pending_check
    {
        target_crash crash;
        pool_id pool;
        std::unique_ptr<connection_probe> probe;
        /// other hosts that have not answered whether they reach the target
        std::size_t open_answers = 0;
        timer_id timeout{0};
    };

    struct block_state
    {
        steady_time until;
        /// whether its item is in the mirror of the store
        bool is_mirrored = false;
        /// when it began, or this host last wrote its item
        steady_time written_at;
        /// of the blocks that judges have made; both may have made one
        std::set<std::uint64_t> numbers;
    };

    /// the two hosts that collect the reports
    std::vector<host_id> judges() const;
    bool is_judge() const;
    void send_to_all(const nlohmann::json& message);
    /// asks other hosts about a target that this one cannot connect to: it has not
    /// crashed if one of them reaches it
    void ask_whether_reached(const process_start& process);
    void answer_whether_reached(const std::shared_ptr<message_link>& from,
                                const nlohmann::json& message);
    void handle_whether_reached(const nlohmann::json& message);
    void end_check(const process_start& process, bool has_crashed);
    void report_crashes();
    void drop_old_crashes();
    void handle_reports(const nlohmann::json& message);
    void answer_question(const std::shared_ptr<message_link>& from,
                         const nlohmann::json& message);
    /// asks all hosts about the suspects, if one of them is to be blocked
    void consider_suspects();
    void judge();
    bool is_blocked(crash_suspect suspect) const;
    void block(crash_suspect suspect);
    void record_blocked(crash_suspect suspect,
                        steady_time until,
                        const std::set<std::uint64_t>& numbers);
    /// records that a suspect was harmless, and ends its block if it could not be blocked
    /// with that known
    void acquit(crash_suspect suspect, steady_time at);
    /// when a suspect was last harmless at this host; unset if it is not known
    std::optional<nlohmann::json> write_harmless_since(crash_suspect suspect) const;
    void tell_judges_harmless(crash_suspect suspect);
    void handle_harmless_since(const nlohmann::json& message);
    void handle_blocked_item(crash_suspect suspect, std::uint64_t number);
    /// whether all of some blocks, at least one, are known to have ended
    bool have_ended(const std::set<std::uint64_t>& numbers) const;
    void forget_ended_blocks();
    /// removes the item of a block that has ended, until the store has done it
    void remove_item(crash_suspect suspect);
    /// ends the block of a suspect on all hosts, if there is one
    void unblock_everywhere(crash_suspect suspect);
    /// @param numbers of the blocks that this ends
    void record_harmless(crash_suspect suspect, const std::set<std::uint64_t>& numbers);
    void forget_old_harmless();
    std::string item_key(crash_suspect suspect) const;
    std::optional<crash_suspect> read_item_key(const std::string& key) const;
    /// writes to the store that a suspect is blocked
    void write_item(crash_suspect suspect);
    /// writes what is blocked and not in the mirror of the store, if this host is a judge
    /// @param min_age time since it was blocked, or last written by this host
    void write_missing_items(millis min_age);
    void check_items();

    entry_context& context_;
    peer_network& peers_;
    store_controller& store_;
    steady_time may_judge_from_;
    std::map<process_start, pending_check> checks_;
    /// probes for questions of other hosts
    std::map<std::uint64_t, std::unique_ptr<connection_probe>> asked_probes_;
    std::uint64_t last_probe_ = 0;
    /// crashes that this host has seen, the latest last
    std::deque<target_crash> own_crashes_;
    /// when a suspect was last seen to be harmless at this host
    std::unordered_map<crash_suspect, steady_time> harmless_at_;
    crash_evidence evidence_;
    /// the suspects about which the hosts are being asked
    std::set<crash_suspect> asked_;
    /// whether crashes have been reported since
    bool has_new_report_ = false;
    std::map<crash_suspect, block_state> blocks_;
    /// numbers of ended blocks, and until when they are remembered
    std::map<std::uint64_t, steady_time> ended_blocks_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_HOSTS_CRASH_CONTROLLER_HPP
