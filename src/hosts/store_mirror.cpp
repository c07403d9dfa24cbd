#include <medlar/detail/hosts/message_fields.hpp>
#include <medlar/detail/hosts/store_mirror.hpp>

#include <absl/strings/match.h>

#include <algorithm>
#include <set>

namespace medlar
{

namespace
{

// items that lapsed during an outage of the store are written again within about two
// seconds of its end; the rest is a margin for latency
constexpr millis lapse_window{2300};

// removals kept for other hosts and for the store's return from a copy: several hours of
// targets and hosts that come and go, less than 1 MB
constexpr std::size_t max_removals = 4096;

// the store returns from copies rarely: a host that reports a step of more eras than this
// has sent a malformed message
constexpr std::int64_t max_era_step = 1000;

// all evacuations that the sender of a delta knows. Without it, the sender does not
// mirror them: what the delta says of them may be outdated, and it may lack some
constexpr char evacuations_field[] = "evacuations";

nlohmann::json to_json(const store_version& version)
{
    return {{"era", version.era}, {"revision", version.revision}};
}

store_version read_version(const nlohmann::json& object)
{
    return {object.at("era").get<std::int64_t>(),
            object.at("revision").get<std::int64_t>()};
}

nlohmann::json
write_item(const store_item& item, const store_version& version, bool is_held)
{
    nlohmann::json written = to_json(version);
    written["key"] = item.key;
    written["held"] = is_held;
    written["value"] = nlohmann::json::binary(
        std::vector<std::uint8_t>(item.value.begin(), item.value.end()));
    return written;
}

struct changed_item
{
    store_item item;
    std::int64_t era = 0;
    bool is_held = false;
};

std::vector<changed_item> read_changes(const nlohmann::json& changes)
{
    std::vector<changed_item> items;
    for (const nlohmann::json& each : changes)
    {
        changed_item changed;
        changed.item.key = each.at("key").get<std::string>();
        changed.item.revision = each.at("revision").get<std::int64_t>();
        const nlohmann::json::binary_t& value = each.at("value").get_binary();
        changed.item.value.assign(value.begin(), value.end());
        changed.era = each.at("era").get<std::int64_t>();
        changed.is_held = each.at("held").get<bool>();
        items.push_back(std::move(changed));
    }
    return items;
}

} // namespace

void append_page(store_page& reading, const store_page& next)
{
    // a watch from the oldest page on repeats what the others may show already
    reading.revision =
        reading.revision == 0 ? next.revision : std::min(reading.revision, next.revision);
    reading.era = next.era;
    reading.items.insert(reading.items.end(), next.items.begin(), next.items.end());
}

store_mirror::store_mirror(change_handler on_change,
                           lapse_handler on_lapse,
                           content_reader read_content)
    : on_change_(std::move(on_change)),
      on_lapse_(std::move(on_lapse)),
      read_content_(std::move(read_content))
{
}

void store_mirror::begin_era(std::int64_t era, steady_time now)
{
    if (era <= version_.era)
    {
        return;
    }
    version_ = {era, 0};
    removals_known_after_ = 0;
    if (!items_.empty())
    {
        // what was written after the copy is written again, as after an outage
        record_outage_end(now);
    }
}

void store_mirror::record_outage_end(steady_time now)
{
    lapse_window_end_ = std::max(lapse_window_end_, now + lapse_window);
}

void store_mirror::set_evacuations(const std::string& prefix, bool is_mirrored)
{
    // what was missed so far has to be read
    lacks_evacuations_ =
        is_mirrored && (mirrors_evacuations_ ? lacks_evacuations_ : has_been_filled_);
    mirrors_evacuations_ = is_mirrored;
    evacuation_prefix_ = prefix;
    if (is_mirrored)
    {
        return;
    }
    for (auto each = items_.lower_bound(prefix);
         each != items_.end() && is_evacuation(each->first);)
    {
        store_item forgotten = std::move(each->second.item);
        each = items_.erase(each);
        forgotten.is_deleted = true;
        forgotten.value.clear();
        on_change_(forgotten);
    }
}

bool store_mirror::is_evacuation(const std::string& key) const
{
    return !evacuation_prefix_.empty() && absl::StartsWith(key, evacuation_prefix_);
}

nlohmann::json store_mirror::write_evacuations() const
{
    nlohmann::json evacuations = nlohmann::json::array();
    for (auto each = items_.lower_bound(evacuation_prefix_);
         each != items_.end() && is_evacuation(each->first);
         ++each)
    {
        const mirrored_item& known = each->second;
        evacuations.push_back(write_item(known.item, known.version, known.is_held));
    }
    return evacuations;
}

void store_mirror::remove_evacuations_except(const std::set<std::string>& keys,
                                             steady_time now)
{
    std::vector<std::string> missing;
    for (auto each = items_.lower_bound(evacuation_prefix_);
         each != items_.end() && is_evacuation(each->first);
         ++each)
    {
        if (keys.count(each->first) == 0 && each->second.version <= version_)
        {
            missing.push_back(each->first);
        }
    }
    for (const std::string& each : missing)
    {
        remove(each, version_, now);
    }
}

store_version store_mirror::known_until(const std::string& key) const
{
    store_version known = version_;
    for (const auto& each : pages_)
    {
        if (known < each.second && absl::StartsWith(key, each.first))
        {
            known = each.second;
        }
    }
    return known;
}

bool store_mirror::is_removed_since(const std::string& key,
                                    store_version version,
                                    store_version as_of) const
{
    const store_version known = known_until(key);
    return items_.count(key) == 0 && as_of < known && version.era == known.era &&
           version <= known;
}

void store_mirror::put(const store_item& item, std::int64_t era, bool is_held)
{
    const store_version version{era, item.revision};
    const std::optional<content_version> content = read_content_(item);
    const auto found = items_.find(item.key);
    if (found != items_.end())
    {
        mirrored_item& known = found->second;
        const bool is_older_content =
            content && known.content && *content < *known.content;
        const bool is_newer_content =
            content && known.content && *known.content < *content;
        // another host may hold newer content under the revision of the old copy
        if (version < known.version ||
            (version == known.version && !(is_held && is_newer_content)))
        {
            return;
        }
        if (is_older_content && (known.is_held || known.version.era < era))
        {
            known.version = version;
            known.is_held = true;
            return;
        }
    }
    const auto removed = removals_.find(item.key);
    if (removed != removals_.end())
    {
        const bool is_from_old_copy = removed->second.at.era < era && content &&
                                      removed->second.content &&
                                      !(*removed->second.content < *content);
        if (version <= removed->second.at || is_from_old_copy)
        {
            return;
        }
        removals_.erase(removed);
    }
    items_[item.key] = {item, version, content, is_held};
    on_change_(item);
}

void store_mirror::record_removal(const std::string& key, const removed_item& removed)
{
    removals_[key] = removed;
    if (removals_.size() <= max_removals)
    {
        return;
    }
    const auto oldest = std::min_element(removals_.begin(),
                                         removals_.end(),
                                         [](const auto& a, const auto& b)
                                         {
                                             return a.second.at < b.second.at;
                                         });
    if (oldest->second.at.era == version_.era)
    {
        removals_known_after_ =
            std::max(removals_known_after_, oldest->second.at.revision);
    }
    removals_.erase(oldest);
}

void store_mirror::record_unread_removal(const std::string& key,
                                         const removed_item& removed)
{
    const auto known = removals_.find(key);
    if (known == removals_.end() || known->second.at < removed.at)
    {
        record_removal(key, removed);
    }
}

void store_mirror::remove(const std::string& key, store_version at, steady_time now)
{
    const auto found = items_.find(key);
    if (found == items_.end())
    {
        return;
    }
    store_item removed = std::move(found->second.item);
    record_removal(key, {at, found->second.content});
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
    if (events.era < version_.era)
    {
        return;
    }
    begin_era(events.era, now);
    for (const store_item& each : events.items)
    {
        const store_version at{events.era, each.revision};
        if (!each.is_deleted)
        {
            if (!is_removed_since(each.key, at, at))
            {
                put(each, events.era, false);
            }
            continue;
        }
        const auto found = items_.find(each.key);
        if (found == items_.end())
        {
            // a host that knows the item may ask for changes since before this one
            record_unread_removal(each.key, {at, std::nullopt});
        }
        else if (found->second.version < at)
        {
            remove(each.key, at, now);
        }
    }
    if (version_.revision == 0)
    {
        removals_known_after_ = events.revision;
    }
    version_.revision = std::max(version_.revision, events.revision);
    has_been_filled_ = has_been_filled_ || is_filled();
}

void store_mirror::replace(absl::string_view prefix,
                           const store_page& all,
                           steady_time now)
{
    if (all.era < version_.era)
    {
        return;
    }
    begin_era(all.era, now);
    std::set<std::string> present;
    const store_version read_at{all.era, all.revision};
    for (const store_item& each : all.items)
    {
        present.insert(each.key);
        if (!is_removed_since(each.key, {all.era, each.revision}, read_at))
        {
            put(each, all.era, false);
        }
    }
    std::vector<std::string> missing;
    for (auto each = items_.lower_bound(std::string(prefix));
         each != items_.end() && absl::StartsWith(each->first, prefix);
         ++each)
    {
        if (present.count(each->first) == 0 && each->second.version <= read_at)
        {
            missing.push_back(each->first);
        }
    }
    for (const std::string& each : missing)
    {
        remove(each, read_at, now);
    }
    if (prefix == evacuation_prefix_)
    {
        lacks_evacuations_ = false;
    }
    store_version& newest = pages_[std::string(prefix)];
    newest = newest < read_at ? read_at : newest;
}

void store_mirror::finish_reading(store_version reached, steady_time now)
{
    if (reached.era < version_.era)
    {
        return;
    }
    begin_era(reached.era, now);
    if (version_ < reached)
    {
        // a reading shows what is left, but not what was added and removed since before
        removals_known_after_ = reached.revision;
        version_ = reached;
    }
    has_been_filled_ = has_been_filled_ || is_filled();
}

bool store_mirror::knows_more_than_store() const
{
    const auto is_known_longer = [this](const auto& each)
    {
        return each.second.is_held || each.second.version.era < version_.era;
    };
    const auto was_removed_before = [this](const auto& each)
    {
        return each.second.at.era < version_.era;
    };
    return std::any_of(items_.begin(), items_.end(), is_known_longer) ||
           std::any_of(removals_.begin(), removals_.end(), was_removed_before);
}

bool store_mirror::forget_after(store_version reached)
{
    if (reached.era != version_.era || version_ <= reached)
    {
        return false;
    }
    version_.revision = 0;
    removals_known_after_ = 0;
    for (auto& each : items_)
    {
        mirrored_item& known = each.second;
        if (reached < known.version)
        {
            // replaced or removed by the next reading
            known.version = version_;
            known.is_held = false;
        }
    }
    for (auto each = removals_.begin(); each != removals_.end();)
    {
        each = reached < each->second.at ? removals_.erase(each) : std::next(each);
    }
    return true;
}

nlohmann::json store_mirror::delta_since(store_version since, steady_time now) const
{
    const bool is_same_era = since.era == version_.era && since.revision > 0;
    const store_version base = is_same_era ? since : store_version{};
    nlohmann::json changed = nlohmann::json::array();
    for (const auto& each : items_)
    {
        const mirrored_item& known = each.second;
        if (base < known.version)
        {
            changed.push_back(write_item(known.item, known.version, known.is_held));
        }
    }
    nlohmann::json removed = nlohmann::json::array();
    for (const auto& each : removals_)
    {
        if (base < each.second.at)
        {
            nlohmann::json item = to_json(each.second.at);
            item["key"] = each.first;
            if (each.second.content)
            {
                item["generation"] = each.second.content->generation;
                item["sequence"] = each.second.content->sequence;
            }
            removed.push_back(std::move(item));
        }
    }
    nlohmann::json delta = to_json(version_);
    delta["base"] = to_json(base);
    delta["changed"] = std::move(changed);
    delta["removed"] = std::move(removed);
    delta["lapse_ms"] = std::max<std::int64_t>(0, (lapse_window_end_ - now).count());
    if (mirrors_evacuations_ && !lacks_evacuations_)
    {
        delta[evacuations_field] = write_evacuations();
    }
    if (!is_same_era || since.revision < removals_known_after_)
    {
        nlohmann::json keys = nlohmann::json::array();
        for (const auto& each : items_)
        {
            keys.push_back(each.first);
        }
        delta["keys"] = std::move(keys);
    }
    return delta;
}

std::vector<std::pair<std::string, store_mirror::removed_item>>
store_mirror::read_removals(const nlohmann::json& removals)
{
    std::vector<std::pair<std::string, removed_item>> items;
    for (const nlohmann::json& each : removals)
    {
        removed_item removed;
        removed.at = read_version(each);
        if (each.contains("generation"))
        {
            removed.content = content_version{each.at("generation").get<std::int64_t>(),
                                              each.at("sequence").get<std::int64_t>()};
        }
        items.emplace_back(each.at("key").get<std::string>(), removed);
    }
    return items;
}

void store_mirror::apply_removals(
    const std::vector<std::pair<std::string, removed_item>>& removals, steady_time now)
{
    for (const auto& [key, removed] : removals)
    {
        const auto found = items_.find(key);
        if (found == items_.end())
        {
            record_unread_removal(key, removed);
            continue;
        }
        const mirrored_item& known = found->second;
        // this host has read the item from the old copy only
        const bool is_from_old_copy = removed.at.era < known.version.era &&
                                      removed.content && known.content &&
                                      !(*removed.content < *known.content);
        if (known.version < removed.at || is_from_old_copy)
        {
            remove(key, removed.at, now);
        }
    }
}

void store_mirror::remove_missing(const std::vector<std::string>& keys,
                                  bool has_evacuations,
                                  steady_time now)
{
    const std::set<std::string> present(keys.begin(), keys.end());
    std::vector<std::string> missing;
    for (const auto& each : items_)
    {
        if (present.count(each.first) == 0 && each.second.version <= version_ &&
            (has_evacuations || !is_evacuation(each.first)))
        {
            missing.push_back(each.first);
        }
    }
    for (const std::string& each : missing)
    {
        remove(each, version_, now);
    }
}

delta_result store_mirror::apply_delta(const nlohmann::json& delta, steady_time now)
{
    const store_version reached = read_version(delta);
    const store_version base = read_version(delta.at("base"));
    // compared before they are subtracted: the era of a malformed message may be so small
    // that the difference overflows
    if (reached.era < version_.era || reached.revision <= 0 ||
        (version_.era != 0 && reached.era - version_.era > max_era_step))
    {
        return delta_result::older;
    }
    const bool is_complete = base == store_version{};
    if (!is_complete && (base.era != version_.era || version_ < base))
    {
        return delta_result::no_base;
    }
    // read as a whole before anything changes
    const millis lapse = read_span(delta, "lapse_ms");
    std::vector<changed_item> changes = read_changes(delta.at("changed"));
    auto removals = read_removals(delta.at("removed"));
    std::vector<changed_item> evacuations;
    const bool has_evacuations =
        mirrors_evacuations_ && delta.contains(evacuations_field);
    if (has_evacuations)
    {
        evacuations = read_changes(delta.at(evacuations_field));
    }
    else
    {
        const auto is_of_evacuation = [this](const changed_item& each)
        {
            return is_evacuation(each.item.key);
        };
        changes.erase(std::remove_if(changes.begin(), changes.end(), is_of_evacuation),
                      changes.end());
        const auto is_end_of_evacuation = [this](const auto& each)
        {
            return is_evacuation(each.first);
        };
        removals.erase(
            std::remove_if(removals.begin(), removals.end(), is_end_of_evacuation),
            removals.end());
    }
    std::optional<std::vector<std::string>> keys;
    if (delta.contains("keys"))
    {
        keys = delta.at("keys").get<std::vector<std::string>>();
    }
    begin_era(reached.era, now);
    if (lapse > millis(0))
    {
        lapse_window_end_ =
            std::max(lapse_window_end_, now + std::min(lapse, lapse_window));
    }
    const bool is_newer = version_ < reached;
    for (const changed_item& each : changes)
    {
        // from a host that knows less, it may have been removed since
        if ((!is_newer && items_.count(each.item.key) == 0) ||
            is_removed_since(each.item.key, {each.era, each.item.revision}, reached))
        {
            continue;
        }
        put(each.item, each.era, each.is_held);
    }
    apply_removals(removals, now);
    if (is_newer)
    {
        version_ = reached;
        has_been_filled_ = true;
        if (keys)
        {
            // the sender does not know all that was removed before, but what is left
            removals_known_after_ = reached.revision;
            remove_missing(*keys, has_evacuations, now);
        }
        lacks_evacuations_ =
            mirrors_evacuations_ && (lacks_evacuations_ || !has_evacuations);
    }
    if (has_evacuations && lacks_evacuations_ && version_ == reached)
    {
        std::set<std::string> present;
        for (const changed_item& each : evacuations)
        {
            present.insert(each.item.key);
            put(each.item, each.era, each.is_held);
        }
        remove_evacuations_except(present, now);
        lacks_evacuations_ = false;
    }
    return is_newer ? delta_result::applied : delta_result::older;
}

} // namespace medlar
