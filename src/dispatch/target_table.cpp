#include <medlar/detail/dispatch/target_table.hpp>

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace medlar
{

namespace
{

// the longest pause that a target gets: it covers its restart or reload; a target that
// stays away for longer leaves
constexpr millis max_target_pause{300000};

// leaving targets that are remembered: those of several releases of the largest pools
constexpr std::size_t max_leaving_targets = 4096;

// how long a target that refused a call for lack of room gets no call of this host
constexpr millis full_target_pause{150};

// Hosts return to such a target together, and some call it before they hear of the next
// refusal. The pause is this many times the interval at which it bears refusals.
constexpr double refusal_pause_factor = 1.5;

// pause of a target that bears hardly any refusals
constexpr millis max_refusal_pause{3000};

// requests of all hosts at a target, by its slots, that has_used_share() allows: hosts
// have unequal load
constexpr double share_factor = 1.5;

} // namespace

bool target_table::put(const target_record& record, steady_time now)
{
    const auto found = targets_.find(record.id);
    const bool is_same =
        found != targets_.end() && found->second.record.address == record.address &&
        found->second.record.pool == record.pool &&
        (found->second.record.started_ms == record.started_ms ||
         (!is_listed(found->second) && start_of(found->second) == record.started_ms));
    if (!is_same)
    {
        target_state added;
        added.record = record;
        added.is_evacuated = evacuated_.count(record.domain) != 0;
        // without a start an entry says nothing of the process that answers
        if (record.started_ms != 0 && found != targets_.end() &&
            found->second.record.address == record.address &&
            start_of(found->second) > record.started_ms)
        {
            added.answering_start = start_of(found->second);
        }
        if (found != targets_.end())
        {
            added.cold = found->second.cold;
        }
        restore_process(added);
        forget_leaving_before(added);
        remove(record.id);
        targets_[record.id] = added;
        by_address_[record.address] = record.id;
        return true;
    }
    if (start_of(found->second) == record.started_ms)
    {
        found->second.answering_start.reset();
    }
    const bool is_new_version = found->second.record.version != record.version;
    if (found->second.evidence.record_write(is_new_version, now))
    {
        found->second.is_start_unknown = false;
    }
    found->second.record = record;
    found->second.is_evacuated = evacuated_.count(record.domain) != 0;
    found->second.expires_at.reset();
    return false;
}

void target_table::record_loss(const endpoint& where, steady_time at)
{
    const auto indexed = by_address_.find(where);
    if (target_state* const target =
            indexed == by_address_.end() ? nullptr : find(indexed->second))
    {
        target->evidence.record_loss(at);
    }
}

void target_table::restore_process(target_state& target)
{
    const auto calls = calls_.find(process_of(target));
    target.in_flight = calls == calls_.end() ? 0 : calls->second;
    target.is_leaving = leaving_.count(process_of(target)) != 0;
}

void target_table::forget_leaving_before(const target_state& target)
{
    const process_start first{target.record.id, std::numeric_limits<std::int64_t>::min()};
    leaving_.erase(leaving_.lower_bound(first), leaving_.lower_bound(process_of(target)));
}

bool target_table::mark_leaving(const process_start& process)
{
    if (leaving_.count(process) == 0)
    {
        if (leaving_.size() >= max_leaving_targets)
        {
            // the lowest id is as good as any: ids say nothing about age
            leaving_.erase(leaving_.begin());
        }
        leaving_.insert(process);
    }
    target_state* const target = find_process(process);
    return target != nullptr && !std::exchange(target->is_leaving, true);
}

void target_table::record_start(const target_id& id, std::int64_t started_ms)
{
    target_state* const target = find(id);
    if (target == nullptr || target->record.started_ms == 0)
    {
        return;
    }
    target->is_start_unknown = false;
    target->evidence = {};
    if (started_ms == target->record.started_ms)
    {
        if (!is_listed(*target))
        {
            target->answering_start.reset();
            // a probe of the other process would never end here
            target->health = target_health();
            restore_process(*target);
        }
        return;
    }
    if (started_ms > start_of(*target))
    {
        target_state started;
        started.record = target->record;
        started.expires_at = target->expires_at;
        started.answering_start = started_ms;
        started.inquiry = target->inquiry;
        started.is_evacuated = target->is_evacuated;
        started.cold = target->cold;
        restore_process(started);
        *target = started;
    }
}

bool target_table::mark_paused(const target_id& id,
                               millis pause,
                               millis spread,
                               steady_time now)
{
    target_state* const target = find(id);
    const steady_time until = now + std::min(pause, max_target_pause) + spread;
    if (target == nullptr || until <= target->paused_until)
    {
        return false;
    }
    target->paused_until = until;
    return true;
}

std::optional<millis> target_table::time_until_callable(const pool_id& pool,
                                                        steady_time now) const
{
    std::optional<millis> first;
    for (const target_state* each : of_pool(pool))
    {
        if (!takes_work(*each))
        {
            continue;
        }
        const steady_time from =
            std::max({each->paused_until, each->refused_until, each->limited_until});
        const millis wait = std::max(millis(0), from - now);
        first = first ? std::min(*first, wait) : wait;
    }
    return first;
}

void target_table::remove(const target_id& id)
{
    const auto found = targets_.find(id);
    if (found != targets_.end())
    {
        erase(found);
    }
}

void target_table::erase(std::map<target_id, target_state>::iterator entry)
{
    // the address may belong to another target by now
    const auto indexed = by_address_.find(entry->second.record.address);
    if (indexed != by_address_.end() && indexed->second == entry->first)
    {
        by_address_.erase(indexed);
    }
    targets_.erase(entry);
}

void target_table::mark_lapsed(const target_id& id, steady_time until)
{
    const auto found = targets_.find(id);
    if (found != targets_.end() && !found->second.expires_at)
    {
        found->second.expires_at = until;
    }
}

void target_table::drop_lapsed(steady_time now)
{
    for (auto each = targets_.begin(); each != targets_.end();)
    {
        const auto entry = each++;
        if (entry->second.expires_at && *entry->second.expires_at <= now)
        {
            erase(entry);
        }
    }
}

target_state* target_table::find(const target_id& id)
{
    const auto found = targets_.find(id);
    return found == targets_.end() ? nullptr : &found->second;
}

const target_state* target_table::find(const target_id& id) const
{
    const auto found = targets_.find(id);
    return found == targets_.end() ? nullptr : &found->second;
}

target_state* target_table::find_process(const process_start& process)
{
    target_state* const target = find(process.target);
    return target != nullptr && process_of(*target) == process ? target : nullptr;
}

process_start target_table::process_reached(const process_start& expected,
                                            std::optional<std::int64_t> stated_ms,
                                            bool is_new_connection) const
{
    const target_state* const target = find(expected.target);
    // where the entry names no start, all processes count as one
    if (!stated_ms || target == nullptr || target->record.started_ms == 0)
    {
        return expected;
    }
    // A new connection reaches the process that answers now. If it states an earlier
    // start, its clock was set back: calls that counted nowhere would make it look idle.
    return is_new_connection && *stated_ms < start_of(*target)
               ? process_of(*target)
               : process_start{expected.target, *stated_ms};
}

process_start target_table::leaving_process(const process_start& reached,
                                            bool is_stated) const
{
    const target_state* const target = find(reached.target);
    const bool may_be_unlisted = !is_stated && target != nullptr && !is_listed(*target);
    return may_be_unlisted ? process_of(*target) : reached;
}

void target_table::begin_call(const process_start& process)
{
    const int calls = ++calls_[process];
    if (target_state* const target = find_process(process))
    {
        target->in_flight = calls;
    }
}

void target_table::end_call(const process_start& process)
{
    const auto counted = calls_.find(process);
    if (counted == calls_.end())
    {
        return;
    }
    const int calls = --counted->second;
    if (calls == 0)
    {
        calls_.erase(counted);
    }
    if (target_state* const target = find_process(process))
    {
        target->in_flight = calls;
    }
}

const target_state* target_table::find_by_address(const endpoint& where) const
{
    const auto indexed = by_address_.find(where);
    if (indexed == by_address_.end())
    {
        return nullptr;
    }
    const auto found = targets_.find(indexed->second);
    return found == targets_.end() ? nullptr : &found->second;
}

void target_table::set_evacuated(const failure_domain_id& domain, bool is_evacuated)
{
    if (is_evacuated)
    {
        evacuated_.insert(domain);
    }
    else
    {
        evacuated_.erase(domain);
    }
    for (auto& each : targets_)
    {
        if (each.second.record.domain == domain)
        {
            each.second.is_evacuated = is_evacuated;
        }
    }
}

std::size_t target_table::count_in(const failure_domain_id& domain) const
{
    return static_cast<std::size_t>(std::count_if(targets_.begin(),
                                                  targets_.end(),
                                                  [&](const auto& each)
                                                  {
                                                      return each.second.record.domain ==
                                                             domain;
                                                  }));
}

bool target_table::is_evacuated(const pool_id& pool) const
{
    bool is_any_evacuated = false;
    for (const auto& each : targets_)
    {
        if (each.second.record.pool == pool && !is_stopping(each.second))
        {
            if (!each.second.is_evacuated)
            {
                return false;
            }
            is_any_evacuated = true;
        }
    }
    return is_any_evacuated;
}

void target_table::reset_health(const pool_id& pool)
{
    for (auto& each : targets_)
    {
        if (each.second.record.pool == pool)
        {
            each.second.health = target_health();
        }
    }
}

std::vector<target_state*> target_table::serving(const pool_id& pool)
{
    std::vector<target_state*> found;
    for (auto& each : targets_)
    {
        if (each.second.record.pool == pool && takes_work(each.second))
        {
            found.push_back(&each.second);
        }
    }
    return found;
}

std::vector<target_state*> target_table::of_pool(const pool_id& pool)
{
    std::vector<target_state*> found;
    for (auto& each : targets_)
    {
        if (each.second.record.pool == pool)
        {
            found.push_back(&each.second);
        }
    }
    return found;
}

std::vector<const target_state*> target_table::of_pool(const pool_id& pool) const
{
    std::vector<const target_state*> found;
    for (const auto& each : targets_)
    {
        if (each.second.record.pool == pool)
        {
            found.push_back(&each.second);
        }
    }
    return found;
}

target_counts target_table::count_uncallable(const pool_id& pool, steady_time now) const
{
    target_counts counts;
    for (const auto& [id, each] : targets_)
    {
        if (each.record.pool != pool)
        {
            continue;
        }
        ++counts.total;
        const std::pair<bool, int*> reasons[]{
            {is_stopping(each), &counts.stopping},
            {each.is_evacuated, &counts.evacuated},
            {each.health.state == health_state::probing, &counts.probing},
            {each.health.state == health_state::ejected &&
                 !probe_is_due(each.health, now),
             &counts.ejected},
            {now < each.paused_until, &counts.paused},
            {now < each.refused_until, &counts.full},
            {now < each.limited_until, &counts.limited}};
        const auto* const first = std::find_if(std::begin(reasons),
                                               std::end(reasons),
                                               [](const auto& reason)
                                               {
                                                   return reason.first;
                                               });
        if (first != std::end(reasons))
        {
            ++*first->second;
        }
    }
    return counts;
}

std::int64_t start_of(const target_state& target)
{
    return target.answering_start.value_or(target.record.started_ms);
}

process_start process_of(const target_state& target)
{
    return {target.record.id, start_of(target)};
}

bool is_listed(const target_state& target)
{
    return !target.answering_start;
}

bool is_stopping(const target_state& target)
{
    return target.record.is_draining || target.is_leaving;
}

skip_reason reason_without_work(const target_state& target)
{
    if (is_stopping(target))
    {
        return target.is_leaving ? skip_reason::leaving : skip_reason::draining;
    }
    return target.is_evacuated ? skip_reason::evacuated : skip_reason::none;
}

bool takes_work(const target_state& target)
{
    return reason_without_work(target) == skip_reason::none;
}

millis pause_after_refusal(std::optional<double> refusal_limit)
{
    constexpr double ms_per_s = 1000;
    if (!refusal_limit)
    {
        return full_target_pause;
    }
    const auto longest = static_cast<double>(max_refusal_pause.count());
    const double pause_ms = *refusal_limit * longest > refusal_pause_factor * ms_per_s
                                ? refusal_pause_factor * ms_per_s / *refusal_limit
                                : longest;
    return std::max(full_target_pause, millis(static_cast<std::int64_t>(pause_ms)));
}

bool has_used_share(const target_state& target, std::size_t host_count)
{
    const double share = share_factor * target.record.slots /
                         static_cast<double>(std::max<std::size_t>(1, host_count));
    return target.refusal_limit && target.in_flight >= std::max(1.0, share);
}

skip_reason reason_not_to_call(const target_state& target, steady_time now)
{
    if (now < target.refused_until)
    {
        return skip_reason::refused;
    }
    if (now < target.paused_until)
    {
        return skip_reason::paused;
    }
    if (now < target.limited_until)
    {
        return skip_reason::limited;
    }
    if (target.health.state == health_state::healthy || probe_is_due(target.health, now))
    {
        return skip_reason::none;
    }
    return target.health.state == health_state::probing ? skip_reason::probing
                                                        : skip_reason::ejected;
}

bool may_call(const target_state& target, steady_time now)
{
    return reason_not_to_call(target, now) == skip_reason::none;
}

void record_call(target_state& target,
                 const health_sample& sample,
                 const std::vector<target_state*>& serving,
                 steady_time now)
{
    std::vector<double> slowness;
    std::size_t unhealthy = 0;
    for (const target_state* each : serving)
    {
        slowness.push_back(each->health.slowness);
        unhealthy += each->health.state == health_state::healthy ? 0 : 1;
    }
    double median = 1;
    if (!slowness.empty())
    {
        const auto middle =
            slowness.begin() + static_cast<std::ptrdiff_t>(slowness.size() / 2);
        std::nth_element(slowness.begin(), middle, slowness.end());
        median = std::max(1.0, *middle);
    }
    target.health = after_call(target.health, sample, median, now);
    if (should_eject(target.health, median) && (unhealthy + 1) * 2 <= serving.size())
    {
        target.health = eject(target.health, now);
    }
}

} // namespace medlar
