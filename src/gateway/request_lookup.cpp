#include <medlar/detail/gateway/request_lookup.hpp>
#include <medlar/detail/http/status.hpp>
#include <medlar/detail/request/answer_text.hpp>
#include <medlar/detail/request/json_fields.hpp>
#include <medlar/detail/request/json_text.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace medlar
{

namespace
{

constexpr millis query_timeout{300};
constexpr int max_queried_homes = 3;

std::string write_key(const request_key& key)
{
    return absl::StrCat("{\"organisation\":",
                        quoted_json(key.organisation.get()),
                        ",\"id\":",
                        quoted_json(key.id.get()),
                        "}");
}

request_key read_key(const std::string& text)
{
    const nlohmann::json parsed = parse_json(text);
    if (!parsed.is_object())
    {
        return {};
    }
    return {organisation_id(string_field(parsed, "organisation")),
            request_id(string_field(parsed, "id"))};
}

std::string write_state(const request_key& key,
                        const host_id& reported_by,
                        const std::optional<final_answer>& answer)
{
    std::string text = absl::StrCat("{\"organisation\":",
                                    quoted_json(key.organisation.get()),
                                    ",\"id\":",
                                    quoted_json(key.id.get()),
                                    ",\"state\":\"",
                                    answer ? "finished" : "running",
                                    "\",\"told_by\":",
                                    quoted_json(reported_by.get()));
    if (answer)
    {
        absl::StrAppend(&text, ",\"answer\":", write_answer(key.id, *answer));
    }
    return text + "}";
}

} // namespace

std::unique_ptr<request_lookup> request_lookup::create(const dependencies& deps)
{
    return std::unique_ptr<request_lookup>(new request_lookup(deps));
}

request_lookup::request_lookup(const dependencies& deps) : deps_(deps)
{
}

std::optional<std::string> request_lookup::find(const request_key& key) const
{
    std::optional<std::string> found = find_here(key);
    view likely;
    likely.members = deps_.peers.peers();
    const std::uint64_t hash = hash_of(key);
    for (int queried = 0; !found && queried < max_queried_homes; ++queried)
    {
        const view_member* home = home_of(likely, hash);
        if (home == nullptr)
        {
            break;
        }
        found = query_peer(*home, key);
        likely.members.erase(likely.members.begin() + (home - likely.members.data()));
    }
    return found;
}

std::optional<int> request_lookup::handle(const link_request& request,
                                          link_responder& responder) const
{
    if (request.path != "/v1/lookup" && request.path != "/v1/explain")
    {
        return std::nullopt;
    }
    const std::optional<std::string> found = find_here(read_key(request.body));
    if (!found)
    {
        return status_not_found;
    }
    responder.send(*found);
    return status_ok;
}

std::optional<std::string> request_lookup::find_here(const request_key& key) const
{
    const std::optional<claim> existing_claim = deps_.claims.find(key);
    if (existing_claim)
    {
        return write_state(key, deps_.self.host, existing_claim->answer);
    }
    const std::optional<final_answer> traced = deps_.traces.find(key);
    if (traced)
    {
        return write_state(key, deps_.self.host, traced);
    }
    return std::nullopt;
}

std::optional<std::string> request_lookup::query_peer(const view_member& peer,
                                                      const request_key& key) const
{
    link_call call;
    call.to = peer.link;
    call.path = "/v1/lookup";
    call.body = write_key(key);
    call.timeout = query_timeout;
    absl::StatusOr<link_reply> reply = deps_.links.call(call);
    if (!reply.ok() || reply->status != status_ok)
    {
        return std::nullopt;
    }
    return std::move(reply->body);
}

} // namespace medlar
