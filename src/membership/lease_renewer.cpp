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

/// most addresses that a process outside of the view asks in one round
constexpr std::size_t max_outside_contacts = 8;
constexpr millis fetch_timeout{2000};
/// how many rounds a process without lease makes in the time of one
constexpr std::int64_t hurried_rounds = 4;

/// @brief the members that grant, and those of the view before while it is not closed
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
                             view_keeper& views,
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
        wanted_now_ = true;
    }
    changed_.notify_all();
}

void lease_renewer::run()
{
    do
    {
        if (!core_.stopped.load())
        {
            round();
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
    const std::int64_t divisor = lacks_lease ? hurried_rounds : 1;
    const millis span = core_.settings.timing.renew_interval / divisor;
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait_for(lock,
                      std::chrono::milliseconds(span.count()),
                      [this]
                      {
                          return stopping_ || wanted_now_;
                      });
    wanted_now_ = false;
    return !stopping_;
}

void lease_renewer::round()
{
    const steady_time asked_at = core_.time.steady_now();
    grant_to_self(asked_at);
    grant_message message;
    message.request = core_.owner.read(
        [](const ownership& state)
        {
            return state.make_grant_request();
        });
    message.news = core_.news();
    const std::string body = to_json(message);
    const std::vector<contact> asked = contacts();
    std::vector<link_call> calls;
    for (const contact& each : asked)
    {
        link_call made;
        made.to = each.link;
        made.path = "/v1/grant";
        made.body = body;
        made.timeout = core_.settings.call_timeout;
        calls.push_back(made);
    }
    core_.links.call_all(
        calls,
        [this, &asked, asked_at](std::size_t at, const absl::StatusOr<link_reply>& reply)
        {
            take_answer(asked[at], reply, asked_at);
        });
    views_.step();
}

void lease_renewer::grant_to_self(steady_time asked_at)
{
    core_.owner.write(
        [asked_at](ownership& state)
        {
            const grant_request request = state.make_grant_request();
            state.on_grant_reply(state.on_grant_request(request, asked_at), asked_at);
            return true;
        });
}

std::vector<lease_renewer::contact> lease_renewer::contacts()
{
    std::vector<contact> all = members_to_ask();
    const bool member = core_.owner.read(
        [](const ownership& state)
        {
            return state.is_member();
        });
    if (!member)
    {
        add_outsiders(all);
    }
    return all;
}

std::vector<lease_renewer::contact> lease_renewer::members_to_ask() const
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
            // this process listens there now
            views_.replaced(member.process);
            continue;
        }
        all.push_back({member.link, member});
    }
    return all;
}

void lease_renewer::add_outsiders(std::vector<contact>& all)
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
    const std::size_t count = std::min(known.size(), max_outside_contacts);
    for (std::size_t i = 0; i < count; ++i)
    {
        all.push_back(known[(turn_ + i) % known.size()]);
    }
    turn_ += count;
}

void lease_renewer::take_answer(const contact& asked,
                                const absl::StatusOr<link_reply>& reply,
                                steady_time asked_at)
{
    if (!reply.ok() || reply->status != status_ok)
    {
        return;
    }
    const absl::StatusOr<grant_answer> answer = from_json<grant_answer>(reply->body);
    if (!answer.ok())
    {
        log_event(
            message_malformed,
            {{"peer", to_string(asked.link)}, {"error", answer.status().message()}});
        return;
    }
    if (asked.member && asked.member->process != answer->reply.from)
    {
        views_.replaced(asked.member->process);
    }
    core_.owner.write(
        [&answer, asked_at](ownership& state)
        {
            state.on_grant_reply(answer->reply, asked_at);
            return true;
        });
    take_news(answer->reply.from, answer->news, asked.link);
}

void lease_renewer::take_call(incarnation from, const peer_news& news)
{
    // what the peers have newer in their answers is fetched after the round anyway
    if (take_news(from, news, std::nullopt))
    {
        renew_now();
    }
}

bool lease_renewer::take_news(incarnation from,
                              const peer_news& news,
                              const std::optional<endpoint>& at)
{
    const steady_time now = core_.time.steady_now();
    const std::optional<view_member> member =
        news.sender ? news.sender : core_.find_member(from);
    core_.peers.heard(from, news, member, now);
    core_.configuration.confirm(news.configuration, news.configuration_age, now);
    if (core_.leaving.merge(news.leaving_targets, now))
    {
        leaving_changed_();
    }
    const std::optional<endpoint> link = at || !member ? at : member->link;
    if (!link || !has_newer(news))
    {
        return false;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    newer_at_ = link;
    return true;
}

bool lease_renewer::has_newer(const peer_news& news) const
{
    const view_epoch newest = core_.owner.read(
        [](const ownership& state)
        {
            return state.newest() == nullptr ? view_epoch(0)
                                             : state.newest()->current.epoch;
        });
    return news.newest > newest || news.configuration > core_.configuration.number();
}

void lease_renewer::fetch_newer()
{
    std::optional<endpoint> from;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        from = std::exchange(newer_at_, std::nullopt);
    }
    if (!from)
    {
        return;
    }
    const peer_news own = core_.news();
    link_call made;
    made.to = *from;
    made.path = "/v1/state";
    made.body = to_json(state_message{own.newest, own.configuration});
    made.timeout = fetch_timeout;
    const absl::StatusOr<link_reply> reply = core_.links.call(made);
    if (!reply.ok() || reply->status != status_ok)
    {
        return;
    }
    const absl::StatusOr<state_answer> answer = from_json<state_answer>(reply->body);
    absl::Status taken = answer.status();
    if (taken.ok() && answer->document)
    {
        taken = core_.configuration.offer(*answer->document, core_.time.steady_now());
    }
    if (taken.ok() && answer->record)
    {
        taken = views_.learn(*answer->record);
    }
    if (!taken.ok())
    {
        log_event(message_malformed,
                  {{"peer", to_string(*from)}, {"error", taken.message()}});
    }
}

} // namespace medlar
