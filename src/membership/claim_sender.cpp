#include <medlar/detail/http/status.hpp>
#include <medlar/detail/log/membership_events.hpp>
#include <medlar/detail/membership/claim_sender.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <utility>

namespace medlar
{

namespace
{

constexpr std::chrono::milliseconds retry_interval{100};
/// Rounds to wait for the handover floor. Without one, such as when this process missed
/// a view, the claims are sent all the same: they still answer retried requests.
constexpr int max_rounds_without_floor = 30;
constexpr millis part_timeout{3000};
constexpr std::size_t max_part_claims = 512;
constexpr std::size_t max_part_bytes = 1024UL * 1024;

std::size_t estimated_size(const claim& one)
{
    const std::size_t fixed = 256;
    return fixed +
           (one.answer ? one.answer->output.size() + one.answer->trace.size() : 0);
}

/// @brief members that may take over requests of this process in the new view
std::vector<view_member>
gaining_members(const std::optional<view>& before, const view& adopted, incarnation self)
{
    std::vector<view_member> gaining;
    if (!before || before->find(self) == nullptr)
    {
        return gaining;
    }
    const bool stays = adopted.find(self) != nullptr;
    for (const view_member& member : adopted.members)
    {
        const bool is_new = before->find(member.process) == nullptr;
        if (member.process != self && (is_new || !stays))
        {
            gaining.push_back(member);
        }
    }
    return gaining;
}

} // namespace

claim_sender::claim_sender(exchange_core& core) : core_(core)
{
    thread_ = std::thread(
        [this]
        {
            run();
        });
}

claim_sender::~claim_sender()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void claim_sender::view_adopted(const std::optional<view>& before, const view& adopted)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        receivers_ = gaining_members(before, adopted, core_.self());
        send_rounds_ = 0;
        epoch_ = adopted.epoch;
    }
    changed_.notify_all();
}

void claim_sender::finished(const request_key& key)
{
    if (moved_home(key))
    {
        add({key, false});
    }
}

void claim_sender::withdrawn(const request_key& key)
{
    if (moved_home(key))
    {
        add({key, true});
    }
}

void claim_sender::add(const change& one)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        changes_.push_back(one);
    }
    changed_.notify_all();
}

bool claim_sender::idle() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return receivers_.empty() && changes_.empty();
}

void claim_sender::run()
{
    while (wait())
    {
        send_handovers();
        send_changes();
    }
}

bool claim_sender::wait()
{
    std::unique_lock<std::mutex> lock(mutex_);
    const bool pending = !receivers_.empty() || !changes_.empty();
    changed_.wait_for(lock,
                      retry_interval,
                      [this, pending]
                      {
                          const bool work = !receivers_.empty() || !changes_.empty();
                          return stopping_ || (work && !pending);
                      });
    return !stopping_;
}

void claim_sender::send_handovers()
{
    std::vector<view_member> receivers;
    view_epoch epoch;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        receivers = receivers_;
        epoch = epoch_;
    }
    ++send_rounds_;
    for (const view_member& receiver : receivers)
    {
        const bool done = !still_expected(receiver) || hand_over(receiver);
        const std::lock_guard<std::mutex> lock(mutex_);
        if (stopping_ || epoch_ != epoch)
        {
            return;
        }
        const auto same = [&receiver](const view_member& each)
        {
            return each.process == receiver.process;
        };
        if (done)
        {
            receivers_.erase(std::remove_if(receivers_.begin(), receivers_.end(), same),
                             receivers_.end());
        }
    }
}

bool claim_sender::still_expected(const view_member& receiver)
{
    const bool expected = core_.owner.read(
        [&receiver](const ownership& state)
        {
            return state.newest() != nullptr &&
                   state.newest()->current.find(receiver.process) != nullptr;
        });
    if (!expected)
    {
        log_event(handover_dropped, {{"receiver", receiver.process.get()}});
    }
    return expected;
}

bool claim_sender::hand_over(const view_member& receiver)
{
    struct handover_plan
    {
        view members;
        std::optional<wall_time> floor;
    };
    const handover_plan plan = core_.owner.read(
        [](const ownership& state)
        {
            return handover_plan{*state.adopted(), state.handover_floor()};
        });
    if (!plan.floor && send_rounds_ < max_rounds_without_floor)
    {
        return false;
    }
    const std::vector<claim> moved = core_.claims.select(
        [&plan, &receiver](std::uint64_t key_hash)
        {
            return home_of(plan.members, key_hash)->process == receiver.process;
        });
    handover_message part;
    part.from = core_.self();
    std::size_t bytes = 0;
    for (const claim& each : moved)
    {
        part.claims.push_back(each);
        bytes += estimated_size(each);
        const bool full = part.claims.size() >= max_part_claims || bytes > max_part_bytes;
        if (full && !send_part(receiver, part))
        {
            return false;
        }
        bytes = full ? 0 : bytes;
    }
    if (plan.floor)
    {
        part.notice = handover_notice{core_.self(), plan.members.epoch, *plan.floor};
    }
    if (!send_part(receiver, part))
    {
        return false;
    }
    log_event(handover_sent,
              {{"receiver", receiver.process.get()},
               {"epoch", plan.members.epoch.get()},
               {"claims", static_cast<std::uint64_t>(moved.size())}});
    return true;
}

bool claim_sender::send_part(const view_member& receiver, handover_message& part)
{
    const bool sent = call(receiver.link, "/v1/handover", to_json(part));
    part.claims.clear();
    return sent;
}

void claim_sender::send_changes()
{
    std::deque<change> taken;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        taken = changes_;
    }
    std::deque<change> unsent;
    for (const batch& each : group_by_home(taken))
    {
        if (!call(each.home.link, "/v1/claims", to_json(each.message)))
        {
            unsent.insert(unsent.end(), each.changes.begin(), each.changes.end());
        }
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    changes_.erase(changes_.begin(),
                   changes_.begin() + static_cast<std::ptrdiff_t>(taken.size()));
    changes_.insert(changes_.begin(), unsent.begin(), unsent.end());
}

std::vector<claim_sender::batch>
claim_sender::group_by_home(const std::deque<change>& taken) const
{
    std::map<incarnation, batch> by_home;
    for (const change& one : taken)
    {
        const std::optional<view_member> home = moved_home(one.key);
        if (!home)
        {
            continue;
        }
        batch& to = by_home[home->process];
        to.home = *home;
        to.message.from = core_.self();
        to.changes.push_back(one);
        const std::optional<claim> held = core_.claims.find(one.key);
        if (one.withdrawn)
        {
            to.message.withdrawn.push_back(one.key);
        }
        else if (held && held->answer)
        {
            to.message.finished.push_back(*held);
        }
    }
    std::vector<batch> batches;
    for (auto& [process, each] : by_home)
    {
        batches.push_back(std::move(each));
    }
    return batches;
}

/// @return the home of a request; unset if that is this process or no view is adopted
std::optional<view_member> claim_sender::moved_home(const request_key& key) const
{
    return core_.owner.read(
        [this, &key](const ownership& state) -> std::optional<view_member>
        {
            if (state.adopted() == nullptr)
            {
                return std::nullopt;
            }
            const view_member& home = *home_of(*state.adopted(), hash_of(key));
            return home.process == core_.self() ? std::nullopt : std::optional(home);
        });
}

bool claim_sender::call(const endpoint& to, const std::string& path, std::string body)
{
    link_call request;
    request.to = to;
    request.path = path;
    request.body = std::move(body);
    request.timeout = part_timeout;
    request.cancelled = [this]
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return stopping_;
    };
    const absl::StatusOr<link_reply> reply = core_.links.call(request);
    return reply.ok() && reply->status == status_ok;
}

} // namespace medlar
