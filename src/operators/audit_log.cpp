#include <medlar/detail/base/error.hpp>
#include <medlar/detail/config/json.hpp>
#include <medlar/detail/operators/audit_log.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace medlar
{

namespace
{

const std::string audit_folder = "medlar/audit/";
const std::string content_folder = "medlar/contents/";
constexpr int max_put_attempts = 4;

/// @brief number of a record; 0 if it is malformed
std::uint64_t record_number(const std::string& value)
{
    const absl::StatusOr<audit_record> record = parse_audit_record(value);
    return record.ok() ? record->number : 0;
}

/// @brief revision of an accepted document; 0 if it is malformed
std::uint64_t content_number(const std::string& value)
{
    const absl::StatusOr<accepted_document> accepted = parse_accepted_document(value);
    return accepted.ok() ? accepted->number.get() : 0;
}

} // namespace

std::unique_ptr<audit_log> audit_log::create(store_client& store, std::uint64_t entries)
{
    return std::unique_ptr<audit_log>(
        new audit_log(store, std::max<std::uint64_t>(entries, 1)));
}

audit_log::audit_log(store_client& store, std::uint64_t entries)
    : store_(store), entries_(entries)
{
}

absl::Status audit_log::ensure(const accepted_document& accepted)
{
    const absl::StatusOr<bool> known = has_record(accepted);
    if (!known.ok() || *known)
    {
        return known.status();
    }
    const auto before = find_content(accepted.based_on);
    if (!before.ok())
    {
        return before.status();
    }
    const absl::Status stored = put(content_slot_of(accepted.number),
                                    write_accepted_document(accepted),
                                    accepted.number.get() - 1,
                                    content_number);
    if (!stored.ok())
    {
        return stored;
    }
    const bool is_first = accepted.based_on == revision(0);
    const document nothing;
    const document* replaced = is_first ? &nothing : nullptr;
    if (before->has_value())
    {
        replaced = &(*before)->content;
    }
    return add(record_of(accepted, replaced), "");
}

absl::Status audit_log::add(const audit_record& record, const std::string& scope)
{
    return put(slot_of(record.kind, scope, record.number),
               write_audit_record(record),
               record.number - 1,
               record_number);
}

absl::Status audit_log::add_intent(const audit_record& record, const std::string& scope)
{
    return put(slot_of(record.kind, scope, record.number),
               write_audit_record(record),
               record.number,
               record_number);
}

absl::StatusOr<std::vector<audit_record>> audit_log::list() const
{
    const absl::StatusOr<store_folder> folder = store_.list(audit_folder);
    if (!folder.ok())
    {
        return folder.status();
    }
    std::vector<audit_record> all;
    for (const store_entry& entry : folder->entries)
    {
        absl::StatusOr<audit_record> record = parse_audit_record(entry.value);
        if (record.ok())
        {
            all.push_back(*std::move(record));
        }
    }
    std::stable_sort(all.begin(),
                     all.end(),
                     [](const audit_record& a, const audit_record& b)
                     {
                         return a.at != b.at ? a.at > b.at : a.number > b.number;
                     });
    return all;
}

absl::StatusOr<std::optional<accepted_document>>
audit_log::find_content(revision number) const
{
    if (number == revision(0))
    {
        return std::nullopt;
    }
    const auto entry = store_.get(content_slot_of(number));
    if (!entry.ok())
    {
        return entry.status();
    }
    if (!entry->has_value())
    {
        return std::nullopt;
    }
    absl::StatusOr<accepted_document> accepted = parse_accepted_document((*entry)->value);
    if (!accepted.ok() || accepted->number != number)
    {
        return std::nullopt;
    }
    return *std::move(accepted);
}

std::string
audit_log::slot_of(audit_kind kind, const std::string& scope, std::uint64_t number) const
{
    return absl::StrCat(audit_folder,
                        to_string(kind),
                        scope.empty() ? "" : "/",
                        scope,
                        "/",
                        number % entries_);
}

std::string audit_log::content_slot_of(revision number) const
{
    return absl::StrCat(content_folder, number.get() % entries_);
}

absl::StatusOr<bool> audit_log::has_record(const accepted_document& accepted) const
{
    if (accepted.number == revision(0))
    {
        return true;
    }
    const auto entry =
        store_.get(slot_of(audit_kind::configuration, "", accepted.number.get()));
    if (!entry.ok())
    {
        return entry.status();
    }
    return entry->has_value() && record_number((*entry)->value) >= accepted.number.get();
}

absl::Status audit_log::put(const std::string& key,
                            const std::string& value,
                            std::uint64_t replaceable,
                            std::uint64_t (*number_of)(const std::string&))
{
    absl::Status last;
    for (int attempt = 0; attempt < max_put_attempts; ++attempt)
    {
        const auto entry = store_.get(key);
        if (!entry.ok())
        {
            last = entry.status();
            continue;
        }
        const bool taken = entry->has_value();
        if (taken && number_of((*entry)->value) > replaceable)
        {
            return absl::OkStatus();
        }
        const store_index expected = taken ? (*entry)->modified : store_index(0);
        const absl::StatusOr<bool> written =
            store_.compare_and_swap(key, value, expected);
        if (written.ok() && *written)
        {
            return absl::OkStatus();
        }
        last = written.ok() ? make_error(absl::StatusCode::kAborted,
                                         error_number::conflict,
                                         absl::StrCat(key, " keeps changing"))
                            : written.status();
    }
    return last;
}

} // namespace medlar
