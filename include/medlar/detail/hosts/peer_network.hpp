#ifndef MEDLAR_DETAIL_HOSTS_PEER_NETWORK_HPP
#define MEDLAR_DETAIL_HOSTS_PEER_NETWORK_HPP

#include <medlar/detail/dispatch/piece_owner.hpp>
#include <medlar/detail/loop/listener.hpp>
#include <medlar/detail/loop/message_link.hpp>

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace medlar
{

/// @brief Links to the other entry hosts. A host opens a link when it first has a message
/// to send; the other side answers on that link.
class peer_network
{
  public:
    /// receives a message and the link on which to answer
    using message_handler =
        std::function<void(const std::shared_ptr<message_link>&, const nlohmann::json&)>;

    peer_network(event_loop& loop, peer_host self);
    ~peer_network();

    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;

    /// @brief Starts to accept links at this host's address.
    absl::Status listen();

    /// @brief Adds or replaces a registered host; this one is left out.
    /// @return whether it was added
    bool put(const peer_host& host);

    /// @brief Removes a host that is no longer registered.
    void remove(const host_id& host);

    /// @brief Sets the addresses that are tried while no other host is live.
    void set_seeds(std::vector<endpoint> seeds)
    {
        seeds_ = std::move(seeds);
    }

    const peer_host& self() const
    {
        return self_;
    }

    /// @brief Returns this host and the other registered hosts that are not suspected. A
    /// host that leaves is left out, as by its peers, while another one is live.
    std::vector<peer_host> live_hosts() const;

    /// @brief Returns the other registered hosts that are not suspected.
    std::vector<peer_host> live_peers() const;

    /// @brief Returns this host and the other registered hosts, also if they are
    /// suspected. A host that leaves is left out while another one is registered.
    std::vector<peer_host> registered_hosts() const;

    /// @brief Leaves the duties of this host to its peers.
    void leave()
    {
        is_leaving_ = true;
    }

    bool is_leaving() const
    {
        return is_leaving_;
    }

    /// @brief number of registered hosts, including this one
    std::size_t registered_count() const
    {
        return others_.size() + 1;
    }

    /// @brief Returns the number of other hosts that are registered, live or not; of the
    /// seeds if there is none.
    std::size_t other_count() const
    {
        return others_.empty() ? usable_seeds().size() : others_.size();
    }

    /// @brief Marks a host that did not answer as suspected: it is not live for a while.
    void suspect(const host_id& host);

    /// @brief Sends a message to a host. No handler is called before this returns.
    /// @return false if the host is not registered or its link is congested
    bool send(const host_id& host, const nlohmann::json& message);

    /// @brief Sends a message to some other live hosts, or to a seed if there is none.
    /// @param pick a random number that selects the hosts or the seed
    /// @param count number of hosts; fewer if fewer are live
    void send_to_some(std::size_t pick, std::size_t count, const nlohmann::json& message);

    /// @brief Sets the handler of messages on links that other hosts opened.
    void set_request_handler(message_handler handler)
    {
        on_request_ = std::move(handler);
    }

    /// @brief Sets the handler of answers on links that this host opened.
    void
    set_answer_handler(std::function<void(const host_id&, const nlohmann::json&)> handler)
    {
        on_answer_ = std::move(handler);
    }

    /// @brief Sets the handler of the end of a link that this host opened; messages sent
    /// on it may be lost.
    void
    set_peer_lost_handler(std::function<void(const host_id&, connection_end)> handler)
    {
        on_peer_lost_ = std::move(handler);
    }

    /// @brief Sets the handler of the end of a link that another host opened.
    void set_requester_lost_handler(std::function<void(const message_link*)> handler)
    {
        on_requester_lost_ = std::move(handler);
    }

  private:
    /// the seeds without this host's own address
    std::vector<endpoint> usable_seeds() const;
    std::shared_ptr<message_link> link_to(const host_id& host, const endpoint& where);
    void drop_link(const host_id& host, connection_end reason);

    event_loop& loop_;
    peer_host self_;
    bool is_leaving_ = false;
    std::map<host_id, peer_host> others_;
    std::vector<endpoint> seeds_;
    std::shared_ptr<listener> listener_;
    std::map<host_id, std::shared_ptr<message_link>> links_;
    std::map<host_id, steady_time> suspected_until_;
    std::set<std::shared_ptr<message_link>> accepted_;
    message_handler on_request_;
    std::function<void(const host_id&, const nlohmann::json&)> on_answer_;
    std::function<void(const host_id&, connection_end)> on_peer_lost_;
    std::function<void(const message_link*)> on_requester_lost_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_HOSTS_PEER_NETWORK_HPP
