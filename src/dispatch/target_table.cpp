#include <medlar/detail/dispatch/target_table.hpp>

#include <algorithm>

namespace medlar
{

bool target_table::put(const target_record& record)
{
    const auto found = targets_.find(record.id);
    const bool is_same = found != targets_.end() &&
                         found->second.record.address == record.address &&
                         found->second.record.started_ms == record.started_ms &&
                         found->second.record.pool == record.pool;
    if (!is_same)
    {
        target_state added;
        added.record = record;
        remove(record.id);
        targets_[record.id] = added;
        by_address_[record.address] = record.id;
        return true;
    }
    found->second.record = record;
    found->second.expires_at.reset();
    return false;
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

std::vector<target_state*> target_table::serving(const pool_id& pool)
{
    std::vector<target_state*> found;
    for (auto& each : targets_)
    {
        if (each.second.record.pool == pool && !each.second.record.is_draining)
        {
            found.push_back(&each.second);
        }
    }
    return found;
}

bool may_call(const target_state& target, steady_time now)
{
    return now >= target.refused_until && (target.health.state == health_state::healthy ||
                                           probe_is_due(target.health, now));
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
