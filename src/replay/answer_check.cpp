#include <medlar/detail/replay/answer_check.hpp>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

namespace medlar
{

namespace
{

using json = nlohmann::json;

std::string text_in(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

std::int64_t number_in(const json& object, const char* name, std::int64_t fallback)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_integer()
               ? found->get<std::int64_t>()
               : fallback;
}

traced_call read_call(const json& entry)
{
    traced_call call;
    call.stage = text_in(entry, "stage");
    call.target = text_in(entry, "target");
    call.attempt = static_cast<int>(number_in(entry, "attempt", 1));
    call.result = text_in(entry, "result");
    call.elapsed = millis(number_in(entry, "elapsed_ms", 0));
    if (entry.contains("first_token_ms"))
    {
        call.first_token = millis(number_in(entry, "first_token_ms", 0));
    }
    call.tokens = number_in(entry, "tokens", 0);
    call.prompt_tokens = number_in(entry, "prompt_tokens", 0);
    call.cached_tokens = number_in(entry, "cached_tokens", 0);
    return call;
}

/// @brief Returns the fault in the output of a stage, or an empty string.
std::string
output_fault(const trace_request& request, const std::string& stage, const json& output)
{
    if (!output.is_object())
    {
        return absl::StrCat("the output of ", stage, " is not an object");
    }
    const std::string call_id = text_in(output, "call_id");
    const std::string expected_call_id =
        absl::StrCat(request.organisation.get(), "/", request.id.get(), "/", stage);
    if (!call_id.empty() && call_id != expected_call_id)
    {
        return absl::StrCat("the output of ", stage, " is for ", call_id);
    }
    const std::int64_t tokens = number_in(output, "tokens", -1);
    const std::int64_t token_limit = request.max_tokens.get();
    if (tokens >= 0 && token_limit > 0 && tokens > token_limit)
    {
        return absl::StrCat(stage, " wrote more tokens than asked for");
    }
    if (tokens >= 0)
    {
        const std::vector<std::string> words =
            absl::StrSplit(text_in(output, "text"), ' ', absl::SkipEmpty());
        const bool complete = static_cast<std::int64_t>(words.size()) == tokens;
        return complete ? "" : absl::StrCat("the text of ", stage, " is not complete");
    }
    return "";
}

std::string answer_fault(const trace_request& request, const json& answer)
{
    if (text_in(answer, "id") != request.id.get())
    {
        return "the answer is for another request";
    }
    const json output = answer.value("output", json());
    if (!output.is_object() || output.empty())
    {
        return "the answer has no output";
    }
    for (const auto& [stage, each] : output.items())
    {
        std::string fault = output_fault(request, stage, each);
        if (!fault.empty())
        {
            return fault;
        }
    }
    return "";
}

} // namespace

std::optional<checked_answer> check_answer(const trace_request& request,
                                           absl::string_view text)
{
    const json answer = json::parse(text.begin(), text.end(), nullptr, false);
    if (!answer.is_object())
    {
        return std::nullopt;
    }
    const std::optional<outcome_kind> kind = outcome_kind_of(text_in(answer, "outcome"));
    if (!kind)
    {
        return std::nullopt;
    }
    checked_answer checked;
    checked.kind = *kind;
    checked.reason = text_in(answer, "reason");
    for (const json& entry : answer.value("trace", json::array()))
    {
        checked.calls.push_back(read_call(entry));
    }
    if (*kind == outcome_kind::answered)
    {
        checked.fault = answer_fault(request, answer);
    }
    return checked;
}

std::optional<checked_answer> check_stream(const trace_request& request,
                                           absl::string_view text)
{
    const std::vector<std::string> lines = absl::StrSplit(text, '\n', absl::SkipEmpty());
    if (lines.empty())
    {
        return std::nullopt;
    }
    std::optional<checked_answer> checked = check_answer(request, lines.back());
    if (!checked || checked->kind != outcome_kind::answered || !checked->fault.empty())
    {
        return checked;
    }
    for (std::size_t i = 0; i + 1 < lines.size(); ++i)
    {
        const json token = json::parse(lines[i], nullptr, false);
        const bool in_order = token.is_object() && number_in(token, "index", -1) ==
                                                       static_cast<std::int64_t>(i);
        if (!in_order)
        {
            checked->fault = "a token of the stream is missing or out of order";
            return checked;
        }
    }
    return checked;
}

} // namespace medlar
