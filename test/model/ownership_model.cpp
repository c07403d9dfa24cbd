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

// clock value at which the exploration starts
constexpr std::int64_t origin = 1000;
// all processes have adopted the first view this long before the start
constexpr millis adopted_before_start{100};
// earliest time of issue: one step before the start
constexpr int first_issue = -1;
// added to the incarnation of a restarted process
constexpr std::uint64_t restarted_offset = 10;
constexpr std::uint8_t exchange_requested = 1;
constexpr std::uint8_t exchange_replied = 2;

// step numbers of one process; their arguments are added to them
constexpr std::uint32_t step_adopt = 1;
constexpr std::uint32_t step_request = 2;
constexpr std::uint32_t step_stopped = 3;
constexpr std::uint32_t step_learn = 8;
constexpr std::uint32_t step_reply = 64;
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
    initialise();
    for (time_ = 0; time_ <= setup_.horizon; ++time_)
    {
        explore_time_step();
        if (!result_.double_run.empty() || time_ == setup_.horizon)
        {
            break;
        }
        advance_time();
    }
    return result_;
}

void ownership_model::initialise()
{
    system_state initial;
    for (std::size_t process = 0; process < setup_.clock_offsets.size(); ++process)
    {
        ownership fresh = ownership::create(incarnation(process + 1), setup_.timing);
        fresh.on_view_record(records_[0],
                             now() - adopted_before_start,
                             wall_of(process) - adopted_before_start);
        fresh.try_adopt(now() - adopted_before_start);
        initial.processes[process] = intern(process, fresh);
    }
    current_states_.push_back(initial);
}

void ownership_model::explore_time_step()
{
    visited_.clear();
    for (const system_state& each : std::exchange(current_states_, {}))
    {
        visit(each);
    }
    while (!pending_.empty() && result_.double_run.empty())
    {
        const system_state next = pending_.back();
        pending_.pop_back();
        expand(next);
    }
    result_.states += current_states_.size();
}

void ownership_model::advance_time()
{
    // recompute the process states for the next time step
    const std::deque<process_state> before = std::exchange(process_states_, {});
    process_state_numbers_.clear();
    transitions_.clear();
    ++time_;
    std::vector<std::uint32_t> renumbered;
    for (const process_state& each : before)
    {
        renumbered.push_back(intern(each.process, each.state));
    }
    --time_;
    for (system_state& each : current_states_)
    {
        for (std::size_t process = 0; process < setup_.clock_offsets.size(); ++process)
        {
            each.processes[process] = renumbered[each.processes[process]];
            // the lease requested in this round has expired, and replies to later
            // requests carry the rest of its information
            grant_round& sent_round = each.rounds[process];
            if (sent_round.requested_at + setup_.timing.lease_duration.count() <=
                time_ + 1)
            {
                sent_round = grant_round();
            }
        }
    }
}

void ownership_model::visit(system_state next)
{
    run_requests(next);
    const XXH128_hash_t hash = XXH3_128bits(&next, sizeof(next));
    if (!visited_.insert({hash.low64, hash.high64}).second)
    {
        return;
    }
    check_run_twice(next);
    check_handed_over(next);
    record_reached(next);
    current_states_.push_back(next);
    pending_.push_back(next);
}

void ownership_model::run_requests(system_state& next)
{
    for (std::size_t process = 0; process < setup_.clock_offsets.size(); ++process)
    {
        const process_state& at = process_states_[next.processes[process]];
        const issue_set claimed = next.received[process];
        next.ran[process] |= at.accepts & ~claimed;
        const issue_set stated = next.received_stated[process];
        next.ran_first[process] |= at.accepts_first & issued_by_now() & ~stated;
        next.ran_resent[process] |= at.accepts & resent_by_now() & ~stated;
    }
}

void ownership_model::check_run_twice(const system_state& next)
{
    for (std::size_t first = 0; first <= max_processes; ++first)
    {
        for (std::size_t second = 0; second <= max_processes; ++second)
        {
            const bool twice =
                first < second && (next.ran[first] & next.ran[second]) != 0;
            const bool resent =
                first != second && (next.ran_first[first] & next.ran_resent[second]) != 0;
            if (twice || resent)
            {
                result_.double_run =
                    absl::StrCat(setup_.name,
                                 ": at processes ",
                                 first + 1,
                                 " and ",
                                 second + 1,
                                 resent ? ", at the first by a first attempt" : "",
                                 ", at time ",
                                 time_);
            }
        }
    }
}

void ownership_model::check_handed_over(const system_state& next)
{
    for (std::size_t at = 1; at < records_.size(); ++at)
    {
        const process_state& sender =
            process_states_[next.processes[setup_.homes[at - 1] - 1]];
        const bool in_view = sender.state.adopted() != nullptr &&
                             sender.state.adopted()->epoch == view_epoch(at + 1);
        if (next.handovers[at].sent != 0 && in_view && sender.accepts != 0)
        {
            result_.double_run =
                absl::StrCat(setup_.name, ": accepts after it has handed over");
        }
    }
}

void ownership_model::record_reached(const system_state& next)
{
    const std::size_t first = setup_.homes.front() - 1;
    const std::size_t last = setup_.homes.back() - 1;
    result_.first_home_ran = result_.first_home_ran || next.ran[first] != 0;
    const process_state& at = process_states_[next.processes[last]];
    const bool in_last = at.state.adopted() != nullptr &&
                         at.state.adopted()->epoch == records_.back().current.epoch;
    result_.last_home_ran = result_.last_home_ran || (in_last && at.accepts != 0);
    const handover& last_handover = next.handovers[records_.size() - 1];
    // without a handover the floor of a takeover is after the start
    const issue_set before_start = (issue_set(1) << unsigned(-first_issue)) - 1;
    result_.ran_after_handover =
        result_.ran_after_handover ||
        (last_handover.received != 0 && (at.accepts & before_start) != 0);
    result_.last_view_established =
        result_.last_view_established || (in_last && at.state.may_propose());
}

void ownership_model::expand(const system_state& from)
{
    expand_store(from);
    for (std::size_t process = 0; process < setup_.clock_offsets.size(); ++process)
    {
        expand_views(from, process);
        expand_grants(from, process);
        expand_restart(from, process);
        expand_stop(from, process);
    }
    expand_handovers(from);
}

void ownership_model::expand_store(const system_state& from)
{
    if (from.stored_epoch == records_.size())
    {
        return;
    }
    for (std::size_t process = 0; process < setup_.clock_offsets.size(); ++process)
    {
        const ownership& proposer = ownership_of(from, process);
        if (proposer.may_propose() &&
            proposer.newest()->current.epoch == view_epoch(from.stored_epoch))
        {
            system_state next = from;
            ++next.stored_epoch;
            visit(next);
            return;
        }
    }
}

void ownership_model::expand_views(const system_state& from, std::size_t process)
{
    const view_record* known = ownership_of(from, process).newest();
    const std::uint64_t newest = known == nullptr ? 0 : known->current.epoch.get();
    for (std::uint64_t epoch = newest + 1; epoch <= from.stored_epoch; ++epoch)
    {
        change(from,
               process,
               step_learn + static_cast<std::uint32_t>(epoch),
               [&](ownership& value)
               {
                   value.on_view_record(records_[epoch - 1],
                                        now(),
                                        wall_of(process) - setup_.faults.omitted_margin);
                   return grant_reply();
               });
    }
    change(from,
           process,
           step_adopt,
           [&](ownership& value)
           {
               const millis ahead = setup_.faults.ignores_own_grants
                                        ? setup_.timing.grant_duration()
                                        : millis(0);
               value.try_adopt(now() + ahead);
               return grant_reply();
           });
}

/// @brief Returns whether the process is the home of the request in its adopted view.
bool ownership_model::is_home(const ownership& value, std::size_t process) const
{
    const view* adopted = value.adopted();
    return adopted != nullptr && setup_.homes[adopted->epoch.get() - 1] == process + 1;
}

void ownership_model::expand_grants(const system_state& from, std::size_t process)
{
    const ownership& requester = ownership_of(from, process);
    if (is_home(requester, process) && from.rounds[process].requested_at < time_)
    {
        const auto request_own_grant = [this](ownership& value)
        {
            const grant_request request = value.make_grant_request();
            value.on_grant_reply(value.on_grant_request(request, now()), now());
            return grant_reply();
        };
        system_state next = from;
        next.processes[process] =
            apply(from, process, step_request, request_own_grant).resulting_state;
        grant_round& started = next.rounds[process];
        started = grant_round();
        started.requested_at = static_cast<std::int8_t>(time_);
        started.epoch = static_cast<std::uint8_t>(requester.adopted()->epoch.get());
        for (std::size_t other = 0; other < setup_.clock_offsets.size(); ++other)
        {
            started.exchanges[other] = other == process ? 0 : exchange_requested;
        }
        visit(next);
    }
    for (std::size_t other = 0; other < setup_.clock_offsets.size(); ++other)
    {
        if (from.rounds[process].exchanges[other] == exchange_requested)
        {
            expand_reply(from, process, other);
        }
        else if (from.rounds[process].exchanges[other] >= exchange_replied)
        {
            expand_receipt(from, process, other);
        }
    }
}

void ownership_model::expand_reply(const system_state& from,
                                   std::size_t requester,
                                   std::size_t other)
{
    const grant_round& pending_round = from.rounds[requester];
    grant_request request;
    request.from = identity(from, requester);
    request.epoch = view_epoch(pending_round.epoch);
    request.view_digest = digests_[pending_round.epoch - 1];
    const auto number = static_cast<std::uint32_t>(step_reply + request.from.get() * 8 +
                                                   pending_round.epoch);
    const transition replied = apply(from,
                                     other,
                                     number,
                                     [&](ownership& value)
                                     {
                                         return value.on_grant_request(request, now());
                                     });
    const grant_reply& reply = replies_[replied.reply];
    // a reply without information for the requester is equivalent to a lost one
    const bool informative = reply.granted || reply.adopted >= request.epoch;
    system_state next = from;
    next.processes[other] = replied.resulting_state;
    next.rounds[requester].exchanges[other] =
        static_cast<std::uint8_t>(informative ? replied.reply + exchange_replied : 0);
    visit(next);
}

void ownership_model::expand_receipt(const system_state& from,
                                     std::size_t requester,
                                     std::size_t other)
{
    const grant_round& pending_round = from.rounds[requester];
    const std::size_t reply = pending_round.exchanges[other] - exchange_replied;
    const steady_time requested_at(origin + pending_round.requested_at);
    const auto number = static_cast<std::uint32_t>(
        step_receive + reply * 64 +
        static_cast<std::size_t>(time_ - pending_round.requested_at));
    system_state next = from;
    next.processes[requester] =
        apply(from,
              requester,
              number,
              [&](ownership& value)
              {
                  value.on_grant_reply(replies_[reply], requested_at);
                  return grant_reply();
              })
            .resulting_state;
    next.rounds[requester].exchanges[other] = 0;
    visit(next);
}

void ownership_model::expand_restart(const system_state& from, std::size_t process)
{
    const std::uint64_t number = process + 1;
    const bool may_restart =
        std::count(setup_.may_restart.begin(), setup_.may_restart.end(), number) > 0;
    if (!may_restart || from.restarted != 0)
    {
        return;
    }
    system_state next = from;
    next.restarted = static_cast<std::uint8_t>(number);
    next.processes[process] =
        intern(process, ownership::create(identity(next, process), setup_.timing));
    next.rounds[process] = grant_round();
    // its claims are lost, but what it ran stays run
    next.ran[max_processes] |= std::exchange(next.ran[process], 0);
    next.ran_first[max_processes] |= std::exchange(next.ran_first[process], 0);
    next.ran_resent[max_processes] |= std::exchange(next.ran_resent[process], 0);
    next.received[process] = 0;
    next.received_stated[process] = 0;
    visit(next);
}

void ownership_model::expand_stop(const system_state& from, std::size_t process)
{
    // the information affects only processes that take over
    const bool takes_over =
        std::count(setup_.homes.begin() + 1, setup_.homes.end(), process + 1) > 0;
    if (from.restarted == 0 || from.restarted == process + 1 || !takes_over ||
        setup_.faults.loses_grants_on_restart)
    {
        return;
    }
    change(from,
           process,
           step_stopped,
           [&](ownership& value)
           {
               const millis earlier = setup_.faults.ignores_grants_of_stopped
                                          ? setup_.timing.grant_duration()
                                          : millis(0);
               value.on_stopped(incarnation(from.restarted), now() - earlier);
               return grant_reply();
           });
}

void ownership_model::expand_handovers(const system_state& from)
{
    for (std::size_t at = 1; setup_.with_handover && at < records_.size(); ++at)
    {
        const std::size_t sender = setup_.homes[at - 1] - 1;
        const std::size_t receiver = setup_.homes[at] - 1;
        const ownership& sending_home = ownership_of(from, sender);
        const bool adopted = sending_home.adopted() != nullptr &&
                             sending_home.adopted()->epoch == view_epoch(at + 1);
        system_state next = from;
        handover& moved = next.handovers[at];
        if (moved.sent == 0 && adopted && sending_home.handover_floor() &&
            sender != receiver)
        {
            moved.sent = 1;
            moved.floor = static_cast<std::int8_t>(std::max<std::int64_t>(
                sending_home.handover_floor()->since_origin() - origin, first_issue - 1));
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
            ownership receiving_home = ownership_of(from, receiver);
            receiving_home.on_handover({incarnation(sender + 1),
                                        view_epoch(at + 1),
                                        wall_time(origin + moved.floor)});
            next.processes[receiver] = intern(receiver, receiving_home);
            visit(next);
        }
    }
}

template <typename Step>
ownership_model::transition ownership_model::apply(const system_state& from,
                                                   std::size_t process,
                                                   std::uint32_t number,
                                                   Step step)
{
    const std::uint64_t key = (std::uint64_t(from.processes[process]) << 32U) | number;
    const auto found = transitions_.find(key);
    if (found != transitions_.end())
    {
        return found->second;
    }
    ownership changed = ownership_of(from, process);
    transition result;
    result.reply = intern_reply(step(changed));
    result.resulting_state = intern(process, std::move(changed));
    transitions_.emplace(key, result);
    return result;
}

template <typename Step>
void ownership_model::change(const system_state& from,
                             std::size_t process,
                             std::uint32_t number,
                             Step step)
{
    const transition result = apply(from, process, number, step);
    if (result.resulting_state != from.processes[process])
    {
        system_state next = from;
        next.processes[process] = result.resulting_state;
        visit(next);
    }
}

std::uint32_t ownership_model::intern(std::size_t process, ownership value)
{
    // closing a view later only makes a process accept less: closing it immediately is
    // the worst case
    value.try_close(now(), wall_of(process) - setup_.faults.omitted_margin);
    const std::string key =
        absl::StrCat(process, "/", value.fingerprint(now(), wall_of(process)));
    const auto [entry, inserted] = process_state_numbers_.emplace(
        key, static_cast<std::uint32_t>(process_states_.size()));
    if (inserted)
    {
        process_state fresh{process, value, 0, 0};
        fresh.accepts = accepted_by(value, process, false);
        fresh.accepts_first = accepted_by(value, process, true);
        process_states_.push_back(std::move(fresh));
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

const ownership& ownership_model::ownership_of(const system_state& of,
                                               std::size_t process) const
{
    return process_states_[of.processes[process]].state;
}

incarnation ownership_model::identity(const system_state& of, std::size_t process) const
{
    const bool fresh = of.restarted == process + 1 &&
                       !setup_.faults.loses_grants_on_restart &&
                       !setup_.faults.keeps_membership_on_restart;
    return incarnation(process + 1 + (fresh ? restarted_offset : 0));
}

steady_time ownership_model::now() const
{
    return steady_time(origin + time_);
}

wall_time ownership_model::wall_of(std::size_t process) const
{
    return wall_time(origin + time_ + setup_.clock_offsets[process]);
}

wall_time ownership_model::issued_at(int issue) const
{
    return wall_time(origin + issue);
}

ownership_model::issue_set ownership_model::accepted_by(const ownership& value,
                                                        std::size_t process,
                                                        bool first) const
{
    issue_set accepted = 0;
    if (value.adopted() == nullptr ||
        value.adopted()->epoch < view_epoch(setup_.first_accepting_view))
    {
        return accepted;
    }
    const int last_issue = setup_.horizon + 3;
    for (int issue = first_issue; issue <= last_issue; ++issue)
    {
        const wall_time issued =
            setup_.faults.skips_issue_time_check ? wall_of(process) : issued_at(issue);
        const ownership_decision decision =
            value.decide(key_, issued, first, now(), wall_of(process));
        if (std::holds_alternative<accept_run>(decision))
        {
            accepted |= issue_set(1) << unsigned(issue - first_issue);
        }
    }
    return accepted;
}

int ownership_model::max_caller_offset() const
{
    const int min_offset =
        *std::min_element(setup_.clock_offsets.begin(), setup_.clock_offsets.end());
    return min_offset + setup_.caller_skew;
}

/// @brief Returns the times of issue that a caller's clock may have reached.
ownership_model::issue_set ownership_model::issued_by_now() const
{
    const int latest = time_ + max_caller_offset();
    return latest < first_issue
               ? 0
               : (issue_set(1) << unsigned(latest - first_issue + 1)) - 1;
}

/// @brief Returns the times of issue whose callers may have resent a stated first
/// attempt.
ownership_model::issue_set ownership_model::resent_by_now() const
{
    if (setup_.faults.resends_first_attempt_early)
    {
        return ~issue_set(0);
    }
    const int latest = time_ + max_caller_offset() -
                       static_cast<int>(setup_.timing.first_attempt_window.count());
    return latest < first_issue
               ? 0
               : (issue_set(1) << unsigned(latest - first_issue + 1)) - 1;
}

} // namespace medlar::testing
