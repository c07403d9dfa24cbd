#include <medlar/detail/config/field_reader.hpp>
#include <medlar/detail/config/json.hpp>
#include <medlar/detail/config/json_text.hpp>

#include <limits>

namespace medlar
{

namespace
{

using nlohmann::json;

constexpr std::int64_t max_int64 = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t max_port = 65535;
constexpr std::int64_t max_int = std::numeric_limits<int>::max();

/// @brief allowance for the fields beside the content of an accepted document
constexpr std::size_t accepted_overhead_bytes = 40000;

template <typename Item>
absl::StatusOr<Item> finished(field_reader& fields, Item item)
{
    const absl::Status status = fields.finish();
    if (!status.ok())
    {
        return status;
    }
    return item;
}

// parsing

absl::StatusOr<target> read_target(const json& from, const std::string& path)
{
    field_reader fields(from, path);
    target result;
    result.name = target_id(fields.text("name"));
    result.address = fields.text("address");
    result.port = static_cast<std::uint16_t>(fields.integer("port", 1, max_port));
    result.failure_domain = failure_domain_id(fields.text("failure_domain"));
    result.drained = fields.boolean_or("drained", result.drained);
    return finished(fields, std::move(result));
}

absl::StatusOr<pool> read_pool(const json& from, const std::string& path)
{
    field_reader fields(from, path);
    pool result;
    result.name = pool_id(fields.text("name"));
    result.targets = fields.items<target>("targets", read_target);
    result.reports_load = fields.boolean_or("reports_load", result.reports_load);
    result.checks_fencing = fields.boolean_or("checks_fencing", result.checks_fencing);
    result.model = model_id(fields.text_or("model", ""));
    return finished(fields, std::move(result));
}

absl::StatusOr<stage> read_stage(const json& from, const std::string& path)
{
    field_reader fields(from, path);
    stage result;
    result.name = fields.text("name");
    fields.text("kind");
    result.kind = fields.enumerator_or("kind", result.kind, error_number::unknown_stage);
    result.pool = pool_id(fields.text("pool"));
    result.after = fields.strings_or_empty("after");
    result.idempotent = fields.optional_boolean("idempotent");
    result.max_tokens = token_count(fields.integer_or("max_tokens", 0, 0, max_int64));
    return finished(fields, std::move(result));
}

std::vector<organisation_id> organisation_ids(const std::vector<std::string>& names)
{
    std::vector<organisation_id> ids;
    ids.reserve(names.size());
    for (const std::string& name : names)
    {
        ids.emplace_back(name);
    }
    return ids;
}

void read_policies(field_reader& fields, pipeline& result)
{
    constexpr error_number unknown_name = error_number::out_of_range;
    result.objective = fields.enumerator_or("objective", result.objective, unknown_name);
    result.routing = fields.enumerator_or("routing", result.routing, unknown_name);
    result.admission = fields.enumerator_or("admission", result.admission, unknown_name);
    result.retries = fields.enumerator_or("retries", result.retries, unknown_name);
    result.max_tries =
        static_cast<int>(fields.integer_or("max_tries", result.max_tries, 0, max_int));
}

absl::StatusOr<pipeline> read_pipeline(const json& from, const std::string& path)
{
    field_reader fields(from, path);
    pipeline result;
    result.name = pipeline_id(fields.text("name"));
    result.stages = fields.items<stage>("stages", read_stage);
    result.default_deadline = millis(fields.integer_or(
        "default_deadline_ms", result.default_deadline.count(), 0, max_int64));
    result.max_deadline = millis(
        fields.integer_or("max_deadline_ms", result.max_deadline.count(), 0, max_int64));
    result.organisations = organisation_ids(fields.strings_or_empty("organisations"));
    read_policies(fields, result);
    return finished(fields, std::move(result));
}

absl::StatusOr<organisation> read_organisation(const json& from, const std::string& path)
{
    field_reader fields(from, path);
    organisation result;
    result.name = organisation_id(fields.text("name"));
    result.weight = fields.number_or("weight", result.weight);
    result.key = fields.text_or("key", "");
    return finished(fields, std::move(result));
}

absl::StatusOr<document> read_document(const json& from, const std::string& path)
{
    field_reader fields(from, path);
    document content;
    content.pools = fields.items<pool>("pools", read_pool);
    content.pipelines = fields.items<pipeline>("pipelines", read_pipeline);
    content.organisations =
        fields.items<organisation>("organisations", read_organisation);
    return finished(fields, std::move(content));
}

absl::StatusOr<accepted_document> read_accepted(const json& from)
{
    field_reader fields(from, "");
    accepted_document accepted;
    accepted.number =
        revision(static_cast<std::uint64_t>(fields.integer("revision", 0, max_int64)));
    accepted.based_on = revision(
        static_cast<std::uint64_t>(fields.integer_or("based_on", 0, 0, max_int64)));
    accepted.change_id = fields.text("change_id");
    accepted.author = fields.text("author");
    accepted.summary = fields.text_or("summary", "");
    accepted.accepted_at = wall_time(fields.integer("accepted_at_ms", 0, max_int64));
    const json* content = fields.value("content");
    if (content == nullptr)
    {
        fields.fail(error_number::missing_field, "content", "is missing");
        return fields.finish();
    }
    absl::StatusOr<document> read = read_document(*content, "content");
    if (!read.ok())
    {
        return read.status();
    }
    accepted.content = *std::move(read);
    return finished(fields, std::move(accepted));
}

// serialisation

json to_json(const target& value)
{
    return json{{"name", value.name.get()},
                {"address", value.address},
                {"port", value.port},
                {"failure_domain", value.failure_domain.get()},
                {"drained", value.drained}};
}

json to_json(const pool& value)
{
    json targets = json::array();
    for (const target& each : value.targets)
    {
        targets.push_back(to_json(each));
    }
    return json{{"name", value.name.get()},
                {"targets", std::move(targets)},
                {"reports_load", value.reports_load},
                {"checks_fencing", value.checks_fencing},
                {"model", value.model.get()}};
}

json to_json(const stage& value)
{
    json object{{"name", value.name},
                {"kind", std::string(to_string(value.kind))},
                {"pool", value.pool.get()},
                {"after", value.after},
                {"max_tokens", value.max_tokens.get()}};
    if (value.idempotent)
    {
        object["idempotent"] = *value.idempotent;
    }
    return object;
}

json to_json(const pipeline& value)
{
    json stages = json::array();
    for (const stage& each : value.stages)
    {
        stages.push_back(to_json(each));
    }
    json organisations = json::array();
    for (const organisation_id& each : value.organisations)
    {
        organisations.push_back(each.get());
    }
    return json{{"name", value.name.get()},
                {"stages", std::move(stages)},
                {"default_deadline_ms", value.default_deadline.count()},
                {"max_deadline_ms", value.max_deadline.count()},
                {"organisations", std::move(organisations)},
                {"objective", std::string(to_string(value.objective))},
                {"routing", std::string(to_string(value.routing))},
                {"admission", std::string(to_string(value.admission))},
                {"retries", std::string(to_string(value.retries))},
                {"max_tries", value.max_tries}};
}

json to_json(const organisation& value)
{
    return json{{"name", value.name.get()}, {"weight", value.weight}, {"key", value.key}};
}

template <typename Item>
json array_of(const std::vector<Item>& items)
{
    json all = json::array();
    for (const Item& each : items)
    {
        all.push_back(to_json(each));
    }
    return all;
}

json to_json(const document& content)
{
    return json{{"pools", array_of(content.pools)},
                {"pipelines", array_of(content.pipelines)},
                {"organisations", array_of(content.organisations)}};
}

std::string text_of(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

absl::StatusOr<document> parse_document(absl::string_view text)
{
    const absl::StatusOr<json> parsed = parse_json_text(text, max_document_bytes);
    if (!parsed.ok())
    {
        return parsed.status();
    }
    absl::StatusOr<document> content = read_document(*parsed, "");
    if (!content.ok())
    {
        return content.status();
    }
    const absl::Status valid = validate(*content);
    if (!valid.ok())
    {
        return valid;
    }
    return content;
}

std::string write_document(const document& content)
{
    return text_of(to_json(content));
}

absl::StatusOr<accepted_document> parse_accepted_document(absl::string_view text)
{
    const absl::StatusOr<json> parsed =
        parse_json_text(text, max_document_bytes + accepted_overhead_bytes);
    if (!parsed.ok())
    {
        return parsed.status();
    }
    return read_accepted(*parsed);
}

std::string write_accepted_document(const accepted_document& accepted)
{
    return text_of(json{{"revision", accepted.number.get()},
                        {"based_on", accepted.based_on.get()},
                        {"change_id", accepted.change_id},
                        {"author", accepted.author},
                        {"summary", accepted.summary},
                        {"accepted_at_ms", accepted.accepted_at.since_origin()},
                        {"content", to_json(accepted.content)}});
}

} // namespace medlar
