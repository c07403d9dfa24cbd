#ifndef MEDLAR_DETAIL_HOSTS_COLD_CONTROLLER_HPP
#define MEDLAR_DETAIL_HOSTS_COLD_CONTROLLER_HPP

#include <medlar/detail/dispatch/cold_permit_issuer.hpp>
#include <medlar/detail/entry/entry_context.hpp>
#include <medlar/detail/hosts/peer_network.hpp>

#include <absl/strings/string_view.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace medlar
{

/// @brief Knows which targets are cold, and shares the requests that they take among all
/// hosts.
///
/// One host gives out the permits for a target. It is ranked among the registered hosts,
/// not among the live ones: hosts that cannot reach it must not give out permits
/// themselves, since each of them would.
class cold_controller
{
  public:
    using permit_action = std::function<void(bool is_granted)>;

    cold_controller(entry_context& context, peer_network& peers);

    cold_controller(const cold_controller&) = delete;
    cold_controller& operator=(const cold_controller&) = delete;

    /// @brief Returns whether targets of a pool can be cold.
    bool has_rule(const pool_id& pool) const;

    /// @brief Returns the number of requests per second for which this host would give
    /// out permits.
    /// @return unset if the target is not cold now
    std::optional<double> rate_of(const target_state& target) const;

    /// @brief Returns the host that gives out the permits for a target.
    host_id issuer_of(const target_id& target) const;

    /// @brief Returns the number of targets that are cold now.
    std::size_t cold_count() const;

    /// @brief Records what the entry of a target says; it is in the table of targets.
    /// @param has_started whether it has started since this host knows the targets
    void record_entry(const target_record& record, bool has_started);

    /// @brief Records that a target may be cold for as long as one that has started, such
    /// as one that returns to service after it got no requests.
    void record_return(const target_id& target);

    /// @brief Returns whether this host would give out a permit for a cold target now.
    /// @return unset if another host gives them out
    std::optional<bool> would_issue(const target_state& target) const;

    /// @brief Asks for a permit to send one request to a cold target, to be written
    /// within cold_permit_validity. If it is not granted, the target may not be called
    /// until a permit can be had.
    /// @param on_answer called once, also before this function returns
    void request_permit(const target_id& target, permit_action on_answer);

    /// @brief Handles a message that another host sent on a link of its own.
    /// @return false if it is not for this controller
    bool handle_request(const std::shared_ptr<message_link>& from,
                        const nlohmann::json& message);

    /// @brief Handles the answer to a request for a permit.
    /// @return false if it is not for this controller
    bool handle_answer(const nlohmann::json& message);

    /// @brief Gives up the permits that a lost host was asked for.
    void handle_peer_lost(const host_id& host);

  private:
    struct pending_request
    {
        target_id target;
        host_id issuer;
        steady_time asked_at;
        permit_action on_answer;
        timer_id timeout{0};
    };

    const cold_rule* rule_of(const pool_id& pool) const;
    millis time_left(const target_state& target) const;
    /// records a time that is not from the entry, and tells it to all hosts if the target
    /// was not known to be cold
    void record_statement(const target_id& target, millis left);
    void record_first(const target_state& target, absl::string_view source);
    void notify_peers(const target_state& target);
    permit issue(const target_id& target, double per_s);
    void apply(std::uint64_t number, const permit& answer);
    void count(const target_state& target, absl::string_view result);

    entry_context& context_;
    peer_network& peers_;
    /// those that this host gives out
    cold_permit_issuer permits_;
    std::map<std::uint64_t, pending_request> pending_;
    std::uint64_t last_number_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_HOSTS_COLD_CONTROLLER_HPP
