#include <medlar/detail/entry/store_mirror.hpp>

#include <absl/strings/match.h>

namespace medlar
{

namespace
{

// items that lapsed during an outage of the store are written again within about two
// seconds of its end; the rest is a margin for latency
constexpr millis lapse_window{2300};

} // namespace

store_mirror::store_mirror(change_handler on_change, lapse_handler on_lapse)
    : on_change_(std::move(on_change)), on_lapse_(std::move(on_lapse))
{
}

void store_mirror::record_outage_end(steady_time now)
{
    lapse_window_end_ = now + lapse_window;
}

void store_mirror::put(const store_item& item)
{
    const auto found = items_.find(item.key);
    if (found != items_.end() && found->second.revision >= item.revision)
    {
        return;
    }
    items_[item.key] = item;
    on_change_(item);
}

void store_mirror::remove(const std::string& key, steady_time now)
{
    const auto found = items_.find(key);
    if (found == items_.end())
    {
        return;
    }
    store_item removed = found->second;
    items_.erase(found);
    if (now < lapse_window_end_)
    {
        on_lapse_(key, lapse_window_end_);
        return;
    }
    removed.is_deleted = true;
    removed.value.clear();
    on_change_(removed);
}

void store_mirror::apply(const store_page& events, steady_time now)
{
    for (const store_item& each : events.items)
    {
        if (!each.is_deleted)
        {
            put(each);
            continue;
        }
        const auto found = items_.find(each.key);
        if (found != items_.end() && found->second.revision < each.revision)
        {
            remove(each.key, now);
        }
    }
    revision_ = std::max(revision_, events.revision);
}

void store_mirror::replace(absl::string_view prefix,
                           const store_page& all,
                           steady_time now)
{
    std::set<std::string> present;
    for (const store_item& each : all.items)
    {
        present.insert(each.key);
        put(each);
    }
    std::vector<std::string> missing;
    for (auto each = items_.lower_bound(std::string(prefix));
         each != items_.end() && absl::StartsWith(each->first, prefix);
         ++each)
    {
        if (present.count(each->first) == 0 && each->second.revision <= all.revision)
        {
            missing.push_back(each->first);
        }
    }
    for (const std::string& each : missing)
    {
        remove(each, now);
    }
}

nlohmann::json store_mirror::delta_since(std::int64_t since) const
{
    nlohmann::json changed = nlohmann::json::array();
    nlohmann::json keys = nlohmann::json::array();
    for (const auto& each : items_)
    {
        keys.push_back(each.first);
        if (each.second.revision > since)
        {
            changed.push_back(
                {{"key", each.first},
                 {"revision", each.second.revision},
                 {"value",
                  nlohmann::json::binary(std::vector<std::uint8_t>(
                      each.second.value.begin(), each.second.value.end()))}});
        }
    }
    return {{"revision", revision_},
            {"changed", std::move(changed)},
            {"keys", std::move(keys)}};
}

void store_mirror::apply_delta(const nlohmann::json& delta, steady_time now)
{
    const auto revision = delta.at("revision").get<std::int64_t>();
    if (revision <= revision_)
    {
        return;
    }
    for (const nlohmann::json& each : delta.at("changed"))
    {
        store_item item;
        item.key = each.at("key").get<std::string>();
        item.revision = each.at("revision").get<std::int64_t>();
        const nlohmann::json::binary_t& value = each.at("value").get_binary();
        item.value.assign(value.begin(), value.end());
        put(item);
    }
    std::set<std::string> present;
    for (const nlohmann::json& each : delta.at("keys"))
    {
        present.insert(each.get<std::string>());
    }
    std::vector<std::string> missing;
    for (const auto& each : items_)
    {
        if (present.count(each.first) == 0)
        {
            missing.push_back(each.first);
        }
    }
    for (const std::string& each : missing)
    {
        remove(each, now);
    }
    revision_ = revision;
}

} // namespace medlar
