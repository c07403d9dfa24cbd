#include <medlar/detail/dispatch/evacuation_list.hpp>

namespace medlar
{

bool evacuation_list::begin(const failure_domain_id& domain)
{
    const auto [entry, is_new] = domains_.try_emplace(domain);
    entry->second.reset();
    return is_new;
}

bool evacuation_list::end(const failure_domain_id& domain)
{
    return domains_.erase(domain) != 0;
}

bool evacuation_list::hold(const failure_domain_id& domain, steady_time until)
{
    const auto found = domains_.find(domain);
    if (found == domains_.end() || found->second)
    {
        return false;
    }
    found->second = until;
    return true;
}

bool evacuation_list::begin_held(const failure_domain_id& domain, steady_time until)
{
    return domains_.try_emplace(domain, until).second;
}

std::vector<failure_domain_id> evacuation_list::end_held(steady_time now)
{
    std::vector<failure_domain_id> ended;
    for (auto each = domains_.begin(); each != domains_.end();)
    {
        const auto entry = each++;
        if (entry->second && *entry->second <= now)
        {
            ended.push_back(entry->first);
            domains_.erase(entry);
        }
    }
    return ended;
}

std::map<failure_domain_id, steady_time> evacuation_list::held() const
{
    std::map<failure_domain_id, steady_time> held;
    for (const auto& each : domains_)
    {
        if (each.second)
        {
            held.emplace(each.first, *each.second);
        }
    }
    return held;
}

} // namespace medlar
