// Part of request_run: has another host run the request.

#include <medlar/detail/entry/request_run.hpp>
#include <medlar/detail/http/status.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <absl/strings/str_cat.h>

namespace medlar
{

namespace
{

// hosts that are asked to run one request, one after the other
constexpr std::size_t max_tried_hosts = 3;

} // namespace

bool request_run::forward_if_no_path()
{
    return lacks_path() && forward();
}

bool request_run::lacks_path() const
{
    // an answer that has begun can only go on at a target
    return !is_forwarded_ && !exchange_->has_begun() && !paths_.has_path(pool_);
}

std::optional<peer_host> request_run::next_forwarder(random_source& random) const
{
    const bool may_forward =
        !attempts_.is_used_up() && tried_hosts_.size() < max_tried_hosts;
    return may_forward ? paths_.choose_forwarder(pool_, tried_hosts_, random)
                       : std::nullopt;
}

bool request_run::forward()
{
    const std::optional<peer_host> to = next_forwarder(context_.random);
    if (!to)
    {
        return false;
    }
    free_stage_results();
    tried_hosts_.insert(to->id);
    paths_.record_forwarded(to->id, 1);
    log_event(entry_request_forwarded,
              {{"attempt", fields_.attempt.get()},
               {"host", to->id.get()},
               {"pool", pool_.get()},
               {"left_ms", remaining_time().count()}});
    context_.metrics->add("medlar_requests_forwarded_total", {{"pool", pool_.get()}});
    forward_callbacks callbacks;
    callbacks.on_not_taken = [this](absl::string_view why)
    {
        on_forward_not_taken(why);
    };
    callbacks.on_refused = [this]
    {
        on_forward_refused();
    };
    callbacks.on_answered = [this](int status)
    {
        release_forward();
        end_run("answered by another host", status);
    };
    callbacks.on_broken_off = [this]
    {
        on_forward_broken_off();
    };
    forward_terms terms;
    terms.remaining = remaining_time();
    terms.max_sends = attempts_.lend(route_.may_retry());
    terms.configuration_version = configuration_->version;
    terms.may_have_run = may_have_run_;
    // with an origin, but without an event, it was saved where it had to begin
    terms.is_repeated = has_broken_off_elsewhere_ || origin_.has_value();
    forward_ = std::make_unique<request_forward>(
        context_, *to, exchange_, terms, std::move(callbacks));
    return true;
}

void request_run::release_forward()
{
    if (forward_)
    {
        paths_.record_forwarded(forward_->to(), -1);
        forward_.reset();
    }
}

void request_run::record_forward_failed(absl::string_view why) const
{
    log_event(entry_forward_failed,
              {{"attempt", fields_.attempt.get()},
               {"host", forward_->to().get()},
               {"why", why}});
}

void request_run::on_forward_not_taken(absl::string_view why)
{
    record_forward_failed(why);
    if (why == forward_no_path)
    {
        paths_.record_lost(forward_->to(), pool_);
    }
    attempts_.return_lent();
    forward_to_next_host();
}

void request_run::on_forward_refused()
{
    record_forward_failed("its refusal would not be true");
    forward_to_next_host();
}

void request_run::forward_to_next_host()
{
    release_forward();
    if (!forward())
    {
        on_attempts_failed("no host with a path to the targets took the request");
    }
}

void request_run::on_forward_broken_off()
{
    record_forward_failed("its answer broke off");
    release_forward();
    may_have_run_ = true;
    has_broken_off_elsewhere_ = true;
    const bool may_repeat = !exchange_->has_begun() && route_.may_retry() &&
                            !attempts_.is_used_up() && has_retry_budget();
    if (may_repeat)
    {
        record_retry();
    }
    if (!may_repeat || !forward())
    {
        fail(status_bad_gateway, "the host that ran the request broke off");
    }
}

} // namespace medlar
