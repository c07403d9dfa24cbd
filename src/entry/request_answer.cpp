// Part of request_run: forwards the answer of a target to the caller.

#include <medlar/detail/dispatch/refusal_delay.hpp>
#include <medlar/detail/entry/local_reply.hpp>
#include <medlar/detail/entry/request_run.hpp>
#include <medlar/detail/http/status.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace medlar
{

namespace
{

// a body up to this size is buffered until it is complete, so that the request can be
// retried at another target if this one fails while sending
constexpr std::size_t max_buffered_body_bytes = 65536;

// the same while memory is short, and once it is used up: each caller that does not read
// would hold a part of this size
constexpr std::size_t max_buffered_body_bytes_if_short = 16384;
constexpr std::size_t max_buffered_body_bytes_if_full = 4096;

// a longer event is not one; the largest ones of an engine have some hundred bytes
constexpr std::size_t max_event_bytes = 262144;

std::size_t most_buffered_bytes(const memory_budget& budget)
{
    return budget.is_full()    ? max_buffered_body_bytes_if_full
           : budget.is_short() ? max_buffered_body_bytes_if_short
                               : max_buffered_body_bytes;
}

} // namespace

void request_run::on_data(absl::string_view data)
{
    if (!head_ || ended_)
    {
        return;
    }
    paths_.record_contact(pool_);
    if (is_stream() && is_success(head_->status))
    {
        forward_events(data);
    }
    else if (exchange_->has_begun())
    {
        exchange_->write(data);
    }
    else
    {
        buffered_body_.append(data.data(), data.size());
        if (buffered_body_.size() > most_buffered_bytes(*context_.loop.memory()))
        {
            begin_answer();
            exchange_->write(buffered_body_);
            // clear() would keep the memory until the answer has ended
            std::string().swap(buffered_body_);
        }
    }
    answer_charge_.set(buffered_body_.capacity() + events_.incomplete_event().size());
    if (exchange_->is_congested() && call_)
    {
        call_->set_paused(true);
        exchange_->set_drain_handler(
            [this]
            {
                if (call_)
                {
                    call_->set_paused(false);
                }
            });
    }
}

void request_run::forward_events(absl::string_view data)
{
    events_.add(data,
                [this](absl::string_view event, std::optional<std::int64_t> id)
                {
                    if (!has_event_gap_ && !ended_)
                    {
                        forward_event(event, id);
                    }
                });
    const bool is_endless = events_.incomplete_event().size() > max_event_bytes;
    if ((has_event_gap_ || is_endless) && call_)
    {
        const std::shared_ptr<client_call> call = call_;
        call->cancel();
        on_call_end(call_end::malformed);
    }
}

void request_run::forward_event(absl::string_view event, std::optional<std::int64_t> id)
{
    pace_.record(context_.loop.now());
    if (!has_call_begun_)
    {
        has_call_begun_ = true;
        crashes_.record_begun(suspects_.prompt);
        record_first_event_pace();
    }
    if (id && last_event_id_ && *id <= *last_event_id_)
    {
        return;
    }
    if (id && last_event_id_ && *id != *last_event_id_ + 1)
    {
        has_event_gap_ = true;
        return;
    }
    if (!id && carries_data(event))
    {
        if (goes_on_)
        {
            // it may be one that the caller has
            has_event_gap_ = true;
            return;
        }
        has_unnumbered_event_ = true;
    }
    if (!has_first_event_)
    {
        has_first_event_ = true;
        const bool is_saved = origin_ && !may_have_begun_elsewhere();
        if (!origin_)
        {
            origin_ = stream_origin{pool_, target_version_};
        }
        if (!is_saved)
        {
            origins_.record(fields_.attempt, *origin_);
        }
        context_.record_first_event_delay(
            pool_, fields_.prompt_tokens, context_.loop.now() - sent_at_);
        free_stage_results();
    }
    if (!exchange_->has_begun())
    {
        begin_answer();
    }
    if (id)
    {
        last_event_id_ = id;
    }
    exchange_->write(event);
}

void request_run::begin_answer()
{
    header_list headers = head_->headers;
    remove_hop_by_hop(headers);
    headers.remove("content-length");
    body_framing framing = head_->framing;
    if (is_stream() || framing.kind == body_kind::until_close)
    {
        framing = {body_kind::chunked, 0};
    }
    exchange_->begin(head_->status, head_->reason_phrase, headers, framing);
}

bool request_run::is_part_of_stream() const
{
    // without a length or chunks, a head alone may have been cut behind it
    const bool has_no_event =
        head_->framing.kind == body_kind::until_close && !has_call_begun_;
    return is_stream() && is_success(head_->status) &&
           (has_no_event || !events_.incomplete_event().empty());
}

void request_run::finish_answer()
{
    free_stage_results();
    context_.record_answer_time(pool_, context_.loop.now() - sent_at_);
    if (const std::optional<double> gap_ms = pace_.typical_gap_ms())
    {
        speeds_.record_stream(pool_, target_record_.id, *gap_ms);
    }
    const int status = head_->status;
    if (!exchange_->has_begun())
    {
        body_framing framing = head_->framing;
        if (is_stream() || framing.kind == body_kind::until_close ||
            buffered_body_.size() <= max_buffered_body_bytes)
        {
            framing = {body_kind::length, buffered_body_.size()};
        }
        header_list headers = head_->headers;
        remove_hop_by_hop(headers);
        headers.remove("content-length");
        exchange_->begin(status, head_->reason_phrase, headers, framing);
        if (exchange_->head().method != "HEAD")
        {
            exchange_->write(buffered_body_);
        }
    }
    exchange_->finish();
    end_run("answered", status);
}

void request_run::refuse(millis retry_after, absl::string_view why)
{
    if (exchange_->has_begun())
    {
        abort_answer(why);
        return;
    }
    const millis delay = refusal_delay(retry_after, remaining_time(), context_.random);
    send_local_reply(context_.protocol,
                     *exchange_,
                     fields_.attempt,
                     status_unavailable,
                     {context_.protocol.retry_after(delay)},
                     why);
    end_run(absl::StrCat("refused: ", why), status_unavailable);
}

void request_run::fail(int status, absl::string_view why)
{
    if (exchange_->has_begun())
    {
        abort_answer(why);
        return;
    }
    send_local_reply(context_.protocol, *exchange_, fields_.attempt, status, {}, why);
    end_run(absl::StrCat("failed: ", why), status);
}

void request_run::abort_answer(absl::string_view why)
{
    exchange_->abort();
    end_run(absl::StrCat("cut: ", why), head_ ? head_->status : 0);
}

} // namespace medlar
