#include <medlar/detail/base/error.hpp>
#include <medlar/detail/cluster/view.hpp>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <set>

namespace medlar
{

namespace
{

using nlohmann::json;

constexpr int max_port = 65535;

absl::Status malformed(const std::string& what)
{
    return make_error(absl::StatusCode::kInvalidArgument,
                      error_number::store_malformed,
                      "view record: " + what);
}

std::uint64_t hash_text(const std::string& text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

json to_json(const view_member& member)
{
    return {{"host", member.host.get()},
            {"process", member.process.get()},
            {"address", member.link.address},
            {"port", member.link.port},
            {"failure_domain", member.failure_domain.get()}};
}

json to_json(const view& source)
{
    json list = json::array();
    for (const view_member& member : source.members)
    {
        list.push_back(to_json(member));
    }
    json stopped = json::array();
    for (const incarnation process : source.stated_stopped)
    {
        stopped.push_back(process.get());
    }
    return {
        {"epoch", source.epoch.get()}, {"members", list}, {"stated_stopped", stopped}};
}

// these throw json::exception, which parse_view_record() converts to a status

view_member member_from(const json& object)
{
    view_member member;
    member.host = host_id(object.at("host").get<std::string>());
    member.process = incarnation(object.at("process").get<std::uint64_t>());
    member.link.address = object.at("address").get<std::string>();
    const int port = object.at("port").get<int>();
    member.link.port = static_cast<std::uint16_t>(std::min(std::max(port, 0), max_port));
    member.failure_domain =
        failure_domain_id(object.at("failure_domain").get<std::string>());
    return member;
}

view view_from(const json& object)
{
    view read;
    read.epoch = view_epoch(object.at("epoch").get<std::uint64_t>());
    for (const json& member : object.at("members"))
    {
        read.members.push_back(member_from(member));
    }
    for (const json& process : object.at("stated_stopped"))
    {
        read.stated_stopped.emplace_back(process.get<std::uint64_t>());
    }
    return read;
}

absl::Status check(const view& checked_view)
{
    if (checked_view.epoch.get() == 0)
    {
        return malformed("epoch is 0");
    }
    if (checked_view.members.empty())
    {
        return malformed("members is empty");
    }
    std::set<host_id> hosts;
    std::set<incarnation> processes;
    for (const view_member& member : checked_view.members)
    {
        if (!hosts.insert(member.host).second)
        {
            return malformed("two members of host " + member.host.get());
        }
        if (!processes.insert(member.process).second)
        {
            return malformed("two members of one process");
        }
    }
    return absl::OkStatus();
}

absl::Status check(const view_record& record)
{
    std::uint64_t expected = record.current.epoch.get() - record.earlier.size();
    if (record.earlier.size() >= record.current.epoch.get() ||
        (record.earlier.empty() && record.current.epoch.get() != 1))
    {
        return malformed("earlier does not fit the current epoch");
    }
    for (const view& checked_view : record.earlier)
    {
        if (checked_view.epoch.get() != expected)
        {
            return malformed("epochs are not consecutive");
        }
        if (const absl::Status checked = check(checked_view); !checked.ok())
        {
            return checked;
        }
        ++expected;
    }
    return check(record.current);
}

view_record record_from(const json& object)
{
    view_record record;
    record.current = view_from(object.at("current"));
    for (const json& earlier : object.at("earlier"))
    {
        record.earlier.push_back(view_from(earlier));
    }
    return record;
}

} // namespace

const view_member* view::find(incarnation process) const
{
    const auto found = std::find_if(members.begin(),
                                    members.end(),
                                    [process](const view_member& member)
                                    {
                                        return member.process == process;
                                    });
    return found == members.end() ? nullptr : &*found;
}

std::uint64_t digest_of(const view& source)
{
    return hash_text(to_json(source).dump(), source.epoch.get());
}

std::uint64_t hash_of(const request_key& key)
{
    return hash_text(absl::StrCat(key.organisation.get(), "/", key.id.get()), 0);
}

const view_member* home_of(const view& gateways, std::uint64_t key_hash)
{
    const view_member* home = nullptr;
    std::uint64_t highest_score = 0;
    for (const view_member& member : gateways.members)
    {
        const std::uint64_t score = hash_text(member.host.get(), key_hash);
        if (home == nullptr || score > highest_score)
        {
            home = &member;
            highest_score = score;
        }
    }
    return home;
}

absl::StatusOr<view_record> parse_view_record(absl::string_view text)
{
    view_record record;
    try
    {
        record = record_from(json::parse(text.begin(), text.end()));
    }
    catch (const json::exception& error)
    {
        return malformed(error.what());
    }
    if (const absl::Status checked = check(record); !checked.ok())
    {
        return checked;
    }
    return record;
}

std::string write_view_record(const view_record& record)
{
    json earlier = json::array();
    for (const view& earlier_view : record.earlier)
    {
        earlier.push_back(to_json(earlier_view));
    }
    return json{{"current", to_json(record.current)}, {"earlier", earlier}}.dump();
}

view_record next_record(const view_record& record, std::vector<view_member> members)
{
    view_record next;
    next.earlier = record.earlier;
    next.earlier.push_back(record.current);
    if (next.earlier.size() > max_earlier_views)
    {
        next.earlier.erase(next.earlier.begin());
    }
    next.current.epoch = view_epoch(record.current.epoch.get() + 1);
    next.current.members = std::move(members);
    return next;
}

} // namespace medlar
