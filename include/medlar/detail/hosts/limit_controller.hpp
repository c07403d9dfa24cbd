#ifndef MEDLAR_DETAIL_HOSTS_LIMIT_CONTROLLER_HPP
#define MEDLAR_DETAIL_HOSTS_LIMIT_CONTROLLER_HPP

#include <medlar/detail/dispatch/permit_issuer.hpp>
#include <medlar/detail/entry/entry_context.hpp>
#include <medlar/detail/hosts/cold_controller.hpp>
#include <medlar/detail/hosts/peer_network.hpp>
#include <medlar/detail/hosts/refusal_controller.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace medlar
{

/// @brief Shares the requests that a target with a limit takes among all hosts.
///
/// All hosts choose alike which host gives out the permits for a target; the others ask
/// it before each request to that target. The host that first hears of a limit tells it
/// to all others.
class limit_controller
{
  public:
    using permit_action = std::function<void(bool is_granted)>;

    limit_controller(entry_context& context, peer_network& peers);

    limit_controller(const limit_controller&) = delete;
    limit_controller& operator=(const limit_controller&) = delete;

    /// @brief Returns what is known of cold targets.
    cold_controller& cold()
    {
        return cold_;
    }

    /// @brief Returns what is known of targets that tolerate few refusals.
    refusal_controller& refusals()
    {
        return refusals_;
    }

    /// @brief Returns whether a call to a target needs a permit that is asked for before
    /// the call is made up: it is cold, or has refused calls and tolerates few more.
    bool needs_early_permit(const target_state& target) const
    {
        return cold_.rate_of(target).has_value() || refusals_.needs_permit(target);
    }

    /// @brief Asks for a permit to send one request to a target that has a limit, is cold
    /// or tolerates few more refusals. If it is not granted, the target may not be called
    /// until a permit can be had.
    /// @param on_answer called once, also before this function returns
    void request_permit(const target_id& target, permit_action on_answer);

    /// @brief Returns what a target needs permits for, and who gives them out; unset if
    /// it needs none.
    std::optional<permit_terms> terms_of(const target_state& target) const;

    /// @brief Returns whether this host would give out a permit for a target now.
    /// @return unset if another host gives them out, or the target needs none
    std::optional<bool> would_issue(const target_state& target) const;

    /// @brief Takes the permit for a call to a target to which only this host sends
    /// calls.
    void take_permit(target_state& target);

    /// @brief Handles a message that another host sent on a link of its own.
    /// @return false if its type is not one of this controller's
    bool handle_request(const std::shared_ptr<message_link>& from,
                        const nlohmann::json& message);

    /// @brief Handles the answer to a request for a permit.
    /// @return false if its type is not one of this controller's
    bool handle_answer(const nlohmann::json& message);

    /// @brief Asks another host for the permits that a lost one was asked for.
    void handle_peer_lost(const host_id& host);

  private:
    struct pending_request
    {
        target_id target;
        /// start of the process for which it is asked
        std::int64_t started_ms = 0;
        host_id issuer;
        permit_action on_answer;
        timer_id timeout{0};
        int attempts = 0;
    };

    host_id issuer_of(const target_id& target) const;
    void handle_limit_changed(const target_id& target);
    permit issue(const target_state& target);
    /// asks for a permit for a target with a limit, or for a cold one
    void request_rate_permit(const target_id& target, permit_action on_answer);
    void ask(std::uint64_t number);
    void apply(std::uint64_t number, const permit& answer);
    void handle_silence(std::uint64_t number);

    entry_context& context_;
    peer_network& peers_;
    cold_controller cold_;
    refusal_controller refusals_;
    /// those that this host gives out
    permit_issuer permits_;
    std::map<std::uint64_t, pending_request> pending_;
    std::uint64_t last_number_ = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_HOSTS_LIMIT_CONTROLLER_HPP
