#include <medlar/detail/config/field_reader.hpp>
#include <medlar/detail/config/json.hpp>
#include <medlar/detail/config/json_text.hpp>

#include <limits>

namespace medlar
{

namespace
{

using nlohmann::json;

constexpr std::int64_t highest = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t highest_port = 65535;
constexpr std::int64_t highest_count = std::numeric_limits<int>::max();

/// @brief room for the fields around the content of an accepted document, in bytes
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

// reading

absl::StatusOr<target> read_target(const json& from, const std::string& path)
{
    field_reader fields(from, path);
    target one;
    one.name = target_id(fields.text("name"));
    one.address = fields.text("address");
    one.port = static_cast<std::uint16_t>(fields.integer("port", 1, highest_port));
    one.failure_domain = failure_domain_id(fields.text("failure_domain"));
    one.drained = fields.boolean_or("drained", one.drained);
    return finished(fields, std::move(one));
}

absl::StatusOr<pool> read_pool(const json& from, const std::string& path)
{
    field_reader fields(from, path);
    pool one;
    one.name = pool_id(fields.text("name"));
    one.targets = fields.items<target>("targets", read_target);
    one.reports_load = fields.boolean_or("reports_load", one.reports_load);
    one.checks_fencing = fields.boolean_or("checks_fencing", one.checks_fencing);
    one.model = model_id(fields.text_or("model", ""));
    return finished(fields, std::move(one));
}

absl::StatusOr<stage> read_stage(const json& from, const std::string& path)
{
    field_reader fields(from, path);
    stage one;
    one.name = fields.text("name");
    fields.text("kind");
    one.kind = fields.named_or("kind", one.kind, error_number::unknown_stage);
    one.pool = pool_id(fields.text("pool"));
    one.after = fields.texts_or_none("after");
    one.idempotent = fields.optional_boolean("idempotent");
    one.max_tokens = token_count(fields.integer_or("max_tokens", 0, 0, highest));
    return finished(fields, std::move(one));
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

void read_policies(field_reader& fields, pipeline& one)
{
    constexpr error_number unnamed = error_number::out_of_range;
    one.objective = fields.named_or("objective", one.objective, unnamed);
    one.routing = fields.named_or("routing", one.routing, unnamed);
    one.admission = fields.named_or("admission", one.admission, unnamed);
    one.retries = fields.named_or("retries", one.retries, unnamed);
    one.max_tries =
        static_cast<int>(fields.integer_or("max_tries", one.max_tries, 0, highest_count));
}

absl::StatusOr<pipeline> read_pipeline(const json& from, const std::string& path)
{
    field_reader fields(from, path);
    pipeline one;
    one.name = pipeline_id(fields.text("name"));
    one.stages = fields.items<stage>("stages", read_stage);
    one.default_deadline = millis(fields.integer_or(
        "default_deadline_ms", one.default_deadline.count(), 0, highest));
    one.max_deadline = millis(
        fields.integer_or("max_deadline_ms", one.max_deadline.count(), 0, highest));
    one.organisations = organisation_ids(fields.texts_or_none("organisations"));
    read_policies(fields, one);
    return finished(fields, std::move(one));
}

absl::StatusOr<organisation> read_organisation(const json& from, const std::string& path)
{
    field_reader fields(from, path);
    organisation one;
    one.name = organisation_id(fields.text("name"));
    one.weight = fields.number_or("weight", one.weight);
    one.key = fields.text_or("key", "");
    return finished(fields, std::move(one));
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
        revision(static_cast<std::uint64_t>(fields.integer("revision", 0, highest)));
    accepted.based_on = revision(
        static_cast<std::uint64_t>(fields.integer_or("based_on", 0, 0, highest)));
    accepted.change_id = fields.text("change_id");
    accepted.author = fields.text("author");
    accepted.summary = fields.text_or("summary", "");
    accepted.accepted_at = wall_time(fields.integer("accepted_at_ms", 0, highest));
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

// writing

json to_json(const target& one)
{
    return json{{"name", one.name.get()},
                {"address", one.address},
                {"port", one.port},
                {"failure_domain", one.failure_domain.get()},
                {"drained", one.drained}};
}

json to_json(const pool& one)
{
    json targets = json::array();
    for (const target& each : one.targets)
    {
        targets.push_back(to_json(each));
    }
    return json{{"name", one.name.get()},
                {"targets", std::move(targets)},
                {"reports_load", one.reports_load},
                {"checks_fencing", one.checks_fencing},
                {"model", one.model.get()}};
}

json to_json(const stage& one)
{
    json made{{"name", one.name},
              {"kind", std::string(to_string(one.kind))},
              {"pool", one.pool.get()},
              {"after", one.after},
              {"max_tokens", one.max_tokens.get()}};
    if (one.idempotent)
    {
        made["idempotent"] = *one.idempotent;
    }
    return made;
}

json to_json(const pipeline& one)
{
    json stages = json::array();
    for (const stage& each : one.stages)
    {
        stages.push_back(to_json(each));
    }
    json organisations = json::array();
    for (const organisation_id& each : one.organisations)
    {
        organisations.push_back(each.get());
    }
    return json{{"name", one.name.get()},
                {"stages", std::move(stages)},
                {"default_deadline_ms", one.default_deadline.count()},
                {"max_deadline_ms", one.max_deadline.count()},
                {"organisations", std::move(organisations)},
                {"objective", std::string(to_string(one.objective))},
                {"routing", std::string(to_string(one.routing))},
                {"admission", std::string(to_string(one.admission))},
                {"retries", std::string(to_string(one.retries))},
                {"max_tries", one.max_tries}};
}

json to_json(const organisation& one)
{
    return json{{"name", one.name.get()}, {"weight", one.weight}, {"key", one.key}};
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
