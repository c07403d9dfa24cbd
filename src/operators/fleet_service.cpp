#include <medlar/detail/base/error.hpp>
#include <medlar/detail/config/json.hpp>
#include <medlar/detail/operators/fleet_service.hpp>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <thread>
#include <utility>

namespace medlar
{

namespace
{

const std::string view_key = "medlar/live/view";
constexpr std::size_t max_concurrent_calls = 16;
constexpr int http_ok = 200;
constexpr int http_not_found = 404;

/// @brief Calls @p work for each index below @p count, on several threads at a time.
void for_each_index(std::size_t count, const std::function<void(std::size_t)>& work)
{
    std::atomic<std::size_t> next{0};
    const auto run = [&next, count, &work]
    {
        for (std::size_t at = next++; at < count; at = next++)
        {
            work(at);
        }
    };
    std::vector<std::thread> threads;
    for (std::size_t each = 0; each < std::min(count, max_concurrent_calls); ++each)
    {
        threads.emplace_back(run);
    }
    for (std::thread& each : threads)
    {
        each.join();
    }
}

bool has_process(const std::vector<view_member>& hosts, incarnation process)
{
    return std::any_of(hosts.begin(),
                       hosts.end(),
                       [process](const view_member& member)
                       {
                           return member.process == process;
                       });
}

absl::Status no_gateway_error()
{
    return make_error(absl::StatusCode::kNotFound,
                      error_number::no_such_object,
                      "no local gateway is set");
}

void add_if_absent(std::vector<view_member>& hosts, const view_member& member)
{
    if (!has_process(hosts, member.process))
    {
        hosts.push_back(member);
    }
}

} // namespace

std::unique_ptr<fleet_service> fleet_service::create(store_client& store,
                                                     link_client& links,
                                                     std::optional<endpoint> gateway,
                                                     millis timeout)
{
    return std::unique_ptr<fleet_service>(
        new fleet_service(store, links, std::move(gateway), timeout));
}

fleet_service::fleet_service(store_client& store,
                             link_client& links,
                             std::optional<endpoint> gateway,
                             millis timeout)
    : store_(store), links_(links), gateway_(std::move(gateway)), timeout_(timeout)
{
}

fleet_status fleet_service::status()
{
    const gateway_list gateways = list_hosts();
    fleet_status result;
    result.epoch = gateways.epoch;
    result.store = gateways.store;
    for (std::size_t at = 0; at < gateways.hosts.size(); ++at)
    {
        result.hosts.push_back(
            {gateways.hosts[at], at < gateways.in_view, absl::UnknownError("")});
    }
    for_each_index(result.hosts.size(),
                   [this, &result](std::size_t at)
                   {
                       host_status& host = result.hosts[at];
                       host.report = fetch_report(host.host.link);
                   });
    return result;
}

std::vector<host_trace> fleet_service::explain(const request_key& key)
{
    const gateway_list gateways = list_hosts();
    std::vector<host_trace> traces;
    for (const view_member& each : gateways.hosts)
    {
        traces.push_back({each.host, absl::UnknownError("")});
    }
    for_each_index(traces.size(),
                   [this, &traces, &gateways, &key](std::size_t at)
                   {
                       traces[at].trace = fetch_trace(gateways.hosts[at].link, key);
                   });
    return traces;
}

absl::StatusOr<host_report> fleet_service::fetch_report(const endpoint& link)
{
    link_call call;
    call.to = link;
    call.path = "/v1/status";
    call.body = "{}";
    call.timeout = timeout_;
    const absl::StatusOr<link_reply> reply = links_.call(call);
    if (!reply.ok())
    {
        return reply.status();
    }
    if (reply->status != http_ok)
    {
        return make_error(absl::StatusCode::kUnavailable,
                          error_number::link_malformed,
                          absl::StrCat("status of a gateway: HTTP ", reply->status));
    }
    return parse_host_report(reply->body);
}

absl::StatusOr<host_report> fleet_service::local_report()
{
    if (!gateway_)
    {
        return no_gateway_error();
    }
    return fetch_report(*gateway_);
}

fleet_service::gateway_list fleet_service::list_hosts()
{
    gateway_list gateways;
    gateways.store = add_view_from_store(gateways);
    if (gateways.hosts.empty())
    {
        add_view_from_gateway(gateways);
    }
    gateways.in_view = gateways.hosts.size();
    const absl::StatusOr<host_report> local = local_report();
    if (local.ok())
    {
        add_if_absent(gateways.hosts, {local->host, local->process, *gateway_, {}});
        for (const view_member& each : local->waiting)
        {
            add_if_absent(gateways.hosts, each);
        }
    }
    return gateways;
}

absl::Status fleet_service::add_view_from_store(gateway_list& gateways)
{
    const auto entry = store_.get(view_key);
    if (!entry.ok())
    {
        return entry.status();
    }
    if (!entry->has_value())
    {
        return absl::OkStatus();
    }
    return set_view((*entry)->value, gateways);
}

absl::Status fleet_service::set_view(const std::string& text, gateway_list& gateways)
{
    const absl::StatusOr<view_record> record = parse_view_record(text);
    if (!record.ok())
    {
        return record.status();
    }
    gateways.epoch = record->current.epoch;
    gateways.hosts = record->current.members;
    return absl::OkStatus();
}

void fleet_service::add_view_from_gateway(gateway_list& gateways)
{
    const absl::StatusOr<state_answer> state = fetch_local_state();
    if (state.ok() && state->record)
    {
        set_view(*state->record, gateways).IgnoreError();
    }
}

absl::StatusOr<state_answer> fleet_service::fetch_local_state()
{
    if (!gateway_)
    {
        return no_gateway_error();
    }
    link_call call;
    call.to = *gateway_;
    call.path = "/v1/state";
    call.body = to_json(state_message{});
    call.timeout = timeout_;
    const absl::StatusOr<link_reply> reply = links_.call(call);
    if (!reply.ok())
    {
        return reply.status();
    }
    if (reply->status != http_ok)
    {
        return make_error(absl::StatusCode::kUnavailable,
                          error_number::link_malformed,
                          absl::StrCat("state of a gateway: HTTP ", reply->status));
    }
    return from_json<state_answer>(reply->body);
}

absl::StatusOr<accepted_document> fleet_service::local_configuration()
{
    const absl::StatusOr<state_answer> state = fetch_local_state();
    if (!state.ok())
    {
        return state.status();
    }
    if (!state->document)
    {
        return make_error(absl::StatusCode::kNotFound,
                          error_number::no_such_revision,
                          "the local gateway has no configuration");
    }
    return parse_accepted_document(*state->document);
}

absl::StatusOr<std::optional<std::string>>
fleet_service::fetch_trace(const endpoint& link, const request_key& key)
{
    link_call call;
    call.to = link;
    call.path = "/v1/explain";
    call.body =
        nlohmann::json{{"organisation", key.organisation.get()}, {"id", key.id.get()}}
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    call.timeout = timeout_;
    absl::StatusOr<link_reply> reply = links_.call(call);
    if (!reply.ok())
    {
        return reply.status();
    }
    if (reply->status == http_not_found)
    {
        return std::nullopt;
    }
    if (reply->status != http_ok)
    {
        return make_error(absl::StatusCode::kUnavailable,
                          error_number::link_malformed,
                          absl::StrCat("trace of a gateway: HTTP ", reply->status));
    }
    return std::move(reply->body);
}

} // namespace medlar
