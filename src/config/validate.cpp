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
constexpr int most_tries = 10;
constexpr double max_weight = 1e6;

absl::Status invalid(error_number number, const std::string& path, absl::string_view why)
{
    return make_error(
        absl::StatusCode::kInvalidArgument, number, absl::StrCat(path, ": ", why));
}

absl::Status out_of_range(const std::string& path, absl::string_view why)
{
    return invalid(error_number::out_of_range, path, why);
}

bool is_name_letter(char letter)
{
    const bool is_digit = letter >= '0' && letter <= '9';
    const bool is_lower = letter >= 'a' && letter <= 'z';
    const bool is_upper = letter >= 'A' && letter <= 'Z';
    return is_digit || is_lower || is_upper || letter == '-' || letter == '_' ||
           letter == '.';
}

absl::Status check_name(const std::string& name, const std::string& path)
{
    const bool fits = !name.empty() && name.size() <= max_name_bytes;
    if (fits && std::all_of(name.begin(), name.end(), is_name_letter))
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

/// @brief a name that is well formed and not among those seen
absl::Status check_new_name(std::set<std::string>& seen,
                            const std::string& name,
                            const std::string& path)
{
    absl::Status status = check_name(name, path);
    status.Update(check_unique(seen, name, path));
    return status;
}

bool is_ip_number(const std::string& address)
{
    in6_addr parsed{};
    return inet_pton(AF_INET, address.c_str(), &parsed) == 1 ||
           inet_pton(AF_INET6, address.c_str(), &parsed) == 1;
}

absl::Status check_target(const target& one, const std::string& path)
{
    if (!is_ip_number(one.address))
    {
        return out_of_range(path + ".address",
                            absl::StrCat("'", one.address, "' is not an IP number"));
    }
    if (one.port == 0)
    {
        return out_of_range(path + ".port", "0 is not from 1 to 65535");
    }
    return check_name(one.failure_domain.get(), path + ".failure_domain");
}

absl::Status check_targets(const pool& one,
                           const std::string& path,
                           std::set<std::string>& target_names)
{
    absl::Status status;
    for (std::size_t at = 0; at < one.targets.size() && status.ok(); ++at)
    {
        const std::string target_path = absl::StrCat(path, ".targets[", at, "]");
        const target& each = one.targets[at];
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
    for (std::size_t at = 0; at < content.pools.size() && status.ok(); ++at)
    {
        const std::string path = absl::StrCat("pools[", at, "]");
        const pool& one = content.pools[at];
        status = check_new_name(names, one.name.get(), path + ".name");
        if (!one.model.get().empty())
        {
            status.Update(check_name(one.model.get(), path + ".model"));
        }
        status.Update(check_targets(one, path, target_names));
    }
    return status;
}

absl::Status check_organisations(const document& content)
{
    absl::Status status;
    std::set<std::string> names;
    for (std::size_t at = 0; at < content.organisations.size() && status.ok(); ++at)
    {
        const std::string path = absl::StrCat("organisations[", at, "]");
        const organisation& one = content.organisations[at];
        status = check_new_name(names, one.name.get(), path + ".name");
        if (!(one.weight > 0.0) || !(one.weight <= max_weight))
        {
            status.Update(
                out_of_range(path + ".weight", "a weight is over 0 and at most 1000000"));
        }
        if (one.key.size() > max_key_bytes)
        {
            status.Update(out_of_range(
                path + ".key", absl::StrCat("longer than ", max_key_bytes, " bytes")));
        }
    }
    return status;
}

absl::Status
check_stage(const document& content, const stage& one, const std::string& path)
{
    if (content.find_pool(one.pool) == nullptr)
    {
        return invalid(error_number::unknown_reference,
                       path + ".pool",
                       absl::StrCat("there is no pool '", one.pool.get(), "'"));
    }
    if (one.max_tokens < token_count(0) || one.max_tokens > token_count(max_stage_tokens))
    {
        return out_of_range(
            path + ".max_tokens",
            absl::StrCat(one.max_tokens.get(), " is not from 0 to ", max_stage_tokens));
    }
    return absl::OkStatus();
}

absl::Status
check_after(const std::set<std::string>& names, const stage& one, const std::string& path)
{
    absl::Status status;
    std::set<std::string> seen;
    for (std::size_t at = 0; at < one.after.size() && status.ok(); ++at)
    {
        const std::string after_path = absl::StrCat(path, ".after[", at, "]");
        status = check_unique(seen, one.after[at], after_path);
        if (names.count(one.after[at]) == 0)
        {
            status = invalid(error_number::unknown_stage,
                             after_path,
                             absl::StrCat("there is no stage '", one.after[at], "'"));
        }
    }
    return status;
}

/// @brief Refuses stages that wait for each other.
absl::Status check_cycles(const pipeline& one, const std::string& path)
{
    const std::optional<std::size_t> at =
        find_stage_cycle(one.stages,
                         [&one](std::size_t stage)
                         {
                             return one.stages[stage].name;
                         });
    if (at)
    {
        return invalid(
            error_number::stage_cycle,
            absl::StrCat(path, ".stages[", *at, "].after"),
            absl::StrCat("stage '", one.stages[*at].name, "' waits for itself"));
    }
    return absl::OkStatus();
}

absl::Status
check_stages(const document& content, const pipeline& one, const std::string& path)
{
    if (one.stages.size() < min_stages || one.stages.size() > max_stages)
    {
        return out_of_range(
            path + ".stages",
            absl::StrCat("a pipeline has ", min_stages, " to ", max_stages, " stages"));
    }
    absl::Status status;
    std::set<std::string> names;
    for (std::size_t at = 0; at < one.stages.size() && status.ok(); ++at)
    {
        const std::string stage_path = absl::StrCat(path, ".stages[", at, "]");
        status = check_new_name(names, one.stages[at].name, stage_path + ".name");
        status.Update(check_stage(content, one.stages[at], stage_path));
    }
    for (std::size_t at = 0; at < one.stages.size() && status.ok(); ++at)
    {
        const std::string stage_path = absl::StrCat(path, ".stages[", at, "]");
        status = check_after(names, one.stages[at], stage_path);
    }
    status.Update(status.ok() ? check_cycles(one, path) : status);
    return status;
}

absl::Status check_limits(const pipeline& one, const std::string& path)
{
    const std::int64_t longest = one.max_deadline.count();
    if (longest < 1 || longest > max_deadline_ms)
    {
        return out_of_range(path + ".max_deadline_ms",
                            absl::StrCat(longest, " is not from 1 to ", max_deadline_ms));
    }
    if (one.default_deadline < millis(1) || one.default_deadline > one.max_deadline)
    {
        return out_of_range(path + ".default_deadline_ms",
                            absl::StrCat(one.default_deadline.count(),
                                         " is not from 1 to the longest deadline, ",
                                         longest));
    }
    if (one.max_tries < 1 || one.max_tries > most_tries)
    {
        return out_of_range(
            path + ".max_tries",
            absl::StrCat(one.max_tries, " is not from 1 to ", most_tries));
    }
    return absl::OkStatus();
}

absl::Status check_listed_organisations(const document& content,
                                        const pipeline& one,
                                        const std::string& path)
{
    absl::Status status;
    std::set<std::string> seen;
    for (std::size_t at = 0; at < one.organisations.size() && status.ok(); ++at)
    {
        const organisation_id& name = one.organisations[at];
        const std::string listed = absl::StrCat(path, ".organisations[", at, "]");
        status = check_unique(seen, name.get(), listed);
        if (content.find_organisation(name) == nullptr)
        {
            status = invalid(error_number::unknown_reference,
                             listed,
                             absl::StrCat("there is no organisation '", name.get(), "'"));
        }
    }
    return status;
}

absl::Status check_pipelines(const document& content)
{
    absl::Status status;
    std::set<std::string> names;
    for (std::size_t at = 0; at < content.pipelines.size() && status.ok(); ++at)
    {
        const std::string path = absl::StrCat("pipelines[", at, "]");
        const pipeline& one = content.pipelines[at];
        status = check_new_name(names, one.name.get(), path + ".name");
        status.Update(check_stages(content, one, path));
        status.Update(check_limits(one, path));
        status.Update(check_listed_organisations(content, one, path));
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
