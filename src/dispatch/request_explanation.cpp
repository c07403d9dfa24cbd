#include <medlar/detail/dispatch/request_explanation.hpp>

#include <algorithm>
#include <utility>

namespace medlar
{

namespace
{

/// adds the time until @p until if it has not passed
void add_wait(nlohmann::json& to, const char* name, steady_time until, steady_time now)
{
    if (until > now)
    {
        to[name] = (until - now).count();
    }
}

void add_health(nlohmann::json& to, const target_health& health, steady_time now)
{
    if (health.consecutive_failures > 0)
    {
        to["failures_in_a_row"] = health.consecutive_failures;
    }
    if (health.state == health_state::ejected)
    {
        to["ejected"] = true;
        add_wait(to, "ejected_for_ms", health.probe_due, now);
    }
    if (health.state == health_state::probing)
    {
        to["probing"] = true;
    }
}

absl::string_view work_state(const target_state& target)
{
    switch (reason_without_work(target))
    {
        case skip_reason::none:
            return "live";
        case skip_reason::leaving:
            return "leaving";
        case skip_reason::evacuated:
            return "evacuated";
        default:
            return "draining";
    }
}

absl::string_view kind_name(route_kind kind)
{
    switch (kind)
    {
        case route_kind::idempotent:
            return "idempotent";
        case route_kind::non_idempotent:
            return "non_idempotent";
        case route_kind::stream:
            return "stream";
    }
    return "unknown";
}

} // namespace

nlohmann::json
explain_target(const target_state& target, const permit_lookup& permits, steady_time now)
{
    const target_record& record = target.record;
    nlohmann::json said{{"target", record.id.get()},
                        {"address", to_string(record.address)},
                        {"domain", record.domain.get()},
                        {"version", record.version.get()},
                        {"state", std::string(work_state(target))},
                        {"slots", record.slots},
                        {"in_flight", target.in_flight},
                        {"speed_weight", target.speed_weight}};
    add_health(said, target.health, now);
    add_wait(said, "full_for_ms", target.refused_until, now);
    add_wait(said, "paused_for_ms", target.paused_until, now);
    add_wait(said, "limited_for_ms", target.limited_until, now);
    if (const std::optional<permit_terms> terms = permits(target))
    {
        said["permits"] = {{"per_s", terms->per_s}, {"issuer", terms->issuer.get()}};
        if (terms->is_for_cold)
        {
            add_wait(said, "cold_for_ms", target.cold.until(), now);
        }
    }
    if (target.refusal_limit)
    {
        said["refusals_per_s"] = *target.refusal_limit;
    }
    if (target.evidence.may_have_restarted())
    {
        said["may_have_crashed"] = true;
    }
    if (target.is_start_unknown)
    {
        said["start_unknown"] = true;
    }
    return said;
}

nlohmann::json explain_targets(const std::vector<const target_state*>& targets,
                               const skip_record& skipped,
                               const target_state* chosen,
                               const permit_lookup& permits,
                               steady_time now)
{
    nlohmann::json list = nlohmann::json::array();
    std::size_t omitted = 0;
    // the chosen one comes first, so that it is listed in any case
    std::vector<const target_state*> ordered = targets;
    std::stable_partition(ordered.begin(),
                          ordered.end(),
                          [&](const target_state* each)
                          {
                              return each == chosen;
                          });
    for (const target_state* each : ordered)
    {
        if (list.size() >= max_explained_targets)
        {
            ++omitted;
            continue;
        }
        nlohmann::json said = explain_target(*each, permits, now);
        const auto why = std::find_if(skipped.begin(),
                                      skipped.end(),
                                      [&](const skipped_target& one)
                                      {
                                          return one.target == each;
                                      });
        said["taken"] = why == skipped.end();
        if (why != skipped.end())
        {
            said["why"] = std::string(to_string(why->why));
        }
        list.push_back(std::move(said));
    }
    return {{"list", std::move(list)}, {"omitted", omitted}};
}

nlohmann::json explain_route(const route& matched)
{
    nlohmann::json pools = nlohmann::json::array();
    for (const weighted_pool& each : matched.pools)
    {
        if (pools.size() < max_explained_items)
        {
            pools.push_back({{"pool", each.pool.get()}, {"weight", each.weight}});
        }
    }
    return {{"name", matched.name.get()},
            {"host", matched.host},
            {"prefix", matched.prefix},
            {"kind", std::string(kind_name(matched.kind))},
            {"may_retry", matched.may_retry()},
            {"max_attempts", matched.max_attempts},
            {"timeout_ms", matched.timeout.count()},
            {"soft_timeout_ms", matched.soft_timeout.count()},
            {"pools", std::move(pools)}};
}

nlohmann::json explain_missing_route(const serving_configuration& configuration,
                                     absl::string_view host)
{
    nlohmann::json prefixes = nlohmann::json::array();
    const std::vector<const route*> routes = configuration.routes_of_host(host);
    for (const route* each : routes)
    {
        if (prefixes.size() < max_explained_items)
        {
            prefixes.push_back(each->prefix);
        }
    }
    return {{"prefixes_of_host", std::move(prefixes)}, {"routes_of_host", routes.size()}};
}

} // namespace medlar
