#include <medlar/detail/config/difference.hpp>
#include <medlar/detail/config/json.hpp>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <map>
#include <set>

namespace medlar
{

namespace
{

using nlohmann::json;

const json absent = json(json::value_t::discarded);

bool is_array_of_named_objects(const json& value)
{
    return value.is_array() && std::all_of(value.begin(),
                                           value.end(),
                                           [](const json& item)
                                           {
                                               return item.is_object() &&
                                                      item.contains("name");
                                           });
}

/// @brief Returns whether the items of two arrays can be matched by name.
bool can_match_by_name(const json& before, const json& after)
{
    const bool has_items = !before.empty() || !after.empty();
    return has_items && is_array_of_named_objects(before) &&
           is_array_of_named_objects(after);
}

/// @brief Masks the keys of organisations at any depth.
void mask_keys(json& value)
{
    if (!value.is_structured())
    {
        return;
    }
    for (auto& [name, inner] : value.items())
    {
        if (value.is_object() && name == "key")
        {
            inner = "(hidden)";
        }
        mask_keys(inner);
    }
}

/// @brief Maps the items of an array by name; the names must be unique.
std::map<std::string, json> index_by_name(const json& items)
{
    std::map<std::string, json> all;
    for (const json& item : items)
    {
        all[item.at("name").get<std::string>()] = item;
    }
    return all;
}

json names_of(const json& items)
{
    json names = json::array();
    for (const json& item : items)
    {
        names.push_back(item.at("name"));
    }
    return names;
}

/// @brief Compares two JSON values recursively and collects their differences.
class difference_collector
{
  public:
    void compare(const std::string& path, const json& before, const json& after)
    {
        if (before == after)
        {
            return;
        }
        if (before.is_object() && after.is_object())
        {
            compare_fields(path, before, after);
        }
        else if (can_match_by_name(before, after))
        {
            compare_items(path, before, after);
        }
        else
        {
            add(path, before, after);
        }
    }

    std::vector<difference> take_differences()
    {
        return std::move(found_);
    }

  private:
    template <typename Fields>
    void compare_each(const std::string& path, const Fields& before, const Fields& after)
    {
        std::set<std::string> names;
        collect_names(before, names);
        collect_names(after, names);
        for (const std::string& name : names)
        {
            const auto old_field = before.find(name);
            const auto new_field = after.find(name);
            compare(path.empty() ? name : absl::StrCat(path, ".", name),
                    old_field == before.end() ? absent : value_of(old_field),
                    new_field == after.end() ? absent : value_of(new_field));
        }
    }

    void compare_fields(const std::string& path, const json& before, const json& after)
    {
        compare_each(path, before, after);
    }

    void compare_items(const std::string& path, const json& before, const json& after)
    {
        compare_each(path, index_by_name(before), index_by_name(after));
        json old_order = names_of(before);
        json new_order = names_of(after);
        const bool same_items = std::is_permutation(
            old_order.begin(), old_order.end(), new_order.begin(), new_order.end());
        if (same_items && old_order != new_order)
        {
            add(path + ".order", old_order, new_order);
        }
    }

    static void collect_names(const json& from, std::set<std::string>& names)
    {
        for (const auto& [name, unused] : from.items())
        {
            names.insert(name);
        }
    }

    static void collect_names(const std::map<std::string, json>& from,
                              std::set<std::string>& names)
    {
        for (const auto& [name, unused] : from)
        {
            names.insert(name);
        }
    }

    static const json& value_of(json::const_iterator at)
    {
        return *at;
    }

    static const json& value_of(std::map<std::string, json>::const_iterator at)
    {
        return at->second;
    }

    static std::string text_of(const std::string& path, json value)
    {
        if (value.is_discarded())
        {
            return "";
        }
        mask_keys(value);
        if (absl::EndsWith(path, ".key"))
        {
            value = "(hidden)";
        }
        return value.dump(-1, ' ', false, json::error_handler_t::replace);
    }

    void add(const std::string& path, const json& before, const json& after)
    {
        found_.push_back({path, text_of(path, before), text_of(path, after)});
    }

    std::vector<difference> found_;
};

} // namespace

std::vector<difference> differences_between(const document& before, const document& after)
{
    difference_collector collector;
    collector.compare(
        "", json::parse(write_document(before)), json::parse(write_document(after)));
    return collector.take_differences();
}

std::vector<difference> truncate_differences(std::vector<difference> all,
                                             std::size_t limit)
{
    if (all.size() > limit)
    {
        const std::size_t omitted = all.size() - limit;
        all.resize(limit);
        all.push_back({absl::StrCat("(", omitted, " more)"), "", ""});
    }
    return all;
}

std::string digest_of(const document& content)
{
    const std::string text = write_document(content);
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return absl::StrCat(absl::Hex(hash.high64, absl::kZeroPad16),
                        absl::Hex(hash.low64, absl::kZeroPad16));
}

} // namespace medlar
