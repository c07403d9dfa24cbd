#include <medlar/detail/controller/gateway_feed.hpp>
#include <medlar/detail/http/status.hpp>
#include <medlar/detail/log/controller_events.hpp>

#include <chrono>
#include <utility>

namespace medlar
{

namespace
{

constexpr millis push_timeout{1000};

std::chrono::milliseconds to_chrono(millis span)
{
    return std::chrono::milliseconds(span.count());
}

} // namespace

gateway_feed::gateway_feed(link_client& links, endpoint gateway, millis heartbeat)
    : links_(links), gateway_(std::move(gateway)), heartbeat_(heartbeat)
{
}

void gateway_feed::set_configuration(revision number, std::string text)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (number > desired_.configuration.number)
    {
        desired_.configuration = {number, std::move(text)};
        request_push();
    }
}

void gateway_feed::set_view(view_epoch epoch, std::string text)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (epoch > desired_.view.number)
    {
        desired_.view = {epoch, std::move(text)};
        request_push();
    }
}

void gateway_feed::set_confirmed(std::optional<revision> confirmed)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    desired_.confirmed = confirmed;
}

void gateway_feed::set_leaving(std::vector<target_id> leaving)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (leaving != desired_.leaving)
    {
        desired_.leaving = std::move(leaving);
        ++desired_.hosts_version;
        request_push();
    }
}

void gateway_feed::set_peers(std::vector<endpoint> peers)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (peers != desired_.peers)
    {
        desired_.peers = std::move(peers);
        ++desired_.hosts_version;
        request_push();
    }
}

std::optional<gateway_feed::numbered_report>
gateway_feed::wait_for_report(std::uint64_t after, millis wait)
{
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait_for(lock,
                      to_chrono(wait),
                      [this, after]
                      {
                          return stopped_ || (report_ && report_count_ > after);
                      });
    if (stopped_ || !report_ || report_count_ <= after)
    {
        return std::nullopt;
    }
    return numbered_report{report_count_, *report_};
}

std::optional<gateway_report> gateway_feed::report() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return report_;
}

absl::StatusOr<newer_state> gateway_feed::fetch_newer_state(view_epoch newest,
                                                            revision configuration)
{
    link_call call;
    call.to = gateway_;
    call.path = "/v1/state";
    call.body = write_state_request(newest, configuration);
    call.timeout = push_timeout;
    const absl::StatusOr<link_reply> reply = links_.call(call);
    if (!reply.ok() || reply->status != status_ok)
    {
        return reply.ok() ? absl::UnavailableError(reply->body) : reply.status();
    }
    return parse_newer_state(reply->body);
}

void gateway_feed::push_now()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    request_push();
}

void gateway_feed::run()
{
    while (wait_for_push_request())
    {
        push();
    }
}

void gateway_feed::stop()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    stopped_ = true;
    changed_.notify_all();
}

void gateway_feed::request_push()
{
    push_requested_ = true;
    changed_.notify_all();
}

bool gateway_feed::wait_for_push_request()
{
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait_for(lock,
                      to_chrono(heartbeat_),
                      [this]
                      {
                          return stopped_ || push_requested_;
                      });
    push_requested_ = false;
    return !stopped_;
}

control_push gateway_feed::build_push() const
{
    control_push push;
    push.confirmed = desired_.confirmed;
    // Without a report the gateway's state is unknown; the answer to this push reports
    // it.
    if (!report_)
    {
        return push;
    }
    if (desired_.configuration.number > report_->configuration)
    {
        push.configuration = desired_.configuration.text;
    }
    if (desired_.view.number > report_->newest)
    {
        push.view = desired_.view.text;
    }
    if (desired_.hosts_version != hosts_version_sent_)
    {
        push.leaving = desired_.leaving;
        push.peers = desired_.peers;
    }
    return push;
}

void gateway_feed::push()
{
    link_call call;
    std::uint64_t hosts_version = 0;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const control_push next = build_push();
        hosts_version = next.leaving ? desired_.hosts_version : hosts_version_sent_;
        call.body = write_control_push(next);
    }
    call.to = gateway_;
    call.path = "/v1/control";
    call.timeout = push_timeout;
    const absl::StatusOr<link_reply> reply = links_.call(call);
    if (!reply.ok() || reply->status != status_ok)
    {
        handle_failure(reply.ok() ? absl::UnavailableError(reply->body) : reply.status());
        return;
    }
    const absl::StatusOr<gateway_report> report = parse_gateway_report(reply->body);
    if (!report.ok())
    {
        log_event(gateway_report_malformed, {{"error", report.status().message()}});
        handle_failure(report.status());
        return;
    }
    handle_report(*report, hosts_version);
}

void gateway_feed::handle_report(const gateway_report& report,
                                 std::uint64_t hosts_version)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (unreachable_ || !report_)
    {
        log_event(gateway_reachable, {{"process", report.process.get()}});
    }
    const bool same_process = report_ && report_->process == report.process;
    hosts_version_sent_ = same_process ? hosts_version : 0;
    unreachable_ = false;
    report_ = report;
    ++report_count_;
    const bool behind = hosts_version_sent_ != desired_.hosts_version ||
                        desired_.configuration.number > report.configuration ||
                        desired_.view.number > report.newest;
    push_requested_ = push_requested_ || (behind && !same_process);
    changed_.notify_all();
}

void gateway_feed::handle_failure(const absl::Status& failure)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!unreachable_)
    {
        log_event(gateway_unreachable,
                  {{"gateway", to_string(gateway_)}, {"error", failure.message()}});
    }
    unreachable_ = true;
    report_.reset();
    hosts_version_sent_ = 0;
}

} // namespace medlar
