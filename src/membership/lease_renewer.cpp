#include <medlar/detail/http/status.hpp>
#include <medlar/detail/log/membership_events.hpp>
#include <medlar/detail/membership/lease_renewer.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace medlar
{

namespace
{

/// addresses that a process outside the view contacts in one round
constexpr std::size_t max_bootstrap_contacts = 8;
constexpr millis fetch_timeout{2000};
/// rounds that a member without a lease makes in one renewal interval
constexpr std::int64_t rounds_per_interval_without_lease = 4;

/// @brief the members of the adopted view, and until older views are closed also those
/// of the newest view and of the one before it
std::vector<view_member> granting_members(const ownership& state)
{
    std::vector<view_member> members;
    if (state.adopted() != nullptr && state.is_member())
    {
        members = state.adopted()->members;
    }
    if (state.newest() == nullptr || state.may_propose())
    {
        return members;
    }
    const view_record& record = *state.newest();
    const auto add = [&members](const view& one)
    {
        members.insert(members.end(), one.members.begin(), one.members.end());
    };
    add(record.current);
    if (!record.earlier.empty())
    {
        add(record.earlier.back());
    }
    return members;
}

std::vector<view_member> newest_members(const ownership& state)
{
    return state.newest() == nullptr ? std::vector<view_member>()
                                     : state.newest()->current.members;
}

} // namespace

lease_renewer::lease_renewer(exchange_core& core,
                             view_manager& views,
                             std::function<void()> leaving_changed)
    : core_(core), views_(views), leaving_changed_(std::move(leaving_changed))
{
    thread_ = std::thread(
        [this]
        {
            run();
        });
}

lease_renewer::~lease_renewer()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void lease_renewer::renew_now()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        renew_requested_ = true;
    }
    changed_.notify_all();
}

void lease_renewer::run()
{
    do
    {
        if (!core_.stopped.load())
        {
            run_round();
        }
        fetch_newer();
    } while (wait());
}

bool lease_renewer::wait()
{
    const bool lacks_lease = core_.owner.read(
        [this](const ownership& state)
        {
            return state.is_member() && !state.lease_valid(core_.time.steady_now());
        });
    const std::int64_t divisor = lacks_lease ? rounds_per_interval_without_lease : 1;
    const millis span = core_.settings.timing.renew_interval / divisor;
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait_for(lock,
                      std::chrono::milliseconds(span.count()),
                      [this]
                      {
                          return stopping_ || renew_requested_;
                      });
    renew_requested_ = false;
    return !stopping_;
}

void lease_renewer::run_round()
{
    const steady_time requested_at = core_.time.steady_now();
    grant_to_self(requested_at);
    grant_message message;
    message.request = core_.owner.read(
        [](const ownership& state)
        {
            return state.make_grant_request();
        });
    message.gossip = core_.gossip();
    const std::string body = to_json(message);
    const std::vector<contact> contacted = contacts();
    std::vector<link_call> calls;
    for (const contact& each : contacted)
    {
        link_call request;
        request.to = each.link;
        request.path = "/v1/grant";
        request.body = body;
        request.timeout = core_.settings.call_timeout;
        calls.push_back(request);
    }
    core_.links.call_all(calls,
                         [this, &contacted, requested_at](
                             std::size_t at, const absl::StatusOr<link_reply>& reply)
                         {
                             handle_reply(contacted[at], reply, requested_at);
                         });
    views_.step();
}

void lease_renewer::grant_to_self(steady_time requested_at)
{
    core_.owner.write(
        [requested_at](ownership& state)
        {
            const grant_request request = state.make_grant_request();
            state.on_grant_reply(state.on_grant_request(request, requested_at),
                                 requested_at);
            return true;
        });
}

std::vector<lease_renewer::contact> lease_renewer::contacts()
{
    std::vector<contact> all = member_contacts();
    const bool member = core_.owner.read(
        [](const ownership& state)
        {
            return state.is_member();
        });
    if (!member)
    {
        add_bootstrap_contacts(all);
    }
    return all;
}

std::vector<lease_renewer::contact> lease_renewer::member_contacts() const
{
    std::vector<contact> all;
    for (const view_member& member : core_.owner.read(granting_members))
    {
        const bool known = std::any_of(all.begin(),
                                       all.end(),
                                       [&member](const contact& each)
                                       {
                                           return each.member->process == member.process;
                                       });
        if (member.process == core_.self() || known)
        {
            continue;
        }
        if (member.link == core_.settings.self.link)
        {
            // this process listens at that address, so the member has stopped
            views_.on_replaced(member.process);
            continue;
        }
        all.push_back({member.link, member});
    }
    return all;
}

void lease_renewer::add_bootstrap_contacts(std::vector<contact>& all)
{
    std::vector<contact> known;
    const auto add = [this, &all, &known](const contact& one)
    {
        const auto same = [&one](const contact& each)
        {
            return each.link == one.link;
        };
        if (one.link != core_.settings.self.link &&
            std::none_of(all.begin(), all.end(), same) &&
            std::none_of(known.begin(), known.end(), same))
        {
            known.push_back(one);
        }
    };
    for (const view_member& member : core_.owner.read(newest_members))
    {
        add({member.link, member});
    }
    for (const endpoint& address : core_.controller_peers.get())
    {
        add({address, std::nullopt});
    }
    for (const endpoint& address : core_.settings.seeds)
    {
        add({address, std::nullopt});
    }
    for (const view_member& peer : core_.peers.known(core_.time.steady_now()))
    {
        add({peer.link, std::nullopt});
    }
    const std::size_t count = std::min(known.size(), max_bootstrap_contacts);
    for (std::size_t i = 0; i < count; ++i)
    {
        all.push_back(known[(next_contact_ + i) % known.size()]);
    }
    next_contact_ += count;
}

void lease_renewer::handle_reply(const contact& to,
                                 const absl::StatusOr<link_reply>& reply,
                                 steady_time requested_at)
{
    if (!reply.ok() || reply->status != status_ok)
    {
        return;
    }
    const absl::StatusOr<grant_answer> answer = from_json<grant_answer>(reply->body);
    if (!answer.ok())
    {
        log_event(message_malformed,
                  {{"peer", to_string(to.link)}, {"error", answer.status().message()}});
        return;
    }
    if (to.member && to.member->process != answer->reply.from)
    {
        views_.on_replaced(to.member->process);
    }
    core_.owner.write(
        [&answer, requested_at](ownership& state)
        {
            state.on_grant_reply(answer->reply, requested_at);
            return true;
        });
    handle_gossip(answer->reply.from, answer->gossip, to.link);
}

void lease_renewer::handle_call(incarnation from, const peer_gossip& gossip)
{
    // only here: newer state found in a peer's answer is fetched after the round anyway
    if (handle_gossip(from, gossip, std::nullopt))
    {
        renew_now();
    }
}

bool lease_renewer::handle_gossip(incarnation from,
                                  const peer_gossip& gossip,
                                  const std::optional<endpoint>& at)
{
    const steady_time now = core_.time.steady_now();
    const std::optional<view_member> member =
        gossip.sender ? gossip.sender : core_.find_member(from);
    core_.peers.record_message(from, gossip, member, now);
    core_.configuration.confirm(gossip.configuration, gossip.configuration_age, now);
    if (core_.leaving.merge(gossip.leaving_targets, now))
    {
        leaving_changed_();
    }
    const std::optional<endpoint> link = at || !member ? at : member->link;
    if (!link || !has_newer(gossip))
    {
        return false;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    newer_state_at_ = link;
    return true;
}

bool lease_renewer::has_newer(const peer_gossip& gossip) const
{
    const view_epoch newest = core_.owner.read(
        [](const ownership& state)
        {
            return state.newest() == nullptr ? view_epoch(0)
                                             : state.newest()->current.epoch;
        });
    return gossip.newest > newest || gossip.configuration > core_.configuration.number();
}

void lease_renewer::fetch_newer()
{
    std::optional<endpoint> from;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        from = std::exchange(newer_state_at_, std::nullopt);
    }
    if (!from)
    {
        return;
    }
    const peer_gossip own = core_.gossip();
    link_call request;
    request.to = *from;
    request.path = "/v1/state";
    request.body = to_json(state_message{own.newest, own.configuration});
    request.timeout = fetch_timeout;
    const absl::StatusOr<link_reply> reply = core_.links.call(request);
    if (!reply.ok() || reply->status != status_ok)
    {
        return;
    }
    const absl::StatusOr<state_answer> answer = from_json<state_answer>(reply->body);
    absl::Status result = answer.status();
    if (result.ok() && answer->document)
    {
        result = core_.configuration.offer(*answer->document, core_.time.steady_now());
    }
    if (result.ok() && answer->record)
    {
        result = views_.on_view_record(*answer->record);
    }
    if (!result.ok())
    {
        log_event(message_malformed,
                  {{"peer", to_string(*from)}, {"error", result.message()}});
    }
}

} // namespace medlar
