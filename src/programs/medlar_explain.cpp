#include <medlar/detail/client/body_reader.hpp>
#include <medlar/detail/client/http_session.hpp>
#include <medlar/detail/dispatch/explain_question.hpp>
#include <medlar/detail/dispatch/request_explanation.hpp>
#include <medlar/detail/http/status.hpp>
#include <medlar/detail/settings/settings.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

DEFINE_string(host, "", "address for metrics of the entry host that is asked");
DEFINE_string(method, "GET", "method of the request");
DEFINE_string(path, "", "path and query of the request");
DEFINE_string(headers, "", "file with the headers of the request, as NAME: VALUE lines");
DEFINE_string(body, "", "file with the body of the request");
DEFINE_string(request, "", "hash of the request as logged, if its body is not given");
DEFINE_string(tried, "", "targets to leave out, as in a retry: ID,ID");
DEFINE_string(output, "text", "format of the answer: text or json");
DEFINE_int32(timeout_ms, 5000, "timeout of the call to the host");

namespace
{

using medlar::millis;

constexpr int exit_done = 0;
constexpr int exit_bad_usage = 1;
constexpr int exit_invalid_question = 2;
constexpr int exit_unreachable = 5;

// an answer of the largest size is far smaller
constexpr std::size_t max_answer_bytes = 4194304;

int fail(absl::string_view why, int code)
{
    std::cerr << "error: " << why << '\n';
    return code;
}

absl::StatusOr<std::string> read_file(const std::string& name)
{
    std::ifstream file(name, std::ios::binary);
    if (!file)
    {
        return absl::NotFoundError(absl::StrCat("cannot read ", name));
    }
    return std::string((std::istreambuf_iterator<char>(file)),
                       std::istreambuf_iterator<char>());
}

/// reads NAME: VALUE lines; a request line before them is left out
absl::StatusOr<nlohmann::json> read_headers(const std::string& text)
{
    nlohmann::json headers = nlohmann::json::object();
    int number = 0;
    for (absl::string_view line : absl::StrSplit(text, '\n'))
    {
        ++number;
        line = absl::StripSuffix(line, "\r");
        const bool is_request_line = number == 1 && absl::EndsWith(line, " HTTP/1.1");
        if (line.empty() || is_request_line)
        {
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon == absl::string_view::npos)
        {
            return absl::InvalidArgumentError(
                absl::StrCat("--headers: line ", number, " is not NAME: VALUE"));
        }
        headers[std::string(line.substr(0, colon))].push_back(
            std::string(absl::StripAsciiWhitespace(line.substr(colon + 1))));
    }
    return headers;
}

absl::StatusOr<std::string> make_question()
{
    nlohmann::json question{{"method", FLAGS_method}, {"path", FLAGS_path}};
    if (!FLAGS_headers.empty())
    {
        const absl::StatusOr<std::string> text = read_file(FLAGS_headers);
        const absl::StatusOr<nlohmann::json> headers =
            text.ok() ? read_headers(*text) : text.status();
        if (!headers.ok())
        {
            return headers.status();
        }
        question["headers"] = *headers;
    }
    if (!FLAGS_body.empty())
    {
        const absl::StatusOr<std::string> body = read_file(FLAGS_body);
        if (!body.ok())
        {
            return body.status();
        }
        question["body"] = *body;
    }
    if (!FLAGS_request.empty())
    {
        question["request"] = FLAGS_request;
    }
    if (!FLAGS_tried.empty())
    {
        question["tried"] = std::vector<std::string>(absl::StrSplit(FLAGS_tried, ','));
    }
    try
    {
        return question.dump();
    }
    catch (const nlohmann::json::exception&)
    {
        return absl::InvalidArgumentError("the question is not UTF-8; name the request "
                                          "by --request in place of a body");
    }
}

int print_answer(int status, const std::string& body)
{
    if (status != medlar::status_ok)
    {
        return fail(absl::StripSuffix(body, "\n"),
                    status == medlar::status_bad_request ? exit_invalid_question
                                                         : exit_unreachable);
    }
    if (FLAGS_output == "json")
    {
        std::cout << body;
        return exit_done;
    }
    std::cout << medlar::explanation_text(nlohmann::json::parse(body, nullptr, false));
    return exit_done;
}

int ask(const medlar::endpoint& host, const std::string& question)
{
    const millis timeout(FLAGS_timeout_ms);
    try
    {
        const auto session = medlar::http_session::open(host, timeout);
        session->set_timeout(timeout);
        Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_POST,
                                       medlar::explain_path,
                                       Poco::Net::HTTPMessage::HTTP_1_1);
        request.setHost(to_string(host));
        request.setContentLength(static_cast<std::streamsize>(question.size()));
        session->sendRequest(request) << question;
        Poco::Net::HTTPResponse response;
        const std::optional<std::string> body =
            medlar::read_body(session->receiveResponse(response), max_answer_bytes);
        return body ? print_answer(medlar::status_of(response), *body)
                    : fail("the answer is too long", exit_unreachable);
    }
    catch (const Poco::Exception& error)
    {
        return fail(
            absl::StrCat("no answer from ", to_string(host), ": ", error.displayText()),
            exit_unreachable);
    }
}

} // namespace

/// Asks an entry host where a request would go; described in docs/OPERATIONS.md. Exit
/// codes: 0 answered, 1 bad usage, 2 not a valid question, 5 no answer.
int main(int argc, char** argv)
{
    gflags::SetUsageMessage("medlar-explain --host ADDRESS:PORT --path PATH [--flags]");
    const absl::Status loaded = medlar::load_settings(&argc, &argv);
    if (!loaded.ok())
    {
        return fail(loaded.message(), exit_bad_usage);
    }
    const absl::StatusOr<medlar::endpoint> host = medlar::parse_endpoint(FLAGS_host);
    if (!host.ok())
    {
        return fail(absl::StrCat("--host: ", host.status().message()), exit_bad_usage);
    }
    if ((FLAGS_output != "text" && FLAGS_output != "json") || FLAGS_timeout_ms <= 0)
    {
        return fail("--output is neither text nor json, or --timeout_ms is not over 0",
                    exit_bad_usage);
    }
    const absl::StatusOr<std::string> question = make_question();
    if (!question.ok())
    {
        return fail(question.status().message(), exit_bad_usage);
    }
    return ask(*host, *question);
}
