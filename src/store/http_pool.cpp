#include <medlar/detail/client/body_reader.hpp>
#include <medlar/detail/client/http_session.hpp>
#include <medlar/detail/store/http_pool.hpp>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <exception>
#include <istream>
#include <optional>
#include <ostream>
#include <utility>

namespace medlar
{

namespace
{

constexpr std::size_t max_answer_bytes = std::size_t{64} * 1024 * 1024;

/// @brief Returns whether the peer has closed an idle connection or sent unexpected
/// bytes.
bool is_stale(http_session& idle)
{
    try
    {
        return idle.socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    }
    catch (const std::exception&)
    {
        return true;
    }
}

void send(http_session& session, const endpoint& where, const http_call& request)
{
    Poco::Net::HTTPRequest message(
        request.method, request.target, Poco::Net::HTTPMessage::HTTP_1_1);
    message.setHost(where.address, where.port);
    message.setKeepAlive(true);
    message.setContentLength(static_cast<std::streamsize>(request.body.size()));
    std::ostream& out = session.sendRequest(message);
    out << request.body << std::flush;
}

absl::StatusOr<http_answer> receive(http_session& session)
{
    Poco::Net::HTTPResponse response;
    std::istream& in = session.receiveResponse(response);
    http_answer answer;
    answer.status = status_of(response);
    const std::string index = response.get("X-Consul-Index", "0");
    if (!absl::SimpleAtoi(index, &answer.index))
    {
        answer.index = 0;
    }
    std::optional<std::string> body = read_body(in, max_answer_bytes);
    if (!body)
    {
        return absl::DataLossError("the answer is too large");
    }
    answer.body = std::move(*body);
    answer.keeps_connection = response.getKeepAlive();
    return answer;
}

absl::StatusOr<http_answer>
send_and_receive(http_session& session, const endpoint& where, const http_call& request)
{
    try
    {
        session.set_timeout(request.timeout);
        send(session, where, request);
        return receive(session);
    }
    catch (const Poco::Exception& failure)
    {
        return absl::UnknownError(failure.displayText());
    }
    catch (const std::exception& failure)
    {
        return absl::UnknownError(failure.what());
    }
}

} // namespace

http_pool::http_pool(endpoint where) : where_(std::move(where))
{
}

const endpoint& http_pool::where() const
{
    return where_;
}

absl::StatusOr<http_answer> http_pool::call(const http_call& request)
{
    absl::StatusOr<std::unique_ptr<http_session>> acquired =
        acquire_connection(request.timeout);
    if (!acquired.ok())
    {
        return acquired.status();
    }
    std::unique_ptr<http_session> connection = std::move(*acquired);
    if (!mark_active(connection.get()))
    {
        return absl::UnavailableError("the client is closed");
    }
    absl::StatusOr<http_answer> answer = send_and_receive(*connection, where_, request);
    mark_inactive(connection.get());
    if (answer.ok() && answer->keeps_connection)
    {
        push_idle(std::move(connection));
    }
    return answer;
}

void http_pool::close()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    closed_ = true;
    idle_.clear();
    for (http_session* each : active_)
    {
        try
        {
            each->socket().shutdown();
        }
        catch (const std::exception&)
        {
            // The peer has already closed the connection.
            continue;
        }
    }
}

absl::StatusOr<std::unique_ptr<http_session>>
http_pool::acquire_connection(millis timeout)
{
    std::unique_ptr<http_session> idle = pop_idle();
    while (idle && is_stale(*idle))
    {
        idle = pop_idle();
    }
    if (idle)
    {
        return idle;
    }
    return connect(timeout);
}

absl::StatusOr<std::unique_ptr<http_session>> http_pool::connect(millis timeout)
{
    try
    {
        return http_session::open(where_, timeout);
    }
    catch (const Poco::Exception& failure)
    {
        return absl::UnavailableError(
            absl::StrCat(to_string(where_), ": ", failure.displayText()));
    }
}

std::unique_ptr<http_session> http_pool::pop_idle()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (idle_.empty())
    {
        return nullptr;
    }
    std::unique_ptr<http_session> idle = std::move(idle_.front());
    idle_.pop_front();
    return idle;
}

void http_pool::push_idle(std::unique_ptr<http_session> connection)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!closed_)
    {
        idle_.push_front(std::move(connection));
    }
}

bool http_pool::mark_active(http_session* connection)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!closed_)
    {
        active_.insert(connection);
    }
    return !closed_;
}

void http_pool::mark_inactive(http_session* connection)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    active_.erase(connection);
}

} // namespace medlar
