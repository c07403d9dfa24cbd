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
#include <medlar/detail/gateway/scoped_count.hpp>
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
                                         const dependencies& deps)
{
    return std::unique_ptr<gateway>(new gateway(settings, deps));
}

gateway::gateway(const gateway_settings& settings, const dependencies& deps)
    : settings_(settings),
      deps_(deps),
      sessions_(
          session_pool::create(deps.time, settings.connect_timeout, settings.max_idle)),
      stage_client_(stage_client::create(deps.time, *sessions_, settings.max_answer)),
      cancels_(cancel_sender::create(*stage_client_, cancel_timeout)),
      watch_(request_watch::create(deps.time, settings.watch_interval)),
      stage_runner_(stage_runner::create(
          {deps.time,
           *stage_client_,
           *cancels_,
           deps.policy,
           deps.metrics,
           [&peers = deps.peers](const target_id& name)
           {
               log_event(gateway_target_leaving, {{"target", name.get()}});
               peers.report_leaving_target(name);
           }})),
      pipeline_runner_(pipeline_runner::create(
          deps.time, *stage_runner_, deps.policy, settings.self.host)),
      relay_client_(relay_client::create(deps.time, deps.links)),
      traces_(trace_store::create(settings.max_traces)),
      lookup_(request_lookup::create(
          {settings.self, deps.claims, *traces_, deps.peers, deps.links})),
      entry_chain_(make_entry_chain()),
      home_chain_(make_home_chain()),
      relay_server_(relay_server::create(deps.time, home_chain_))
{
    deps_.peers.on_configuration(
        [&policy = deps.policy](const accepted_document& accepted)
        {
            policy.configure(accepted.content);
        });
    deps_.peers.on_leaving(
        [&policy = deps.policy](const std::vector<target_id>& leaving)
        {
            policy.set_leaving(leaving);
        });
    if (settings.poll_interval > millis(0))
    {
        poller_ = target_poller::create(
            {deps.time, *stage_client_, deps.peers, deps.policy, deps.metrics},
            settings.poll_interval);
    }
}

filter_chain gateway::make_entry_chain()
{
    std::vector<std::unique_ptr<filter>> filters;
    filters.push_back(answer_filter::create(deps_.time, deps_.metrics));
    filters.push_back(validate_filter::create(
        deps_.time, deps_.peers, settings_.body, refusing_callers_));
    filters.push_back(authenticate_filter::create());
    filters.push_back(trace_filter::create(*traces_));
    filters.push_back(place_filter::create(deps_.time, deps_.peers, *relay_client_));
    add_run_filters(filters);
    return filter_chain::create(std::move(filters));
}

filter_chain gateway::make_home_chain()
{
    std::vector<std::unique_ptr<filter>> filters;
    filters.push_back(validate_filter::create(
        deps_.time, deps_.peers, settings_.body, never_refusing_));
    filters.push_back(trace_filter::create(*traces_));
    filters.push_back(place_filter::create(deps_.time, deps_.peers, *relay_client_));
    add_run_filters(filters);
    return filter_chain::create(std::move(filters));
}

void gateway::add_run_filters(std::vector<std::unique_ptr<filter>>& filters)
{
    filters.push_back(limit_filter::create(held_, settings_.max_held_requests));
    filters.push_back(watch_filter::create(*watch_));
    filters.push_back(admit_filter::create(deps_.time, deps_.policy));
    filters.push_back(plan_filter::create());
    filters.push_back(dispatch_filter::create(*pipeline_runner_));
}

run_result gateway::serve(request_context& context)
{
    const scoped_count held(callers_held_);
    return entry_chain_.run(context);
}

int gateway::handle_link(const link_request& request, link_responder& responder)
{
    if (request.path == "/v1/relay")
    {
        const scoped_count held(relayed_held_);
        return relay_server_->handle(request, responder);
    }
    const std::optional<int> looked_up = lookup_->handle(request, responder);
    if (looked_up)
    {
        return *looked_up;
    }
    return deps_.peers.handle(request, responder).value_or(status_not_found);
}

std::optional<std::string> gateway::find(const request_key& key) const
{
    return lookup_->find(key);
}

bool gateway::ready() const
{
    const exchange_status status = deps_.peers.status();
    return !draining_ && status.configuration != revision(0) &&
           status.configuration_age <= settings_.max_configuration_age;
}

void gateway::begin_drain()
{
    draining_ = true;
}

void gateway::refuse_callers()
{
    refusing_callers_ = true;
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
    deps_.metrics.set("medlar_control_bytes_total",
                      {{"path", "links"}},
                      static_cast<double>(deps_.links.traffic().get()));
    deps_.metrics.set("medlar_requests_held", {{"as", "entry"}}, callers_held());
    deps_.metrics.set("medlar_requests_held", {{"as", "home"}}, relayed_held());
    const exchange_status status = deps_.peers.status();
    deps_.metrics.set("medlar_configuration_revision",
                      {},
                      static_cast<double>(status.configuration.get()));
    deps_.metrics.set("medlar_claims", {}, static_cast<double>(status.claims));
    return deps_.metrics.write();
}

const gateway_settings& gateway::settings() const
{
    return settings_;
}

const clock& gateway::time() const
{
    return deps_.time;
}

const exchange& gateway::peers() const
{
    return deps_.peers;
}

} // namespace medlar
