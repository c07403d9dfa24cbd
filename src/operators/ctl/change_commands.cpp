#include <medlar/detail/operators/ctl/session.hpp>
#include <medlar/detail/operators/ctl/table.hpp>
#include <medlar/detail/operators/schema.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace medlar
{

namespace
{

using stub = operator_client::stub;

void print_differences(
    std::ostream& out,
    const google::protobuf::RepeatedPtrField<v1::Difference>& differences)
{
    table rows({"FIELD", "BEFORE", "AFTER"});
    for (const v1::Difference& each : differences)
    {
        rows.add({each.path(), each.before(), each.after()});
    }
    rows.print(out);
}

void print_outcome(ctl_session& session, const v1::ChangeReply& reply)
{
    switch (reply.state())
    {
        case v1::CHANGE_STATE_ACCEPTED:
            session.out << "accepted: change " << reply.change_id() << " is revision "
                        << reply.revision()
                        << (reply.accepted_earlier() ? " (accepted earlier)" : "")
                        << "\n";
            break;
        case v1::CHANGE_STATE_NOT_ACCEPTED:
            session.out << "not accepted: change " << reply.change_id()
                        << " has not taken effect and never will\n";
            break;
        default:
            session.out << "unknown: change " << reply.change_id()
                        << " may have taken effect, or may still do so\n";
            session.errors << "determine the outcome with: medlarctl change status "
                           << reply.change_id() << " --based_on=" << reply.based_on()
                           << "\n";
            break;
    }
}

ctl_exit exit_code_of(v1::ChangeState state)
{
    switch (state)
    {
        case v1::CHANGE_STATE_ACCEPTED:
            return ctl_exit::done;
        case v1::CHANGE_STATE_NOT_ACCEPTED:
            return ctl_exit::refused;
        default:
            return ctl_exit::unknown;
    }
}

/// @brief Prints the outcome of a change, and returns its exit code.
ctl_exit finish_change(ctl_session& session,
                       const operator_call_result& call,
                       const v1::ChangeReply& reply)
{
    if (!call.status.ok())
    {
        return session.fail_change(call);
    }
    if (session.options.json)
    {
        session.print_json(reply);
        return exit_code_of(reply.state());
    }
    print_outcome(session, reply);
    if (reply.differences_size() > 0)
    {
        print_differences(session.out, reply.differences());
    }
    return exit_code_of(reply.state());
}

absl::StatusOr<std::uint64_t> parse_revision(const std::string& text)
{
    std::uint64_t number = 0;
    if (!absl::SimpleAtoi(text, &number) || number == 0)
    {
        return absl::InvalidArgumentError(
            absl::StrCat("'", text, "' is not a revision number"));
    }
    return number;
}

template <typename Method>
ctl_exit change_target(ctl_session& session, Method method)
{
    v1::TargetRequest request;
    *request.mutable_change() = session.change();
    request.set_target(session.arguments.at(0));
    v1::ChangeReply reply;
    const operator_call_result call = session.client.call(method, request, &reply);
    return finish_change(session, call, reply);
}

} // namespace

ctl_exit apply_command(ctl_session& session)
{
    const absl::StatusOr<document> content = read_document_file(session.arguments.at(0));
    if (!content.ok())
    {
        return session.fail_input(content.status(), ctl_exit::refused);
    }
    v1::ApplyRequest request;
    *request.mutable_change() = session.change();
    *request.mutable_content() = to_message(*content);
    v1::ChangeReply reply;
    const operator_call_result call = session.client.call(&stub::Apply, request, &reply);
    return finish_change(session, call, reply);
}

ctl_exit diff_command(ctl_session& session)
{
    const absl::StatusOr<document> content = read_document_file(session.arguments.at(0));
    if (!content.ok())
    {
        return session.fail_input(content.status(), ctl_exit::refused);
    }
    v1::DiffRequest request;
    *request.mutable_content() = to_message(*content);
    v1::DiffReply reply;
    const operator_call_result call = session.client.call(&stub::Diff, request, &reply);
    if (!call.status.ok())
    {
        return session.fail(call);
    }
    if (session.options.json)
    {
        session.print_json(reply);
        return ctl_exit::done;
    }
    session.out << "against revision " << reply.revision() << ": "
                << reply.differences_size() << " differences\n";
    print_differences(session.out, reply.differences());
    return ctl_exit::done;
}

ctl_exit rollback_command(ctl_session& session)
{
    const absl::StatusOr<std::uint64_t> number = parse_revision(session.arguments.at(0));
    if (!number.ok())
    {
        return session.fail_input(number.status(), ctl_exit::usage);
    }
    v1::RollbackRequest request;
    *request.mutable_change() = session.change();
    request.set_to_revision(*number);
    v1::ChangeReply reply;
    const operator_call_result call =
        session.client.call(&stub::Rollback, request, &reply);
    return finish_change(session, call, reply);
}

ctl_exit change_status_command(ctl_session& session)
{
    v1::ChangeStatusRequest request;
    request.set_change_id(session.arguments.at(0));
    if (session.options.based_on)
    {
        request.set_based_on(*session.options.based_on);
    }
    v1::ChangeReply reply;
    const operator_call_result call =
        session.client.call(&stub::ChangeStatus, request, &reply);
    if (!call.status.ok())
    {
        return session.fail(call);
    }
    return finish_change(session, call, reply);
}

ctl_exit drain_command(ctl_session& session)
{
    return change_target(session, &stub::DrainTarget);
}

ctl_exit undrain_command(ctl_session& session)
{
    return change_target(session, &stub::UndrainTarget);
}

} // namespace medlar
