#include <medlar/detail/hosts/path_controller.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <algorithm>
#include <tuple>

namespace medlar
{

namespace
{

// interval at which a host repeats to which pools it has no path
constexpr millis repeat_interval{1000};

// how long another host counts as without a path after its last message: two of them may
// be lost
constexpr millis lost_path_lifetime{2500};

} // namespace

path_controller::path_controller(entry_context& context, peer_network& peers)
    : context_(context), peers_(peers)
{
}

void path_controller::record_call(const pool_id& pool)
{
    paths_[pool].evidence.record_call(context_.loop.now());
}

void path_controller::record_contact(const pool_id& pool)
{
    paths_[pool].evidence.record_contact();
    if (!has_path(pool))
    {
        update(pool);
    }
}

void path_controller::record_failure(const pool_id& pool,
                                     const target_id& target,
                                     bool is_sent)
{
    pool_path& path = paths_[pool];
    if (is_sent)
    {
        path.evidence.doubt();
    }
    else
    {
        path.evidence.record_failure(target);
    }
    probe(pool, path);
    update(pool);
}

void path_controller::probe(const pool_id& pool, pool_path& path)
{
    std::vector<target_id> targets;
    for (const target_state* each : context_.targets.serving(pool))
    {
        targets.push_back(each->record.id);
    }
    for (const target_id& each :
         path.evidence.start_probes(targets, context_.random.next(), context_.loop.now()))
    {
        path.probes[each] = std::make_unique<connection_probe>(
            context_.loop,
            context_.targets.find(each)->record.address,
            millis(0),
            [this, pool, each](probe_result result)
            {
                end_probe(pool, each, result);
            });
    }
}

void path_controller::end_probe(const pool_id& pool,
                                const target_id& target,
                                probe_result result)
{
    pool_path& path = paths_.at(pool);
    path.probes.erase(target);
    if (result == probe_result::connected)
    {
        path.evidence.record_contact();
    }
    else
    {
        path.evidence.record_failure(target);
    }
    path.evidence.record_probe_end();
    update(pool);
}

void path_controller::update(const pool_id& pool)
{
    const bool is_lost =
        paths_[pool].evidence.update_lost(context_.targets.serving(pool).size());
    if (is_lost == !has_path(pool))
    {
        return;
    }
    log_event(is_lost ? entry_path_lost : entry_path_regained, {{"pool", pool.get()}});
    context_.metrics->add(
        "medlar_paths_lost_total", {{"pool", pool.get()}}, is_lost ? 1.0 : 0.0);
    if (is_lost)
    {
        lost_.insert(pool);
        // other pools are often behind the same path, also those not used so far
        for (const auto& each : context_.targets.all())
        {
            const pool_id& other = each.second.record.pool;
            if (has_path(other))
            {
                paths_[other].evidence.doubt();
            }
        }
    }
    else
    {
        lost_.erase(pool);
        context_.targets.reset_health(pool);
    }
    tell_all();
    if (is_lost && on_lost_)
    {
        on_lost_(pool);
    }
}

void path_controller::tell_all()
{
    told_at_ = context_.loop.now();
    nlohmann::json pools = nlohmann::json::array();
    for (const pool_id& each : lost_)
    {
        pools.push_back(each.get());
    }
    const nlohmann::json message{
        {"type", "paths"}, {"host", peers_.self().id.get()}, {"lost", std::move(pools)}};
    for (const peer_host& each : peers_.live_hosts())
    {
        peers_.send(each.id, message);
    }
}

bool path_controller::handle_message(const nlohmann::json& message)
{
    if (message.at("type").get<std::string>() != "paths")
    {
        return false;
    }
    std::map<pool_id, steady_time> lost;
    for (const nlohmann::json& each : message.at("lost"))
    {
        lost[pool_id(each.get<std::string>())] = context_.loop.now() + lost_path_lifetime;
    }
    const host_id from(message.at("host").get<std::string>());
    const std::vector<peer_host> live = peers_.live_hosts();
    const bool is_near =
        std::any_of(live.begin(),
                    live.end(),
                    [&](const peer_host& each)
                    {
                        return each.id == from && each.domain == context_.settings.domain;
                    });
    const auto known = lost_of_others_.find(from);
    for (const auto& each : lost)
    {
        const bool is_new =
            known == lost_of_others_.end() || known->second.count(each.first) == 0;
        if (is_near && is_new && has_path(each.first))
        {
            // hosts of one failure domain often lose a path together
            paths_[each.first].evidence.doubt();
        }
    }
    if (lost.empty())
    {
        lost_of_others_.erase(from);
    }
    else
    {
        lost_of_others_[from] = std::move(lost);
    }
    return true;
}

void path_controller::record_lost(const host_id& host, const pool_id& pool)
{
    lost_of_others_[host][pool] = context_.loop.now() + lost_path_lifetime;
}

bool path_controller::may_have_path(const host_id& host, const pool_id& pool) const
{
    if (host == peers_.self().id)
    {
        return has_path(pool);
    }
    const auto found = lost_of_others_.find(host);
    if (found == lost_of_others_.end())
    {
        return true;
    }
    const auto until = found->second.find(pool);
    return until == found->second.end() || until->second <= context_.loop.now();
}

std::vector<peer_host> path_controller::hosts_with_path(const pool_id& pool) const
{
    std::vector<peer_host> all = peers_.live_hosts();
    const auto without = std::stable_partition(all.begin(),
                                               all.end(),
                                               [&](const peer_host& each)
                                               {
                                                   return may_have_path(each.id, pool);
                                               });
    if (without != all.begin())
    {
        all.erase(without, all.end());
    }
    return all;
}

bool path_controller::is_reached_by_another(const pool_id& pool) const
{
    const std::vector<peer_host> live = peers_.live_hosts();
    return std::any_of(live.begin(),
                       live.end(),
                       [&](const peer_host& each)
                       {
                           return each.id != peers_.self().id &&
                                  may_have_path(each.id, pool);
                       });
}

std::optional<peer_host> path_controller::choose_forwarder(const pool_id& pool,
                                                           const std::set<host_id>& tried,
                                                           random_source& random) const
{
    std::optional<peer_host> best;
    std::tuple<int, bool, std::uint64_t> best_rank;
    for (const peer_host& each : peers_.live_hosts())
    {
        const bool is_usable = each.id != peers_.self().id && each.forward.port != 0 &&
                               tried.count(each.id) == 0 && may_have_path(each.id, pool);
        if (!is_usable)
        {
            continue;
        }
        const auto forwarded = forwarded_.find(each.id);
        const std::tuple<int, bool, std::uint64_t> rank{
            forwarded == forwarded_.end() ? 0 : forwarded->second,
            each.domain != context_.settings.domain,
            random.next()};
        if (!best || rank < best_rank)
        {
            best = each;
            best_rank = rank;
        }
    }
    return best;
}

void path_controller::record_forwarded(const host_id& host, int change)
{
    const auto count = forwarded_.try_emplace(host, 0).first;
    count->second += change;
    if (count->second <= 0)
    {
        forwarded_.erase(count);
    }
}

void path_controller::tick()
{
    for (auto& each : paths_)
    {
        probe(each.first, each.second);
    }
    if (!lost_.empty() && context_.loop.now() - told_at_ >= repeat_interval)
    {
        tell_all();
    }
}

} // namespace medlar
