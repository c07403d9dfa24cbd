#include <medlar/detail/membership/exchange_core.hpp>
#include <medlar/detail/membership/json_parts.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

/// @brief the newest known view; unset if there is none
std::optional<view> newest_view(const ownership& state)
{
    if (state.newest() == nullptr)
    {
        return std::nullopt;
    }
    return state.newest()->current;
}

std::optional<view> adopted_view(const ownership& state)
{
    if (state.adopted() == nullptr)
    {
        return std::nullopt;
    }
    return *state.adopted();
}

std::optional<view_member> member_of_views(const ownership& state, incarnation process)
{
    if (state.newest() == nullptr)
    {
        return std::nullopt;
    }
    const view_record& record = *state.newest();
    if (const view_member* member = record.current.find(process))
    {
        return *member;
    }
    for (auto old = record.earlier.rbegin(); old != record.earlier.rend(); ++old)
    {
        if (const view_member* member = old->find(process))
        {
            return *member;
        }
    }
    return std::nullopt;
}

} // namespace

exchange_core::exchange_core(const exchange_settings& initial_settings,
                             clock& time_source,
                             claim_table& claim_store,
                             link_client& link_source)
    : settings(initial_settings),
      time(time_source),
      claims(claim_store),
      links(link_source),
      owner(ownership::create(initial_settings.self.process, initial_settings.timing)),
      peers(initial_settings.self.process, initial_settings.timing.lease_duration)
{
}

peer_gossip exchange_core::gossip() const
{
    const steady_time now = time.steady_now();
    peer_gossip gossip;
    const auto adopted = owner.read(adopted_view);
    gossip.newest = owner.read(
        [](const ownership& state)
        {
            return state.newest() == nullptr ? view_epoch(0)
                                             : state.newest()->current.epoch;
        });
    gossip.configuration = configuration.number();
    gossip.configuration_age = configuration.age(now);
    if (adopted)
    {
        gossip.not_heard = peers.not_heard(*adopted, now);
    }
    gossip.leaving_targets = leaving.entries_for_peers(now);
    gossip.leaving_self = leaving_self.load();
    if (!adopted || adopted->find(self()) == nullptr)
    {
        gossip.sender = settings.self;
    }
    return gossip;
}

std::optional<view_member> exchange_core::find_member(incarnation process) const
{
    const auto member = owner.read(
        [process](const ownership& state)
        {
            return member_of_views(state, process);
        });
    return member ? member : peers.find(process);
}

exchange_status exchange_core::status() const
{
    const steady_time now = time.steady_now();
    const auto adopted = owner.read(adopted_view);
    const auto newest = owner.read(newest_view);
    exchange_status status;
    status.host = settings.self.host;
    status.process = self();
    status.configuration = configuration.number();
    status.configuration_age = configuration.age(now);
    status.adopted = adopted ? adopted->epoch : view_epoch(0);
    status.newest = newest ? newest->epoch : view_epoch(0);
    owner.read(
        [&status, now](const ownership& state)
        {
            status.member = state.is_member();
            status.lease_valid = state.lease_valid(now);
            status.may_propose = state.may_propose();
            return true;
        });
    status.claims = claims.size();
    if (adopted)
    {
        status.not_heard = peers.majority_not_heard(*adopted, now);
    }
    status.waiting = peers.waiting(newest ? &*newest : nullptr, now);
    status.leaving = peers.leaving(now);
    if (leaving_self.load())
    {
        status.leaving.push_back(self());
    }
    return status;
}

view_epoch exchange_core::adopted_epoch() const
{
    return owner.read(
        [](const ownership& state)
        {
            return state.adopted() == nullptr ? view_epoch(0) : state.adopted()->epoch;
        });
}

std::string write_exchange_status(const exchange_status& status)
{
    nlohmann::json waiting = nlohmann::json::array();
    for (const view_member& each : status.waiting)
    {
        waiting.push_back(json_of(each));
    }
    return nlohmann::json{{"host", status.host.get()},
                          {"process", status.process.get()},
                          {"configuration", status.configuration.get()},
                          {"configuration_age", status.configuration_age.count()},
                          {"adopted", status.adopted.get()},
                          {"newest", status.newest.get()},
                          {"member", status.member},
                          {"lease_valid", status.lease_valid},
                          {"may_propose", status.may_propose},
                          {"claims", status.claims},
                          {"not_heard", json_of(status.not_heard)},
                          {"waiting", waiting},
                          {"leaving", json_of(status.leaving)}}
        .dump();
}

} // namespace medlar
