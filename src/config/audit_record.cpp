#include <medlar/detail/config/audit_record.hpp>
#include <medlar/detail/config/field_reader.hpp>
#include <medlar/detail/config/json_text.hpp>

#include <limits>

namespace medlar
{

namespace
{

using nlohmann::json;

constexpr std::int64_t max_int64 = std::numeric_limits<std::int64_t>::max();

absl::StatusOr<difference> read_difference(const json& from, const std::string& path)
{
    field_reader fields(from, path);
    difference result;
    result.path = fields.text("path");
    result.before = fields.text_or("before", "");
    result.after = fields.text_or("after", "");
    const absl::Status status = fields.finish();
    if (!status.ok())
    {
        return status;
    }
    return result;
}

audit_kind read_kind(field_reader& fields)
{
    const std::string name = fields.text("kind");
    for (const audit_kind kind :
         {audit_kind::configuration, audit_kind::view, audit_kind::order})
    {
        if (name == to_string(kind))
        {
            return kind;
        }
    }
    fields.fail(error_number::out_of_range, "kind", "no such kind");
    return audit_kind::configuration;
}

json to_json(const std::vector<difference>& differences)
{
    json all = json::array();
    for (const difference& each : differences)
    {
        all.push_back(
            json{{"path", each.path}, {"before", each.before}, {"after", each.after}});
    }
    return all;
}

} // namespace

absl::string_view to_string(audit_kind kind)
{
    switch (kind)
    {
        case audit_kind::configuration:
            return "configuration";
        case audit_kind::view:
            return "view";
        case audit_kind::order:
            return "order";
    }
    return "configuration";
}

absl::StatusOr<audit_record> parse_audit_record(absl::string_view text)
{
    const absl::StatusOr<json> parsed = parse_json_text(text, max_document_bytes);
    if (!parsed.ok())
    {
        return parsed.status();
    }
    field_reader fields(*parsed, "");
    audit_record record;
    record.kind = read_kind(fields);
    record.number = static_cast<std::uint64_t>(fields.integer("number", 0, max_int64));
    record.based_on =
        static_cast<std::uint64_t>(fields.integer("based_on", 0, max_int64));
    record.change_id = fields.text("change_id");
    record.author = fields.text("author");
    record.summary = fields.text("summary");
    record.at = wall_time(fields.integer("at_ms", 0, max_int64));
    record.content_digest = fields.text_or("content_digest", "");
    record.differences = fields.items<difference>("differences", read_difference);
    const absl::Status status = fields.finish();
    if (!status.ok())
    {
        return status;
    }
    return record;
}

std::string write_audit_record(const audit_record& record)
{
    const json object{{"kind", std::string(to_string(record.kind))},
                      {"number", record.number},
                      {"based_on", record.based_on},
                      {"change_id", record.change_id},
                      {"author", record.author},
                      {"summary", record.summary},
                      {"at_ms", record.at.since_origin()},
                      {"content_digest", record.content_digest},
                      {"differences", to_json(record.differences)}};
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

audit_record make_audit_record(const accepted_document& accepted, const document* before)
{
    audit_record record;
    record.number = accepted.number.get();
    record.based_on = accepted.based_on.get();
    record.change_id = accepted.change_id;
    record.author = accepted.author;
    record.summary = accepted.summary;
    record.at = accepted.accepted_at;
    record.content_digest = digest_of(accepted.content);
    if (before != nullptr)
    {
        record.differences = truncate_differences(
            differences_between(*before, accepted.content), max_recorded_differences);
    }
    return record;
}

} // namespace medlar
