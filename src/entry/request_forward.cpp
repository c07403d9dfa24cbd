#include <medlar/detail/entry/request_forward.hpp>
#include <medlar/detail/http/status.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace medlar
{

namespace
{

// the latency between hosts is a few ms; a host that does not accept in this time is down
// or frozen
constexpr millis host_connect_timeout{250};

/// whether the host itself says that it has not taken the request; a 401 or 404 alone may
/// be the answer of a target that has run it
bool is_not_taken(const answer_head& head)
{
    return head.headers.find(forward_not_taken_header) != nullptr;
}

/// whether a status tells the caller that its request has not run
bool says_not_run(int status)
{
    return status == status_unavailable || status == status_too_many ||
           status == status_misdirected || status == status_timeout;
}

} // namespace

int max_sends_of_forwarded(const request_head& head, int max_attempts)
{
    int lent = 0;
    const bool is_stated =
        absl::SimpleAtoi(head.headers.get(forward_sends_header), &lent) && lent > 0;
    return is_stated ? std::min(lent, max_attempts) : max_attempts;
}

request_forward::request_forward(entry_context& context,
                                 const peer_host& to,
                                 std::shared_ptr<caller_exchange> exchange,
                                 const forward_terms& terms,
                                 forward_callbacks callbacks)
    : context_(context),
      to_(to.id),
      exchange_(std::move(exchange)),
      may_have_run_(terms.may_have_run),
      callbacks_(std::move(callbacks))
{
    call_options options;
    options.is_head_request = exchange_->head().method == "HEAD";
    options.connect_timeout = host_connect_timeout;
    call_callbacks events;
    events.on_head = [this](const answer_head& head)
    {
        on_head(head);
    };
    events.on_data = [this](absl::string_view data)
    {
        on_data(data);
    };
    events.on_end = [this](call_end how)
    {
        on_end(how);
    };
    header_list additions;
    additions.add(forward_version_header, absl::StrCat(terms.configuration_version));
    additions.add(forward_sends_header, absl::StrCat(terms.max_sends));
    additions.add(forward_heeds_header, "1");
    if (terms.is_repeated)
    {
        additions.add(forward_repeated_header, "1");
    }
    call_ = context_.client.start(
        to.forward,
        context_.protocol.write_forward(
            exchange_->head(), exchange_->body().size(), terms.remaining, additions),
        options,
        std::move(events),
        caller_exchange::shared_body(exchange_));
}

request_forward::~request_forward()
{
    exchange_->set_drain_handler(nullptr);
    call_->cancel();
}

void request_forward::on_head(const answer_head& head)
{
    // the callbacks destroy this object
    if (is_not_taken(head))
    {
        const std::string why(head.headers.get(forward_not_taken_header));
        call_->cancel();
        const auto on_not_taken = std::move(callbacks_.on_not_taken);
        on_not_taken(why);
        return;
    }
    if (head.framing.kind == body_kind::until_close)
    {
        // each host states where its answers end: this one was changed or is none
        call_->cancel();
        const auto on_broken_off = std::move(callbacks_.on_broken_off);
        on_broken_off();
        return;
    }
    const bool is_untrue = may_have_run_ && says_not_run(head.status);
    if (is_untrue)
    {
        call_->cancel();
        const auto on_refused = std::move(callbacks_.on_refused);
        on_refused();
        return;
    }
    record_leaving_target(head);
    head_ = head;
    header_list headers = head.headers;
    remove_hop_by_hop(headers);
    headers.remove("content-length");
    headers.remove(forward_target_header);
    headers.remove(forward_target_start_header);
    exchange_->begin(head.status, head.reason_phrase, headers, head.framing);
}

void request_forward::record_leaving_target(const answer_head& head)
{
    const target_id target(std::string(head.headers.get(forward_target_header)));
    std::int64_t started_ms = 0;
    // limits are not read here: the other host may have held the head while the target
    // worked, and the target may have stated another one since
    if (!context_.protocol.read_answer(head).is_leaving || target.get().empty() ||
        !absl::SimpleAtoi(head.headers.get(forward_target_start_header), &started_ms))
    {
        return;
    }
    const target_state* const known = context_.targets.find(target);
    if (known != nullptr && start_of(*known) < started_ms)
    {
        context_.record_target_start(target, started_ms);
    }
    if (known != nullptr)
    {
        context_.record_target_leaving({target, started_ms});
    }
}

void request_forward::on_data(absl::string_view data)
{
    exchange_->write(data);
    if (exchange_->is_congested())
    {
        call_->set_paused(true);
        exchange_->set_drain_handler(
            [call = call_]
            {
                call->set_paused(false);
            });
    }
}

void request_forward::on_end(call_end how)
{
    // the callbacks destroy this object
    const forward_callbacks callbacks = std::move(callbacks_);
    if (how == call_end::complete && head_)
    {
        exchange_->finish();
        callbacks.on_answered(head_->status);
    }
    else if (how == call_end::not_sent)
    {
        callbacks.on_not_taken("it cannot be reached");
    }
    else
    {
        callbacks.on_broken_off();
    }
}

} // namespace medlar
