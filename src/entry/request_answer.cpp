// The answer to a request.

#include <medlar/detail/entry/own_answer.hpp>
#include <medlar/detail/entry/request_run.hpp>
#include <medlar/detail/http/status.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace medlar
{

namespace
{

// a body up to this size is sent on when it is whole, so that a target that breaks off
// can still be replaced by another
constexpr std::size_t max_kept_body = 65536;

} // namespace

void request_run::on_data(absl::string_view data)
{
    if (!head_ || ended_)
    {
        return;
    }
    if (is_stream() && is_success(head_->status))
    {
        forward_events(data);
        return;
    }
    if (exchange_->has_begun())
    {
        exchange_->write(data);
    }
    else
    {
        kept_.append(data.data(), data.size());
        if (kept_.size() > max_kept_body)
        {
            begin_answer();
            exchange_->write(kept_);
            kept_.clear();
        }
    }
    if (exchange_->is_congested() && call_)
    {
        call_->pause(true);
        exchange_->when_drained(
            [this]
            {
                if (call_)
                {
                    call_->pause(false);
                }
            });
    }
}

void request_run::forward_events(absl::string_view data)
{
    events_.add(data,
                [this](absl::string_view event, std::optional<std::int64_t> id)
                {
                    if (!event_failed_ && !ended_)
                    {
                        forward_event(event, id);
                    }
                });
    if (event_failed_ && call_)
    {
        const std::shared_ptr<client_call> call = call_;
        call->cancel();
        on_call_end(call_end::malformed);
    }
}

void request_run::forward_event(absl::string_view event, std::optional<std::int64_t> id)
{
    if (id && last_event_ && *id <= *last_event_)
    {
        return;
    }
    if (id && last_event_ && *id != *last_event_ + 1)
    {
        event_failed_ = true;
        return;
    }
    if (!has_first_)
    {
        has_first_ = true;
        context_.note_first_event(pool_, context_.loop.now() - sent_at_);
        free_stages();
    }
    if (!exchange_->has_begun())
    {
        begin_answer();
    }
    if (id)
    {
        last_event_ = id;
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
    exchange_->begin(head_->status, head_->phrase, headers, framing);
}

void request_run::answer_complete()
{
    free_stages();
    const int status = head_->status;
    if (!exchange_->has_begun())
    {
        if (is_stream() || head_->framing.kind == body_kind::until_close ||
            kept_.size() <= max_kept_body)
        {
            head_->framing = {body_kind::length, kept_.size()};
        }
        header_list headers = head_->headers;
        remove_hop_by_hop(headers);
        headers.remove("content-length");
        exchange_->begin(status, head_->phrase, headers, head_->framing);
        if (exchange_->head().method != "HEAD")
        {
            exchange_->write(kept_);
        }
    }
    exchange_->finish();
    end("answered", status);
}

void request_run::refuse(millis retry_after, absl::string_view why)
{
    if (exchange_->has_begun())
    {
        cut(why);
        return;
    }
    // callers honour at most a third of the time that they have left; a quarter more or
    // less keeps those that are refused together from coming back together
    const millis most = left() / 3;
    const double spread = 0.75 + 0.5 * context_.random.fraction();
    const millis delay(std::clamp<std::int64_t>(
        static_cast<std::int64_t>(static_cast<double>(retry_after.count()) * spread),
        0,
        std::max<std::int64_t>(0, most.count())));
    answer_itself(context_.protocol,
                  *exchange_,
                  fields_.attempt,
                  status_unavailable,
                  {context_.protocol.retry_after(delay)},
                  why);
    end(absl::StrCat("refused: ", why), status_unavailable);
}

void request_run::fail(int status, absl::string_view why)
{
    if (exchange_->has_begun())
    {
        cut(why);
        return;
    }
    answer_itself(context_.protocol, *exchange_, fields_.attempt, status, {}, why);
    end(absl::StrCat("failed: ", why), status);
}

void request_run::cut(absl::string_view why)
{
    exchange_->abort();
    end(absl::StrCat("cut: ", why), head_ ? head_->status : 0);
}

} // namespace medlar
