#include <medlar/detail/base/error.hpp>
#include <medlar/detail/client/body_reader.hpp>
#include <medlar/detail/client/http_session.hpp>
#include <medlar/detail/replay/executions.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <memory>

namespace medlar
{

namespace
{

constexpr millis connect_timeout{30000};
constexpr millis answer_timeout{60000};

absl::StatusOr<std::string> get_executions(const endpoint& from)
{
    try
    {
        const std::unique_ptr<http_session> session =
            http_session::open(from, connect_timeout);
        session->set_timeout(answer_timeout);
        Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_GET,
                                       "/test/executions",
                                       Poco::Net::HTTPMessage::HTTP_1_1);
        request.setHost(to_string(from));
        request.setKeepAlive(false);
        session->sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::istream& in = session->receiveResponse(response);
        return *read_body(in, std::string::npos);
    }
    catch (const Poco::Exception& error)
    {
        return make_error(absl::StatusCode::kUnavailable,
                          error_number::link_unreachable,
                          absl::StrCat(to_string(from), ": ", error.displayText()));
    }
}

bool add_counts(const std::string& text, execution_counts& total)
{
    const nlohmann::json answer = nlohmann::json::parse(text, nullptr, false);
    if (!answer.is_object() || !answer.contains("executions") ||
        !answer["executions"].is_object())
    {
        return false;
    }
    for (const auto& [call_id, times] : answer["executions"].items())
    {
        if (!times.is_number_integer())
        {
            return false;
        }
        total[call_id] += times.get<std::int64_t>();
    }
    return true;
}

} // namespace

absl::StatusOr<execution_counts> fetch_executions(const std::vector<endpoint>& targets)
{
    execution_counts total;
    for (const endpoint& each : targets)
    {
        const absl::StatusOr<std::string> text = get_executions(each);
        if (!text.ok())
        {
            return text.status();
        }
        if (!add_counts(*text, total))
        {
            return make_error(absl::StatusCode::kInternal,
                              error_number::link_malformed,
                              absl::StrCat(to_string(each), " gave no executions"));
        }
    }
    return total;
}

} // namespace medlar
