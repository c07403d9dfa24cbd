#include <medlar/detail/ownership/ownership.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace medlar
{

namespace
{

constexpr std::size_t max_known_views = 64;

std::size_t majority_of(const view& members)
{
    return members.members.size() / 2 + 1;
}

view_epoch preceding(view_epoch epoch)
{
    return view_epoch(epoch.get() - 1);
}

outcome refusal(outcome_kind kind, reason why, const char* message)
{
    outcome answer;
    answer.kind = kind;
    answer.why = why;
    answer.message = message;
    return answer;
}

/// @brief Returns the refusal of a process that cannot rule out that another one ran the
/// request; only a first attempt certainly did not run.
outcome refusal_without_proof(reason why, const char* message, bool first_attempt)
{
    return refusal(
        first_attempt ? outcome_kind::not_run : outcome_kind::unknown, why, message);
}

} // namespace

ownership::ownership(incarnation self, const ownership_timing& timing)
    : self_(self), timing_(timing)
{
}

ownership ownership::create(incarnation self, const ownership_timing& timing)
{
    return {self, timing};
}

bool ownership::on_view_record(const view_record& record,
                               steady_time now,
                               wall_time wall_now)
{
    if (newest_ && record.current.epoch <= newest_->current.epoch)
    {
        return false;
    }
    newest_ = record;
    store_views(record);
    for (const incarnation process : record.current.stated_stopped)
    {
        on_stopped(process, now);
    }
    if (views_.front().epoch.get() == 1)
    {
        mark_closed(view_epoch(0), wall_now);
    }
    // a view is proposed only when all views before its predecessor are closed
    for (std::uint64_t epoch = views_.front().epoch.get() - 1;
         epoch + 2 <= record.current.epoch.get();
         ++epoch)
    {
        mark_closed(view_epoch(epoch), wall_now);
    }
    return true;
}

void ownership::store_views(const view_record& record)
{
    std::vector<view> known = record.earlier;
    known.push_back(record.current);
    const view_epoch first = known.front().epoch;
    const bool contiguous = !views_.empty() && views_.back().epoch >= preceding(first);
    if (!contiguous)
    {
        // the views in between are unknown: abandon the adopted view and accept nothing
        views_ = known;
        adopted_ = view_epoch(0);
        grants_.clear();
        return;
    }
    for (const view& known_view : known)
    {
        if (known_view.epoch > views_.back().epoch)
        {
            views_.push_back(known_view);
        }
    }
    while (views_.size() > max_known_views && views_.front().epoch < adopted_)
    {
        views_.erase(views_.begin());
    }
}

bool ownership::try_adopt(steady_time now)
{
    if (!newest_ || adopted_ == newest_->current.epoch)
    {
        return false;
    }
    if (granted_until_ && now < *granted_until_)
    {
        return false;
    }
    adopted_ = newest_->current.epoch;
    granted_until_.reset();
    grants_.clear();
    record_adoption(self_, adopted_);
    return true;
}

const view* ownership::adopted() const
{
    return adopted_.get() == 0 ? nullptr : &views_[index_of(adopted_)];
}

const view_record* ownership::newest() const
{
    return newest_ ? &*newest_ : nullptr;
}

bool ownership::is_member() const
{
    const view* members = adopted();
    return members != nullptr && members->find(self_) != nullptr;
}

bool ownership::may_propose() const
{
    return newest_ && is_closed(preceding(newest_->current.epoch));
}

grant_reply ownership::on_grant_request(const grant_request& request, steady_time now)
{
    record_adoption(request.from, request.epoch);
    grant_reply reply;
    reply.from = self_;
    reply.adopted = adopted_;
    const bool newest_is_adopted = newest_ && newest_->current.epoch == adopted_;
    reply.granted = is_member() && newest_is_adopted && request.epoch == adopted_ &&
                    request.view_digest == digest_of(*adopted()) &&
                    adopted()->find(request.from) != nullptr;
    if (reply.granted)
    {
        const steady_time until = now + timing_.grant_duration();
        granted_until_ = granted_until_ ? std::max(*granted_until_, until) : until;
    }
    return reply;
}

grant_request ownership::make_grant_request() const
{
    grant_request request;
    request.from = self_;
    request.epoch = adopted_;
    request.view_digest = adopted() == nullptr ? 0 : digest_of(*adopted());
    return request;
}

void ownership::on_grant_reply(const grant_reply& reply, steady_time requested_at)
{
    record_adoption(reply.from, reply.adopted);
    if (!reply.granted || reply.adopted != adopted_)
    {
        return;
    }
    const auto [entry, inserted] = grants_.emplace(reply.from, requested_at);
    if (!inserted)
    {
        entry->second = std::max(entry->second, requested_at);
    }
}

std::vector<steady_time> ownership::grant_request_times() const
{
    std::vector<steady_time> times;
    for (const auto& [process, requested_at] : grants_)
    {
        if (adopted()->find(process) != nullptr)
        {
            times.push_back(requested_at);
        }
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times;
}

steady_time ownership::lease_until() const
{
    if (!is_member())
    {
        return steady_time(0);
    }
    const std::vector<steady_time> times = grant_request_times();
    const std::size_t needed = majority_of(*adopted());
    return times.size() < needed ? steady_time(0)
                                 : times[needed - 1] + timing_.lease_duration;
}

bool ownership::lease_valid(steady_time now) const
{
    return now < lease_until();
}

void ownership::on_stopped(incarnation process, steady_time now)
{
    stopped_since_.emplace(process, now);
}

void ownership::try_close(steady_time now, wall_time wall_now)
{
    if (!newest_)
    {
        return;
    }
    for (const view& older : views_)
    {
        if (older.epoch < newest_->current.epoch && cannot_form_majority(older, now))
        {
            mark_closed(older.epoch, wall_now);
        }
    }
}

bool ownership::cannot_form_majority(const view& old, steady_time now) const
{
    std::size_t unavailable = 0;
    for (const view_member& member : old.members)
    {
        const auto newer = adopted_by_.find(member.process);
        const auto stopped = stopped_since_.find(member.process);
        const bool has_moved_on = newer != adopted_by_.end() && newer->second > old.epoch;
        const bool grants_expired = stopped != stopped_since_.end() &&
                                    stopped->second + timing_.grant_duration() <= now;
        unavailable += has_moved_on || grants_expired ? 1 : 0;
    }
    return old.members.size() - unavailable < majority_of(old);
}

std::optional<wall_time> ownership::handover_floor() const
{
    const std::size_t present = adopted() == nullptr ? 0 : index_of(adopted_);
    if (present == 0 || views_[present - 1].find(self_) == nullptr)
    {
        return std::nullopt;
    }
    wall_time floor(0);
    for (std::size_t i = 0; i < present; ++i)
    {
        if (views_[i].find(self_) == nullptr)
        {
            continue;
        }
        const fence gained = fence_for_gained(i);
        if (!gained.settled)
        {
            return std::nullopt;
        }
        floor = std::max(floor, gained.floor);
    }
    return floor;
}

ownership::fence ownership::fence_for_gained(std::size_t index) const
{
    const view& gained = views_[index];
    if (index == 0)
    {
        return takeover_fence(preceding(gained.epoch));
    }
    const view& old = views_[index - 1];
    const bool was_member = old.find(self_) != nullptr;
    const auto received = handovers_.find(gained.epoch);
    fence combined{true, wall_time(0)};
    for (const view_member& source : old.members)
    {
        const bool stays = was_member && gained.find(source.process) != nullptr;
        if (source.process == self_ || stays)
        {
            continue;
        }
        fence from_source = takeover_fence(old.epoch);
        if (received != handovers_.end() && received->second.count(source.process) > 0)
        {
            from_source = {true, received->second.at(source.process)};
        }
        combined.settled = combined.settled && from_source.settled;
        combined.floor = std::max(combined.floor, from_source.floor);
    }
    return combined;
}

void ownership::on_handover(const handover_notice& notice)
{
    record_adoption(notice.from, notice.epoch);
    handovers_[notice.epoch][notice.from] = notice.floor;
}

ownership_decision ownership::decide(std::uint64_t key_hash,
                                     wall_time issued_at,
                                     bool states_first_attempt,
                                     steady_time now,
                                     wall_time wall_now) const
{
    // after the window the caller may have sent another attempt
    const bool first_attempt =
        states_first_attempt &&
        wall_now + timing_.max_caller_skew < issued_at + timing_.first_attempt_window;
    if (const auto too_old = check_issue_time(issued_at, first_attempt, wall_now))
    {
        return refuse{*too_old};
    }
    if (adopted() == nullptr)
    {
        return ownership_pending{refusal_without_proof(
            reason::not_ready, "no view is known here yet", first_attempt)};
    }
    const view_member& home = *home_of(*adopted(), key_hash);
    if (home.process != self_)
    {
        return other_home{home};
    }
    if (!lease_valid(now))
    {
        return ownership_pending{
            refusal_without_proof(reason::ownership_unproved,
                                  "the home cannot prove its lease now",
                                  first_attempt)};
    }
    const fence inherited = fence_for(key_hash);
    if (!inherited.settled)
    {
        return ownership_pending{
            refusal_without_proof(reason::ownership_unproved,
                                  "an earlier home may still hold its lease",
                                  first_attempt)};
    }
    if (!first_attempt && issued_at <= inherited.floor)
    {
        return refuse_below_floor(inherited);
    }
    return accept_run{};
}

ownership_decision ownership::refuse_below_floor(const fence& inherited) const
{
    outcome answer = refusal(outcome_kind::unknown,
                             reason::issued_before_ownership,
                             "an earlier home may have run it");
    if (inherited.handover_from)
    {
        return handover_pending{*inherited.handover_from, std::move(answer)};
    }
    return refuse{std::move(answer)};
}

std::optional<outcome> ownership::check_issue_time(wall_time issued_at,
                                                   bool first_attempt,
                                                   wall_time wall_now) const
{
    if (issued_at > wall_now + timing_.takeover_margin() + timing_.max_host_skew)
    {
        return refusal(outcome_kind::not_run,
                       reason::issued_ahead,
                       "issued_at is ahead of every host's clock");
    }
    if (issued_at > wall_now + timing_.max_caller_skew)
    {
        return refusal_without_proof(reason::issued_ahead,
                                     "issued_at is ahead of this host's clock",
                                     first_attempt);
    }
    if (issued_at < wall_now - timing_.retention)
    {
        return refusal_without_proof(
            reason::issued_before_retention,
            "it was issued longer ago than requests are remembered",
            first_attempt);
    }
    return std::nullopt;
}

ownership::fence ownership::fence_for(std::uint64_t key_hash) const
{
    for (std::size_t i = index_of(adopted_); i > 0; --i)
    {
        const view& old = views_[i - 1];
        const incarnation earlier = home_of(old, key_hash)->process;
        if (earlier == self_)
        {
            continue;
        }
        const auto received = handovers_.find(views_[i].epoch);
        if (received != handovers_.end() && received->second.count(earlier) > 0)
        {
            return {true, received->second.at(earlier)};
        }
        fence without_handover = takeover_fence(old.epoch);
        if (stopped_since_.count(earlier) == 0)
        {
            without_handover.handover_from = earlier;
        }
        return without_handover;
    }
    return takeover_fence(preceding(views_.front().epoch));
}

ownership::fence ownership::takeover_fence(view_epoch closed_view) const
{
    const auto found = closed_at_.find(closed_view);
    if (found == closed_at_.end())
    {
        return {false, wall_time(0)};
    }
    return {true, found->second + timing_.takeover_margin()};
}

std::size_t ownership::index_of(view_epoch epoch) const
{
    return static_cast<std::size_t>(epoch.get() - views_.front().epoch.get());
}

bool ownership::is_closed(view_epoch epoch) const
{
    return closed_at_.count(epoch) > 0;
}

void ownership::mark_closed(view_epoch epoch, wall_time wall_now)
{
    closed_at_.emplace(epoch, wall_now);
}

void ownership::record_adoption(incarnation process, view_epoch epoch)
{
    view_epoch& known = adopted_by_[process];
    known = std::max(known, epoch);
}

std::string ownership::fingerprint(steady_time now, wall_time wall_now) const
{
    std::string text = absl::StrCat(self_.get(),
                                    "|",
                                    adopted_.get(),
                                    "|",
                                    newest_ ? newest_->current.epoch.get() : 0);
    // expired values are left out: they make no difference however old they are
    const bool granting = granted_until_ && now < *granted_until_;
    absl::StrAppend(&text, "|g", granting ? (*granted_until_ - now).count() : 0);
    for (const auto& [process, requested_at] : grants_)
    {
        if (now < requested_at + timing_.lease_duration)
        {
            absl::StrAppend(&text, "|", process.get(), "@", (now - requested_at).count());
        }
    }
    for (const auto& [process, epoch] : adopted_by_)
    {
        absl::StrAppend(&text, "|a", process.get(), ":", epoch.get());
    }
    for (const auto& [process, since] : stopped_since_)
    {
        const millis stopped = std::min(now - since, timing_.grant_duration());
        absl::StrAppend(&text, "|s", process.get(), ":", stopped.count());
    }
    for (const auto& [epoch, at] : closed_at_)
    {
        absl::StrAppend(&text, "|c", epoch.get(), ":", (wall_now - at).count());
    }
    for (const auto& [epoch, floors] : handovers_)
    {
        for (const auto& [process, floor] : floors)
        {
            absl::StrAppend(&text, "|h", epoch.get(), ":", process.get());
            absl::StrAppend(&text, "=", (wall_now - floor).count());
        }
    }
    return text;
}

} // namespace medlar
