#ifndef MEDLAR_DETAIL_MEMBERSHIP_LEASE_RENEWER_HPP
#define MEDLAR_DETAIL_MEMBERSHIP_LEASE_RENEWER_HPP

#include <medlar/detail/membership/exchange_core.hpp>
#include <medlar/detail/membership/view_manager.hpp>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace medlar
{

/// @brief Requests lease grants from the other gateways, and fetches newer views and
/// configurations from them. A process that belongs to no view sends these requests too,
/// to announce itself and to receive the view.
class lease_renewer
{
  public:
    /// @param leaving_changed called when a peer's gossip changed the leaving targets
    lease_renewer(exchange_core& core,
                  view_manager& views,
                  std::function<void()> leaving_changed);
    ~lease_renewer();

    lease_renewer(const lease_renewer&) = delete;
    lease_renewer& operator=(const lease_renewer&) = delete;

    /// @brief Handles the gossip in a call of a peer.
    void handle_call(incarnation from, const peer_gossip& gossip);

    /// @brief Starts the next round at once.
    void renew_now();

  private:
    /// @brief an address that is sent a grant request
    struct contact
    {
        endpoint link;
        /// the process expected at the address
        std::optional<view_member> member;
    };

    void run();
    bool wait();
    void run_round();
    void grant_to_self(steady_time requested_at);
    std::vector<contact> contacts();
    std::vector<contact> member_contacts() const;
    void add_bootstrap_contacts(std::vector<contact>& all);
    void handle_reply(const contact& to,
                      const absl::StatusOr<link_reply>& reply,
                      steady_time requested_at);
    /// @param at address at which the peer was called; unset if the peer called
    /// @return whether the peer has a newer view or configuration that can be fetched
    bool handle_gossip(incarnation from,
                       const peer_gossip& gossip,
                       const std::optional<endpoint>& at);
    void fetch_newer();
    bool has_newer(const peer_gossip& gossip) const;

    exchange_core& core_;
    view_manager& views_;
    const std::function<void()> leaving_changed_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    bool renew_requested_ = false;
    std::optional<endpoint> newer_state_at_;
    // used by thread_ only: where the next selection of bootstrap contacts starts
    std::size_t next_contact_ = 0;
    std::thread thread_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_MEMBERSHIP_LEASE_RENEWER_HPP
