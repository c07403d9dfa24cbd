#ifndef MEDLAR_DETAIL_ENTRY_PEER_NETWORK_HPP
#define MEDLAR_DETAIL_ENTRY_PEER_NETWORK_HPP

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

/// @brief Links to the other entry hosts. A host opens a link when it first has something
/// to say; what the other side answers comes back on that link.
class peer_network
{
  public:
    /// receives a message and the link to answer on
    using message_action =
        std::function<void(const std::shared_ptr<message_link>&, const nlohmann::json&)>;

    peer_network(event_loop& loop, peer_host self);
    ~peer_network();

    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;

    /// @brief Begins to accept links at this host's address.
    absl::Status listen();

    /// @brief Sets the other hosts that are registered.
    void set_hosts(std::vector<peer_host> others);

    /// @brief Sets addresses that are tried while no other host is known.
    void set_seeds(std::vector<endpoint> seeds)
    {
        seeds_ = std::move(seeds);
    }

    const peer_host& self() const
    {
        return self_;
    }

    /// @brief this host and the registered others that answer
    std::vector<peer_host> live() const;

    /// @brief hosts that are registered, this one included
    std::size_t registered() const
    {
        return others_.size() + 1;
    }

    /// @brief Passes over a host for a while, since it did not answer.
    void suspect(const host_id& host);

    /// @brief Sends to a host.
    /// @return false if no link can be had now
    bool send(const host_id& host, const nlohmann::json& message);

    /// @brief Sends to one other host, or to a seed if none is known.
    /// @param pick chooses among them
    void send_to_any(std::size_t pick, const nlohmann::json& message);

    /// @brief messages that others send of their own accord
    void when_asked(message_action action)
    {
        on_asked_ = std::move(action);
    }

    /// @brief answers of others to what this host sent
    void when_answered(std::function<void(const host_id&, const nlohmann::json&)> action)
    {
        on_answered_ = std::move(action);
    }

    /// @brief the link to a host ended; what was sent may be lost
    void when_lost(std::function<void(const host_id&)> action)
    {
        on_lost_ = std::move(action);
    }

    /// @brief a link that another host opened ended
    void when_asker_lost(std::function<void(const message_link*)> action)
    {
        on_asker_lost_ = std::move(action);
    }

  private:
    std::shared_ptr<message_link> link_to(const host_id& host, const endpoint& where);
    void lost(const host_id& host);

    event_loop& loop_;
    peer_host self_;
    std::vector<peer_host> others_;
    std::vector<endpoint> seeds_;
    std::shared_ptr<listener> listener_;
    std::map<host_id, std::shared_ptr<message_link>> links_;
    std::map<host_id, steady_time> suspected_until_;
    std::set<std::shared_ptr<message_link>> accepted_;
    message_action on_asked_;
    std::function<void(const host_id&, const nlohmann::json&)> on_answered_;
    std::function<void(const host_id&)> on_lost_;
    std::function<void(const message_link*)> on_asker_lost_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_PEER_NETWORK_HPP
