#include <medlar/detail/base/error.hpp>
#include <medlar/detail/base/stage_graph.hpp>
#include <medlar/detail/config/json.hpp>

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>

#include <algorithm>
#include <optional>
#include <set>

namespace medlar
{

namespace
{

constexpr std::size_t min_stages = 3;
constexpr std::size_t max_stages = 6;
constexpr std::size_t max_name_bytes = 128;
constexpr std::size_t max_key_bytes = 1024;
constexpr std::int64_t max_deadline_ms = 3600000;
constexpr std::int64_t max_stage_tokens = 1000000;
constexpr int max_allowed_tries = 10;
constexpr double max_weight = 1e6;

absl::Status
invalid(error_number number, const std::string& path, absl::string_view message)
{
    return make_error(
        absl::StatusCode::kInvalidArgument, number, absl::StrCat(path, ": ", message));
}

absl::Status out_of_range(const std::string& path, absl::string_view message)
{
    return invalid(error_number::out_of_range, path, message);
}

bool is_name_character(char character)
{
    const bool is_digit = character >= '0' && character <= '9';
    const bool is_lower = character >= 'a' && character <= 'z';
    const bool is_upper = character >= 'A' && character <= 'Z';
    return is_digit || is_lower || is_upper || character == '-' || character == '_' ||
           character == '.';
}

absl::Status check_name(const std::string& name, const std::string& path)
{
    const bool has_valid_length = !name.empty() && name.size() <= max_name_bytes;
    if (has_valid_length && std::all_of(name.begin(), name.end(), is_name_character))
    {
        return absl::OkStatus();
    }
    return out_of_range(path,
                        absl::StrCat("a name is 1 to ",
                                     max_name_bytes,
                                     " letters, digits, '-', '_' or '.'"));
}

absl::Status check_unique(std::set<std::string>& seen,
                          const std::string& name,
                          const std::string& path)
{
    if (seen.insert(name).second)
    {
        return absl::OkStatus();
    }
    return invalid(error_number::duplicate_name,
                   path,
                   absl::StrCat("the name '", name, "' stands twice"));
}

/// @brief Checks that a name is well formed and not in @p seen, and adds it to @p seen.
absl::Status check_new_name(std::set<std::string>& seen,
                            const std::string& name,
                            const std::string& path)
{
    absl::Status status = check_name(name, path);
    status.Update(check_unique(seen, name, path));
    return status;
}

bool is_ip_address(const std::string& address)
{
    in6_addr parsed{};
    return inet_pton(AF_INET, address.c_str(), &parsed) == 1 ||
           inet_pton(AF_INET6, address.c_str(), &parsed) == 1;
}

absl::Status check_target(const target& entry, const std::string& path)
{
    if (!is_ip_address(entry.address))
    {
        return out_of_range(path + ".address",
                            absl::StrCat("'", entry.address, "' is not an IP number"));
    }
    if (entry.port == 0)
    {
        return out_of_range(path + ".port", "0 is not from 1 to 65535");
    }
    return check_name(entry.failure_domain.get(), path + ".failure_domain");
}

absl::Status check_targets(const pool& entry,
                           const std::string& path,
                           std::set<std::string>& target_names)
{
    absl::Status status;
    for (std::size_t index = 0; index < entry.targets.size() && status.ok(); ++index)
    {
        const std::string target_path = absl::StrCat(path, ".targets[", index, "]");
        const target& each = entry.targets[index];
        status = check_new_name(target_names, each.name.get(), target_path + ".name");
        status.Update(check_target(each, target_path));
    }
    return status;
}

absl::Status check_pools(const document& content)
{
    absl::Status status;
    std::set<std::string> names;
    std::set<std::string> target_names;
    for (std::size_t index = 0; index < content.pools.size() && status.ok(); ++index)
    {
        const std::string path = absl::StrCat("pools[", index, "]");
        const pool& entry = content.pools[index];
        status = check_new_name(names, entry.name.get(), path + ".name");
        if (!entry.model.get().empty())
        {
            status.Update(check_name(entry.model.get(), path + ".model"));
        }
        status.Update(check_targets(entry, path, target_names));
    }
    return status;
}

absl::Status check_organisations(const document& content)
{
    absl::Status status;
    std::set<std::string> names;
    for (std::size_t index = 0; index < content.organisations.size() && status.ok();
         ++index)
    {
        const std::string path = absl::StrCat("organisations[", index, "]");
        const organisation& entry = content.organisations[index];
        status = check_new_name(names, entry.name.get(), path + ".name");
        if (!(entry.weight > 0.0) || !(entry.weight <= max_weight))
        {
            status.Update(
                out_of_range(path + ".weight", "a weight is over 0 and at most 1000000"));
        }
        if (entry.key.size() > max_key_bytes)
        {
            status.Update(out_of_range(
                path + ".key", absl::StrCat("longer than ", max_key_bytes, " bytes")));
        }
    }
    return status;
}

absl::Status
check_stage(const document& content, const stage& entry, const std::string& path)
{
    if (content.find_pool(entry.pool) == nullptr)
    {
        return invalid(error_number::unknown_reference,
                       path + ".pool",
                       absl::StrCat("there is no pool '", entry.pool.get(), "'"));
    }
    if (entry.max_tokens < token_count(0) ||
        entry.max_tokens > token_count(max_stage_tokens))
    {
        return out_of_range(
            path + ".max_tokens",
            absl::StrCat(entry.max_tokens.get(), " is not from 0 to ", max_stage_tokens));
    }
    return absl::OkStatus();
}

absl::Status check_after(const std::set<std::string>& names,
                         const stage& entry,
                         const std::string& path)
{
    absl::Status status;
    std::set<std::string> seen;
    for (std::size_t index = 0; index < entry.after.size() && status.ok(); ++index)
    {
        const std::string after_path = absl::StrCat(path, ".after[", index, "]");
        status = check_unique(seen, entry.after[index], after_path);
        if (names.count(entry.after[index]) == 0)
        {
            status =
                invalid(error_number::unknown_stage,
                        after_path,
                        absl::StrCat("there is no stage '", entry.after[index], "'"));
        }
    }
    return status;
}

/// @brief Refuses stages that depend on each other in a cycle.
absl::Status check_cycles(const pipeline& entry, const std::string& path)
{
    const std::optional<std::size_t> index =
        find_stage_cycle(entry.stages,
                         [&entry](std::size_t stage)
                         {
                             return entry.stages[stage].name;
                         });
    if (index)
    {
        return invalid(
            error_number::stage_cycle,
            absl::StrCat(path, ".stages[", *index, "].after"),
            absl::StrCat("stage '", entry.stages[*index].name, "' waits for itself"));
    }
    return absl::OkStatus();
}

absl::Status
check_stages(const document& content, const pipeline& entry, const std::string& path)
{
    if (entry.stages.size() < min_stages || entry.stages.size() > max_stages)
    {
        return out_of_range(
            path + ".stages",
            absl::StrCat("a pipeline has ", min_stages, " to ", max_stages, " stages"));
    }
    absl::Status status;
    std::set<std::string> names;
    for (std::size_t index = 0; index < entry.stages.size() && status.ok(); ++index)
    {
        const std::string stage_path = absl::StrCat(path, ".stages[", index, "]");
        status = check_new_name(names, entry.stages[index].name, stage_path + ".name");
        status.Update(check_stage(content, entry.stages[index], stage_path));
    }
    for (std::size_t index = 0; index < entry.stages.size() && status.ok(); ++index)
    {
        const std::string stage_path = absl::StrCat(path, ".stages[", index, "]");
        status = check_after(names, entry.stages[index], stage_path);
    }
    status.Update(status.ok() ? check_cycles(entry, path) : status);
    return status;
}

absl::Status check_limits(const pipeline& entry, const std::string& path)
{
    const std::int64_t longest = entry.max_deadline.count();
    if (longest < 1 || longest > max_deadline_ms)
    {
        return out_of_range(path + ".max_deadline_ms",
                            absl::StrCat(longest, " is not from 1 to ", max_deadline_ms));
    }
    if (entry.default_deadline < millis(1) || entry.default_deadline > entry.max_deadline)
    {
        return out_of_range(path + ".default_deadline_ms",
                            absl::StrCat(entry.default_deadline.count(),
                                         " is not from 1 to the longest deadline, ",
                                         longest));
    }
    if (entry.max_tries < 1 || entry.max_tries > max_allowed_tries)
    {
        return out_of_range(
            path + ".max_tries",
            absl::StrCat(entry.max_tries, " is not from 1 to ", max_allowed_tries));
    }
    return absl::OkStatus();
}

absl::Status check_listed_organisations(const document& content,
                                        const pipeline& entry,
                                        const std::string& path)
{
    absl::Status status;
    std::set<std::string> seen;
    for (std::size_t index = 0; index < entry.organisations.size() && status.ok();
         ++index)
    {
        const organisation_id& name = entry.organisations[index];
        const std::string entry_path = absl::StrCat(path, ".organisations[", index, "]");
        status = check_unique(seen, name.get(), entry_path);
        if (content.find_organisation(name) == nullptr)
        {
            status = invalid(error_number::unknown_reference,
                             entry_path,
                             absl::StrCat("there is no organisation '", name.get(), "'"));
        }
    }
    return status;
}

absl::Status check_pipelines(const document& content)
{
    absl::Status status;
    std::set<std::string> names;
    for (std::size_t index = 0; index < content.pipelines.size() && status.ok(); ++index)
    {
        const std::string path = absl::StrCat("pipelines[", index, "]");
        const pipeline& entry = content.pipelines[index];
        status = check_new_name(names, entry.name.get(), path + ".name");
        status.Update(check_stages(content, entry, path));
        status.Update(check_limits(entry, path));
        status.Update(check_listed_organisations(content, entry, path));
    }
    return status;
}

} // namespace

absl::Status validate(const document& content)
{
    absl::Status status = check_pools(content);
    status.Update(check_organisations(content));
    status.Update(check_pipelines(content));
    return status;
}

} // namespace medlar
