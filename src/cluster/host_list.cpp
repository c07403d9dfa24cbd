#include <medlar/detail/base/error.hpp>
#include <medlar/detail/cluster/host_list.hpp>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

namespace medlar
{

namespace
{

using nlohmann::json;

absl::Status malformed(absl::string_view what)
{
    return make_error(absl::StatusCode::kDataLoss,
                      error_number::store_malformed,
                      absl::StrCat("host list: ", what));
}

// throws json::exception, which parse_host_list() converts to a status
std::optional<listed_host> host_from(const json& item)
{
    const std::string kind = item.at("kind").get<std::string>();
    const std::string state = item.at("state").get<std::string>();
    const bool known_kind = kind == "entry" || kind == "target";
    const bool known_state = state == "live" || state == "leaving";
    if (!known_kind || !known_state)
    {
        return std::nullopt;
    }
    listed_host host;
    host.host = host_id(item.at("host").get<std::string>());
    host.kind = kind == "entry" ? listed_host_kind::gateway : listed_host_kind::target;
    host.address = item.at("address").get<std::string>();
    host.leaving = state == "leaving";
    if (host.kind == listed_host_kind::target)
    {
        host.target = target_id(item.at("target").get<std::string>());
    }
    return host;
}

} // namespace

absl::StatusOr<std::vector<listed_host>> parse_host_list(absl::string_view text)
{
    std::vector<listed_host> hosts;
    try
    {
        const json list = json::parse(text.begin(), text.end());
        for (const json& item : list.at("hosts"))
        {
            if (std::optional<listed_host> host = host_from(item))
            {
                hosts.push_back(*std::move(host));
            }
        }
    }
    catch (const json::exception& error)
    {
        return malformed(error.what());
    }
    return hosts;
}

std::set<target_id> next_leaving_targets(const std::set<target_id>& before,
                                         const std::vector<listed_host>& listed)
{
    std::set<target_id> leaving = before;
    for (const listed_host& host : listed)
    {
        if (host.kind == listed_host_kind::target && !host.leaving)
        {
            leaving.erase(host.target);
        }
    }
    for (const listed_host& host : listed)
    {
        if (host.kind == listed_host_kind::target && host.leaving)
        {
            leaving.insert(host.target);
        }
    }
    return leaving;
}

std::vector<std::string> gateway_addresses(const std::vector<listed_host>& listed)
{
    std::vector<std::string> addresses;
    for (const listed_host& host : listed)
    {
        if (host.kind == listed_host_kind::gateway && !host.leaving)
        {
            addresses.push_back(host.address);
        }
    }
    std::sort(addresses.begin(), addresses.end());
    return addresses;
}

} // namespace medlar
