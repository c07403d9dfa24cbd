#include <medlar/detail/store/http_pool.hpp>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <array>
#include <exception>
#include <istream>
#include <ostream>

namespace medlar
{

namespace
{

constexpr std::size_t max_answer_bytes = std::size_t{64} * 1024 * 1024;
constexpr std::size_t chunk_bytes = std::size_t{16} * 1024;
constexpr std::int64_t us_per_ms = 1000;

Poco::Timespan timespan_of(millis span)
{
    return {span.count() * us_per_ms};
}

/// @brief whether the peer has closed an idle connection, or sent what nobody asked for
bool is_stale(Poco::Net::HTTPClientSession& idle)
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

void send(Poco::Net::HTTPClientSession& session,
          const endpoint& where,
          const http_call& what)
{
    Poco::Net::HTTPRequest request(
        what.method, what.target, Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost(where.address, where.port);
    request.setKeepAlive(true);
    request.setContentLength(static_cast<std::streamsize>(what.body.size()));
    std::ostream& out = session.sendRequest(request);
    out << what.body << std::flush;
}

absl::StatusOr<http_answer> receive(Poco::Net::HTTPClientSession& session)
{
    Poco::Net::HTTPResponse response;
    std::istream& in = session.receiveResponse(response);
    http_answer answer;
    answer.status = response.getStatus();
    const std::string index = response.get("X-Consul-Index", "0");
    if (!absl::SimpleAtoi(index, &answer.index))
    {
        answer.index = 0;
    }
    std::array<char, chunk_bytes> chunk{};
    while (in.read(chunk.data(), chunk.size()) || in.gcount() > 0)
    {
        answer.body.append(chunk.data(), static_cast<std::size_t>(in.gcount()));
        if (answer.body.size() > max_answer_bytes)
        {
            return absl::DataLossError("the answer is too large");
        }
    }
    const bool truncated =
        response.hasContentLength() &&
        answer.body.size() < static_cast<std::size_t>(response.getContentLength());
    if (truncated)
    {
        return absl::UnknownError("the connection ended within the answer");
    }
    return answer;
}

absl::StatusOr<http_answer> send_and_receive(Poco::Net::HTTPClientSession& session,
                                             const endpoint& where,
                                             const http_call& what)
{
    try
    {
        session.socket().setSendTimeout(timespan_of(what.timeout));
        session.socket().setReceiveTimeout(timespan_of(what.timeout));
        send(session, where, what);
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

absl::StatusOr<http_answer> http_pool::call(const http_call& what)
{
    absl::StatusOr<std::unique_ptr<session>> taken = take(what.timeout);
    if (!taken.ok())
    {
        return taken.status();
    }
    std::unique_ptr<session> used = std::move(*taken);
    if (!begin(used.get()))
    {
        return absl::UnavailableError("the client is closed");
    }
    absl::StatusOr<http_answer> answer = send_and_receive(*used, where_, what);
    end(used.get());
    if (answer.ok() && used->getKeepAlive())
    {
        give_back(std::move(used));
    }
    return answer;
}

void http_pool::close()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    closed_ = true;
    idle_.clear();
    for (session* each : active_)
    {
        try
        {
            each->socket().shutdown();
        }
        catch (const std::exception&)
        {
            // The peer has closed it already.
            continue;
        }
    }
}

absl::StatusOr<std::unique_ptr<http_pool::session>> http_pool::take(millis timeout)
{
    std::unique_ptr<session> idle = take_idle();
    while (idle && is_stale(*idle))
    {
        idle = take_idle();
    }
    if (idle)
    {
        return idle;
    }
    return connect(timeout);
}

absl::StatusOr<std::unique_ptr<http_pool::session>> http_pool::connect(millis timeout)
{
    try
    {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(where_.address, where_.port),
                       timespan_of(timeout));
        socket.setNoDelay(true);
        auto connected = std::make_unique<session>(socket);
        connected->setKeepAlive(true);
        return connected;
    }
    catch (const Poco::Exception& failure)
    {
        return absl::UnavailableError(
            absl::StrCat(to_string(where_), ": ", failure.displayText()));
    }
}

std::unique_ptr<http_pool::session> http_pool::take_idle()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (idle_.empty())
    {
        return nullptr;
    }
    std::unique_ptr<session> idle = std::move(idle_.front());
    idle_.pop_front();
    return idle;
}

void http_pool::give_back(std::unique_ptr<session> used)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!closed_)
    {
        idle_.push_front(std::move(used));
    }
}

bool http_pool::begin(session* started)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!closed_)
    {
        active_.insert(started);
    }
    return !closed_;
}

void http_pool::end(session* ended)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    active_.erase(ended);
}

} // namespace medlar
