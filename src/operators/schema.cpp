#include <medlar/detail/operators/schema.hpp>

#include <absl/strings/str_cat.h>

namespace medlar
{

namespace
{

v1::AuditKind to_message(audit_kind kind)
{
    switch (kind)
    {
        case audit_kind::configuration:
            return v1::AUDIT_KIND_CONFIGURATION;
        case audit_kind::view:
            return v1::AUDIT_KIND_VIEW;
        case audit_kind::order:
            return v1::AUDIT_KIND_ORDER;
    }
    return v1::AUDIT_KIND_UNSPECIFIED;
}

v1::HostStatus to_message(const host_status& status)
{
    v1::HostStatus message;
    message.set_host(status.host.host.get());
    message.set_link(to_string(status.host.link));
    message.set_failure_domain(status.host.failure_domain.get());
    message.set_incarnation(absl::StrCat(absl::Hex(status.host.process.get())));
    message.set_member(status.in_view);
    if (!status.report.ok())
    {
        message.set_error(std::string(status.report.status().message()));
        return message;
    }
    message.set_revision(status.report->configuration.get());
    message.set_configuration_age_ms(status.report->configuration_age.count());
    message.set_adopted_epoch(status.report->adopted.get());
    message.set_lease_valid(status.report->lease_valid);
    message.set_claims(status.report->claims);
    message.set_report(status.report->text);
    return message;
}

} // namespace

v1::ChangeState to_message(change_state state)
{
    switch (state)
    {
        case change_state::accepted:
            return v1::CHANGE_STATE_ACCEPTED;
        case change_state::not_accepted:
            return v1::CHANGE_STATE_NOT_ACCEPTED;
        case change_state::unknown:
            return v1::CHANGE_STATE_UNKNOWN;
    }
    return v1::CHANGE_STATE_UNKNOWN;
}

v1::ChangeReply to_message(const change_result& result)
{
    v1::ChangeReply message;
    message.set_state(to_message(result.state));
    message.set_change_id(result.change_id);
    message.set_revision(result.number.get());
    message.set_based_on(result.based_on.get());
    message.set_accepted_earlier(result.accepted_earlier);
    add_messages(result.differences, message.mutable_differences());
    return message;
}

v1::AuditRecord to_message(const audit_record& record)
{
    v1::AuditRecord message;
    message.set_kind(to_message(record.kind));
    message.set_number(record.number);
    message.set_based_on(record.based_on);
    message.set_change_id(record.change_id);
    message.set_author(record.author);
    message.set_summary(record.summary);
    message.set_at_ms(record.at.since_origin());
    add_messages(record.differences, message.mutable_differences());
    return message;
}

change_request from_message(const v1::Change& message)
{
    change_request request;
    request.change_id = message.change_id();
    request.author = message.author();
    if (message.has_expected_revision())
    {
        request.expected = revision(message.expected_revision());
    }
    request.above = revision(message.above_revision());
    return request;
}

std::vector<model_order> from_message(const v1::OrderModelRequest& message)
{
    std::vector<model_order> wanted;
    for (const v1::ModelOrder& each : message.wanted())
    {
        wanted.push_back({each.action(), each.model(), each.version()});
    }
    return wanted;
}

void add_messages(const std::vector<difference>& differences,
                  google::protobuf::RepeatedPtrField<v1::Difference>* field)
{
    for (const difference& each : differences)
    {
        v1::Difference* message = field->Add();
        message->set_path(each.path);
        message->set_before(each.before);
        message->set_after(each.after);
    }
}

v1::StatusReply to_message(const fleet_status& status)
{
    v1::StatusReply message;
    message.set_view_epoch(status.epoch.get());
    message.set_store_error(std::string(status.store.message()));
    for (const host_status& each : status.hosts)
    {
        *message.add_hosts() = to_message(each);
    }
    return message;
}

v1::ExplainReply to_message(const std::vector<host_trace>& traces)
{
    v1::ExplainReply message;
    for (const host_trace& each : traces)
    {
        v1::HostTrace* host = message.add_hosts();
        host->set_host(each.host.get());
        if (!each.trace.ok())
        {
            host->set_error(std::string(each.trace.status().message()));
        }
        else if (each.trace->has_value())
        {
            host->set_trace(**each.trace);
        }
    }
    return message;
}

grpc::Status to_grpc(const absl::Status& status)
{
    const auto code = static_cast<grpc::StatusCode>(status.code());
    const std::optional<conflict_report> conflict = get_conflict_report(status);
    if (!conflict)
    {
        return {code, std::string(status.message())};
    }
    v1::Conflict details;
    details.set_revision(conflict->number.get());
    details.set_change_id(conflict->change_id);
    details.set_author(conflict->author);
    add_messages(conflict->differences, details.mutable_differences());
    return {code, std::string(status.message()), details.SerializeAsString()};
}

absl::Status from_grpc(const grpc::Status& status)
{
    return {static_cast<absl::StatusCode>(status.error_code()), status.error_message()};
}

} // namespace medlar
