#include <medlar/detail/operators/ctl/session.hpp>
#include <medlar/detail/operators/ctl/table.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace medlar
{

namespace
{

using stub = operator_client::stub;

/// @brief Parses "ACTION:MODEL" or "ACTION:MODEL@VERSION".
absl::StatusOr<v1::ModelOrder> parse_order(const std::string& text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string::npos)
    {
        return absl::InvalidArgumentError(
            absl::StrCat("'", text, "' is not ACTION:MODEL[@VERSION]"));
    }
    const std::size_t at = text.rfind('@');
    const bool has_version = at != std::string::npos && at > colon;
    v1::ModelOrder order;
    order.set_action(text.substr(0, colon));
    order.set_model(has_version ? text.substr(colon + 1, at - colon - 1)
                                : text.substr(colon + 1));
    order.set_version(has_version ? text.substr(at + 1) : "");
    return order;
}

ctl_exit
print_state(ctl_session& session, v1::ChangeState state, const std::string& accepted_text)
{
    if (state == v1::CHANGE_STATE_ACCEPTED)
    {
        session.out << "accepted: " << accepted_text << "\n";
        return ctl_exit::done;
    }
    session.out << "unknown: change " << session.change_id()
                << " may have taken effect\n";
    session.errors << "determine the outcome by sending it again with --change_id="
                   << session.change_id() << "\n";
    return ctl_exit::unknown;
}

} // namespace

ctl_exit force_view_command(ctl_session& session)
{
    v1::ForceViewRequest request;
    request.set_change_id(session.change_id());
    request.set_author(session.options.author);
    request.set_expected_epoch(session.options.epoch);
    request.set_confirmation(session.options.confirmation);
    for (const std::string& host : session.arguments)
    {
        request.add_stopped_hosts(host);
    }
    v1::ForceViewReply reply;
    const operator_call_result call =
        session.client.call(&stub::ForceView, request, &reply);
    if (!call.status.ok())
    {
        return session.fail_change(call);
    }
    if (session.options.json)
    {
        session.print_json(reply);
        return reply.state() == v1::CHANGE_STATE_ACCEPTED ? ctl_exit::done
                                                          : ctl_exit::unknown;
    }
    return print_state(
        session,
        reply.state(),
        absl::StrCat(
            "view epoch ", reply.epoch(), " of ", absl::StrJoin(reply.members(), ", ")));
}

ctl_exit order_model_command(ctl_session& session)
{
    v1::OrderModelRequest request;
    request.set_change_id(session.change_id());
    request.set_author(session.options.author);
    request.set_pool(session.arguments.at(0));
    for (std::size_t at = 1; at < session.arguments.size(); ++at)
    {
        const absl::StatusOr<v1::ModelOrder> order = parse_order(session.arguments[at]);
        if (!order.ok())
        {
            return session.fail_input(order.status(), ctl_exit::usage);
        }
        *request.add_wanted() = *order;
    }
    v1::OrderModelReply reply;
    const operator_call_result call =
        session.client.call(&stub::OrderModel, request, &reply);
    if (!call.status.ok())
    {
        return session.fail_change(call);
    }
    if (session.options.json)
    {
        session.print_json(reply);
        return reply.state() == v1::CHANGE_STATE_ACCEPTED ? ctl_exit::done
                                                          : ctl_exit::unknown;
    }
    return print_state(
        session,
        reply.state(),
        absl::StrCat("order ", reply.revision(), " of pool ", session.arguments.at(0)));
}

} // namespace medlar
