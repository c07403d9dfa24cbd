#include <medlar/detail/config/json.hpp>
#include <medlar/detail/controller/live_state.hpp>
#include <medlar/detail/controller/store_keys.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace medlar
{

namespace
{

const store_entry* find(const store_folder& folder, const char* key)
{
    const auto found = std::find_if(folder.entries.begin(),
                                    folder.entries.end(),
                                    [key](const store_entry& entry)
                                    {
                                        return entry.key == key;
                                    });
    return found == folder.entries.end() ? nullptr : &*found;
}

/// @brief Returns the entry with its index only; its value is parsed by the caller.
live_entry index_only_entry(const store_entry* entry)
{
    live_entry stored;
    stored.modified = entry == nullptr ? store_index(0) : entry->modified;
    return stored;
}

} // namespace

state_version version_of(const accepted_document* accepted)
{
    if (accepted == nullptr)
    {
        return {};
    }
    return {accepted->number.get(), accepted->change_id};
}

state_version version_of(const view_record* record)
{
    if (record == nullptr)
    {
        return {};
    }
    return {record->current.epoch.get(), absl::StrCat(digest_of(record->current))};
}

live_reading live_state::update(const store_folder& folder)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    snapshot_.reachable = true;
    live_reading reading;
    reading.configuration = update_stored_configuration(
        find(folder, store_keys::configuration), &reading.malformed);
    reading.view = update_stored_view(find(folder, store_keys::view), &reading.malformed);
    return reading;
}

state_order live_state::update_stored_configuration(const store_entry* entry,
                                                    absl::Status* malformed)
{
    const state_version known = version_of(snapshot_.configuration.get());
    live_entry stored = index_only_entry(entry);
    if (entry != nullptr && !stored_text_.empty() && entry->value == stored_text_)
    {
        // A document is large, so it is parsed only when it has changed.
        stored.version = snapshot_.stored_configuration.version;
        stored.malformed = snapshot_.stored_configuration.malformed;
    }
    else if (entry != nullptr)
    {
        absl::StatusOr<accepted_document> parsed = parse_accepted_document(entry->value);
        stored.malformed = !parsed.ok();
        malformed->Update(parsed.status());
        stored.version = parsed.ok() ? version_of(&*parsed) : state_version();
        if (parsed.ok() && compare_versions(known, stored.version) == state_order::newer)
        {
            snapshot_.configuration =
                std::make_shared<const accepted_document>(*std::move(parsed));
            snapshot_.configuration_text = entry->value;
        }
    }
    stored_text_ = entry == nullptr ? std::string() : entry->value;
    snapshot_.stored_configuration = stored;
    return stored.malformed ? state_order::same : compare_versions(known, stored.version);
}

state_order live_state::update_stored_view(const store_entry* entry,
                                           absl::Status* malformed)
{
    const state_version known = version_of(snapshot_.view.get());
    live_entry stored = index_only_entry(entry);
    if (entry != nullptr)
    {
        absl::StatusOr<view_record> parsed = parse_view_record(entry->value);
        stored.malformed = !parsed.ok();
        malformed->Update(parsed.status());
        if (parsed.ok())
        {
            stored.version = version_of(&*parsed);
            if (compare_versions(known, stored.version) == state_order::newer)
            {
                snapshot_.view = std::make_shared<const view_record>(*std::move(parsed));
            }
        }
    }
    snapshot_.stored_view = stored;
    return stored.malformed ? state_order::same : compare_versions(known, stored.version);
}

void live_state::merge_view(const view_record& record)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (record.current.epoch.get() > version_of(snapshot_.view.get()).number)
    {
        snapshot_.view = std::make_shared<const view_record>(record);
    }
}

absl::Status live_state::merge_configuration(const std::string& text)
{
    absl::StatusOr<accepted_document> parsed = parse_accepted_document(text);
    if (!parsed.ok())
    {
        return parsed.status();
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    if (parsed->number.get() > version_of(snapshot_.configuration.get()).number)
    {
        snapshot_.configuration =
            std::make_shared<const accepted_document>(*std::move(parsed));
        snapshot_.configuration_text = text;
    }
    return absl::OkStatus();
}

void live_state::set_unreachable()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    snapshot_.reachable = false;
}

live_snapshot live_state::snapshot() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return snapshot_;
}

} // namespace medlar
