#include <medlar/detail/dispatch/explain_question.hpp>
#include <medlar/detail/http/head_parser.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <variant>

namespace medlar
{

namespace
{

constexpr std::size_t max_head_bytes = 16384;
constexpr std::size_t max_tried = 64;
constexpr std::size_t key_digits = 16;

constexpr std::array<const char*, 6> field_names{
    "method", "path", "headers", "body", "request", "tried"};

absl::Status invalid(absl::string_view field, absl::string_view why)
{
    return absl::InvalidArgumentError(absl::StrCat(field, ": ", why));
}

/// @return an object, or an error
absl::StatusOr<nlohmann::json> parse_object(absl::string_view text)
{
    if (text.size() > max_question_bytes)
    {
        return invalid("question",
                       absl::StrCat("has more than ", max_question_bytes, " bytes"));
    }
    nlohmann::json read = nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
    if (!read.is_object())
    {
        return invalid("question", "is not a JSON object");
    }
    for (const auto& each : read.items())
    {
        if (std::find(field_names.begin(), field_names.end(), each.key()) ==
            field_names.end())
        {
            return invalid(each.key().substr(0, key_digits), "is not a known field");
        }
    }
    return read;
}

bool is_line(absl::string_view text)
{
    return text.find_first_of(absl::string_view("\r\n\0", 3)) == absl::string_view::npos;
}

/// @return an error if the field is no string, or has a line break
absl::StatusOr<std::string> read_line(const nlohmann::json& from, const char* name)
{
    const auto found = from.find(name);
    if (found == from.end())
    {
        return invalid(name, "is missing");
    }
    if (!found->is_string())
    {
        return invalid(name, "is not a string");
    }
    auto text = found->get<std::string>();
    if (text.empty() || !is_line(text))
    {
        return invalid(name, "is empty, or not one line");
    }
    return text;
}

/// a header may be given several times, by an array of its values
absl::Status
add_header(const std::string& name, const nlohmann::json& value, std::string& head)
{
    const std::string field = absl::StrCat("headers.", name.substr(0, 64));
    if (!value.is_string())
    {
        return invalid(field, "is not a string, or an array of them");
    }
    const auto& text = value.get_ref<const std::string&>();
    if (!is_line(name) || !is_line(text))
    {
        return invalid(field, "is not one line");
    }
    absl::StrAppend(&head, name, ": ", text, "\r\n");
    return absl::OkStatus();
}

absl::StatusOr<std::string> read_headers(const nlohmann::json& from)
{
    std::string head;
    const auto found = from.find("headers");
    if (found == from.end())
    {
        return head;
    }
    if (!found->is_object())
    {
        return invalid("headers", "is not an object");
    }
    for (const auto& each : found->items())
    {
        const nlohmann::json& value = each.value();
        const nlohmann::json values =
            value.is_array() ? value : nlohmann::json::array({value});
        for (const nlohmann::json& one : values)
        {
            const absl::Status added = add_header(each.key(), one, head);
            if (!added.ok())
            {
                return added;
            }
        }
    }
    return head;
}

/// reads the head as that of a caller's request is read
absl::StatusOr<request_head> read_head(const nlohmann::json& from)
{
    const absl::StatusOr<std::string> method = read_line(from, "method");
    if (!method.ok())
    {
        return method.status();
    }
    const absl::StatusOr<std::string> path = read_line(from, "path");
    if (!path.ok())
    {
        return path.status();
    }
    const absl::StatusOr<std::string> headers = read_headers(from);
    if (!headers.ok())
    {
        return headers.status();
    }
    const auto parse = [&](absl::string_view fields)
    {
        return parse_request_head(
            absl::StrCat(*method, " ", *path, " HTTP/1.1\r\n", fields, "\r\n"),
            max_head_bytes);
    };
    const head_result<request_head> read = parse(*headers);
    if (const auto* const parsed = std::get_if<parsed_head<request_head>>(&read))
    {
        return parsed->head;
    }
    const auto* const error = std::get_if<head_error>(&read);
    const bool is_first_line =
        !std::holds_alternative<parsed_head<request_head>>(parse("Host: h\r\n"));
    return invalid(is_first_line ? "method, path" : "headers",
                   error == nullptr ? "no complete head" : error->message);
}

absl::Status read_key(const nlohmann::json& from, explain_question& to)
{
    const auto found = from.find("request");
    if (found == from.end())
    {
        return absl::OkStatus();
    }
    std::uint64_t value = 0;
    const bool is_key = found->is_string() &&
                        found->get_ref<const std::string&>().size() == key_digits &&
                        absl::SimpleHexAtoi(found->get_ref<const std::string&>(), &value);
    if (!is_key)
    {
        return invalid("request", "is not a string of 16 hexadecimal digits");
    }
    if (from.contains("body"))
    {
        return invalid("request", "is given beside a body");
    }
    to.key = request_key(value);
    return absl::OkStatus();
}

absl::Status read_tried(const nlohmann::json& from, explain_question& to)
{
    const auto found = from.find("tried");
    if (found == from.end())
    {
        return absl::OkStatus();
    }
    const bool is_list = found->is_array() && found->size() <= max_tried &&
                         std::all_of(found->begin(),
                                     found->end(),
                                     [](const nlohmann::json& each)
                                     {
                                         return each.is_string();
                                     });
    if (!is_list)
    {
        return invalid("tried",
                       absl::StrCat("is not an array of up to ", max_tried, " strings"));
    }
    for (const nlohmann::json& each : *found)
    {
        to.tried.emplace_back(each.get<std::string>());
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<explain_question> read_explain_question(absl::string_view text)
{
    const absl::StatusOr<nlohmann::json> read = parse_object(text);
    if (!read.ok())
    {
        return read.status();
    }
    absl::StatusOr<request_head> head = read_head(*read);
    if (!head.ok())
    {
        return head.status();
    }
    explain_question question;
    question.head = *std::move(head);
    const auto body = read->find("body");
    if (body != read->end() && !body->is_string())
    {
        return invalid("body", "is not a string");
    }
    question.body = body == read->end() ? "" : body->get<std::string>();
    for (const auto read_field : {read_key, read_tried})
    {
        const absl::Status status = read_field(*read, question);
        if (!status.ok())
        {
            return status;
        }
    }
    return question;
}

} // namespace medlar
