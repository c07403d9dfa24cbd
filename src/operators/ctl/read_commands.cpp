#include <medlar/detail/config/json.hpp>
#include <medlar/detail/operators/ctl/session.hpp>
#include <medlar/detail/operators/ctl/table.hpp>
#include <medlar/detail/operators/schema.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace medlar
{

namespace
{

using stub = operator_client::stub;
constexpr int json_indent = 4;

std::string kind_text(v1::AuditKind kind)
{
    switch (kind)
    {
        case v1::AUDIT_KIND_CONFIGURATION:
            return "configuration";
        case v1::AUDIT_KIND_VIEW:
            return "view";
        case v1::AUDIT_KIND_ORDER:
            return "order";
        default:
            return "?";
    }
}

void print_history(std::ostream& out, const v1::HistoryReply& reply)
{
    table rows({"KIND", "NUMBER", "FROM", "WHEN", "AUTHOR", "CHANGE", "WHAT", "FIELDS"});
    for (const v1::AuditRecord& each : reply.records())
    {
        rows.add({kind_text(each.kind()),
                  absl::StrCat(each.number()),
                  absl::StrCat(each.based_on()),
                  time_text(each.at_ms()),
                  each.author(),
                  each.change_id(),
                  each.summary(),
                  absl::StrCat(each.differences_size())});
    }
    rows.print(out);
}

void print_status(std::ostream& out, const v1::StatusReply& reply)
{
    out << "revision " << reply.revision() << ", view epoch " << reply.view_epoch()
        << "\n";
    if (!reply.store_error().empty())
    {
        out << "store: " << printable(reply.store_error()) << "\n";
    }
    table rows({"HOST",
                "LINK",
                "FAILURE DOMAIN",
                "IN VIEW",
                "REVISION",
                "AGE MS",
                "EPOCH",
                "LEASE",
                "CLAIMS",
                "ERROR"});
    for (const v1::HostStatus& each : reply.hosts())
    {
        const bool answered = each.error().empty();
        rows.add({each.host(),
                  each.link(),
                  each.failure_domain(),
                  each.member() ? "yes" : "no",
                  answered ? absl::StrCat(each.revision()) : "-",
                  answered ? absl::StrCat(each.configuration_age_ms()) : "-",
                  answered ? absl::StrCat(each.adopted_epoch()) : "-",
                  answered && each.lease_valid() ? "yes" : "no",
                  answered ? absl::StrCat(each.claims()) : "-",
                  each.error()});
    }
    rows.print(out);
}

/// @brief Indents JSON text; other text is returned with control characters replaced.
std::string indent_json(const std::string& text)
{
    const nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
    return parsed.is_discarded() ? printable(text) : parsed.dump(json_indent);
}

} // namespace

ctl_exit get_command(ctl_session& session)
{
    v1::GetRequest request;
    std::uint64_t number = 0;
    if (!session.arguments.empty() && !absl::SimpleAtoi(session.arguments[0], &number))
    {
        return session.fail_input(absl::InvalidArgumentError("not a revision number"),
                                  ctl_exit::usage);
    }
    request.set_revision(number);
    request.set_from_gateway(session.options.from_gateway);
    v1::AcceptedDocument reply;
    const operator_call_result call = session.client.call(&stub::Get, request, &reply);
    if (!call.status.ok())
    {
        return session.fail(call);
    }
    if (session.options.json)
    {
        session.print_json(reply);
        return ctl_exit::done;
    }
    const absl::StatusOr<document> content = from_message(reply.content());
    if (!content.ok())
    {
        return session.fail_input(content.status(), ctl_exit::refused);
    }
    session.errors << "revision " << reply.revision() << " by "
                   << printable(reply.author()) << " at "
                   << time_text(reply.accepted_at_ms()) << ", change "
                   << printable(reply.change_id()) << "\n";
    session.out << indent_json(write_document(*content)) << "\n";
    return ctl_exit::done;
}

ctl_exit history_command(ctl_session& session)
{
    v1::HistoryRequest request;
    request.set_limit(session.options.limit);
    v1::HistoryReply reply;
    const operator_call_result call =
        session.client.call(&stub::History, request, &reply);
    if (!call.status.ok())
    {
        return session.fail(call);
    }
    if (session.options.json)
    {
        session.print_json(reply);
        return ctl_exit::done;
    }
    print_history(session.out, reply);
    return ctl_exit::done;
}

ctl_exit status_command(ctl_session& session)
{
    const v1::StatusRequest request;
    v1::StatusReply reply;
    const operator_call_result call = session.client.call(&stub::Status, request, &reply);
    if (!call.status.ok())
    {
        return session.fail(call);
    }
    if (session.options.json)
    {
        session.print_json(reply);
        return ctl_exit::done;
    }
    print_status(session.out, reply);
    return ctl_exit::done;
}

ctl_exit explain_command(ctl_session& session)
{
    const std::string& request_name = session.arguments.at(0);
    const std::size_t slash = request_name.find('/');
    if (slash == std::string::npos)
    {
        return session.fail_input(
            absl::InvalidArgumentError("the request must be given as ORGANISATION/ID"),
            ctl_exit::usage);
    }
    v1::ExplainRequest request;
    request.set_organisation(request_name.substr(0, slash));
    request.set_request_id(request_name.substr(slash + 1));
    v1::ExplainReply reply;
    const operator_call_result call =
        session.client.call(&stub::Explain, request, &reply);
    if (!call.status.ok())
    {
        return session.fail(call);
    }
    if (session.options.json)
    {
        session.print_json(reply);
        return ctl_exit::done;
    }
    bool is_found = false;
    for (const v1::HostTrace& each : reply.hosts())
    {
        is_found = is_found || !each.trace().empty();
        if (!each.error().empty())
        {
            session.errors << each.host() << ": " << printable(each.error()) << "\n";
        }
        if (!each.trace().empty())
        {
            session.out << each.host() << ": " << indent_json(each.trace()) << "\n";
        }
    }
    if (!is_found)
    {
        session.out << "no gateway that replied has a record of the request\n";
    }
    return is_found ? ctl_exit::done : ctl_exit::refused;
}

} // namespace medlar
