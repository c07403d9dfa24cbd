#include <medlar/detail/log/membership_events.hpp>
#include <medlar/detail/membership/view_manager.hpp>

#include <algorithm>
#include <optional>

namespace medlar
{

namespace
{

/// @brief the adopted view before and after a step; @p after is unset if none was adopted
struct adoption
{
    std::optional<view> before;
    std::optional<view> after;
};

std::optional<view> adopted_view(const ownership& state)
{
    if (state.adopted() == nullptr)
    {
        return std::nullopt;
    }
    return *state.adopted();
}

bool adoption_is_due(const ownership& state)
{
    return state.newest() != nullptr &&
           (state.adopted() == nullptr ||
            state.adopted()->epoch != state.newest()->current.epoch);
}

bool closing_is_due(const ownership& state)
{
    return state.newest() != nullptr && !state.may_propose();
}

} // namespace

view_manager::view_manager(exchange_core& core, claim_sender& sender)
    : core_(core), sender_(sender)
{
}

absl::Status view_manager::on_view_record(absl::string_view record_text)
{
    const absl::StatusOr<view_record> record = parse_view_record(record_text);
    if (!record.ok())
    {
        return record.status();
    }
    const bool newer = core_.owner.write(
        [this, &record](ownership& state)
        {
            return state.on_view_record(
                *record, core_.time.steady_now(), core_.time.wall_now());
        });
    if (newer)
    {
        log_event(
            view_learned,
            {{"epoch", record->current.epoch.get()},
             {"members", static_cast<std::uint64_t>(record->current.members.size())}});
        step();
    }
    return absl::OkStatus();
}

void view_manager::step()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (core_.owner.read(adoption_is_due) && !core_.stopped.load())
    {
        adopt();
    }
    if (core_.owner.read(closing_is_due))
    {
        core_.owner.write(
            [this](ownership& state)
            {
                state.try_close(core_.time.steady_now(), core_.time.wall_now());
                return true;
            });
    }
    log_lease_change();
}

void view_manager::adopt()
{
    const adoption change = core_.owner.write(
        [this](ownership& state)
        {
            adoption result;
            result.before = adopted_view(state);
            if (state.try_adopt(core_.time.steady_now()))
            {
                result.after = adopted_view(state);
            }
            return result;
        });
    if (!change.after)
    {
        return;
    }
    core_.peers.view_adopted(core_.time.steady_now());
    sender_.view_adopted(change.before, *change.after);
    log_event(view_adopted,
              {{"epoch", change.after->epoch.get()},
               {"members", static_cast<std::uint64_t>(change.after->members.size())}});
}

void view_manager::log_lease_change()
{
    const bool has_lease = core_.owner.read(
        [this](const ownership& state)
        {
            return state.lease_valid(core_.time.steady_now());
        });
    if (has_lease != had_lease_)
    {
        had_lease_ = has_lease;
        log_event(has_lease ? lease_gained : lease_lost, {});
    }
}

void view_manager::on_replaced(incarnation process)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (std::find(replaced_.begin(), replaced_.end(), process) != replaced_.end())
    {
        return;
    }
    replaced_.push_back(process);
    core_.owner.write(
        [this, process](ownership& state)
        {
            state.on_stopped(process, core_.time.steady_now());
            return true;
        });
    log_event(peer_replaced, {{"process", process.get()}});
}

} // namespace medlar
