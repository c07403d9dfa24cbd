#include <medlar/detail/base/error.hpp>
#include <medlar/detail/config/json.hpp>
#include <medlar/detail/operators/audit_log.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace medlar
{

namespace
{

const std::string audit_prefix = "medlar/audit/";
const std::string content_prefix = "medlar/contents/";
constexpr int max_put_attempts = 4;

/// @brief Returns the number of a record, or 0 if it is malformed.
std::uint64_t parse_record_number(const std::string& value)
{
    const absl::StatusOr<audit_record> record = parse_audit_record(value);
    return record.ok() ? record->number : 0;
}

/// @brief Returns the revision of an accepted document, or 0 if it is malformed.
std::uint64_t parse_content_number(const std::string& value)
{
    const absl::StatusOr<accepted_document> accepted = parse_accepted_document(value);
    return accepted.ok() ? accepted->number.get() : 0;
}

} // namespace

std::unique_ptr<audit_log> audit_log::create(store_client& store,
                                             std::uint64_t max_records)
{
    return std::unique_ptr<audit_log>(
        new audit_log(store, std::max<std::uint64_t>(max_records, 1)));
}

audit_log::audit_log(store_client& store, std::uint64_t max_records)
    : store_(store), max_records_(max_records)
{
}

absl::Status audit_log::ensure(const accepted_document& accepted)
{
    const absl::StatusOr<bool> is_recorded = has_record(accepted);
    if (!is_recorded.ok() || *is_recorded)
    {
        return is_recorded.status();
    }
    const auto before = find_content(accepted.based_on);
    if (!before.ok())
    {
        return before.status();
    }
    const absl::Status stored = put_unless_newer(content_key(accepted.number),
                                                 write_accepted_document(accepted),
                                                 accepted.number.get() - 1,
                                                 parse_content_number);
    if (!stored.ok())
    {
        return stored;
    }
    const bool is_first = accepted.based_on == revision(0);
    const document empty_document;
    const document* replaced = is_first ? &empty_document : nullptr;
    if (before->has_value())
    {
        replaced = &(*before)->content;
    }
    return add(make_audit_record(accepted, replaced), "");
}

absl::Status audit_log::add(const audit_record& record, const std::string& scope)
{
    return put_unless_newer(record_key(record.kind, scope, record.number),
                            write_audit_record(record),
                            record.number - 1,
                            parse_record_number);
}

absl::Status audit_log::add_intent(const audit_record& record, const std::string& scope)
{
    return put_unless_newer(record_key(record.kind, scope, record.number),
                            write_audit_record(record),
                            record.number,
                            parse_record_number);
}

absl::StatusOr<std::vector<audit_record>> audit_log::list() const
{
    const absl::StatusOr<store_folder> folder = store_.list(audit_prefix);
    if (!folder.ok())
    {
        return folder.status();
    }
    std::vector<audit_record> records;
    for (const store_entry& entry : folder->entries)
    {
        absl::StatusOr<audit_record> record = parse_audit_record(entry.value);
        if (record.ok())
        {
            records.push_back(*std::move(record));
        }
    }
    std::stable_sort(records.begin(),
                     records.end(),
                     [](const audit_record& a, const audit_record& b)
                     {
                         return a.at != b.at ? a.at > b.at : a.number > b.number;
                     });
    return records;
}

absl::StatusOr<std::optional<accepted_document>>
audit_log::find_content(revision number) const
{
    if (number == revision(0))
    {
        return std::nullopt;
    }
    const auto entry = store_.get(content_key(number));
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

std::string audit_log::record_key(audit_kind kind,
                                  const std::string& scope,
                                  std::uint64_t number) const
{
    return absl::StrCat(audit_prefix,
                        to_string(kind),
                        scope.empty() ? "" : "/",
                        scope,
                        "/",
                        number % max_records_);
}

std::string audit_log::content_key(revision number) const
{
    return absl::StrCat(content_prefix, number.get() % max_records_);
}

absl::StatusOr<bool> audit_log::has_record(const accepted_document& accepted) const
{
    if (accepted.number == revision(0))
    {
        return true;
    }
    const auto entry =
        store_.get(record_key(audit_kind::configuration, "", accepted.number.get()));
    if (!entry.ok())
    {
        return entry.status();
    }
    return entry->has_value() &&
           parse_record_number((*entry)->value) >= accepted.number.get();
}

absl::Status
audit_log::put_unless_newer(const std::string& key,
                            const std::string& value,
                            std::uint64_t max_replaceable,
                            std::uint64_t (*parse_number)(const std::string&))
{
    absl::Status last_error;
    for (int attempt = 0; attempt < max_put_attempts; ++attempt)
    {
        const auto entry = store_.get(key);
        if (!entry.ok())
        {
            last_error = entry.status();
            continue;
        }
        const bool is_present = entry->has_value();
        if (is_present && parse_number((*entry)->value) > max_replaceable)
        {
            return absl::OkStatus();
        }
        const store_index expected = is_present ? (*entry)->modified : store_index(0);
        const absl::StatusOr<bool> written =
            store_.compare_and_swap(key, value, expected);
        if (written.ok() && *written)
        {
            return absl::OkStatus();
        }
        last_error = written.ok() ? make_error(absl::StatusCode::kAborted,
                                               error_number::conflict,
                                               absl::StrCat(key, " keeps changing"))
                                  : written.status();
    }
    return last_error;
}

} // namespace medlar
