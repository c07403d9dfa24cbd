#include <medlar/detail/http/status.hpp>
#include <medlar/detail/loop/caller_connection.hpp>

#include <Poco/Net/HTTPResponse.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace medlar
{

namespace
{

// buffered bytes of pipelined requests above which reading pauses while a request runs
constexpr std::size_t max_pipelined_bytes = 65536;

// A larger body of unknown size grows by a quarter at a time. The allocator maps blocks
// of this size separately, so that what a body has outgrown returns to the system.
constexpr std::size_t mapped_block_bytes = 131072;

// Room for a long body of a stated size is reserved at once when this much of it has
// come: pages that were not written take no memory, but address space may be limited.
constexpr std::size_t reserving_bytes = 65536;

// A body that gets fewer bytes in the time of a stall counts as stalled, so that a client
// cannot hold memory by a byte now and then.
constexpr std::size_t least_progress_bytes = 4096;

// holders of fewer bytes are not ended: there are many, and they free next to nothing
constexpr std::size_t least_held_bytes = 4096;

// unsent bytes of an answer above which its target is read no further: 256 KiB take some
// tenths of a second on the slowest network paths
constexpr std::size_t congested_bytes = 262144;
constexpr std::size_t congested_bytes_if_short = 16384;
constexpr std::size_t congested_bytes_if_full = 0;

constexpr absl::string_view retry_after_refused_body = "Retry-After: 1\r\n";

std::string reason_phrase(int status)
{
    return Poco::Net::HTTPResponse::getReasonForStatus(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
}

} // namespace

caller_connection::caller_connection(http_server& server,
                                     std::shared_ptr<connection> stream)
    : server_(server), stream_(std::move(stream)), last_progress_(server.loop_.now())
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
        const std::size_t most =
            server_.loop_.memory()->is_short() ? 0 : max_pipelined_bytes;
        stream_->set_input_paused(stream_->input().size() > most);
        return;
    }
    if (!incoming_ && !head_begun_)
    {
        last_progress_ = server_.loop_.now();
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
    last_progress_ = server_.loop_.now();
    progress_bytes_ = 0;
    keep_alive_ = parsed->head.keeps_connection();
    incoming_ = std::make_shared<caller_exchange>();
    incoming_->head_ = std::move(parsed->head);
    incoming_->charge_.set_budget(server_.loop_.memory());
    decoder_ = body_decoder(framing);
    if (absl::EqualsIgnoreCase(incoming_->head_.headers.get("expect"), "100-continue"))
    {
        stream_->send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return true;
}

bool caller_connection::parse_body()
{
    incoming_->reserve_body(stream_->input().size());
    const std::size_t used = decoder_.decode(stream_->input(), incoming_->body_);
    stream_->consume(used);
    incoming_->update_charge();
    record_body_progress(used);
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
        if (!is_granted_ && !server_.loop_.memory()->may_receive(incoming_->body_.size()))
        {
            pause_body();
        }
    }
    return decoder_.done();
}

bool caller_connection::is_output_congested() const
{
    const memory_budget& budget = *server_.loop_.memory();
    return stream_->unsent() > (budget.is_full()    ? congested_bytes_if_full
                                : budget.is_short() ? congested_bytes_if_short
                                                    : congested_bytes);
}

void caller_connection::record_body_progress(std::size_t bytes)
{
    progress_bytes_ += bytes;
    if (progress_bytes_ >= least_progress_bytes)
    {
        progress_bytes_ = 0;
        last_progress_ = server_.loop_.now();
    }
}

void caller_connection::pause_body()
{
    if (!is_paused_)
    {
        is_paused_ = true;
        last_progress_ = server_.loop_.now();
        ++server_.paused_bodies_;
        stream_->set_input_paused(true);
    }
}

void caller_connection::clear_pause()
{
    if (is_paused_)
    {
        is_paused_ = false;
        --server_.paused_bodies_;
    }
}

void caller_connection::resume_body(bool is_granted)
{
    if (is_paused_)
    {
        clear_pause();
        is_granted_ = is_granted;
        last_progress_ = server_.loop_.now();
        stream_->set_input_paused(false);
    }
}

std::optional<memory_holder> caller_connection::held_memory() const
{
    memory_holder holder;
    holder.last_progress = last_progress_;
    if (incoming_)
    {
        const body_framing framing = incoming_->head_.framing;
        const std::size_t received = incoming_->body_.size();
        const std::size_t largest = framing.kind == body_kind::length
                                        ? static_cast<std::size_t>(framing.length)
                                        : server_.limits_.max_body_bytes;
        holder.use = is_paused_ ? memory_use::paused_body : memory_use::incoming_body;
        holder.bytes = incoming_->charge_.bytes() + stream_->charged();
        holder.remaining = largest - std::min(received, largest);
        holder.is_granted = is_granted_;
    }
    else if (head_begun_ && !exchange_)
    {
        holder.bytes = stream_->charged();
    }
    else if (stream_->unsent() > 0)
    {
        holder.use = memory_use::unread_output;
        holder.bytes = stream_->charged();
        holder.last_progress = stream_->slow_since();
    }
    const bool is_holder = is_paused_ || holder.bytes >= least_held_bytes;
    return is_holder ? std::optional<memory_holder>(holder) : std::nullopt;
}

void caller_connection::end_for_memory(bool is_stalled)
{
    const std::shared_ptr<caller_connection> self = shared_from_this();
    const bool is_receiving = incoming_ || (head_begun_ && !exchange_);
    if (is_receiving && is_stalled)
    {
        reject(status_timeout, "the request did not arrive in time");
    }
    else if (is_receiving)
    {
        reject(status_unavailable,
               "this host has no memory left for the request",
               retry_after_refused_body);
    }
    else
    {
        // a regular end would make the part of the answer look whole
        stream_->reset();
        on_end(connection_end::reset);
    }
}

std::optional<steady_time> caller_connection::waiting_since() const
{
    const bool is_busy = exchange_ || incoming_ || stream_->unsent() > 0;
    return is_busy ? std::nullopt : std::optional<steady_time>(last_progress_);
}

void caller_connection::deliver_request()
{
    server_.loop_.cancel(timer_);
    exchange_ = std::move(incoming_);
    incoming_ = nullptr;
    is_granted_ = false;
    exchange_->connection_ = this;
    exchange_->arrived_ = server_.loop_.now();
    server_.on_request_(exchange_);
}

void caller_connection::reject(int status,
                               const std::string& message,
                               absl::string_view more_headers)
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
                               "\r\nConnection: close\r\nContent-Type: text/plain\r\n",
                               more_headers,
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
    last_progress_ = server_.loop_.now();
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
    clear_pause();
    stream_->set_handler(nullptr);
    exchange_ = nullptr;
    incoming_ = nullptr;
    server_.remove(shared_from_this());
}

std::shared_ptr<caller_exchange>
caller_exchange::describe(request_head head, std::string body, steady_time arrived)
{
    auto described = std::make_shared<caller_exchange>();
    described->head_ = std::move(head);
    described->body_ = std::move(body);
    described->arrived_ = arrived;
    return described;
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
    return connection_ != nullptr && connection_->is_output_congested();
}

void caller_exchange::reserve_body(std::size_t more_bytes)
{
    const std::size_t needed = body_.size() + more_bytes;
    if (head_.framing.kind == body_kind::chunked)
    {
        if (needed > body_.capacity() && needed >= mapped_block_bytes)
        {
            grow_body(needed + body_.size() / 4);
        }
        return;
    }
    const auto length = static_cast<std::size_t>(head_.framing.length);
    if (body_.capacity() < length &&
        (length <= mapped_block_bytes || needed >= reserving_bytes))
    {
        grow_body(length);
    }
}

void caller_exchange::grow_body(std::size_t capacity)
{
    // reserve() of a string that has a capacity would at least double it
    std::string larger;
    larger.reserve(capacity);
    larger.append(body_);
    body_.swap(larger);
}

void caller_exchange::update_charge()
{
    // the rest of a large block was never written
    charge_.set(std::min(body_.capacity(), 2 * body_.size()));
}

} // namespace medlar
