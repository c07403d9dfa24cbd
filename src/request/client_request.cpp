#include <medlar/detail/request/client_request.hpp>
#include <medlar/detail/request/json_fields.hpp>
#include <medlar/detail/request/json_text.hpp>

#include <absl/strings/str_cat.h>

namespace medlar
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_id_bytes = 200;
constexpr std::int64_t max_issue_time_ms = 4102444800000; // 2100-01-01
constexpr std::int64_t max_tokens_allowed = 1000000;

outcome refusal(reason why, std::string message)
{
    return {outcome_kind::not_run, why, std::move(message), std::nullopt};
}

/// @brief Reads the fields of a JSON object and stores the first error.
class field_reader
{
  public:
    explicit field_reader(const json& object) : object_(object)
    {
    }

    std::string text(const char* name, bool required)
    {
        const auto found = object_.find(name);
        if (found == object_.end())
        {
            check(required, absl::StrCat("'", name, "' is missing"));
            return {};
        }
        check(!found->is_string(), absl::StrCat("'", name, "' is not a string"));
        return found->is_string() ? found->get<std::string>() : std::string();
    }

    std::string id(const char* name)
    {
        const std::string value = text(name, true);
        check(value.empty() || value.size() > max_id_bytes,
              absl::StrCat("'", name, "' has not 1 to ", max_id_bytes, " bytes"));
        return value;
    }

    bool flag(const char* name)
    {
        const auto found = object_.find(name);
        if (found == object_.end())
        {
            return false;
        }
        check(!found->is_boolean(), absl::StrCat("'", name, "' is not true or false"));
        return found->is_boolean() && found->get<bool>();
    }

    std::optional<std::int64_t> number(const char* name, std::int64_t max_value)
    {
        const auto found = object_.find(name);
        if (found == object_.end())
        {
            return std::nullopt;
        }
        const bool fits =
            found->is_number_integer() &&
            (!found->is_number_unsigned() ||
             found->get<std::uint64_t>() <= static_cast<std::uint64_t>(max_value)) &&
            found->get<std::int64_t>() >= 0 && found->get<std::int64_t>() <= max_value;
        check(!fits,
              absl::StrCat("'", name, "' is not an integer from 0 to ", max_value));
        return fits ? std::optional<std::int64_t>(found->get<std::int64_t>())
                    : std::nullopt;
    }

    const std::string& error() const
    {
        return error_;
    }

  private:
    void check(bool wrong, std::string message)
    {
        if (wrong && error_.empty())
        {
            error_ = std::move(message);
        }
    }

    const json& object_;
    std::string error_;
};

/// @brief Returns the value of the deadline field, or the refusal.
std::variant<std::optional<millis>, outcome> read_deadline(const json& body)
{
    constexpr std::int64_t max_ms = 86400000;
    const auto found = body.find("deadline_ms");
    if (found == body.end())
    {
        return std::optional<millis>();
    }
    const bool positive = found->is_number_integer() && *found > 0;
    if (!positive || *found > max_ms)
    {
        return refusal(
            reason::bad_deadline,
            absl::StrCat("'deadline_ms' is not an integer from 1 to ", max_ms));
    }
    return std::optional<millis>(millis(found->get<std::int64_t>()));
}

void read_input(const json& input, client_request& request)
{
    request.input = input.dump();
    if (!input.is_object())
    {
        return;
    }
    const auto prefix = input.find("prompt_prefix");
    if (prefix != input.end() && prefix->is_string())
    {
        request.prompt_prefix = prefix->get<std::string>();
    }
    const auto tokens = input.find("max_tokens");
    if (tokens != input.end() && tokens->is_number_integer() && *tokens > 0 &&
        *tokens <= max_tokens_allowed)
    {
        request.max_tokens = token_count(tokens->get<std::int64_t>());
    }
}

read_request read_fields(const pipeline_id& pipeline, const json& body, wall_time now)
{
    client_request request;
    field_reader fields(body);
    request.pipeline = pipeline;
    request.key.organisation = organisation_id(fields.id("organisation"));
    request.key.id = request_id(fields.id("id"));
    request.idempotent = fields.flag("idempotent");
    request.first_attempt = fields.flag("first_attempt");
    request.stream = fields.flag("stream");
    const std::optional<std::int64_t> issued =
        fields.number("issued_at_ms", max_issue_time_ms);
    if (!fields.error().empty())
    {
        return refusal(reason::malformed, fields.error());
    }
    if (!issued && !request.idempotent)
    {
        return refusal(reason::malformed, "'issued_at_ms' is missing");
    }
    request.issued_at = issued ? wall_time(*issued) : now;
    const auto input = body.find("input");
    if (input == body.end())
    {
        return refusal(reason::malformed, "'input' is missing");
    }
    read_input(*input, request);
    auto deadline = read_deadline(body);
    if (auto* refused = std::get_if<outcome>(&deadline))
    {
        return *refused;
    }
    request.deadline = std::get<std::optional<millis>>(deadline);
    return request;
}

} // namespace

read_request read_client_request(const pipeline_id& pipeline,
                                 absl::string_view body,
                                 const body_limits& limits,
                                 wall_time now)
{
    if (body.size() > limits.max_bytes)
    {
        return refusal(
            reason::too_large,
            absl::StrCat("the body has more than ", limits.max_bytes, " bytes"));
    }
    if (!is_utf8(body))
    {
        return refusal(reason::not_utf8, "the body is not UTF-8");
    }
    if (nesting_depth(body) > limits.max_nesting)
    {
        return refusal(
            reason::malformed,
            absl::StrCat("the body is nested deeper than ", limits.max_nesting));
    }
    const json parsed = parse_json(body);
    if (!parsed.is_object())
    {
        return refusal(reason::malformed, "the body is not a JSON object");
    }
    return read_fields(pipeline, parsed, now);
}

std::string write_relayed_request(const relayed_request& relayed)
{
    const client_request& request = relayed.request;
    return absl::StrCat("{\"pipeline\":",
                        quoted_json(request.pipeline.get()),
                        ",\"organisation\":",
                        quoted_json(request.key.organisation.get()),
                        ",\"id\":",
                        quoted_json(request.key.id.get()),
                        ",\"issued_at_ms\":",
                        request.issued_at.since_origin(),
                        ",\"deadline_left_ms\":",
                        relayed.deadline_remaining.count(),
                        ",\"idempotent\":",
                        request.idempotent ? "true" : "false",
                        ",\"first_attempt\":",
                        request.first_attempt ? "true" : "false",
                        ",\"stream\":",
                        request.stream ? "true" : "false",
                        ",\"input\":",
                        request.input,
                        "}");
}

std::optional<relayed_request> read_relayed_request(absl::string_view text)
{
    const json parsed = parse_json(text);
    if (!parsed.is_object())
    {
        return std::nullopt;
    }
    const pipeline_id pipeline(string_field(parsed, "pipeline"));
    read_request read = read_fields(pipeline, parsed, wall_time());
    const std::int64_t remaining_ms = integer_field(parsed, "deadline_left_ms", -1);
    if (std::holds_alternative<outcome>(read) || remaining_ms < 0)
    {
        return std::nullopt;
    }
    return relayed_request{std::get<client_request>(std::move(read)),
                           millis(remaining_ms)};
}

std::string identity_text(const client_request& request)
{
    return absl::StrCat(quoted_json(request.pipeline.get()),
                        " ",
                        request.issued_at.since_origin(),
                        " ",
                        request.idempotent ? "idempotent" : "once",
                        " ",
                        request.input);
}

request_size size_of(const client_request& request)
{
    return {byte_count(static_cast<std::int64_t>(request.input.size())),
            request.max_tokens};
}

std::string to_string(const request_key& key)
{
    return absl::StrCat(key.organisation.get(), "/", key.id.get());
}

} // namespace medlar
