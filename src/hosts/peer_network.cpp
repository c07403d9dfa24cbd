#include <medlar/detail/hosts/peer_network.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

// the latency between hosts is 1.4 ms; a host that does not accept in this time is down
// or frozen
constexpr millis link_connect_timeout{250};

// how long a host that did not answer is not live
constexpr millis suspicion_time{2000};

// unsent output above which a link is closed as broken
constexpr std::size_t max_unsent_bytes = 2097152;

} // namespace

peer_network::peer_network(event_loop& loop, peer_host self)
    : loop_(loop), self_(std::move(self))
{
}

peer_network::~peer_network()
{
    if (listener_)
    {
        listener_->close();
    }
    for (auto& each : links_)
    {
        each.second->close();
    }
    for (const auto& each : accepted_)
    {
        each->close();
    }
}

absl::Status peer_network::listen()
{
    absl::StatusOr<std::shared_ptr<listener>> opened = listener::open(
        loop_,
        self_.link,
        [this](const std::shared_ptr<connection>& stream)
        {
            auto holder = std::make_shared<std::weak_ptr<message_link>>();
            const std::shared_ptr<message_link> link = message_link::create(
                stream,
                [this, holder](const nlohmann::json& message)
                {
                    if (const auto from = holder->lock())
                    {
                        on_request_(from, message);
                    }
                },
                [this, holder](connection_end)
                {
                    if (const auto from = holder->lock())
                    {
                        on_requester_lost_(from.get());
                        accepted_.erase(from);
                    }
                });
            *holder = link;
            accepted_.insert(link);
        },
        [](const std::string& why)
        {
            log_event(entry_request_rejected, {{"where", "link"}, {"why", why}});
        });
    if (!opened.ok())
    {
        return opened.status();
    }
    listener_ = *std::move(opened);
    return absl::OkStatus();
}

bool peer_network::put(const peer_host& host)
{
    return host.id != self_.id && others_.insert_or_assign(host.id, host).second;
}

void peer_network::remove(const host_id& host)
{
    others_.erase(host);
}

std::vector<peer_host> peer_network::live_peers() const
{
    std::vector<peer_host> hosts;
    for (const auto& each : others_)
    {
        const auto found = suspected_until_.find(each.first);
        if (found == suspected_until_.end() || found->second <= loop_.now())
        {
            hosts.push_back(each.second);
        }
    }
    return hosts;
}

std::vector<peer_host> peer_network::live_hosts() const
{
    std::vector<peer_host> hosts = live_peers();
    if (!is_leaving_ || hosts.empty())
    {
        hosts.insert(hosts.begin(), self_);
    }
    return hosts;
}

std::vector<peer_host> peer_network::registered_hosts() const
{
    std::vector<peer_host> hosts;
    if (!is_leaving_ || others_.empty())
    {
        hosts.push_back(self_);
    }
    for (const auto& each : others_)
    {
        hosts.push_back(each.second);
    }
    return hosts;
}

void peer_network::suspect(const host_id& host)
{
    suspected_until_[host] = loop_.now() + suspicion_time;
}

void peer_network::drop_link(const host_id& host, connection_end reason)
{
    links_.erase(host);
    suspect(host);
    log_event(entry_peer_lost,
              {{"host", host.get()},
               {"refused", std::int64_t{reason == connection_end::refused}}});
}

std::shared_ptr<message_link> peer_network::link_to(const host_id& host,
                                                    const endpoint& where)
{
    const auto found = links_.find(host);
    if (found != links_.end())
    {
        return found->second;
    }
    const std::shared_ptr<message_link> link = message_link::create(
        connection::connect(loop_, where, link_connect_timeout),
        [this, host](const nlohmann::json& message)
        {
            on_answer_(host, message);
        },
        [this, host](connection_end reason)
        {
            drop_link(host, reason);
            on_peer_lost_(host, reason);
        });
    links_[host] = link;
    return link;
}

bool peer_network::send(const host_id& host, const nlohmann::json& message)
{
    const auto found = others_.find(host);
    if (found == others_.end())
    {
        return false;
    }
    const std::shared_ptr<message_link> link = link_to(host, found->second.link);
    if (link->unsent() > max_unsent_bytes)
    {
        link->close();
        drop_link(host, connection_end::reset);
        // deferred: the sender may be using what the handler changes
        loop_.after(millis(0),
                    [this, host]
                    {
                        on_peer_lost_(host, connection_end::reset);
                    });
        return false;
    }
    link->send(message);
    return true;
}

std::vector<endpoint> peer_network::usable_seeds() const
{
    std::vector<endpoint> usable = seeds_;
    usable.erase(std::remove(usable.begin(), usable.end(), self_.link), usable.end());
    return usable;
}

void peer_network::send_to_some(std::size_t pick,
                                std::size_t count,
                                const nlohmann::json& message)
{
    const std::vector<peer_host> hosts = live_peers();
    const std::size_t others = hosts.size();
    if (others > 0)
    {
        // hosts of one failure domain often have adjacent names
        const std::size_t step = std::max<std::size_t>(1, others / count);
        for (std::size_t i = 0; i < std::min(count, others); ++i)
        {
            send(hosts[(pick + i * step) % others].id, message);
        }
        return;
    }
    const std::vector<endpoint> usable = usable_seeds();
    if (!usable.empty())
    {
        const endpoint& seed = usable[pick % usable.size()];
        link_to(host_id(to_string(seed)), seed)->send(message);
    }
}

} // namespace medlar
