#include <medlar/detail/request/json_fields.hpp>
#include <medlar/detail/request/json_text.hpp>
#include <medlar/detail/request/stage_message.hpp>

#include <absl/strings/str_cat.h>

namespace medlar
{

namespace
{

using nlohmann::json;

bool matches_request(const json& answer, absl::string_view request_id)
{
    return string_field(answer, "request_id") == request_id;
}

bad_reply malformed(std::string message)
{
    return {reason::target_answer_malformed, std::move(message)};
}

bad_reply mismatched()
{
    return {reason::target_answer_mismatched, "the answer is for another request"};
}

} // namespace

absl::string_view stage_kind_name(stage_kind kind)
{
    switch (kind)
    {
        case stage_kind::encode:
            return "encode";
        case stage_kind::retrieve:
            return "retrieve";
        case stage_kind::rerank:
            return "rerank";
        case stage_kind::generate:
            return "generate";
        case stage_kind::call:
            return "call";
    }
    return "call";
}

std::string write_stage_message(const stage_message& message)
{
    std::string text = absl::StrCat("{\"request_id\":",
                                    quoted_json(message.request_id),
                                    ",\"call_id\":",
                                    quoted_json(message.call_id),
                                    ",\"attempt\":",
                                    message.attempt,
                                    ",\"kind\":\"",
                                    stage_kind_name(message.kind),
                                    "\"");
    if (!message.model.get().empty())
    {
        absl::StrAppend(&text, ",\"model\":", quoted_json(message.model.get()));
    }
    if (message.kind == stage_kind::generate && message.max_tokens.get() > 0)
    {
        absl::StrAppend(&text, ",\"max_tokens\":", message.max_tokens.get());
    }
    if (message.kind == stage_kind::generate && !message.prompt_prefix.empty())
    {
        absl::StrAppend(&text, ",\"prompt_prefix\":", quoted_json(message.prompt_prefix));
    }
    if (message.resume_from > 0)
    {
        absl::StrAppend(&text, ",\"resume_from\":", message.resume_from);
    }
    absl::StrAppend(&text,
                    ",\"priority\":",
                    message.priority,
                    ",\"deadline_ms\":",
                    message.deadline_remaining.count(),
                    ",\"input\":",
                    message.input,
                    "}");
    return text;
}

std::variant<stage_output, bad_reply> check_reply(absl::string_view body,
                                                  absl::string_view request_id)
{
    const json answer = parse_json(body);
    if (!answer.is_object())
    {
        return malformed("the answer is not a whole JSON object");
    }
    if (!matches_request(answer, request_id))
    {
        return mismatched();
    }
    const auto output = answer.find("output");
    if (output == answer.end())
    {
        return malformed("the answer has no 'output'");
    }
    return stage_output{output->dump()};
}

std::variant<stream_token, stream_end, bad_reply> check_stream_line(
    absl::string_view line, absl::string_view request_id, std::int64_t next_index)
{
    const json answer = parse_json(line);
    if (!answer.is_object())
    {
        return malformed("a line of the stream is not a whole JSON object");
    }
    if (!matches_request(answer, request_id))
    {
        return mismatched();
    }
    if (bool_field(answer, "done"))
    {
        const stream_end end{integer_field(answer, "tokens", -1),
                             integer_field(answer, "prompt_tokens", 0),
                             integer_field(answer, "cached_tokens", 0)};
        if (end.tokens != next_index)
        {
            return malformed("the stream has not as many tokens as it says");
        }
        return end;
    }
    const auto text = answer.find("text");
    if (text == answer.end() || !text->is_string() ||
        integer_field(answer, "index", -1) != next_index)
    {
        return malformed("a line of the stream is not the next token");
    }
    return stream_token{next_index, text->get<std::string>()};
}

target_refusal read_target_refusal(absl::string_view body)
{
    const json answer = parse_json(body);
    if (!answer.is_object())
    {
        return {};
    }
    target_refusal refusal;
    refusal.not_run = bool_field(answer, "not_run");
    refusal.leaving = refusal.not_run && bool_field(answer, "leaving");
    const std::int64_t retry_after_ms = integer_field(answer, "retry_after_ms", -1);
    if (retry_after_ms >= 0)
    {
        refusal.retry_after = millis(retry_after_ms);
    }
    return refusal;
}

} // namespace medlar
