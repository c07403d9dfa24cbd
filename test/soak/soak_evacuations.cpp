// Evacuations of failure domains, and the requests that reach their targets.

#include "platform/names.hpp"
#include "soak/soak_run.hpp"
#include "soak/target_request.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace medlar::soak
{

namespace
{

constexpr std::array<const char*, 3> domains{"a", "b", "c"};

std::string key_of(const std::string& domain)
{
    return platform::evacuation_prefix + domain;
}

} // namespace

std::string soak_run::domain_of(std::size_t target) const
{
    return domains.at(settings_.evacuate_domains ? target % domains.size() : 0);
}

void soak_run::add_evacuate_bound(nlohmann::json& settings) const
{
    if (settings_.evacuate_domains && settings_.state_evacuate_bound)
    {
        settings["bounds"]["evacuate_ms"] = evacuate_bound.count();
    }
}

void soak_run::schedule_evacuations()
{
    const auto random_time = [this](std::int64_t least, std::uint64_t spread)
    {
        return millis(least +
                      static_cast<std::int64_t>(evacuation_random_.below(spread)));
    };
    const std::size_t first = evacuation_random_.below(domains.size());
    const std::size_t second =
        (first + 1 + evacuation_random_.below(domains.size() - 1)) % domains.size();
    millis begin(0);
    millis end(0);
    for (const std::size_t each : {first, second})
    {
        begin = begin + random_time(200, 1500);
        // one in four is withdrawn before it has to be in force
        const millis length = evacuation_random_.below(4) == 0 ? random_time(100, 1500)
                                                               : random_time(6000, 6000);
        end = std::max(end, begin + length);
        loop_.after(begin,
                    [this, each]
                    {
                        evacuate(domains.at(each));
                    });
        loop_.after(begin + length,
                    [this, each]
                    {
                        withdraw(domains.at(each));
                    });
    }
    loop_.after(end + random_time(100, 500),
                [this]
                {
                    if (inject_faults_)
                    {
                        schedule_evacuations();
                    }
                });
}

void soak_run::evacuate(const std::string& domain)
{
    if (!inject_faults_)
    {
        return;
    }
    record_event(absl::StrCat("domain ", domain, " is evacuated"));
    store_.put(key_of(domain), "{}");
    evacuations_.begin(domain, time_.steady_now());
}

void soak_run::withdraw(const std::string& domain)
{
    if (!evacuations_.is_evacuated(domain))
    {
        return;
    }
    record_event(absl::StrCat("the evacuation of domain ", domain, " is withdrawn"));
    store_.remove(key_of(domain));
    evacuations_.end(domain);
}

void soak_run::withdraw_all()
{
    for (const char* each : domains)
    {
        withdraw(each);
    }
}

void soak_run::write_evacuations_again()
{
    for (const char* each : domains)
    {
        const std::string key = key_of(each);
        if (evacuations_.is_evacuated(each))
        {
            store_.put(key, "{}");
        }
        else if (store_.has_key_with_prefix(key))
        {
            store_.remove(key);
        }
    }
}

void soak_run::watch_evacuations()
{
    const steady_time now = time_.steady_now();
    evacuations_.record_store(
        store_path_->fault() == path_fault::none && !store_.is_down(), now);
    for (const char* each : domains)
    {
        evacuations_.record_key(each, store_.has_key_with_prefix(key_of(each)), now);
    }
    for (const auto& each : hosts_)
    {
        const bool is_running = each->process->pid() != 0 && !each->is_paused;
        evacuations_.record_host(
            {each->name, is_running, each->started_at, each->is_older},
            now,
            earliest_arrival());
    }
}

void soak_run::observe_request(std::size_t target,
                               std::uint16_t from,
                               absl::string_view bytes)
{
    soak_target& to = targets_[target];
    if (!begins_request(bytes, to.server->id()))
    {
        return;
    }
    if (evacuations_.is_evacuated(to.server->domain))
    {
        check_evacuated_target(to, from, bytes);
    }
    count_cold_request(to);
}

void soak_run::check_evacuated_target(const soak_target& target,
                                      std::uint16_t from,
                                      absl::string_view request)
{
    const std::string& domain = target.server->domain;
    ++evacuated_arrivals_;
    const auto is_late_from = [&](const std::unique_ptr<soak_host>& each)
    {
        return evacuations_.binds(domain, each->name) &&
               owns_connection(each->process->pid(), from, target.path->where().port);
    };
    const auto sender = std::find_if(hosts_.begin(), hosts_.end(), is_late_from);
    if (sender == hosts_.end())
    {
        return;
    }
    const std::string name = describe(**sender);
    late_requests& late = late_arrivals_[name];
    ++(evacuations_.is_store_reachable() ? late.with_store : late.without_store);
    if (late.with_store + late.without_store == 1)
    {
        record_event(absl::StrCat(target.server->key(),
                                  " in the evacuated domain ",
                                  domain,
                                  " gets from ",
                                  name,
                                  ": ",
                                  request.substr(0, request.find('\r'))));
    }
}

void soak_run::check_evacuations()
{
    for (const auto& each : late_arrivals_)
    {
        promises_.record_violation(
            absl::StrCat(each.first,
                         " sent ",
                         each.second.with_store + each.second.without_store,
                         " requests to evacuated targets late, ",
                         each.second.without_store,
                         " of them while the store was away"));
    }
    coverage_.push_back(absl::StrCat("evacuations: hosts bound for ",
                                     evacuations_.bound_time().count(),
                                     " ms in all, ",
                                     evacuated_arrivals_,
                                     " requests to evacuated targets"));
}

} // namespace medlar::soak
