#include <medlar/detail/base/error.hpp>
#include <medlar/detail/operators/schema.hpp>

#include <absl/strings/str_cat.h>

#include <utility>

namespace medlar
{

namespace
{

constexpr std::uint32_t max_port = 65535;

/// @brief Converts an enumerator; those of messages are higher by 1, since 0 means
/// "unset".
template <typename Message, typename Enum>
Message enum_message(Enum value)
{
    return static_cast<Message>(static_cast<int>(value) + 1);
}

absl::Status no_such_value_error(error_number number, const std::string& path)
{
    return make_error(absl::StatusCode::kInvalidArgument,
                      number,
                      absl::StrCat(path, ": no such value"));
}

/// @brief Reads an enumerator of a message; 0 keeps the value of @p destination.
template <typename Enum, typename Message>
absl::Status
read_enum(Message message, Enum last, const std::string& path, Enum& destination)
{
    if (message < 0 || message > static_cast<int>(last) + 1)
    {
        return no_such_value_error(error_number::out_of_range, path);
    }
    if (message > 0)
    {
        destination = static_cast<Enum>(message - 1);
    }
    return absl::OkStatus();
}

v1::Stage to_message(const stage& config)
{
    v1::Stage message;
    message.set_name(config.name);
    message.set_kind(enum_message<v1::StageKind>(config.kind));
    message.set_pool(config.pool.get());
    for (const std::string& each : config.after)
    {
        message.add_after(each);
    }
    if (config.idempotent)
    {
        message.set_idempotent(*config.idempotent);
    }
    message.set_max_tokens(config.max_tokens.get());
    return message;
}

v1::Pipeline to_message(const pipeline& config)
{
    v1::Pipeline message;
    message.set_name(config.name.get());
    for (const stage& each : config.stages)
    {
        *message.add_stages() = to_message(each);
    }
    message.set_default_deadline_ms(config.default_deadline.count());
    message.set_max_deadline_ms(config.max_deadline.count());
    for (const organisation_id& each : config.organisations)
    {
        message.add_organisations(each.get());
    }
    message.set_objective(enum_message<v1::Objective>(config.objective));
    message.set_routing(enum_message<v1::RoutingPolicy>(config.routing));
    message.set_admission(enum_message<v1::AdmissionPolicy>(config.admission));
    message.set_retries(enum_message<v1::RetryPolicy>(config.retries));
    message.set_max_tries(config.max_tries);
    return message;
}

v1::Target to_message(const target& config)
{
    v1::Target message;
    message.set_name(config.name.get());
    message.set_address(config.address);
    message.set_port(config.port);
    message.set_failure_domain(config.failure_domain.get());
    message.set_drained(config.drained);
    return message;
}

v1::Pool to_message(const pool& config)
{
    v1::Pool message;
    message.set_name(config.name.get());
    for (const target& each : config.targets)
    {
        *message.add_targets() = to_message(each);
    }
    message.set_reports_load(config.reports_load);
    message.set_checks_fencing(config.checks_fencing);
    message.set_model(config.model.get());
    return message;
}

v1::Organisation to_message(const organisation& config)
{
    v1::Organisation message;
    message.set_name(config.name.get());
    message.set_weight(config.weight);
    message.set_key(config.key);
    return message;
}

absl::StatusOr<stage> read_stage(const v1::Stage& message, const std::string& path)
{
    constexpr int last_kind = static_cast<int>(stage_kind::call) + 1;
    if (message.kind() < 1 || message.kind() > last_kind)
    {
        return no_such_value_error(error_number::unknown_stage, path + ".kind");
    }
    stage config;
    config.name = message.name();
    config.kind = static_cast<stage_kind>(message.kind() - 1);
    config.pool = pool_id(message.pool());
    config.after.assign(message.after().begin(), message.after().end());
    if (message.has_idempotent())
    {
        config.idempotent = message.idempotent();
    }
    config.max_tokens = token_count(message.max_tokens());
    return config;
}

absl::Status
read_policies(const v1::Pipeline& message, const std::string& path, pipeline& config)
{
    absl::Status status = read_enum(
        message.objective(), objective_kind::cost, path + ".objective", config.objective);
    status.Update(read_enum(message.routing(),
                            routing_policy::round_robin,
                            path + ".routing",
                            config.routing));
    status.Update(read_enum(message.admission(),
                            admission_policy::none,
                            path + ".admission",
                            config.admission));
    status.Update(read_enum(
        message.retries(), retry_policy::never, path + ".retries", config.retries));
    return status;
}

absl::StatusOr<pipeline> read_pipeline(const v1::Pipeline& message,
                                       const std::string& path)
{
    pipeline config;
    config.name = pipeline_id(message.name());
    for (int at = 0; at < message.stages_size(); ++at)
    {
        absl::StatusOr<stage> each =
            read_stage(message.stages(at), absl::StrCat(path, ".stages[", at, "]"));
        if (!each.ok())
        {
            return each.status();
        }
        config.stages.push_back(*std::move(each));
    }
    if (message.has_default_deadline_ms())
    {
        config.default_deadline = millis(message.default_deadline_ms());
    }
    if (message.has_max_deadline_ms())
    {
        config.max_deadline = millis(message.max_deadline_ms());
    }
    for (const std::string& each : message.organisations())
    {
        config.organisations.emplace_back(each);
    }
    config.max_tries = message.has_max_tries() ? message.max_tries() : config.max_tries;
    const absl::Status policies = read_policies(message, path, config);
    if (!policies.ok())
    {
        return policies;
    }
    return config;
}

absl::StatusOr<pool> read_pool(const v1::Pool& message, const std::string& path)
{
    pool config;
    config.name = pool_id(message.name());
    for (int at = 0; at < message.targets_size(); ++at)
    {
        const v1::Target& each = message.targets(at);
        if (each.port() > max_port)
        {
            return make_error(absl::StatusCode::kInvalidArgument,
                              error_number::out_of_range,
                              absl::StrCat(path,
                                           ".targets[",
                                           at,
                                           "].port: ",
                                           each.port(),
                                           " is not from 1 to ",
                                           max_port));
        }
        config.targets.push_back({target_id(each.name()),
                                  each.address(),
                                  static_cast<std::uint16_t>(each.port()),
                                  failure_domain_id(each.failure_domain()),
                                  each.drained()});
    }
    config.reports_load = message.reports_load();
    config.checks_fencing = message.checks_fencing();
    config.model = model_id(message.model());
    return config;
}

organisation read_organisation(const v1::Organisation& message)
{
    organisation config;
    config.name = organisation_id(message.name());
    config.weight = message.has_weight() ? message.weight() : config.weight;
    config.key = message.key();
    return config;
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
