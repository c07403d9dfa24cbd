#include <medlar/detail/controller/order_controller.hpp>
#include <medlar/detail/controller/store_keys.hpp>
#include <medlar/detail/http/status.hpp>
#include <medlar/detail/log/controller_events.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace medlar
{

namespace
{

// maximum orders to one target in one round
constexpr int max_steps = 16;

} // namespace

order_controller::order_controller(store_client& store,
                                   live_state& live,
                                   gateway_feed& feed,
                                   const clock& time,
                                   const order_settings& settings)
    : store_(store),
      live_(live),
      feed_(feed),
      time_(time),
      settings_(settings),
      lease_(store, time, settings.lease_duration, settings.self.get())
{
}

void order_controller::run(stop_signal& stop)
{
    while (stop.pause(settings_.round_interval))
    {
        reconcile(stop);
    }
    lease_.release();
}

void order_controller::reconcile(const stop_signal& stop)
{
    const live_snapshot now = live_.snapshot();
    if (!now.reachable || !now.configuration || !is_candidate(now))
    {
        return;
    }
    const absl::StatusOr<store_folder> folder = store_.list(store_keys::orders_folder);
    if (!folder.ok() || folder->entries.empty())
    {
        return;
    }
    const absl::StatusOr<bool> held = lease_.acquire_or_renew();
    if (!held.ok() || !*held)
    {
        return;
    }
    for (const store_entry& entry : folder->entries)
    {
        const std::string name =
            entry.key.substr(std::string(store_keys::orders_folder).size());
        const pool* targets = now.configuration->content.find_pool(pool_id(name));
        absl::StatusOr<desired_engine_state> desired = parse_desired_state(entry.value);
        if (!desired.ok())
        {
            log_event(store_entry_malformed,
                      {{"key", entry.key}, {"error", desired.status().message()}});
        }
        else if (targets != nullptr)
        {
            reconcile_pool(
                {entry.key, entry.modified, *std::move(desired)}, *targets, stop);
        }
    }
}

bool order_controller::is_candidate(const live_snapshot& now) const
{
    const std::optional<gateway_report> report = feed_.report();
    if (!report || !now.view)
    {
        return false;
    }
    const std::vector<view_member>& members = now.view->current.members;
    const std::size_t count = std::min(settings_.max_candidates, members.size());
    return std::any_of(members.begin(),
                       members.begin() + static_cast<std::ptrdiff_t>(count),
                       [&report](const view_member& member)
                       {
                           return member.process == report->process;
                       });
}

void order_controller::reconcile_pool(const desired_pool_state& desired,
                                      const pool& targets,
                                      const stop_signal& stop)
{
    for (const target& each : targets.targets)
    {
        const absl::StatusOr<bool> held = lease_.acquire_or_renew();
        if (stop.stopped() || !held.ok() || !*held)
        {
            return;
        }
        if (!is_recently_verified(desired, each))
        {
            reconcile_target(desired, each);
        }
    }
}

bool order_controller::is_recently_verified(const desired_pool_state& desired,
                                            const target& engine) const
{
    const auto found = verified_.find(engine.name);
    return found != verified_.end() && found->second.modified == desired.modified &&
           found->second.term == lease_.term() &&
           time_.steady_now() < found->second.time + settings_.verify_interval;
}

void order_controller::reconcile_target(const desired_pool_state& desired,
                                        const target& engine)
{
    bool more = true;
    for (int i = 0; i < max_steps && more; ++i)
    {
        if (!send_next_order(desired, engine, &more))
        {
            return;
        }
    }
}

bool order_controller::send_next_order(const desired_pool_state& desired,
                                       const target& engine,
                                       bool* more)
{
    const std::uint64_t term = lease_.term();
    http_call call;
    call.target = "/v1/state";
    call.timeout = settings_.timeout;
    const absl::StatusOr<http_answer> answer = connections_to(engine).call(call);
    const absl::StatusOr<engine_state> actual =
        answer.ok() ? parse_engine_state(answer->body) : answer.status();
    if (!actual.ok())
    {
        log_event(engine_unreachable,
                  {{"target", engine.name.get()}, {"error", actual.status().message()}});
        return false;
    }
    const std::optional<engine_order> order = next_order(desired.state, *actual);
    if (!order)
    {
        verified_[engine.name] = {desired.modified, term, time_.steady_now()};
        *more = false;
        return true;
    }
    if (loads_weights(*order) && !try_count_load())
    {
        return false;
    }
    return is_current(desired) && send_order(*order, desired, engine);
}

bool order_controller::try_count_load()
{
    const absl::StatusOr<std::optional<store_entry>> entry =
        store_.get(store_keys::weight_loads);
    if (!entry.ok())
    {
        return false;
    }
    load_rate_limiter limiter(settings_.max_loads, settings_.load_period);
    store_index expected(0);
    if (entry->has_value())
    {
        limiter.read((*entry)->value);
        expected = (*entry)->modified;
    }
    if (!limiter.try_add(time_.wall_now()))
    {
        log_event(load_rate_reached, {});
        return false;
    }
    const absl::StatusOr<bool> written =
        store_.compare_and_swap(store_keys::weight_loads, limiter.write(), expected);
    return written.ok() && *written;
}

bool order_controller::is_current(const desired_pool_state& desired)
{
    const absl::StatusOr<std::optional<store_entry>> entry = store_.get(desired.key);
    return entry.ok() && entry->has_value() && (*entry)->modified == desired.modified &&
           lease_.is_held();
}

bool order_controller::send_order(const engine_order& order,
                                  const desired_pool_state& desired,
                                  const target& engine)
{
    const std::string order_id = absl::StrCat(desired.key,
                                              "/",
                                              engine.name.get(),
                                              "/",
                                              lease_.fencing().get(),
                                              "/",
                                              ++order_count_);
    http_call call;
    call.method = "POST";
    call.target = "/v1/order";
    call.body = write_order(order, lease_.fencing(), order_id);
    call.timeout = settings_.timeout;
    const absl::StatusOr<http_answer> answer = connections_to(engine).call(call);
    if (answer.ok() && answer->status == status_ok)
    {
        log_event(order_given, {{"target", engine.name.get()}, {"order", call.body}});
        return true;
    }
    if (answer.ok() && answer->status == status_conflict)
    {
        log_event(order_fenced,
                  {{"target", engine.name.get()}, {"fencing", lease_.fencing().get()}});
        lease_.release();
        return false;
    }
    const std::string error = answer.ok() ? absl::StrCat("status ", answer->status)
                                          : std::string(answer.status().message());
    log_event(order_unsettled, {{"target", engine.name.get()}, {"error", error}});
    return false;
}

http_pool& order_controller::connections_to(const target& engine)
{
    const endpoint where{engine.address, engine.port};
    std::unique_ptr<http_pool>& pool = connections_[where];
    if (!pool)
    {
        pool = std::make_unique<http_pool>(where);
    }
    return *pool;
}

} // namespace medlar
