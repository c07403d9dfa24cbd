#include <medlar/detail/http/status.hpp>
#include <medlar/detail/log/membership_events.hpp>
#include <medlar/detail/membership/message_handler.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace medlar
{

namespace
{

constexpr absl::string_view empty_answer = "{}";

} // namespace

message_handler::message_handler(exchange_core& core,
                                 view_manager& views,
                                 lease_renewer& renewer,
                                 std::function<void()> leaving_changed)
    : core_(core),
      views_(views),
      renewer_(renewer),
      leaving_changed_(std::move(leaving_changed))
{
}

std::optional<int> message_handler::handle(const link_request& request,
                                           link_responder& responder)
{
    struct route
    {
        absl::string_view path;
        answer (message_handler::*handler)(const std::string&);
    };
    static constexpr std::array<route, 7> routes{
        {{"/v1/grant", &message_handler::on_grant},
         {"/v1/handover", &message_handler::on_handover},
         {"/v1/claims", &message_handler::on_claims},
         {"/v1/lookup", &message_handler::on_lookup},
         {"/v1/state", &message_handler::on_state},
         {"/v1/control", &message_handler::on_control},
         {"/v1/status", &message_handler::on_status}}};
    const auto* const found = std::find_if(routes.begin(),
                                           routes.end(),
                                           [&request](const route& each)
                                           {
                                               return each.path == request.path;
                                           });
    if (found == routes.end())
    {
        return std::nullopt;
    }
    const answer result = (this->*found->handler)(request.body);
    if (!result.ok())
    {
        log_event(message_malformed,
                  {{"path", request.path}, {"error", result.status().message()}});
        // a status other than 200 has an empty body
        return status_bad_request;
    }
    responder.send(*result);
    return status_ok;
}

message_handler::answer message_handler::on_grant(const std::string& body)
{
    const absl::StatusOr<grant_message> message = from_json<grant_message>(body);
    if (!message.ok())
    {
        return message.status();
    }
    grant_answer answer;
    answer.reply = core_.owner.write(
        [this, &message](ownership& state)
        {
            grant_request request = message->request;
            if (core_.stopped.load())
            {
                // epoch 0 is no view, so the grant is refused
                request.epoch = view_epoch(0);
            }
            return state.on_grant_request(request, core_.time.steady_now());
        });
    renewer_.handle_call(message->request.from, message->gossip);
    answer.gossip = core_.gossip();
    return to_json(answer);
}

message_handler::answer message_handler::on_handover(const std::string& body)
{
    const absl::StatusOr<handover_message> message = from_json<handover_message>(body);
    if (!message.ok())
    {
        return message.status();
    }
    for (const claim& each : message->claims)
    {
        core_.claims.merge(each);
    }
    if (message->notice)
    {
        core_.owner.write(
            [&message](ownership& state)
            {
                state.on_handover(*message->notice);
                return true;
            });
        log_event(handover_received,
                  {{"from", message->notice->from.get()},
                   {"epoch", message->notice->epoch.get()}});
    }
    return std::string(empty_answer);
}

message_handler::answer message_handler::on_claims(const std::string& body)
{
    const absl::StatusOr<claims_message> message = from_json<claims_message>(body);
    if (!message.ok())
    {
        return message.status();
    }
    for (const claim& each : message->finished)
    {
        core_.claims.merge(each);
    }
    for (const request_key& key : message->withdrawn)
    {
        const std::optional<claim> held = core_.claims.find(key);
        if (held && held->runner == message->from)
        {
            core_.claims.withdraw(key);
        }
    }
    return std::string(empty_answer);
}

message_handler::answer message_handler::on_lookup(const std::string& body)
{
    const absl::StatusOr<lookup_message> message = from_json<lookup_message>(body);
    if (!message.ok())
    {
        return message.status();
    }
    return to_json(lookup_answer{core_.claims.find(message->key)});
}

message_handler::answer message_handler::on_state(const std::string& body)
{
    const absl::StatusOr<state_message> message = from_json<state_message>(body);
    if (!message.ok())
    {
        return message.status();
    }
    state_answer answer;
    if (core_.configuration.number() > message->configuration)
    {
        answer.document = core_.configuration.text();
    }
    answer.record = core_.owner.read(
        [&message](const ownership& state) -> std::optional<std::string>
        {
            if (state.newest() == nullptr ||
                state.newest()->current.epoch <= message->newest)
            {
                return std::nullopt;
            }
            return write_view_record(*state.newest());
        });
    return to_json(answer);
}

message_handler::answer message_handler::on_control(const std::string& body)
{
    const absl::StatusOr<control_message> message = from_json<control_message>(body);
    if (!message.ok())
    {
        return message.status();
    }
    const steady_time now = core_.time.steady_now();
    absl::Status result;
    if (message->document)
    {
        result.Update(core_.configuration.offer(*message->document, now));
    }
    if (message->record)
    {
        result.Update(views_.on_view_record(*message->record));
    }
    if (message->confirmed)
    {
        core_.configuration.confirm(*message->confirmed, millis(0), now);
    }
    if (message->leaving &&
        core_.leaving.set_controller_list(*message->leaving, core_.time.steady_now()))
    {
        leaving_changed_();
    }
    if (message->peers)
    {
        core_.controller_peers.set(*message->peers);
    }
    if (!result.ok())
    {
        return result;
    }
    return write_exchange_status(core_.status());
}

message_handler::answer message_handler::on_status(const std::string& /*body*/)
{
    return write_exchange_status(core_.status());
}

} // namespace medlar
