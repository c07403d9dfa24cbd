#include <medlar/detail/http/status.hpp>
#include <medlar/detail/loop/caller_connection.hpp>

#include <Poco/Net/HTTPResponse.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace medlar
{

namespace
{

// buffered bytes of pipelined requests above which reading pauses while a request runs
constexpr std::size_t max_pipelined_bytes = 65536;

std::string reason_phrase(int status)
{
    return Poco::Net::HTTPResponse::getReasonForStatus(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
}

} // namespace

caller_connection::caller_connection(http_server& server,
                                     std::shared_ptr<connection> stream)
    : server_(server), stream_(std::move(stream))
{
}

void caller_connection::start()
{
    stream_->set_handler(this);
    arm_timer(server_.limits_.idle_timeout);
}

void caller_connection::arm_timer(millis delay)
{
    server_.loop_.cancel(timer_);
    const std::weak_ptr<caller_connection> weak = weak_from_this();
    timer_ = server_.loop_.after(delay,
                                 [weak]
                                 {
                                     if (const auto self = weak.lock())
                                     {
                                         self->on_timeout();
                                     }
                                 });
}

void caller_connection::on_timeout()
{
    if (exchange_)
    {
        return;
    }
    if (stream_->unsent() > 0 && !head_begun_)
    {
        // the caller has not read the last answer yet; TCP gives up one that is gone
        arm_timer(server_.limits_.idle_timeout);
        return;
    }
    if (head_begun_)
    {
        reject(status_timeout, "the request did not arrive in time");
        return;
    }
    detach();
    stream_->close();
}

void caller_connection::on_input()
{
    const std::shared_ptr<caller_connection> self = shared_from_this();
    if (exchange_)
    {
        stream_->set_input_paused(stream_->input().size() > max_pipelined_bytes);
        return;
    }
    parse();
}

void caller_connection::parse()
{
    if (!incoming_ && !parse_head())
    {
        return;
    }
    if (parse_body())
    {
        deliver_request();
    }
}

bool caller_connection::parse_head()
{
    if (stream_->input().empty())
    {
        return false;
    }
    if (!head_begun_)
    {
        head_begun_ = true;
        arm_timer(server_.limits_.head_timeout);
    }
    head_result<request_head> result =
        parse_request_head(stream_->input(), server_.limits_.max_head_bytes);
    if (const auto* error = std::get_if<head_error>(&result))
    {
        reject(error->status, error->message);
        return false;
    }
    auto* parsed = std::get_if<parsed_head<request_head>>(&result);
    if (parsed == nullptr)
    {
        return false;
    }
    stream_->consume(parsed->consumed);
    const body_framing framing = parsed->head.framing;
    if (framing.kind == body_kind::length &&
        framing.length > server_.limits_.max_body_bytes)
    {
        reject(status_too_large, "the body is too large");
        return false;
    }
    keep_alive_ = parsed->head.keeps_connection();
    incoming_ = std::make_shared<caller_exchange>();
    incoming_->head_ = std::move(parsed->head);
    decoder_ = body_decoder(framing);
    if (absl::EqualsIgnoreCase(incoming_->head_.headers.get("expect"), "100-continue"))
    {
        stream_->send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return true;
}

bool caller_connection::parse_body()
{
    const std::size_t used = decoder_.decode(stream_->input(), incoming_->body_);
    stream_->consume(used);
    if (decoder_.failed())
    {
        reject(400, "the chunks of the body are not valid");
        return false;
    }
    if (incoming_->body_.size() > server_.limits_.max_body_bytes)
    {
        reject(status_too_large, "the body is too large");
        return false;
    }
    if (!decoder_.done())
    {
        arm_timer(server_.limits_.idle_timeout);
    }
    return decoder_.done();
}

void caller_connection::deliver_request()
{
    server_.loop_.cancel(timer_);
    exchange_ = std::move(incoming_);
    incoming_ = nullptr;
    exchange_->connection_ = this;
    exchange_->arrived_ = server_.loop_.now();
    server_.on_request_(exchange_);
}

void caller_connection::reject(int status, const std::string& message)
{
    if (server_.on_rejected_)
    {
        server_.on_rejected_(status, message);
    }
    const std::shared_ptr<caller_connection> self = shared_from_this();
    stream_->send(absl::StrCat("HTTP/1.1 ",
                               status,
                               " ",
                               reason_phrase(status),
                               "\r\nConnection: close\r\nContent-Type: text/plain\r\n"
                               "Content-Length: ",
                               message.size() + 1,
                               "\r\n\r\n",
                               message,
                               "\n"));
    close_after_answer();
}

void caller_connection::finish_exchange()
{
    const std::shared_ptr<caller_connection> self = shared_from_this();
    exchange_->connection_ = nullptr;
    exchange_ = nullptr;
    head_begun_ = false;
    if (!keep_alive_ || server_.draining_)
    {
        close_after_answer();
        return;
    }
    stream_->set_input_paused(false);
    arm_timer(server_.limits_.idle_timeout);
    if (!stream_->input().empty())
    {
        // deferred to the event loop: pipelined requests would otherwise recurse
        const std::weak_ptr<caller_connection> weak = weak_from_this();
        server_.loop_.after(millis(0),
                            [weak]
                            {
                                const auto alive = weak.lock();
                                if (alive && !alive->exchange_ &&
                                    alive->stream_->is_open())
                                {
                                    alive->parse();
                                }
                            });
    }
}

void caller_connection::close_after_answer()
{
    const std::shared_ptr<caller_connection> self = shared_from_this();
    detach();
    server_.add_closing(stream_);
    stream_->close_after_output();
}

void caller_connection::close_if_idle()
{
    if (exchange_ || incoming_ || head_begun_)
    {
        return;
    }
    if (stream_->unsent() > 0)
    {
        close_after_answer();
        return;
    }
    detach();
    stream_->close();
}

void caller_connection::close()
{
    const std::shared_ptr<caller_exchange> exchange = exchange_;
    detach();
    if (exchange && exchange->ends_with_connection_)
    {
        // a regular end would make the part look whole
        stream_->reset();
    }
    stream_->close();
    if (exchange)
    {
        exchange->connection_ = nullptr;
    }
}

void caller_connection::on_drained()
{
    if (exchange_ && exchange_->on_drained_)
    {
        const std::shared_ptr<caller_connection> self = shared_from_this();
        const std::function<void()> action = exchange_->on_drained_;
        action();
    }
}

void caller_connection::on_end(connection_end)
{
    const std::shared_ptr<caller_connection> self = shared_from_this();
    const std::shared_ptr<caller_exchange> exchange = exchange_;
    detach();
    if (exchange)
    {
        exchange->connection_ = nullptr;
        if (const std::function<void()> action = std::move(exchange->on_disconnect_))
        {
            action();
        }
    }
}

void caller_connection::detach()
{
    server_.loop_.cancel(timer_);
    stream_->set_handler(nullptr);
    exchange_ = nullptr;
    incoming_ = nullptr;
    server_.remove(shared_from_this());
}

void caller_exchange::begin(int status,
                            absl::string_view phrase,
                            const header_list& headers,
                            body_framing framing)
{
    if (connection_ == nullptr || head_sent_)
    {
        return;
    }
    head_sent_ = true;
    // HTTP/1.0 has no chunked encoding; the end of the connection ends the body
    chunked_ = framing.kind == body_kind::chunked && head_.minor_version >= 1;
    const bool by_close = framing.kind == body_kind::chunked && !chunked_;
    const bool closes =
        !connection_->keep_alive_ || connection_->server_.is_draining() || by_close;
    connection_->keep_alive_ = !closes;
    ends_with_connection_ = by_close || framing.kind == body_kind::until_close;
    std::string out =
        absl::StrCat("HTTP/1.1 ",
                     status,
                     " ",
                     phrase.empty() ? reason_phrase(status) : std::string(phrase),
                     "\r\n");
    if (closes)
    {
        out += "Connection: close\r\n";
    }
    if (chunked_)
    {
        out += "Transfer-Encoding: chunked\r\n";
    }
    else if (!by_close && framing.kind != body_kind::until_close)
    {
        absl::StrAppend(&out, "Content-Length: ", framing.length, "\r\n");
    }
    remaining_length_ = framing.length;
    write_headers(out, headers);
    connection_->stream_->send(out);
}

void caller_exchange::write(absl::string_view data)
{
    if (connection_ == nullptr)
    {
        return;
    }
    if (!chunked_)
    {
        connection_->stream_->send(data);
        return;
    }
    std::string out;
    append_chunk(out, data);
    connection_->stream_->send(out);
}

void caller_exchange::finish()
{
    if (connection_ == nullptr)
    {
        return;
    }
    if (chunked_)
    {
        connection_->stream_->send(last_chunk);
    }
    connection_->finish_exchange();
}

void caller_exchange::abort()
{
    if (connection_ != nullptr)
    {
        const std::shared_ptr<caller_connection> self = connection_->shared_from_this();
        self->close();
    }
}

void caller_exchange::answer(int status,
                             const header_list& headers,
                             absl::string_view body)
{
    begin(status, {}, headers, {body_kind::length, body.size()});
    if (head_.method != "HEAD")
    {
        write(body);
    }
    finish();
}

bool caller_exchange::is_congested() const
{
    // 256 KiB take some tenths of a second on the slowest network paths
    constexpr std::size_t congested_bytes = 262144;
    return connection_ != nullptr && connection_->stream_->unsent() > congested_bytes;
}

} // namespace medlar
