#include "soak/evacuation_check.hpp"

#include <algorithm>

namespace medlar::soak
{

void evacuation_check::begin(const std::string& domain, steady_time now)
{
    evacuations_[domain] = {now, true, {}, {}};
}

void evacuation_check::record_key(const std::string& domain,
                                  bool is_present,
                                  steady_time now)
{
    const auto found = evacuations_.find(domain);
    if (found == evacuations_.end())
    {
        return;
    }
    evacuation& in_force = found->second;
    if (is_present && !in_force.is_present)
    {
        in_force.present_since = now;
    }
    in_force.is_present = is_present;
}

void evacuation_check::record_store(bool is_reachable, steady_time now)
{
    if (is_reachable && !is_store_reachable_)
    {
        store_reachable_since_ = now;
    }
    is_store_reachable_ = is_reachable;
}

void evacuation_check::record_host(const host_state& host,
                                   steady_time now,
                                   steady_time read_until)
{
    known_host& known = hosts_[host.name];
    if (known.started_at != host.started_at)
    {
        known = {host.started_at, host.started_at, host.is_running, now};
        for (auto& each : evacuations_)
        {
            each.second.bound_hosts.erase(host.name);
        }
    }
    if (host.is_running && !known.is_running)
    {
        known.running_since = now;
    }
    known.is_running = host.is_running;
    for (auto& each : evacuations_)
    {
        evacuation& in_force = each.second;
        update(in_force, host, known, read_until);
        if (is_bound(in_force, host.name))
        {
            bound_time_ = bound_time_ + (now - known.recorded_at);
        }
    }
    known.recorded_at = now;
}

void evacuation_check::update(evacuation& in_force,
                              const host_state& host,
                              const known_host& known,
                              steady_time read_until) const
{
    in_force.starting_hosts.erase(host.name);
    if (host.is_older || !host.is_running || !is_store_reachable_ || !in_force.is_present)
    {
        return;
    }
    const steady_time store_since =
        std::max(in_force.present_since, store_reachable_since_);
    if (std::max(store_since, known.running_since) + bound_ <= read_until)
    {
        in_force.bound_hosts.insert(host.name);
    }
    if (store_since <= known.started_at && known.running_since == known.started_at)
    {
        in_force.starting_hosts.insert(host.name);
    }
}

bool evacuation_check::is_bound(const evacuation& in_force, const std::string& host)
{
    return in_force.bound_hosts.count(host) > 0 ||
           in_force.starting_hosts.count(host) > 0;
}

bool evacuation_check::binds(const std::string& domain, const std::string& host) const
{
    const auto found = evacuations_.find(domain);
    return found != evacuations_.end() && is_bound(found->second, host);
}

} // namespace medlar::soak
