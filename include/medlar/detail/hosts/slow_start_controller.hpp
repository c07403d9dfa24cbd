#ifndef MEDLAR_DETAIL_HOSTS_SLOW_START_CONTROLLER_HPP
#define MEDLAR_DETAIL_HOSTS_SLOW_START_CONTROLLER_HPP

#include <medlar/detail/dispatch/slow_start_issuer.hpp>
#include <medlar/detail/dispatch/slow_start_share.hpp>
#include <medlar/detail/entry/entry_context.hpp>
#include <medlar/detail/hosts/cold_controller.hpp>
#include <medlar/detail/hosts/peer_network.hpp>

#include <absl/strings/string_view.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace medlar
{

/// @brief A call that uses a slot of a target in slow start
struct slow_start_call
{
    target_id target;
    lent_slot slot;
};

/// @brief Limits what all hosts together send to targets that have started or recovered,
/// and tells the other hosts that a target answers again.
///
/// It acts in pools that state how long a target is slow after its start. The issuer of a
/// target's permits keeps the window and lends its slots.
class slow_start_controller
{
  public:
    using slot_action = std::function<void()>;

    /// @param cold knows the issuers, and which targets need permits instead
    slow_start_controller(entry_context& context,
                          peer_network& peers,
                          const cold_controller& cold);

    slow_start_controller(const slow_start_controller&) = delete;
    slow_start_controller& operator=(const slow_start_controller&) = delete;

    /// @brief Returns whether calls to any target may need slots.
    bool limits_any() const
    {
        return !limited_pools_.empty();
    }

    /// @brief Returns whether a call to a target needs a slot that this host does not
    /// have.
    bool lacks_slot(const target_state& target) const;

    /// @brief Returns whether this host has a slot of a target for the next call.
    bool holds_slot(const target_state& target) const;

    /// @brief Returns whether a slot may be had after one answer of the issuer.
    bool may_be_granted(const target_state& target) const;

    /// @brief Asks for slots for the next calls, unless the issuer was asked already.
    void ask_ahead(const target_id& target);

    /// @brief Calls an action once the issuer has answered or is taken as silent; asks it
    /// if that is allowed. The action is also called before this returns.
    void request_slot(const target_id& target, slot_action on_answer);

    /// @brief Takes a slot for a call that is sent now.
    /// @return unset if the call needs none
    std::optional<slow_start_call> begin_call(const target_state& target);

    /// @brief Records how the target has begun to answer a call that goes on.
    void record_answer(const slow_start_call& call, slow_start_result result);

    /// @brief Gives the slot of a call back.
    void end_call(const slow_start_call& call, slow_start_result result);

    /// @brief Handles a message that another host sent on a link of its own.
    /// @return false if its type is not one of this controller's
    bool handle_request(const std::shared_ptr<message_link>& from,
                        const nlohmann::json& message);

    /// @brief Handles the answer to a question for slots.
    /// @return false if its type is not one of this controller's
    bool handle_answer(const host_id& from, const nlohmann::json& message);

    /// @brief Takes a lost host as silent.
    void handle_peer_lost(const host_id& host);

    /// @brief Gives back what was not used, and renews the rest; called regularly.
    void tick();

    void write_metrics() const;

  private:
    struct slow_target
    {
        explicit slow_target(steady_time now) : share(now)
        {
        }

        slow_start_share share;
        /// when calls of this host failed, until it answers and the others are told
        std::optional<steady_time> failed_at;
        std::vector<slot_action> waiting;
        bool is_silence_logged = false;
    };

    struct pending_question
    {
        target_id target;
        host_id issuer;
        timer_id timeout{0};
    };

    /// @return a rule without a time if the pool has none
    cold_rule rule_of(const pool_id& pool) const;
    bool has_rule(const pool_id& pool) const;
    bool is_limited(const target_state& target) const;
    /// finds the pools in which calls to targets in slow start are limited
    void find_limited_pools();
    const slow_target* find(const target_id& target) const;
    slow_target& begin(const target_state& target, absl::string_view reason);
    void handle_out(const target_state& target, const target_outage& outage);
    void handle_answered(const target_state& target);
    void handle_returned(const nlohmann::json& message);
    void log_returned(const target_state& target, absl::string_view source, millis out);
    void ask(const target_state& target, slow_target& slow);
    slot_grant grant(const slot_question& question);
    void handle_question(const std::shared_ptr<message_link>& from,
                         const nlohmann::json& message);
    void handle_report(const nlohmann::json& message);
    void apply(std::uint64_t number, const std::optional<slot_grant>& granted);
    void answer_waiting(const target_id& target);
    void count(const target_id& target, absl::string_view result, std::size_t number);
    /// reports a slot to its issuer, together with others that end soon
    void report(const target_id& target,
                const lent_slot& slot,
                slow_start_result result,
                bool goes_on);
    void give_back(const target_id& target,
                   const host_id& issuer,
                   const std::vector<std::uint64_t>& slots);
    void flush_reports();
    void renew_slots();
    bool refresh(const target_id& id, slow_target& slow);
    void log_ended();

    entry_context& context_;
    peer_network& peers_;
    const cold_controller& cold_;
    slow_start_issuer issuer_;
    std::map<target_id, slow_target> slow_;
    std::set<pool_id> limited_pools_;
    std::map<std::uint64_t, pending_question> pending_;
    /// questions whose answers may still come
    std::set<std::uint64_t> unanswered_;
    /// slots of calls in progress, by issuer
    std::map<host_id, std::map<std::uint64_t, target_id>> used_;
    std::map<host_id, nlohmann::json> reports_;
    std::uint64_t last_number_ = 0;
    bool is_flush_pending_ = false;
    steady_time renewed_at_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_HOSTS_SLOW_START_CONTROLLER_HPP
