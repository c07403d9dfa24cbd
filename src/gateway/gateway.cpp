#include <medlar/detail/gateway/filters/admit_filter.hpp>
#include <medlar/detail/gateway/filters/answer_filter.hpp>
#include <medlar/detail/gateway/filters/authenticate_filter.hpp>
#include <medlar/detail/gateway/filters/dispatch_filter.hpp>
#include <medlar/detail/gateway/filters/limit_filter.hpp>
#include <medlar/detail/gateway/filters/place_filter.hpp>
#include <medlar/detail/gateway/filters/plan_filter.hpp>
#include <medlar/detail/gateway/filters/trace_filter.hpp>
#include <medlar/detail/gateway/filters/validate_filter.hpp>
#include <medlar/detail/gateway/filters/watch_filter.hpp>
#include <medlar/detail/gateway/gateway.hpp>
#include <medlar/detail/gateway/held_count.hpp>
#include <medlar/detail/http/status.hpp>
#include <medlar/detail/log/gateway_events.hpp>

#include <utility>
#include <vector>

namespace medlar
{

namespace
{

constexpr millis cancel_timeout{300};

} // namespace

std::unique_ptr<gateway> gateway::create(const gateway_settings& settings,
                                         const parts& with)
{
    return std::unique_ptr<gateway>(new gateway(settings, with));
}

gateway::gateway(const gateway_settings& settings, const parts& with)
    : settings_(settings),
      with_(with),
      sessions_(
          session_pool::create(with.time, settings.connect_timeout, settings.max_idle)),
      client_(stage_client::create(with.time, *sessions_, settings.max_answer)),
      cancels_(cancel_sender::create(*client_, cancel_timeout)),
      watch_(request_watch::create(with.time, settings.watch_every)),
      stages_(stage_runner::create(
          {with.time,
           *client_,
           *cancels_,
           with.policy,
           with.metrics,
           [&peers = with.peers](const target_id& at)
           {
               log_event(gateway_target_leaving, {{"target", at.get()}});
               peers.target_is_leaving(at);
           }})),
      runner_(
          pipeline_runner::create(with.time, *stages_, with.policy, settings.self.host)),
      relay_(relay_client::create(with.time, with.links)),
      traces_(trace_store::create(settings.max_traces)),
      lookup_(request_lookup::create(
          {settings.self, with.claims, *traces_, with.peers, with.links})),
      entry_chain_(make_entry_chain()),
      home_chain_(make_home_chain()),
      relayed_(relay_server::create(with.time, home_chain_))
{
    with_.peers.on_configuration(
        [&policy = with.policy](const accepted_document& accepted)
        {
            policy.configure(accepted.content);
        });
    with_.peers.on_leaving(
        [&policy = with.policy](const std::vector<target_id>& leaving)
        {
            policy.set_leaving(leaving);
        });
    if (settings.poll_every > millis(0))
    {
        poller_ = target_poller::create(
            {with.time, *client_, with.peers, with.policy, with.metrics},
            settings.poll_every);
    }
}

filter_chain gateway::make_entry_chain()
{
    std::vector<std::unique_ptr<filter>> filters;
    filters.push_back(answer_filter::create(with_.time, with_.metrics));
    filters.push_back(
        validate_filter::create(with_.time, with_.peers, settings_.body, refusing_));
    filters.push_back(authenticate_filter::create());
    filters.push_back(trace_filter::create(*traces_));
    filters.push_back(place_filter::create(with_.time, with_.peers, *relay_));
    add_run_filters(filters);
    return filter_chain::create(std::move(filters));
}

filter_chain gateway::make_home_chain()
{
    std::vector<std::unique_ptr<filter>> filters;
    filters.push_back(validate_filter::create(
        with_.time, with_.peers, settings_.body, never_refusing_));
    filters.push_back(trace_filter::create(*traces_));
    filters.push_back(place_filter::create(with_.time, with_.peers, *relay_));
    add_run_filters(filters);
    return filter_chain::create(std::move(filters));
}

void gateway::add_run_filters(std::vector<std::unique_ptr<filter>>& filters)
{
    filters.push_back(limit_filter::create(running_, settings_.max_held));
    filters.push_back(watch_filter::create(*watch_));
    filters.push_back(admit_filter::create(with_.time, with_.policy));
    filters.push_back(plan_filter::create());
    filters.push_back(dispatch_filter::create(*runner_));
}

run_end gateway::serve(request_context& context)
{
    const held_count held(callers_held_);
    return entry_chain_.run(context);
}

int gateway::handle_link(const link_request& request, link_responder& responder)
{
    if (request.path == "/v1/relay")
    {
        const held_count held(relayed_held_);
        return relayed_->handle(request, responder);
    }
    const std::optional<int> looked_up = lookup_->handle(request, responder);
    if (looked_up)
    {
        return *looked_up;
    }
    return with_.peers.handle(request, responder).value_or(status_not_found);
}

std::optional<std::string> gateway::find(const request_key& key) const
{
    return lookup_->find(key);
}

bool gateway::ready() const
{
    const exchange_status now = with_.peers.status();
    return !draining_ && now.configuration != revision(0) &&
           now.configuration_age <= settings_.max_configuration_age;
}

void gateway::begin_drain()
{
    draining_ = true;
}

void gateway::refuse_callers()
{
    refusing_ = true;
}

bool gateway::draining() const
{
    return draining_;
}

int gateway::callers_held() const
{
    return callers_held_;
}

int gateway::relayed_held() const
{
    return relayed_held_;
}

std::string gateway::metrics_page() const
{
    with_.metrics.set("medlar_control_bytes_total",
                      {{"path", "links"}},
                      static_cast<double>(with_.links.traffic().get()));
    with_.metrics.set("medlar_requests_held", {{"as", "entry"}}, callers_held());
    with_.metrics.set("medlar_requests_held", {{"as", "home"}}, relayed_held());
    const exchange_status now = with_.peers.status();
    with_.metrics.set("medlar_configuration_revision",
                      {},
                      static_cast<double>(now.configuration.get()));
    with_.metrics.set("medlar_claims", {}, static_cast<double>(now.claims));
    return with_.metrics.write();
}

const gateway_settings& gateway::settings() const
{
    return settings_;
}

const clock& gateway::time() const
{
    return with_.time;
}

const exchange& gateway::peers() const
{
    return with_.peers;
}

} // namespace medlar
