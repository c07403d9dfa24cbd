#include <medlar/detail/base/error.hpp>
#include <medlar/detail/membership/json_parts.hpp>
#include <medlar/detail/membership/messages.hpp>
#include <medlar/detail/settings/settings.hpp>

#include <absl/strings/str_cat.h>

namespace medlar
{

namespace
{

using nlohmann::json;

// Bytes that are not UTF-8, which texts of other processes may contain, are replaced.
std::string text_of(const json& object)
{
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// @brief Parses a message with @p read, which throws json::exception on malformed input.
template <typename Message, typename Read>
absl::StatusOr<Message> parse(absl::string_view text, Read read)
{
    try
    {
        return read(json::parse(text.begin(), text.end()));
    }
    catch (const json::exception& error)
    {
        return make_error(absl::StatusCode::kInvalidArgument,
                          error_number::link_malformed,
                          absl::StrCat("malformed message: ", error.what()));
    }
}

json json_of(const std::vector<leaving_target>& targets)
{
    json list = json::array();
    for (const leaving_target& each : targets)
    {
        list.push_back({{"name", each.name.get()}, {"left", each.remaining.count()}});
    }
    return list;
}

/// @brief Adds the gossip to a message; optional fields only if they are set.
void add_gossip(const peer_gossip& gossip, json& to)
{
    to["newest"] = gossip.newest.get();
    to["configuration"] = gossip.configuration.get();
    to["age"] = gossip.configuration_age.count();
    if (!gossip.not_heard.empty())
    {
        to["not_heard"] = json_of(gossip.not_heard);
    }
    if (!gossip.leaving_targets.empty())
    {
        to["leaving_targets"] = json_of(gossip.leaving_targets);
    }
    if (gossip.leaving_self)
    {
        to["leaving_self"] = true;
    }
    if (gossip.sender)
    {
        to["sender"] = json_of(*gossip.sender);
    }
}

peer_gossip gossip_from(const json& from)
{
    peer_gossip gossip;
    gossip.newest = view_epoch(from.at("newest").get<std::uint64_t>());
    gossip.configuration = revision(from.at("configuration").get<std::uint64_t>());
    gossip.configuration_age = millis(from.at("age").get<std::int64_t>());
    gossip.not_heard = incarnations_from(from.value("not_heard", json::array()));
    for (const json& each : from.value("leaving_targets", json::array()))
    {
        gossip.leaving_targets.push_back({target_id(each.at("name").get<std::string>()),
                                          millis(each.at("left").get<std::int64_t>())});
    }
    gossip.leaving_self = from.value("leaving_self", false);
    if (from.contains("sender"))
    {
        gossip.sender = member_from(from.at("sender"));
    }
    return gossip;
}

json json_of(const std::vector<claim>& claims)
{
    json list = json::array();
    for (const claim& each : claims)
    {
        list.push_back(json_of(each));
    }
    return list;
}

std::vector<claim> claims_from(const json& from)
{
    std::vector<claim> claims;
    for (const json& each : from)
    {
        claims.push_back(claim_from(each));
    }
    return claims;
}

json json_of(const handover_notice& notice)
{
    return {{"from", notice.from.get()},
            {"epoch", notice.epoch.get()},
            {"floor", notice.floor.since_origin()}};
}

handover_notice notice_from(const json& from)
{
    handover_notice notice;
    notice.from = incarnation(from.at("from").get<std::uint64_t>());
    notice.epoch = view_epoch(from.at("epoch").get<std::uint64_t>());
    notice.floor = wall_time(from.at("floor").get<std::int64_t>());
    return notice;
}

std::optional<std::string> object_text(const json& from, const char* name)
{
    const auto found = from.find(name);
    if (found == from.end())
    {
        return std::nullopt;
    }
    return found->dump();
}

std::vector<target_id> targets_from(const json& from)
{
    std::vector<target_id> targets;
    for (const json& each : from)
    {
        targets.emplace_back(each.get<std::string>());
    }
    return targets;
}

std::vector<endpoint> endpoints_from(const json& from)
{
    std::vector<endpoint> endpoints;
    for (const json& each : from)
    {
        const auto read = parse_endpoint(each.get<std::string>());
        if (!read.ok())
        {
            throw json::other_error::create(502, "a peer is not an address", &each);
        }
        endpoints.push_back(*read);
    }
    return endpoints;
}

} // namespace

std::string to_json(const grant_message& message)
{
    json object{{"from", message.request.from.get()},
                {"epoch", message.request.epoch.get()},
                {"digest", message.request.view_digest}};
    add_gossip(message.gossip, object);
    return text_of(object);
}

template <>
absl::StatusOr<grant_message> from_json(absl::string_view text)
{
    return parse<grant_message>(
        text,
        [](const json& from)
        {
            grant_message message;
            message.request.from = incarnation(from.at("from").get<std::uint64_t>());
            message.request.epoch = view_epoch(from.at("epoch").get<std::uint64_t>());
            message.request.view_digest = from.at("digest").get<std::uint64_t>();
            message.gossip = gossip_from(from);
            return message;
        });
}

std::string to_json(const grant_answer& message)
{
    json object{{"from", message.reply.from.get()},
                {"granted", message.reply.granted},
                {"adopted", message.reply.adopted.get()}};
    add_gossip(message.gossip, object);
    return text_of(object);
}

template <>
absl::StatusOr<grant_answer> from_json(absl::string_view text)
{
    return parse<grant_answer>(
        text,
        [](const json& from)
        {
            grant_answer message;
            message.reply.from = incarnation(from.at("from").get<std::uint64_t>());
            message.reply.granted = from.at("granted").get<bool>();
            message.reply.adopted = view_epoch(from.at("adopted").get<std::uint64_t>());
            message.gossip = gossip_from(from);
            return message;
        });
}

std::string to_json(const handover_message& message)
{
    json object{{"from", message.from.get()}, {"claims", json_of(message.claims)}};
    if (message.notice)
    {
        object["notice"] = json_of(*message.notice);
    }
    return text_of(object);
}

template <>
absl::StatusOr<handover_message> from_json(absl::string_view text)
{
    return parse<handover_message>(
        text,
        [](const json& from)
        {
            handover_message message;
            message.from = incarnation(from.at("from").get<std::uint64_t>());
            message.claims = claims_from(from.at("claims"));
            if (from.contains("notice"))
            {
                message.notice = notice_from(from.at("notice"));
            }
            return message;
        });
}

std::string to_json(const claims_message& message)
{
    json withdrawn = json::array();
    for (const request_key& key : message.withdrawn)
    {
        withdrawn.push_back(json_of(key));
    }
    return text_of({{"from", message.from.get()},
                    {"finished", json_of(message.finished)},
                    {"withdrawn", withdrawn}});
}

template <>
absl::StatusOr<claims_message> from_json(absl::string_view text)
{
    return parse<claims_message>(text,
                                 [](const json& from)
                                 {
                                     claims_message message;
                                     message.from = incarnation(
                                         from.at("from").get<std::uint64_t>());
                                     message.finished = claims_from(from.at("finished"));
                                     for (const json& key : from.at("withdrawn"))
                                     {
                                         message.withdrawn.push_back(key_from(key));
                                     }
                                     return message;
                                 });
}

std::string to_json(const lookup_message& message)
{
    return text_of(json_of(message.key));
}

template <>
absl::StatusOr<lookup_message> from_json(absl::string_view text)
{
    return parse<lookup_message>(text,
                                 [](const json& from)
                                 {
                                     return lookup_message{key_from(from)};
                                 });
}

std::string to_json(const lookup_answer& message)
{
    json object = json::object();
    if (message.found)
    {
        object["claim"] = json_of(*message.found);
    }
    return text_of(object);
}

template <>
absl::StatusOr<lookup_answer> from_json(absl::string_view text)
{
    return parse<lookup_answer>(text,
                                [](const json& from)
                                {
                                    lookup_answer message;
                                    if (from.contains("claim"))
                                    {
                                        message.found = claim_from(from.at("claim"));
                                    }
                                    return message;
                                });
}

std::string to_json(const state_message& message)
{
    return text_of({{"newest", message.newest.get()},
                    {"configuration", message.configuration.get()}});
}

template <>
absl::StatusOr<state_message> from_json(absl::string_view text)
{
    return parse<state_message>(
        text,
        [](const json& from)
        {
            state_message message;
            message.newest = view_epoch(from.at("newest").get<std::uint64_t>());
            message.configuration =
                revision(from.at("configuration").get<std::uint64_t>());
            return message;
        });
}

std::string to_json(const state_answer& message)
{
    // both texts are JSON objects already
    std::string text = "{";
    if (message.record)
    {
        absl::StrAppend(&text, "\"view\":", *message.record);
    }
    if (message.document)
    {
        absl::StrAppend(
            &text, message.record ? "," : "", "\"document\":", *message.document);
    }
    return text + "}";
}

template <>
absl::StatusOr<state_answer> from_json(absl::string_view text)
{
    return parse<state_answer>(text,
                               [](const json& from)
                               {
                                   state_answer message;
                                   message.record = object_text(from, "view");
                                   message.document = object_text(from, "document");
                                   return message;
                               });
}

template <>
absl::StatusOr<control_message> from_json(absl::string_view text)
{
    return parse<control_message>(
        text,
        [](const json& from)
        {
            control_message message;
            message.record = object_text(from, "view");
            message.document = object_text(from, "configuration");
            if (from.contains("confirmed"))
            {
                message.confirmed = revision(from.at("confirmed").get<std::uint64_t>());
            }
            if (from.contains("leaving"))
            {
                message.leaving = targets_from(from.at("leaving"));
            }
            if (from.contains("peers"))
            {
                message.peers = endpoints_from(from.at("peers"));
            }
            return message;
        });
}

} // namespace medlar
