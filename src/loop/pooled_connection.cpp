#include <medlar/detail/http/head_parser.hpp>
#include <medlar/detail/http/status.hpp>
#include <medlar/detail/loop/pooled_connection.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <utility>

namespace medlar
{

namespace
{

// idle timeout assumed for a server that does not state one in "Keep-Alive"
constexpr millis default_keep_alive{4000};

// limits for what is skipped while waiting for one answer: interim heads, and answers to
// other requests; a server that sends more does not answer
constexpr int max_skipped_answers = 16;
constexpr std::size_t max_skipped_bytes = 1048576;

// a server answers a question at once; one lost packet is sent again before. The request
// still has to be in time where no answer comes
constexpr millis question_timeout{300};

// share of the server's idle timeout, in tenths, during which a connection is reused;
// close to its end, a request may cross the server's close of the connection
constexpr int keep_alive_tenths = 7;

std::optional<millis> parse_keep_alive(const header_list& headers)
{
    for (absl::string_view part : absl::StrSplit(headers.get("keep-alive"), ','))
    {
        part = absl::StripAsciiWhitespace(part);
        std::int64_t seconds = 0;
        if (absl::ConsumePrefix(&part, "timeout=") && absl::SimpleAtoi(part, &seconds) &&
            seconds >= 0)
        {
            return millis(seconds * 1000);
        }
    }
    return std::nullopt;
}

} // namespace

pooled_connection::pooled_connection(http_client& client, endpoint where)
    : client_(client), where_(std::move(where)), keep_alive_(default_keep_alive)
{
}

pooled_connection::~pooled_connection()
{
    if (call_)
    {
        call_->connection_ = nullptr;
    }
    if (stream_)
    {
        end_stream();
    }
}

void pooled_connection::open(millis connect_timeout)
{
    established_at_.reset();
    stream_ = connection::connect(client_.loop_, where_, connect_timeout);
    stream_->set_handler(this);
}

void pooled_connection::send_request(const std::shared_ptr<client_call>& call,
                                     std::string request,
                                     std::shared_ptr<const std::string> body)
{
    call_ = call;
    call_->connection_ = this;
    head_.reset();
    skipping_answer_ = false;
    skipped_answers_ = 0;
    skipped_bytes_ = 0;
    was_established_ = stream_->is_established();
    record_open();
    if (start_)
    {
        // a connection ends with its process, so it still holds
        call->process_start_ = start_->started_ms;
    }
    if (!call->options_.question)
    {
        stream_->send(std::move(request), std::move(body));
        return;
    }
    waiting_request_ = std::move(request);
    waiting_body_ = std::move(body);
    const bool is_known = start_ && !start_->is_missing && !start_->is_unanswered;
    if (!is_known && call->options_.may_ask)
    {
        ask_for_start();
        return;
    }
    if (!is_known)
    {
        start_ = unanswered_start(false);
    }
    start_->was_asked = false;
    // deferred: the caller does not have the call yet
    client_.loop_.after(millis(0),
                        [self = shared_from_this(), call]
                        {
                            if (self->call_ == call && self->waiting_request_)
                            {
                                self->send_waiting_request();
                            }
                        });
}

bool pooled_connection::has_sent_request() const
{
    return !waiting_request_ && (was_established_ || stream_->has_sent());
}

void pooled_connection::ask_for_start()
{
    is_asking_ = true;
    question_answer_.clear();
    if (stream_->is_established())
    {
        limit_question();
    }
    stream_->send(call_->options_.question->request);
}

void pooled_connection::on_connected()
{
    established_at_ = client_.loop_.now();
    client_.record_open(where_);
    if (is_asking_)
    {
        limit_question();
    }
}

void pooled_connection::limit_question()
{
    const std::weak_ptr<pooled_connection> weak = weak_from_this();
    question_timer_ = client_.loop_.after(question_timeout,
                                          [weak]
                                          {
                                              if (const auto self = weak.lock())
                                              {
                                                  self->give_up_question();
                                              }
                                          });
}

start_answer pooled_connection::unanswered_start(bool was_asked) const
{
    // a process whose connections are open is the one that it was
    const bool is_same = stream_->is_established() || client_.has_other_connection(*this);
    return {std::nullopt, !is_same, true, was_asked};
}

void pooled_connection::give_up_question()
{
    is_asking_ = false;
    head_.reset();
    skipping_answer_ = false;
    // the answer may still come, in place of that to the request
    end_stream();
    start_ = unanswered_start(true);
    send_waiting_request();
}

void pooled_connection::finish_question()
{
    client_.loop_.cancel(question_timer_);
    is_asking_ = false;
    const answer_head answered = *std::exchange(head_, std::nullopt);
    record_keep_alive(answered.headers);
    start_.emplace();
    start_->was_asked = true;
    start_->is_missing = answered.status >= status_server_error ||
                         answered.status == status_too_many ||
                         answered.status == status_timeout;
    const bool is_cut = answered.framing.kind == body_kind::until_close &&
                        !call_->options_.question->is_whole(question_answer_);
    if (is_success(answered.status) && is_cut)
    {
        start_->is_missing = true;
        start_->is_unanswered = true;
    }
    else if (is_success(answered.status))
    {
        start_->started_ms = call_->options_.question->read_answer(question_answer_);
    }
    if (!answered.keeps_connection() || !stream_->input().empty())
    {
        end_stream();
    }
    send_waiting_request();
}

void pooled_connection::end_stream()
{
    stream_->set_handler(nullptr);
    stream_->close();
}

void pooled_connection::reopen()
{
    end_stream();
    // no process ends and is replaced between its answer and the next connection
    open(call_->options_.connect_timeout);
    ++client_.opened_;
}

void pooled_connection::send_waiting_request()
{
    // the callbacks may cancel the call
    const std::shared_ptr<client_call> call = call_;
    call->process_start_ = start_->started_ms;
    const bool is_accepted =
        !call->callbacks_.accepts_start || call->callbacks_.accepts_start(*start_);
    if (call_ != call)
    {
        return;
    }
    if (is_accepted)
    {
        if (!stream_->is_open())
        {
            reopen();
        }
        was_established_ = stream_->is_established();
        skipped_answers_ = 0;
        skipped_bytes_ = 0;
        stream_->send(*std::exchange(waiting_request_, std::nullopt),
                      std::move(waiting_body_));
        return;
    }
    call_ = nullptr;
    call->connection_ = nullptr;
    waiting_request_.reset();
    waiting_body_.reset();
    release_after_answer(stream_->is_open());
    if (call->callbacks_.on_end)
    {
        call->callbacks_.on_end(call_end::declined);
    }
}

void pooled_connection::cancel_call()
{
    call_ = nullptr;
    drop_question();
    client_.release(shared_from_this(), false);
}

void pooled_connection::close()
{
    if (call_)
    {
        call_->connection_ = nullptr;
        call_ = nullptr;
    }
    drop_question();
    stream_->close();
}

bool pooled_connection::is_usable(steady_time now, millis max_idle) const
{
    // a server may have ended while this process did not run
    return is_standing() && now < expires_ && now - idle_since_ <= max_idle;
}

bool pooled_connection::is_standing() const
{
    return stream_->is_established() && !stream_->has_unread_event();
}

bool pooled_connection::receives_unframed_answer() const
{
    return head_ && !is_asking_ && !skipping_answer_ &&
           head_->framing.kind == body_kind::until_close;
}

bool pooled_connection::is_open_since(steady_time when) const
{
    return established_at_ && *established_at_ <= when && stream_->is_alive();
}

void pooled_connection::record_open()
{
    if (stream_->is_alive())
    {
        seen_open_at_ = client_.loop_.now();
    }
}

void pooled_connection::on_input()
{
    const std::shared_ptr<pooled_connection> self = shared_from_this();
    if (!call_)
    {
        // unsolicited bytes
        client_.release(self, false);
        return;
    }
    while (call_ && (head_ || parse_head()))
    {
        parse_body();
        if (call_ && (head_ || stream_->input().empty()))
        {
            if (receives_unframed_answer() &&
                client_.is_witness_newer(where_, seen_open_at_))
            {
                // bytes were left to be read when the witness was established
                record_open();
            }
            return;
        }
    }
}

bool pooled_connection::parse_head()
{
    head_result<answer_head> result =
        parse_answer_head(stream_->input(),
                          client_.max_head_bytes_,
                          !is_asking_ && call_->options_.is_head_request);
    if (std::holds_alternative<head_error>(result))
    {
        fail(call_end::malformed);
        return false;
    }
    auto* parsed = std::get_if<parsed_head<answer_head>>(&result);
    if (parsed == nullptr)
    {
        return false;
    }
    // the callbacks may cancel the call
    const std::shared_ptr<client_call> call = call_;
    stream_->consume(parsed->consumed);
    head_ = std::move(parsed->head);
    decoder_ = body_decoder(head_->framing);
    const bool informational = is_informational(head_->status);
    const std::function<bool(const answer_head&)>& accepts_head =
        is_asking_ ? call->options_.question->accepts_head
                   : call->callbacks_.accepts_head;
    skipping_answer_ = informational || (accepts_head && !accepts_head(*head_));
    skipped_answers_ += skipping_answer_ ? 1 : 0;
    if (skipping_answer_ && (head_->framing.kind == body_kind::until_close ||
                             skipped_answers_ > max_skipped_answers))
    {
        fail(call_end::malformed);
        return false;
    }
    if (!skipping_answer_ && !is_asking_)
    {
        record_keep_alive(head_->headers);
        if (call->callbacks_.on_head)
        {
            call->callbacks_.on_head(*head_);
        }
    }
    return call_ != nullptr;
}

void pooled_connection::record_keep_alive(const header_list& headers)
{
    if (const std::optional<millis> stated = parse_keep_alive(headers))
    {
        keep_alive_ = *stated;
        is_keep_alive_stated_ = true;
    }
}

void pooled_connection::parse_body()
{
    const std::shared_ptr<client_call> call = call_;
    // kept no longer than it is needed: each connection would hold as much as it reads at
    // a time
    std::string decoded;
    stream_->consume(decoder_.decode(stream_->input(), decoded));
    skipped_bytes_ += skipping_answer_ || is_asking_ ? decoded.size() : 0;
    if (skipped_bytes_ > max_skipped_bytes)
    {
        fail(call_end::malformed);
        return;
    }
    if (is_asking_ && !skipping_answer_)
    {
        question_answer_.append(decoded);
    }
    else if (!skipping_answer_ && !decoded.empty() && call->callbacks_.on_data)
    {
        call->callbacks_.on_data(decoded);
        if (!call_)
        {
            return;
        }
    }
    if (decoder_.failed())
    {
        fail(call_end::broken_off);
    }
    else if (decoder_.done())
    {
        if (skipping_answer_)
        {
            head_.reset();
        }
        else if (is_asking_)
        {
            finish_question();
        }
        else
        {
            complete();
        }
    }
}

void pooled_connection::complete()
{
    const std::shared_ptr<client_call> call = std::move(call_);
    call_ = nullptr;
    call->connection_ = nullptr;
    call->seen_open_at_ = seen_open_at_;
    // not reusable after an early answer, which leaves a part of the request unsent, nor
    // with unsolicited input
    const bool reusable = head_->keeps_connection() && stream_->unsent() == 0 &&
                          stream_->input().empty() && stream_->is_open();
    // the caller may have been slower than the target
    stream_->set_input_paused(false);
    head_.reset();
    release_after_answer(reusable);
    if (call->callbacks_.on_end)
    {
        call->callbacks_.on_end(call_end::complete);
    }
}

void pooled_connection::release_after_answer(bool reusable)
{
    idle_since_ = client_.loop_.now();
    expires_ = idle_since_ + keep_alive_ * keep_alive_tenths / 10;
    client_.release(shared_from_this(), reusable);
}

void pooled_connection::drop_question()
{
    waiting_request_.reset();
    waiting_body_.reset();
    is_asking_ = false;
    client_.loop_.cancel(question_timer_);
}

void pooled_connection::fail(call_end reason)
{
    // whatever ends a question, the request itself was not sent
    reason = waiting_request_ ? call_end::not_sent : reason;
    const std::shared_ptr<client_call> call = std::move(call_);
    call_ = nullptr;
    drop_question();
    client_.release(shared_from_this(), false);
    if (call)
    {
        call->connection_ = nullptr;
        if (call->callbacks_.on_end)
        {
            call->callbacks_.on_end(reason);
        }
    }
}

std::optional<connection_loss> pooled_connection::loss_of(connection_end reason) const
{
    if (reason == connection_end::refused)
    {
        return connection_loss::refused;
    }
    if (reason == connection_end::connect_failed)
    {
        return std::nullopt;
    }
    const bool ends_answer =
        call_ && head_ && head_->framing.kind == body_kind::until_close;
    const bool is_early =
        call_ || (is_keep_alive_stated_ && client_.loop_.now() - idle_since_ <
                                               keep_alive_ * keep_alive_tenths / 10);
    return is_early && (reason != connection_end::closed || !ends_answer)
               ? connection_loss::early
               : connection_loss::regular;
}

void pooled_connection::on_end(connection_end reason)
{
    const std::shared_ptr<pooled_connection> self = shared_from_this();
    if (const std::optional<connection_loss> how = loss_of(reason))
    {
        client_.handle_loss(*this, *how);
    }
    if (!call_)
    {
        client_.release(self, false);
        return;
    }
    call_->ended_by_ = reason;
    if (reason == connection_end::connect_failed || reason == connection_end::refused)
    {
        fail(call_end::not_sent);
        return;
    }
    if (is_asking_ && head_ && !skipping_answer_ && reason == connection_end::closed)
    {
        decoder_.handle_close();
        if (decoder_.done())
        {
            finish_question();
            return;
        }
    }
    if (waiting_request_ || !head_ || skipping_answer_)
    {
        fail(stream_->has_sent() || was_established_ ? call_end::no_answer
                                                     : call_end::not_sent);
        return;
    }
    if (reason == connection_end::closed)
    {
        decoder_.handle_close();
    }
    if (decoder_.done())
    {
        complete();
    }
    else
    {
        fail(call_end::broken_off);
    }
}

} // namespace medlar
