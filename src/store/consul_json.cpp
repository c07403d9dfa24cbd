#include <medlar/detail/base/error.hpp>
#include <medlar/detail/store/consul_json.hpp>

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <optional>

namespace medlar
{

namespace
{

using nlohmann::json;

// Time after the expiry of a lease in which its locks cannot be acquired, so that calls
// of the former holder that are still in flight have ended.
constexpr millis lock_delay{2000};

absl::Status malformed(absl::string_view what)
{
    return make_error(absl::StatusCode::kDataLoss, error_number::store_malformed, what);
}

bool has_number(const json& item, const char* name)
{
    const auto found = item.find(name);
    return found != item.end() && found->is_number_integer();
}

bool has_string(const json& item, const char* name)
{
    const auto found = item.find(name);
    return found != item.end() && found->is_string();
}

/// @brief Returns the decoded value of an entry; Consul sends an empty value as null.
std::optional<std::string> parse_value(const json& item)
{
    const auto found = item.find("Value");
    if (found == item.end() || found->is_null())
    {
        return std::string();
    }
    std::string value;
    if (!found->is_string() ||
        !absl::Base64Unescape(found->get_ref<const std::string&>(), &value))
    {
        return std::nullopt;
    }
    return value;
}

std::optional<store_entry> parse_entry(const json& item)
{
    if (!item.is_object() || !has_string(item, "Key") || !has_number(item, "ModifyIndex"))
    {
        return std::nullopt;
    }
    std::optional<std::string> value = parse_value(item);
    if (!value)
    {
        return std::nullopt;
    }
    store_entry entry;
    entry.key = item["Key"].get<std::string>();
    entry.value = std::move(*value);
    entry.modified = store_index(item["ModifyIndex"].get<std::uint64_t>());
    if (has_number(item, "LockIndex"))
    {
        entry.lock_count = fencing_number(item["LockIndex"].get<std::uint64_t>());
    }
    if (has_string(item, "Session"))
    {
        entry.holder = store_lease(item["Session"].get<std::string>());
    }
    return entry;
}

std::string duration_text(millis span)
{
    return absl::StrCat(span.count(), "ms");
}

} // namespace

absl::StatusOr<store_folder> parse_entries(absl::string_view body, std::uint64_t index)
{
    const json items = json::parse(body.begin(), body.end(), nullptr, false);
    if (!items.is_array())
    {
        return malformed("a read was not answered with a list of entries");
    }
    store_folder folder;
    folder.index = store_index(index);
    for (const json& item : items)
    {
        std::optional<store_entry> entry = parse_entry(item);
        if (!entry)
        {
            return malformed("an entry lacks Key, Value or ModifyIndex");
        }
        folder.entries.push_back(std::move(*entry));
    }
    return folder;
}

absl::StatusOr<store_lease> parse_session(absl::string_view body)
{
    const json answer = json::parse(body.begin(), body.end(), nullptr, false);
    if (!answer.is_object() || !has_string(answer, "ID"))
    {
        return malformed("the creation of a session was answered without ID");
    }
    return store_lease(answer["ID"].get<std::string>());
}

std::string write_session(millis time_to_live)
{
    const json session = {{"TTL", duration_text(time_to_live)},
                          {"LockDelay", duration_text(lock_delay)},
                          {"Behavior", "release"}};
    return session.dump();
}

} // namespace medlar
