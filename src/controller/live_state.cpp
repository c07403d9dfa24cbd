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

/// @brief the entry without what is read from its value
live_entry entry_of(const store_entry* entry)
{
    live_entry seen;
    seen.modified = entry == nullptr ? store_index(0) : entry->modified;
    return seen;
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

live_reading live_state::take(const store_folder& folder)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    now_.reachable = true;
    live_reading reading;
    reading.configuration = take_stored_configuration(
        find(folder, store_keys::configuration), &reading.malformed);
    reading.view = take_stored_view(find(folder, store_keys::view), &reading.malformed);
    return reading;
}

state_order live_state::take_stored_configuration(const store_entry* entry,
                                                  absl::Status* malformed)
{
    const state_version known = version_of(now_.configuration.get());
    live_entry seen = entry_of(entry);
    if (entry != nullptr && !stored_text_.empty() && entry->value == stored_text_)
    {
        // A document is large; it is read only when it has changed.
        seen.version = now_.stored_configuration.version;
        seen.malformed = now_.stored_configuration.malformed;
    }
    else if (entry != nullptr)
    {
        absl::StatusOr<accepted_document> read = parse_accepted_document(entry->value);
        seen.malformed = !read.ok();
        malformed->Update(read.status());
        seen.version = read.ok() ? version_of(&*read) : state_version();
        if (read.ok() && compare_versions(known, seen.version) == state_order::newer)
        {
            now_.configuration =
                std::make_shared<const accepted_document>(*std::move(read));
            now_.configuration_text = entry->value;
        }
    }
    stored_text_ = entry == nullptr ? std::string() : entry->value;
    now_.stored_configuration = seen;
    return seen.malformed ? state_order::same : compare_versions(known, seen.version);
}

state_order live_state::take_stored_view(const store_entry* entry,
                                         absl::Status* malformed)
{
    const state_version known = version_of(now_.view.get());
    live_entry seen = entry_of(entry);
    if (entry != nullptr)
    {
        absl::StatusOr<view_record> read = parse_view_record(entry->value);
        seen.malformed = !read.ok();
        malformed->Update(read.status());
        if (read.ok())
        {
            seen.version = version_of(&*read);
            if (compare_versions(known, seen.version) == state_order::newer)
            {
                now_.view = std::make_shared<const view_record>(*std::move(read));
            }
        }
    }
    now_.stored_view = seen;
    return seen.malformed ? state_order::same : compare_versions(known, seen.version);
}

void live_state::take_view(const view_record& record)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (record.current.epoch.get() > version_of(now_.view.get()).number)
    {
        now_.view = std::make_shared<const view_record>(record);
    }
}

absl::Status live_state::take_configuration(const std::string& text)
{
    absl::StatusOr<accepted_document> read = parse_accepted_document(text);
    if (!read.ok())
    {
        return read.status();
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    if (read->number.get() > version_of(now_.configuration.get()).number)
    {
        now_.configuration = std::make_shared<const accepted_document>(*std::move(read));
        now_.configuration_text = text;
    }
    return absl::OkStatus();
}

void live_state::set_unreachable()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    now_.reachable = false;
}

live_snapshot live_state::snapshot() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return now_;
}

} // namespace medlar
