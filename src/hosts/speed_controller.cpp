#include <medlar/detail/hosts/speed_controller.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <limits>

namespace medlar
{

namespace
{

// placement of the collections: different from that of any pool's pieces
constexpr char speed_group_name[] = "speeds of targets";

constexpr millis report_interval{1000};

// a target that has started again has no weight until then
constexpr millis apply_interval{5000};

// a host completes some ten streams a second at the most; more add nothing to an estimate
constexpr std::size_t max_unreported = 64;

// bound on what one message of another host may add
constexpr std::size_t max_entries = 1024;

nlohmann::json write_paces(const std::vector<target_pace>& paces)
{
    nlohmann::json list = nlohmann::json::array();
    for (const target_pace& each : paces)
    {
        list.push_back({each.target.get(), each.gap_ms});
    }
    return list;
}

std::vector<target_pace> read_paces(const nlohmann::json& list)
{
    std::vector<target_pace> paces;
    for (const nlohmann::json& each : list)
    {
        if (paces.size() >= max_entries)
        {
            break;
        }
        paces.push_back(
            {target_id(each.at(0).get<std::string>()), each.at(1).get<double>()});
    }
    return paces;
}

} // namespace

speed_controller::speed_controller(entry_context& context, peer_network& peers)
    : context_(context),
      peers_(peers),
      collection_id_(
          context.random.below(std::numeric_limits<std::uint32_t>::max() - 1ULL) + 1)
{
}

void speed_controller::record_stream(const pool_id& pool,
                                     const target_id& target,
                                     double gap_ms)
{
    pool_paces& paces = pools_[pool];
    if (paces.unreported.size() < max_unreported)
    {
        paces.unreported.push_back({target, gap_ms});
    }
}

void speed_controller::tick()
{
    const steady_time now = context_.loop.now();
    if (now - reported_at_ < report_interval)
    {
        return;
    }
    reported_at_ = now;
    const auto is_registered = [this](const target_id& target)
    {
        return context_.targets.find(target) != nullptr;
    };
    for (auto& each : pools_)
    {
        each.second.known.retain(is_registered);
        report(each.first, each.second);
        if (each.second.has_changed || now - each.second.applied_at >= apply_interval)
        {
            each.second.has_changed = false;
            each.second.applied_at = now;
            apply(each.first, each.second);
        }
    }
    for (auto& each : collected_)
    {
        each.second.retain(is_registered);
    }
}

void speed_controller::report(const pool_id& pool, pool_paces& paces)
{
    if (paces.unreported.empty())
    {
        return;
    }
    const std::vector<target_pace> streams = std::move(paces.unreported);
    paces.unreported.clear();
    const host_id collector =
        rank_owners({pool_id(speed_group_name), pool.get()}, peers_.live_hosts()).front();
    if (collector != peers_.self().id)
    {
        // if it is lost, the next one is chosen by all as soon as they notice
        peers_.send(collector,
                    {{"type", "paces?"},
                     {"pool", pool.get()},
                     {"streams", write_paces(streams)},
                     {"collection", paces.collection},
                     {"version", paces.version}});
        return;
    }
    target_speeds& collected = collected_[pool];
    for (const target_pace& each : streams)
    {
        collected.record(each.target, each.gap_ms);
    }
    const std::uint64_t since = paces.collection == collection_id_ ? paces.version : 0;
    for (const target_pace& each : collected.changes_since(since))
    {
        paces.known.set(each);
        paces.has_changed = true;
    }
    paces.collection = collection_id_;
    paces.version = collected.version();
}

void speed_controller::apply(const pool_id& pool, pool_paces& paces)
{
    std::int64_t slower = 0;
    std::int64_t faster = 0;
    bool has_changed = false;
    for (target_state* each : context_.targets.serving(pool))
    {
        const double weight = paces.known.weight_of(each->record.id);
        has_changed = has_changed || weight != each->speed_weight;
        each->speed_weight = weight;
        slower += weight < 1 ? 1 : 0;
        faster += weight > 1 ? 1 : 0;
    }
    if (has_changed)
    {
        log_event(entry_target_speeds_changed,
                  {{"pool", pool.get()},
                   {"slower", slower},
                   {"faster", faster},
                   {"collection", std::uint64_t{paces.collection}},
                   {"version", std::uint64_t{paces.version}}});
        context_.metrics->set(
            "medlar_slower_targets", {{"pool", pool.get()}}, static_cast<double>(slower));
        context_.metrics->set(
            "medlar_faster_targets", {{"pool", pool.get()}}, static_cast<double>(faster));
    }
}

bool speed_controller::handle_request(const std::shared_ptr<message_link>& from,
                                      const nlohmann::json& message)
{
    if (message.at("type").get<std::string>() != "paces?")
    {
        return false;
    }
    const pool_id pool(message.at("pool").get<std::string>());
    const std::vector<target_pace> streams = read_paces(message.at("streams"));
    const auto collection = message.at("collection").get<std::uint64_t>();
    const auto version = message.at("version").get<std::uint64_t>();
    target_speeds& collected = collected_[pool];
    for (const target_pace& each : streams)
    {
        if (context_.targets.find(each.target) != nullptr)
        {
            collected.record(each.target, each.gap_ms);
        }
    }
    const std::uint64_t since = collection == collection_id_ ? version : 0;
    from->send({{"type", "paces"},
                {"pool", pool.get()},
                {"collection", collection_id_},
                {"version", collected.version()},
                {"changed", write_paces(collected.changes_since(since))}});
    return true;
}

bool speed_controller::handle_answer(const nlohmann::json& message)
{
    if (message.at("type").get<std::string>() != "paces")
    {
        return false;
    }
    const std::vector<target_pace> changed = read_paces(message.at("changed"));
    const auto collection = message.at("collection").get<std::uint64_t>();
    const auto version = message.at("version").get<std::uint64_t>();
    const pool_id pool(message.at("pool").get<std::string>());
    pool_paces& paces = pools_[pool];
    for (const target_pace& each : changed)
    {
        paces.known.set(each);
        paces.has_changed = true;
    }
    paces.collection = collection;
    paces.version = version;
    return true;
}

} // namespace medlar
