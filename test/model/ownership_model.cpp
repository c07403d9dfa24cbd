#include "ownership_model.hpp"

#include <absl/strings/str_cat.h>
#include <support/views.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace medlar::testing
{

namespace
{

// all processes have adopted the first view this long before the exploration begins
constexpr std::int64_t origin = 1000;
constexpr millis settled_before{100};
// moments of issue are from -1 on, so that bit 0 is one step before the beginning
constexpr int first_moment = -1;
constexpr std::uint64_t restarted_offset = 10;
constexpr std::uint8_t leg_asked = 1;
constexpr std::uint8_t leg_first_reply = 2;

// numbers of steps of one process, with room for their arguments
constexpr std::uint32_t step_adopt = 1;
constexpr std::uint32_t step_ask = 2;
constexpr std::uint32_t step_stopped = 3;
constexpr std::uint32_t step_learn = 8;
constexpr std::uint32_t step_answer = 64;
constexpr std::uint32_t step_receive = 1024;

} // namespace

ownership_model::ownership_model(model_setup setup) : setup_(std::move(setup))
{
    for (const std::vector<std::uint64_t>& numbers : setup_.views)
    {
        records_.push_back(records_.empty()
                               ? first_record(numbers)
                               : next_record(records_.back(), members(numbers)));
    }
    std::vector<view> views;
    for (const view_record& record : records_)
    {
        views.push_back(record.current);
        digests_.push_back(digest_of(record.current));
    }
    key_ = key_with_homes(views, setup_.homes);
}

model_result ownership_model::explore()
{
    begin();
    for (time_ = 0; time_ <= setup_.horizon; ++time_)
    {
        explore_layer();
        if (!result_.double_run.empty() || time_ == setup_.horizon)
        {
            break;
        }
        pass_time();
    }
    return result_;
}

void ownership_model::begin()
{
    state initial;
    for (std::size_t process = 0; process < setup_.skews.size(); ++process)
    {
        ownership fresh = ownership::create(incarnation(process + 1), setup_.timing);
        fresh.learn(
            records_[0], now() - settled_before, wall_of(process) - settled_before);
        fresh.try_adopt(now() - settled_before);
        initial.nodes[process] = intern(process, fresh);
    }
    layer_.push_back(initial);
}

void ownership_model::explore_layer()
{
    seen_.clear();
    for (const state& each : std::exchange(layer_, {}))
    {
        visit(each);
    }
    while (!todo_.empty() && result_.double_run.empty())
    {
        const state next = todo_.back();
        todo_.pop_back();
        expand(next);
    }
    result_.states += layer_.size();
}

void ownership_model::pass_time()
{
    // the same processes, one step later
    const std::deque<node> before = std::exchange(nodes_, {});
    node_numbers_.clear();
    transitions_.clear();
    ++time_;
    std::vector<std::uint32_t> renumbered;
    for (const node& each : before)
    {
        renumbered.push_back(intern(each.process, each.state));
    }
    --time_;
    for (state& each : layer_)
    {
        for (std::size_t process = 0; process < setup_.skews.size(); ++process)
        {
            each.nodes[process] = renumbered[each.nodes[process]];
            // what is asked for so long ago grants nothing; newer calls tell the rest
            round& asked = each.rounds[process];
            if (asked.asked_at + setup_.timing.lease.count() <= time_ + 1)
            {
                asked = round();
            }
        }
    }
}

void ownership_model::visit(state next)
{
    run_requests(next);
    const XXH128_hash_t hash = XXH3_128bits(&next, sizeof(next));
    if (!seen_.insert({hash.low64, hash.high64}).second)
    {
        return;
    }
    check_run_twice(next);
    check_handed_over(next);
    note_reachability(next);
    layer_.push_back(next);
    todo_.push_back(next);
}

void ownership_model::run_requests(state& next)
{
    for (std::size_t process = 0; process < setup_.skews.size(); ++process)
    {
        const node& at = nodes_[next.nodes[process]];
        const issue_set claimed = next.received[process];
        next.ran[process] |= at.accepts & ~claimed;
        const issue_set stated = next.received_stated[process];
        next.ran_first[process] |= at.accepts_first & issued_by_now() & ~stated;
        next.ran_resent[process] |= at.accepts & resent_by_now() & ~stated;
    }
}

void ownership_model::check_run_twice(const state& next)
{
    for (std::size_t one = 0; one <= max_processes; ++one)
    {
        for (std::size_t other = 0; other <= max_processes; ++other)
        {
            const bool twice = one < other && (next.ran[one] & next.ran[other]) != 0;
            const bool again =
                one != other && (next.ran_first[one] & next.ran_resent[other]) != 0;
            if (twice || again)
            {
                result_.double_run =
                    absl::StrCat(setup_.name,
                                 ": at processes ",
                                 one + 1,
                                 " and ",
                                 other + 1,
                                 again ? ", at the first by a first attempt" : "",
                                 ", at time ",
                                 time_);
            }
        }
    }
}

void ownership_model::check_handed_over(const state& next)
{
    for (std::size_t at = 1; at < records_.size(); ++at)
    {
        const node& sender = nodes_[next.nodes[setup_.homes[at - 1] - 1]];
        const bool in_view = sender.state.adopted() != nullptr &&
                             sender.state.adopted()->epoch == view_epoch(at + 1);
        if (next.handovers[at].sent != 0 && in_view && sender.accepts != 0)
        {
            result_.double_run =
                absl::StrCat(setup_.name, ": accepts after it has handed over");
        }
    }
}

void ownership_model::note_reachability(const state& next)
{
    const std::size_t first = setup_.homes.front() - 1;
    const std::size_t last = setup_.homes.back() - 1;
    result_.first_home_ran = result_.first_home_ran || next.ran[first] != 0;
    const node& at = nodes_[next.nodes[last]];
    const bool in_last = at.state.adopted() != nullptr &&
                         at.state.adopted()->epoch == records_.back().current.epoch;
    result_.last_home_ran = result_.last_home_ran || (in_last && at.accepts != 0);
    const handover& taken = next.handovers[records_.size() - 1];
    // a takeover without handover has its floor after the beginning
    const issue_set before_begin = (issue_set(1) << unsigned(-first_moment)) - 1;
    result_.ran_after_handover =
        result_.ran_after_handover ||
        (taken.received != 0 && (at.accepts & before_begin) != 0);
    result_.settled = result_.settled || (in_last && at.state.may_propose());
}

void ownership_model::expand(const state& from)
{
    store_steps(from);
    for (std::size_t process = 0; process < setup_.skews.size(); ++process)
    {
        view_steps(from, process);
        grant_steps(from, process);
        restart_steps(from, process);
        stop_steps(from, process);
    }
    handover_steps(from);
}

void ownership_model::store_steps(const state& from)
{
    if (from.stored_epoch == records_.size())
    {
        return;
    }
    for (std::size_t process = 0; process < setup_.skews.size(); ++process)
    {
        const ownership& proposer = owner(from, process);
        if (proposer.may_propose() &&
            proposer.newest()->current.epoch == view_epoch(from.stored_epoch))
        {
            state next = from;
            ++next.stored_epoch;
            visit(next);
            return;
        }
    }
}

void ownership_model::view_steps(const state& from, std::size_t process)
{
    const view_record* known = owner(from, process).newest();
    const std::uint64_t newest = known == nullptr ? 0 : known->current.epoch.get();
    for (std::uint64_t epoch = newest + 1; epoch <= from.stored_epoch; ++epoch)
    {
        change(from,
               process,
               step_learn + static_cast<std::uint32_t>(epoch),
               [&](ownership& value)
               {
                   value.learn(records_[epoch - 1],
                               now(),
                               wall_of(process) - setup_.faults.margin_left_out);
                   return grant_reply();
               });
    }
    change(from,
           process,
           step_adopt,
           [&](ownership& value)
           {
               const millis ahead =
                   setup_.faults.adopts_at_once ? setup_.timing.grant() : millis(0);
               value.try_adopt(now() + ahead);
               return grant_reply();
           });
}

/// whether it is home of the request in the view that it has adopted
bool ownership_model::is_home(const ownership& value, std::size_t process) const
{
    const view* adopted = value.adopted();
    return adopted != nullptr && setup_.homes[adopted->epoch.get() - 1] == process + 1;
}

void ownership_model::grant_steps(const state& from, std::size_t process)
{
    const ownership& asker = owner(from, process);
    if (is_home(asker, process) && from.rounds[process].asked_at < time_)
    {
        const auto ask_itself = [this](ownership& value)
        {
            const grant_request request = value.make_grant_request();
            value.on_grant_reply(value.on_grant_request(request, now()), now());
            return grant_reply();
        };
        state next = from;
        next.nodes[process] = apply(from, process, step_ask, ask_itself).node;
        round& begun = next.rounds[process];
        begun = round();
        begun.asked_at = static_cast<std::int8_t>(time_);
        begun.epoch = static_cast<std::uint8_t>(asker.adopted()->epoch.get());
        for (std::size_t other = 0; other < setup_.skews.size(); ++other)
        {
            begun.legs[other] = other == process ? 0 : leg_asked;
        }
        visit(next);
    }
    for (std::size_t other = 0; other < setup_.skews.size(); ++other)
    {
        if (from.rounds[process].legs[other] == leg_asked)
        {
            answer_step(from, process, other);
        }
        else if (from.rounds[process].legs[other] >= leg_first_reply)
        {
            receive_step(from, process, other);
        }
    }
}

void ownership_model::answer_step(const state& from, std::size_t asker, std::size_t other)
{
    const round& asked = from.rounds[asker];
    grant_request request;
    request.from = identity(from, asker);
    request.epoch = view_epoch(asked.epoch);
    request.view_digest = digests_[asked.epoch - 1];
    const auto number =
        static_cast<std::uint32_t>(step_answer + request.from.get() * 8 + asked.epoch);
    const transition answered = apply(from,
                                      other,
                                      number,
                                      [&](ownership& value)
                                      {
                                          return value.on_grant_request(request, now());
                                      });
    const grant_reply& reply = replies_[answered.reply];
    // an answer that tells the asker nothing is as good as lost
    const bool tells = reply.granted || reply.adopted >= request.epoch;
    state next = from;
    next.nodes[other] = answered.node;
    next.rounds[asker].legs[other] =
        static_cast<std::uint8_t>(tells ? answered.reply + leg_first_reply : 0);
    visit(next);
}

void ownership_model::receive_step(const state& from,
                                   std::size_t asker,
                                   std::size_t other)
{
    const round& asked = from.rounds[asker];
    const std::size_t reply = asked.legs[other] - leg_first_reply;
    const steady_time asked_at(origin + asked.asked_at);
    const auto number = static_cast<std::uint32_t>(
        step_receive + reply * 64 + static_cast<std::size_t>(time_ - asked.asked_at));
    state next = from;
    next.nodes[asker] = apply(from,
                              asker,
                              number,
                              [&](ownership& value)
                              {
                                  value.on_grant_reply(replies_[reply], asked_at);
                                  return grant_reply();
                              })
                            .node;
    next.rounds[asker].legs[other] = 0;
    visit(next);
}

void ownership_model::restart_steps(const state& from, std::size_t process)
{
    const std::uint64_t number = process + 1;
    const bool may =
        std::count(setup_.may_restart.begin(), setup_.may_restart.end(), number) > 0;
    if (!may || from.restarted != 0)
    {
        return;
    }
    state next = from;
    next.restarted = static_cast<std::uint8_t>(number);
    next.nodes[process] =
        intern(process, ownership::create(identity(next, process), setup_.timing));
    next.rounds[process] = round();
    // its claims are gone, but what it ran has run
    next.ran[max_processes] |= std::exchange(next.ran[process], 0);
    next.ran_first[max_processes] |= std::exchange(next.ran_first[process], 0);
    next.ran_resent[max_processes] |= std::exchange(next.ran_resent[process], 0);
    next.received[process] = 0;
    next.received_stated[process] = 0;
    visit(next);
}

void ownership_model::stop_steps(const state& from, std::size_t process)
{
    // only a process that takes over acts on it
    const bool takes_over =
        std::count(setup_.homes.begin() + 1, setup_.homes.end(), process + 1) > 0;
    if (from.restarted == 0 || from.restarted == process + 1 || !takes_over ||
        setup_.faults.forgets_grants)
    {
        return;
    }
    change(from,
           process,
           step_stopped,
           [&](ownership& value)
           {
               const millis earlier =
                   setup_.faults.no_wait_after_stop ? setup_.timing.grant() : millis(0);
               value.on_stopped(incarnation(from.restarted), now() - earlier);
               return grant_reply();
           });
}

void ownership_model::handover_steps(const state& from)
{
    for (std::size_t at = 1; setup_.hands_over && at < records_.size(); ++at)
    {
        const std::size_t sender = setup_.homes[at - 1] - 1;
        const std::size_t receiver = setup_.homes[at] - 1;
        const ownership& leaving = owner(from, sender);
        const bool adopted = leaving.adopted() != nullptr &&
                             leaving.adopted()->epoch == view_epoch(at + 1);
        state next = from;
        handover& moved = next.handovers[at];
        if (moved.sent == 0 && adopted && leaving.handover_floor() && sender != receiver)
        {
            moved.sent = 1;
            moved.floor = static_cast<std::int8_t>(std::max<std::int64_t>(
                leaving.handover_floor()->since_origin() - origin, first_moment - 1));
            moved.claims = from.ran[sender] | from.received[sender];
            moved.claims_stated = from.ran_first[sender] | from.ran_resent[sender] |
                                  from.received_stated[sender];
            visit(next);
        }
        else if (moved.sent != 0 && moved.received == 0)
        {
            moved.received = 1;
            next.received[receiver] |= moved.claims;
            next.received_stated[receiver] |= moved.claims_stated;
            ownership taking = owner(from, receiver);
            taking.on_handover({incarnation(sender + 1),
                                view_epoch(at + 1),
                                wall_time(origin + moved.floor)});
            next.nodes[receiver] = intern(receiver, taking);
            visit(next);
        }
    }
}

template <typename Step>
ownership_model::transition ownership_model::apply(const state& from,
                                                   std::size_t process,
                                                   std::uint32_t number,
                                                   Step step)
{
    const std::uint64_t key = (std::uint64_t(from.nodes[process]) << 32U) | number;
    const auto found = transitions_.find(key);
    if (found != transitions_.end())
    {
        return found->second;
    }
    ownership changed = owner(from, process);
    transition made;
    made.reply = intern_reply(step(changed));
    made.node = intern(process, std::move(changed));
    transitions_.emplace(key, made);
    return made;
}

template <typename Step>
void ownership_model::change(const state& from,
                             std::size_t process,
                             std::uint32_t number,
                             Step step)
{
    const transition made = apply(from, process, number, step);
    if (made.node != from.nodes[process])
    {
        state next = from;
        next.nodes[process] = made.node;
        visit(next);
    }
}

std::uint32_t ownership_model::intern(std::size_t process, ownership value)
{
    // a process that closes a view later accepts less: at once is the worst case
    value.try_close(now(), wall_of(process) - setup_.faults.margin_left_out);
    const std::string key =
        absl::StrCat(process, "/", value.fingerprint(now(), wall_of(process)));
    const auto [entry, inserted] =
        node_numbers_.emplace(key, static_cast<std::uint32_t>(nodes_.size()));
    if (inserted)
    {
        node fresh{process, value, 0, 0};
        fresh.accepts = accepted_by(value, process, false);
        fresh.accepts_first = accepted_by(value, process, true);
        nodes_.push_back(std::move(fresh));
    }
    return entry->second;
}

std::uint8_t ownership_model::intern_reply(const grant_reply& reply)
{
    for (std::size_t at = 0; at < replies_.size(); ++at)
    {
        const grant_reply& known = replies_[at];
        if (known.from == reply.from && known.granted == reply.granted &&
            known.adopted == reply.adopted)
        {
            return static_cast<std::uint8_t>(at);
        }
    }
    replies_.push_back(reply);
    return static_cast<std::uint8_t>(replies_.size() - 1);
}

const ownership& ownership_model::owner(const state& of, std::size_t process) const
{
    return nodes_[of.nodes[process]].state;
}

incarnation ownership_model::identity(const state& of, std::size_t process) const
{
    const bool fresh = of.restarted == process + 1 && !setup_.faults.forgets_grants &&
                       !setup_.faults.restarted_is_member;
    return incarnation(process + 1 + (fresh ? restarted_offset : 0));
}

steady_time ownership_model::now() const
{
    return steady_time(origin + time_);
}

wall_time ownership_model::wall_of(std::size_t process) const
{
    return wall_time(origin + time_ + setup_.skews[process]);
}

wall_time ownership_model::issued_at(int moment) const
{
    return wall_time(origin + moment);
}

ownership_model::issue_set ownership_model::accepted_by(const ownership& value,
                                                        std::size_t process,
                                                        bool first) const
{
    issue_set accepted = 0;
    if (value.adopted() == nullptr ||
        value.adopted()->epoch < view_epoch(setup_.runs_from_view))
    {
        return accepted;
    }
    const int last_moment = setup_.horizon + 3;
    for (int moment = first_moment; moment <= last_moment; ++moment)
    {
        const wall_time issued =
            setup_.faults.skips_age_fence ? wall_of(process) : issued_at(moment);
        const ownership_decision decision =
            value.decide(key_, issued, first, now(), wall_of(process));
        if (std::holds_alternative<accept_run>(decision))
        {
            accepted |= issue_set(1) << unsigned(moment - first_moment);
        }
    }
    return accepted;
}

int ownership_model::latest_caller_skew() const
{
    const int least = *std::min_element(setup_.skews.begin(), setup_.skews.end());
    return least + setup_.caller_skew;
}

/// moments of issue that a caller's clock may have reached
ownership_model::issue_set ownership_model::issued_by_now() const
{
    const int latest = time_ + latest_caller_skew();
    return latest < first_moment
               ? 0
               : (issue_set(1) << unsigned(latest - first_moment + 1)) - 1;
}

/// moments of issue whose callers may have sent again after a stated first attempt
ownership_model::issue_set ownership_model::resent_by_now() const
{
    if (setup_.faults.resends_first_attempt_early)
    {
        return ~issue_set(0);
    }
    const int latest = time_ + latest_caller_skew() -
                       static_cast<int>(setup_.timing.first_attempt_window.count());
    return latest < first_moment
               ? 0
               : (issue_set(1) << unsigned(latest - first_moment + 1)) - 1;
}

} // namespace medlar::testing
