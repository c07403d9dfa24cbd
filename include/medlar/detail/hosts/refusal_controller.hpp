#ifndef MEDLAR_DETAIL_HOSTS_REFUSAL_CONTROLLER_HPP
#define MEDLAR_DETAIL_HOSTS_REFUSAL_CONTROLLER_HPP

#include <medlar/detail/dispatch/refusal_tolerance.hpp>
#include <medlar/detail/entry/entry_context.hpp>
#include <medlar/detail/hosts/peer_network.hpp>

#include <absl/strings/string_view.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace medlar
{

/// @brief Counts, with all hosts together, the refusals of targets that state how many
/// they tolerate.
///
/// A host tells all others of each refusal. One of them, the counting host of the target,
/// answers all with a ruling, see refusal_tolerance. It is ranked among the registered
/// hosts, not among the live ones: hosts that cannot reach it must not count for
/// themselves. As long as a host of an earlier build is registered, it gives no rulings,
/// since that host would use none.
class refusal_controller
{
  public:
    using permit_action = std::function<void(bool is_granted)>;

    refusal_controller(entry_context& context, peer_network& peers);

    refusal_controller(const refusal_controller&) = delete;
    refusal_controller& operator=(const refusal_controller&) = delete;

    /// @brief Records that this host serves from now on: the others know of it soon.
    void begin();

    /// @brief Returns whether a call to a target needs a permit now, since it has refused
    /// calls and tolerates few more, or since this host has just heard of its limit.
    bool needs_permit(const target_state& target) const;

    /// @brief Returns the host that counts the refusals of a target.
    host_id counter_of(const target_id& target) const;

    /// @brief Returns whether this host would give out a permit for a target now.
    /// @return unset if it gives out none
    std::optional<bool> would_issue(const target_state& target) const;

    /// @brief Asks for a permit to send one request to a target. If it is not granted,
    /// the target may not be called until a permit can be had. Without an answer of the
    /// counting host it is granted unless a refusal would pause the target.
    /// @param on_answer called once, also before this function returns
    void request_permit(const target_id& target, permit_action on_answer);

    /// @brief Handles a message that another host sent on a link of its own.
    /// @return false if its type is not one of this controller's
    bool handle_request(const std::shared_ptr<message_link>& from,
                        const nlohmann::json& message);

    /// @brief Handles the answer to a request for a permit.
    /// @return false if its type is not one of this controller's
    bool handle_answer(const nlohmann::json& message);

    /// @brief Gives up the permits that a lost host was asked for.
    void handle_peer_lost(const host_id& host);

  private:
    struct pending_request
    {
        target_id target;
        host_id counter;
        permit_action on_answer;
        timer_id timeout{0};
    };

    refusal_tolerance& tolerance_of(const target_id& target);
    void handle_own_refusal(const target_id& target);
    void handle_refusal(const nlohmann::json& message);
    void handle_ruling(const nlohmann::json& message);
    void handle_permit_question(const std::shared_ptr<message_link>& from,
                                const nlohmann::json& message);
    void apply(const target_id& target, std::uint64_t id, const refusal_ruling& ruling);
    /// tells all hosts what follows from a refusal, if this host counts
    void give_ruling(const target_id& target, std::uint64_t id, double per_s);
    bool gives_rulings(const target_id& target, double per_s) const;
    /// ends a request; an unset answer means that no host counts
    void end_request(std::uint64_t number, const std::optional<refusal_permit>& answer);
    bool may_call_without_rulings(target_state& target);
    void record_permit(const target_state& target, absl::string_view result);

    entry_context& context_;
    peer_network& peers_;
    std::optional<steady_time> serving_since_;
    std::map<target_id, refusal_tolerance> tolerances_;
    std::map<std::uint64_t, pending_request> pending_;
    std::uint64_t last_number_ = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_HOSTS_REFUSAL_CONTROLLER_HPP
