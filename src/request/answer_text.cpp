#include <medlar/detail/request/answer_text.hpp>
#include <medlar/detail/request/json_fields.hpp>
#include <medlar/detail/request/json_text.hpp>

#include <absl/strings/str_cat.h>

namespace medlar
{

namespace
{

using nlohmann::json;

/// @brief Returns the HTTP status for a reason: a specific one, or that of its group.
int status_of_reason(reason why)
{
    switch (why)
    {
        case reason::unauthenticated:
            return 401;
        case reason::unknown_organisation:
            return 403;
        case reason::unknown_pipeline:
        case reason::not_found:
            return 404;
        case reason::id_reused:
            return 409;
        case reason::too_large:
            return 413;
        case reason::organisation_over_share:
            return 429;
        case reason::deadline_passed:
            return 504;
        default:
            break;
    }
    constexpr int first_load_reason = 200;
    constexpr int first_target_reason = 400;
    const int number = static_cast<int>(why);
    if (number < first_load_reason)
    {
        return 400;
    }
    return number < first_target_reason ? 503 : 502;
}

reason reason_of(std::int64_t number)
{
    return static_cast<reason>(static_cast<int>(number));
}

} // namespace

std::string write_trace(const host_id& ran_on, const std::vector<trace_entry>& calls)
{
    std::string entries;
    for (const trace_entry& each : calls)
    {
        std::string generate_fields;
        if (each.first_token)
        {
            generate_fields = absl::StrCat(",\"first_token_ms\":",
                                           each.first_token->count(),
                                           ",\"tokens\":",
                                           each.tokens.get(),
                                           ",\"cached_tokens\":",
                                           each.cached_tokens.get());
        }
        absl::StrAppend(&entries,
                        entries.empty() ? "" : ",",
                        "{\"stage\":",
                        quoted_json(each.stage),
                        ",\"target\":",
                        quoted_json(each.target_name.get()),
                        ",\"attempt\":",
                        each.attempt,
                        ",\"result\":",
                        quoted_json(each.result),
                        ",\"started_ms\":",
                        each.started_after.count(),
                        ",\"elapsed_ms\":",
                        each.elapsed.count(),
                        generate_fields,
                        "}");
    }
    return absl::StrCat(
        "{\"ran_on\":", quoted_json(ran_on.get()), ",\"trace\":[", entries, "]}");
}

std::string write_answer(const request_id& id, const final_answer& answer)
{
    const outcome& result = answer.result;
    std::string text = absl::StrCat("{\"id\":",
                                    quoted_json(id.get()),
                                    ",\"outcome\":\"",
                                    to_string(result.kind),
                                    "\"");
    if (!answer.output.empty())
    {
        absl::StrAppend(&text, ",\"output\":", answer.output);
    }
    if (result.kind != outcome_kind::answered)
    {
        absl::StrAppend(&text,
                        ",\"reason\":\"",
                        to_string(result.why),
                        "\",\"reason_number\":",
                        static_cast<int>(result.why),
                        ",\"message\":",
                        quoted_json(result.message));
    }
    if (result.retry_after)
    {
        absl::StrAppend(&text, ",\"retry_after_ms\":", result.retry_after->count());
    }
    if (!answer.trace.empty())
    {
        // append the members of the trace object to those of the answer
        absl::StrAppend(&text, ",", answer.trace.substr(1));
        return text;
    }
    return text + "}";
}

std::optional<final_answer> read_answer(absl::string_view text)
{
    const json parsed = parse_json(text);
    if (!parsed.is_object())
    {
        return std::nullopt;
    }
    const std::optional<outcome_kind> kind =
        outcome_kind_of(string_field(parsed, "outcome"));
    if (!kind || (*kind == outcome_kind::answered && !parsed.contains("output")))
    {
        return std::nullopt;
    }
    final_answer answer;
    answer.result.kind = *kind;
    answer.result.why = reason_of(integer_field(parsed, "reason_number", 0));
    answer.result.message = string_field(parsed, "message");
    if (parsed.contains("retry_after_ms"))
    {
        answer.result.retry_after = millis(integer_field(parsed, "retry_after_ms", 0));
    }
    answer.output = parsed.contains("output") ? parsed["output"].dump() : std::string();
    if (parsed.contains("ran_on") && parsed.contains("trace"))
    {
        answer.trace =
            json({{"ran_on", parsed["ran_on"]}, {"trace", parsed["trace"]}}).dump();
    }
    return answer;
}

std::string
write_token(absl::string_view stage, std::int64_t index, absl::string_view text)
{
    return absl::StrCat("{\"token\":",
                        quoted_json(text),
                        ",\"index\":",
                        index,
                        ",\"stage\":",
                        quoted_json(stage),
                        "}");
}

std::optional<relayed_token> read_token(absl::string_view line)
{
    const json parsed = parse_json(line);
    if (!parsed.is_object() || !parsed.contains("token"))
    {
        return std::nullopt;
    }
    return relayed_token{string_field(parsed, "stage"),
                         integer_field(parsed, "index", 0),
                         string_field(parsed, "token")};
}

int http_status_of(const outcome& result)
{
    if (result.kind == outcome_kind::answered)
    {
        return 200;
    }
    return status_of_reason(result.why);
}

} // namespace medlar
