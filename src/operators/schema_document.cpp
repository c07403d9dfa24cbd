#include <medlar/detail/base/error.hpp>
#include <medlar/detail/operators/schema.hpp>

#include <absl/strings/str_cat.h>

#include <utility>

namespace medlar
{

namespace
{

constexpr std::uint32_t highest_port = 65535;

/// @brief Enumerators of messages are one above ours, since 0 means "not given".
template <typename Message, typename Enum>
Message enum_message(Enum value)
{
    return static_cast<Message>(static_cast<int>(value) + 1);
}

absl::Status no_such_value(error_number number, const std::string& path)
{
    return make_error(absl::StatusCode::kInvalidArgument,
                      number,
                      absl::StrCat(path, ": no such value"));
}

/// @brief Reads an enumerator; 0 keeps the default.
template <typename Enum, typename Message>
absl::Status
read_enum(Message message, Enum last, const std::string& path, Enum& destination)
{
    if (message < 0 || message > static_cast<int>(last) + 1)
    {
        return no_such_value(error_number::out_of_range, path);
    }
    if (message > 0)
    {
        destination = static_cast<Enum>(message - 1);
    }
    return absl::OkStatus();
}

v1::Stage to_message(const stage& one)
{
    v1::Stage message;
    message.set_name(one.name);
    message.set_kind(enum_message<v1::StageKind>(one.kind));
    message.set_pool(one.pool.get());
    for (const std::string& each : one.after)
    {
        message.add_after(each);
    }
    if (one.idempotent)
    {
        message.set_idempotent(*one.idempotent);
    }
    message.set_max_tokens(one.max_tokens.get());
    return message;
}

v1::Pipeline to_message(const pipeline& one)
{
    v1::Pipeline message;
    message.set_name(one.name.get());
    for (const stage& each : one.stages)
    {
        *message.add_stages() = to_message(each);
    }
    message.set_default_deadline_ms(one.default_deadline.count());
    message.set_max_deadline_ms(one.max_deadline.count());
    for (const organisation_id& each : one.organisations)
    {
        message.add_organisations(each.get());
    }
    message.set_objective(enum_message<v1::Objective>(one.objective));
    message.set_routing(enum_message<v1::RoutingPolicy>(one.routing));
    message.set_admission(enum_message<v1::AdmissionPolicy>(one.admission));
    message.set_retries(enum_message<v1::RetryPolicy>(one.retries));
    message.set_max_tries(one.max_tries);
    return message;
}

v1::Target to_message(const target& one)
{
    v1::Target message;
    message.set_name(one.name.get());
    message.set_address(one.address);
    message.set_port(one.port);
    message.set_failure_domain(one.failure_domain.get());
    message.set_drained(one.drained);
    return message;
}

v1::Pool to_message(const pool& one)
{
    v1::Pool message;
    message.set_name(one.name.get());
    for (const target& each : one.targets)
    {
        *message.add_targets() = to_message(each);
    }
    message.set_reports_load(one.reports_load);
    message.set_checks_fencing(one.checks_fencing);
    message.set_model(one.model.get());
    return message;
}

v1::Organisation to_message(const organisation& one)
{
    v1::Organisation message;
    message.set_name(one.name.get());
    message.set_weight(one.weight);
    message.set_key(one.key);
    return message;
}

absl::StatusOr<stage> read_stage(const v1::Stage& message, const std::string& path)
{
    constexpr int last_kind = static_cast<int>(stage_kind::call) + 1;
    if (message.kind() < 1 || message.kind() > last_kind)
    {
        return no_such_value(error_number::unknown_stage, path + ".kind");
    }
    stage one;
    one.name = message.name();
    one.kind = static_cast<stage_kind>(message.kind() - 1);
    one.pool = pool_id(message.pool());
    one.after.assign(message.after().begin(), message.after().end());
    if (message.has_idempotent())
    {
        one.idempotent = message.idempotent();
    }
    one.max_tokens = token_count(message.max_tokens());
    return one;
}

absl::Status
read_policies(const v1::Pipeline& message, const std::string& path, pipeline& one)
{
    absl::Status status = read_enum(
        message.objective(), objective_kind::cost, path + ".objective", one.objective);
    status.Update(read_enum(
        message.routing(), routing_policy::round_robin, path + ".routing", one.routing));
    status.Update(read_enum(
        message.admission(), admission_policy::none, path + ".admission", one.admission));
    status.Update(read_enum(
        message.retries(), retry_policy::never, path + ".retries", one.retries));
    return status;
}

absl::StatusOr<pipeline> read_pipeline(const v1::Pipeline& message,
                                       const std::string& path)
{
    pipeline one;
    one.name = pipeline_id(message.name());
    for (int at = 0; at < message.stages_size(); ++at)
    {
        absl::StatusOr<stage> each =
            read_stage(message.stages(at), absl::StrCat(path, ".stages[", at, "]"));
        if (!each.ok())
        {
            return each.status();
        }
        one.stages.push_back(*std::move(each));
    }
    if (message.has_default_deadline_ms())
    {
        one.default_deadline = millis(message.default_deadline_ms());
    }
    if (message.has_max_deadline_ms())
    {
        one.max_deadline = millis(message.max_deadline_ms());
    }
    for (const std::string& each : message.organisations())
    {
        one.organisations.emplace_back(each);
    }
    one.max_tries = message.has_max_tries() ? message.max_tries() : one.max_tries;
    const absl::Status policies = read_policies(message, path, one);
    if (!policies.ok())
    {
        return policies;
    }
    return one;
}

absl::StatusOr<pool> read_pool(const v1::Pool& message, const std::string& path)
{
    pool one;
    one.name = pool_id(message.name());
    for (int at = 0; at < message.targets_size(); ++at)
    {
        const v1::Target& each = message.targets(at);
        if (each.port() > highest_port)
        {
            return make_error(absl::StatusCode::kInvalidArgument,
                              error_number::out_of_range,
                              absl::StrCat(path,
                                           ".targets[",
                                           at,
                                           "].port: ",
                                           each.port(),
                                           " is not from 1 to ",
                                           highest_port));
        }
        one.targets.push_back({target_id(each.name()),
                               each.address(),
                               static_cast<std::uint16_t>(each.port()),
                               failure_domain_id(each.failure_domain()),
                               each.drained()});
    }
    one.reports_load = message.reports_load();
    one.checks_fencing = message.checks_fencing();
    one.model = model_id(message.model());
    return one;
}

organisation read_organisation(const v1::Organisation& message)
{
    organisation one;
    one.name = organisation_id(message.name());
    one.weight = message.has_weight() ? message.weight() : one.weight;
    one.key = message.key();
    return one;
}

} // namespace

v1::Document to_message(const document& content)
{
    v1::Document message;
    for (const pool& each : content.pools)
    {
        *message.add_pools() = to_message(each);
    }
    for (const pipeline& each : content.pipelines)
    {
        *message.add_pipelines() = to_message(each);
    }
    for (const organisation& each : content.organisations)
    {
        *message.add_organisations() = to_message(each);
    }
    return message;
}

absl::StatusOr<document> from_message(const v1::Document& message)
{
    document content;
    for (int at = 0; at < message.pools_size(); ++at)
    {
        absl::StatusOr<pool> each =
            read_pool(message.pools(at), absl::StrCat("pools[", at, "]"));
        if (!each.ok())
        {
            return each.status();
        }
        content.pools.push_back(*std::move(each));
    }
    for (int at = 0; at < message.pipelines_size(); ++at)
    {
        absl::StatusOr<pipeline> each =
            read_pipeline(message.pipelines(at), absl::StrCat("pipelines[", at, "]"));
        if (!each.ok())
        {
            return each.status();
        }
        content.pipelines.push_back(*std::move(each));
    }
    for (const v1::Organisation& each : message.organisations())
    {
        content.organisations.push_back(read_organisation(each));
    }
    return content;
}

v1::AcceptedDocument to_message(const accepted_document& accepted)
{
    v1::AcceptedDocument message;
    message.set_revision(accepted.number.get());
    message.set_change_id(accepted.change_id);
    message.set_author(accepted.author);
    message.set_summary(accepted.summary);
    message.set_accepted_at_ms(accepted.accepted_at.since_origin());
    *message.mutable_content() = to_message(accepted.content);
    return message;
}

} // namespace medlar
