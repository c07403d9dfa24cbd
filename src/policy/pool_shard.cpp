#include <medlar/detail/policy/pool_shard.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace medlar
{

namespace
{

constexpr double own_calls_time_constant_ms = 300;
constexpr double overdue_factor = 2.5;
constexpr double overdue_margin_ms = 100;
constexpr double smoothing = 0.05;
constexpr double initial_slowness_p95 = 2;
constexpr double max_slowness = 100;
constexpr double recent_wait_time_constant_ms = 1000;
constexpr double recent_wait_smoothing = 0.4;
constexpr std::uint64_t calls_between_assignments = 64;
constexpr std::uint64_t calls_between_first_assignments = 8;

double clamped_slowness(double elapsed_ms, double expected_ms)
{
    return expected_ms <= 0 ? 1 : std::min(max_slowness, elapsed_ms / expected_ms);
}

/// @brief Returns the weight that a value from @p since has at @p now, with exponential
/// decay.
double decayed_weight(steady_time since, steady_time now, double time_constant_ms)
{
    const auto elapsed = static_cast<double>((now - since).count());
    return std::exp(-std::max(0.0, elapsed) / time_constant_ms);
}

const char* state_name(health_state state)
{
    switch (state)
    {
        case health_state::healthy:
            return "healthy";
        case health_state::ejected:
            return "ejected";
        case health_state::probing:
            return "probing";
    }
    return "healthy";
}

} // namespace

pool_shard::pool_shard(failure_domain_id local_domain, std::uint64_t seed)
    : local_domain_(std::move(local_domain)),
      slowness_p95_(0.95, initial_slowness_p95),
      random_(seed),
      round_robin_turn_(random_.next())
{
}

void pool_shard::configure(const pool& content)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<target_record> next;
    for (const target& each : content.targets)
    {
        target_record* existing = find(each.name);
        const bool same = existing != nullptr &&
                          existing->config.address == each.address &&
                          existing->config.port == each.port;
        target_record record = same ? std::move(*existing) : target_record{};
        record.config = each;
        next.push_back(std::move(record));
    }
    records_ = std::move(next);
    prefix_assignment_.clear();
}

void pool_shard::set_leaving(const std::set<target_id>& leaving)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (target_record& record : records_)
    {
        record.leaving = leaving.count(record.config.name) != 0;
    }
}

std::optional<target>
pool_shard::choose(const stage_call& call, int gateways, steady_time now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (call.prefix_hash != 0 && call.tried.empty())
    {
        update_prefix_assignment(call.prefix_hash);
    }
    const routing_snapshot candidates = snapshot(call, context(gateways, now));
    const std::optional<std::size_t> chosen =
        call.routing == routing_policy::round_robin
            ? choose_round_robin(candidates, call, round_robin_turn_++)
            : choose_adaptive(candidates, call, now, random_);
    if (!chosen)
    {
        return std::nullopt;
    }
    target_record& record = records_[*chosen];
    if (candidates.targets[*chosen].probe_due)
    {
        record.health = start_probe(record.health);
    }
    start_call(record, now);
    return record.config;
}

void pool_shard::observe(const call_observation& observation,
                         int gateways,
                         steady_time now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    target_record* record = find(observation.target_name);
    if (record == nullptr)
    {
        return;
    }
    const double expected = expected_ms(observation);
    const double slowness =
        clamped_slowness(static_cast<double>(observation.elapsed.count()), expected);
    if (observation.result == call_result::succeeded)
    {
        learn_wait(
            *record, static_cast<double>(observation.elapsed.count()), expected, now);
        learn_time(*record, observation, slowness, context(gateways, now));
    }
    end_call(*record, observation, now);
    update_health(*record, observation, slowness, now);
}

bool pool_shard::observe_load(const load_report& report, steady_time now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    target_record* record = find(report.target_name);
    if (record == nullptr)
    {
        return false;
    }
    const steady_time made_at = now - report.age;
    const double weight =
        decayed_weight(record->recent_own_calls_at, now, own_calls_time_constant_ms);
    reported_load next;
    next.in_system = static_cast<double>(report.running + report.queued);
    next.own_calls_at_report =
        weight * record->recent_own_calls + (1 - weight) * record->own_calls;
    next.made_at = made_at;
    if (!record->report || record->report->made_at < made_at)
    {
        record->report = next;
    }
    if (report.slots > 0)
    {
        record->reported_slots = static_cast<double>(report.slots);
    }
    return true;
}

bool pool_shard::observe_cache(const cache_event& change)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    target_record* record = find(change.target_name);
    if (record == nullptr)
    {
        return false;
    }
    record->prefixes.handle_event(change.sequence, change.stored, change.prefix_hash);
    return true;
}

pool_load pool_shard::load(int gateways, steady_time now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const pool_context ctx = context(gateways, now);
    pool_load total;
    int reporting = 0;
    for (const target_record& record : records_)
    {
        if (!is_open(record) || record.health.state != health_state::healthy)
        {
            continue;
        }
        total.usable_targets += 1;
        total.own_calls += record.own_calls;
        total.in_system += in_system(record, ctx);
        total.slots += slots_of(record);
        reporting += record.report ? 1 : 0;
    }
    total.mean_service_ms = mean_service_ms_;
    total.reported = 2 * reporting > total.usable_targets;
    return total;
}

double pool_shard::service_ms(stage_kind kind, const request_size& size) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return service_ms_locked(kind, size);
}

double pool_shard::mean_service_ms() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return mean_service_ms_;
}

bool pool_shard::has_samples(stage_kind kind) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto model = models_.find(kind);
    return model != models_.end() && model->second.has_samples();
}

double pool_shard::slowness_p95() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return slowness_p95_.value();
}

nlohmann::json pool_shard::describe(int gateways, steady_time now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const pool_context ctx = context(gateways, now);
    nlohmann::json targets = nlohmann::json::array();
    for (const target_record& record : records_)
    {
        targets.push_back({{"target", record.config.name.get()},
                           {"state", state_name(record.health.state)},
                           {"drained", record.config.drained},
                           {"leaving", record.leaving},
                           {"in_flight", record.own_calls},
                           {"in_system", in_system(record, ctx)},
                           {"slots", slots_of(record)},
                           {"slowness", record.health.slowness},
                           {"failure_share", record.health.failure_share}});
    }
    return {{"mean_service_ms", mean_service_ms_}, {"targets", targets}};
}

pool_shard::target_record* pool_shard::find(const target_id& name)
{
    for (target_record& record : records_)
    {
        if (record.config.name == name)
        {
            return &record;
        }
    }
    return nullptr;
}

pool_shard::pool_context pool_shard::context(int gateways, steady_time now) const
{
    return {gateways, now, mean_own_calls(), median_slowness()};
}

double pool_shard::mean_own_calls() const
{
    double own_calls = 0;
    for (const target_record& record : records_)
    {
        own_calls += record.own_calls;
    }
    return records_.empty() ? 0 : own_calls / static_cast<double>(records_.size());
}

double pool_shard::slots_of(const target_record& record) const
{
    return record.reported_slots ? *record.reported_slots : slots_.slots();
}

double pool_shard::in_system(const target_record& record, const pool_context& ctx) const
{
    load_estimate_input input;
    input.own_calls = record.own_calls;
    input.mean_own_calls = ctx.mean_own_calls;
    input.gateways = ctx.gateways;
    input.mean_service_ms = mean_service_ms_;
    input.report = record.report;
    return record.own_calls + others_in_system(input, ctx.now);
}

double pool_shard::median_slowness() const
{
    std::vector<double> all;
    for (const target_record& record : records_)
    {
        all.push_back(record.health.slowness);
    }
    if (all.empty())
    {
        return 1;
    }
    const auto middle = all.begin() + static_cast<std::ptrdiff_t>((all.size() - 1) / 2);
    std::nth_element(all.begin(), middle, all.end());
    return std::max(1.0, *middle);
}

bool pool_shard::is_open(const target_record& record) const
{
    return !record.leaving && !record.config.drained;
}

target_snapshot pool_shard::snapshot_of(const target_record& record,
                                        const stage_call& call,
                                        double service_ms,
                                        const pool_context& ctx) const
{
    target_snapshot out;
    out.name = record.config.name;
    out.failure_domain = record.config.failure_domain;
    out.closed = !is_open(record);
    out.health = record.health.state;
    out.probe_due = probe_is_due(record.health, ctx.now);
    out.in_system = in_system(record, ctx);
    out.slots = slots_of(record);
    const double slowness = record.health.slowness / ctx.median_slowness;
    out.service_ms = service_ms * std::max(1.0, slowness);
    out.recent_wait_ms =
        record.recent_wait_ms *
        decayed_weight(record.recent_wait_at, ctx.now, recent_wait_time_constant_ms);
    out.overdue_ms = overdue_ms(record, service_ms, ctx);
    out.prefix_cached =
        call.prefix_hash != 0 && record.prefixes.contains(call.prefix_hash);
    return out;
}

void pool_shard::update_prefix_assignment(std::uint64_t prefix_hash)
{
    prefix_counts_.count(prefix_hash);
    const std::uint64_t calls = prefix_counts_.calls();
    const std::uint64_t period = calls < calls_between_assignments
                                     ? calls_between_first_assignments
                                     : calls_between_assignments;
    if (calls % period == 0)
    {
        prefix_assignment_ = assign_prefixes(
            prefix_counts_.shares(), prefix_counts_.weight(), target_names());
    }
    if (prefix_assignment_.count(prefix_hash) == 0)
    {
        prefix_assignment_[prefix_hash] = {rendezvous_first(prefix_hash, target_names())};
    }
}

bool pool_shard::is_prefix_assigned(std::size_t index, std::uint64_t prefix_hash) const
{
    const auto assigned = prefix_assignment_.find(prefix_hash);
    return prefix_hash != 0 && assigned != prefix_assignment_.end() &&
           std::count(assigned->second.begin(), assigned->second.end(), index) != 0;
}

std::vector<target_id> pool_shard::target_names() const
{
    std::vector<target_id> all;
    for (const target_record& record : records_)
    {
        all.push_back(record.config.name);
    }
    return all;
}

double pool_shard::overdue_ms(const target_record& record,
                              double service_ms,
                              const pool_context& ctx) const
{
    if (record.started_at_ms.empty())
    {
        return 0;
    }
    const std::int64_t age = ctx.now.since_origin() - *record.started_at_ms.begin();
    const double usual = std::max(service_ms, mean_service_ms_) * ctx.median_slowness;
    const double allowed = overdue_factor * usual + overdue_margin_ms;
    return std::max(0.0, static_cast<double>(age) - allowed);
}

routing_snapshot pool_shard::snapshot(const stage_call& call,
                                      const pool_context& ctx) const
{
    routing_snapshot out;
    out.local_domain = local_domain_;
    const double service = service_ms_locked(call.kind, call.size);
    for (std::size_t i = 0; i < records_.size(); ++i)
    {
        out.targets.push_back(snapshot_of(records_[i], call, service, ctx));
        out.targets.back().prefix_assigned = is_prefix_assigned(i, call.prefix_hash);
    }
    const auto model = models_.find(call.kind);
    if (call.prefix_hash != 0 && model != models_.end())
    {
        out.prefix_saving_ms = model->second.prefix_saving_ms(call.size);
    }
    return out;
}

double pool_shard::service_ms_locked(stage_kind kind, const request_size& size) const
{
    const auto model = models_.find(kind);
    return model == models_.end() ? 0 : model->second.estimate_ms(size);
}

double pool_shard::expected_ms(const call_observation& observation) const
{
    const auto model = models_.find(observation.kind);
    return model == models_.end() ? 0 : model->second.estimate_ms(observation);
}

void pool_shard::start_call(target_record& record, steady_time now)
{
    const double weight =
        decayed_weight(record.recent_own_calls_at, now, own_calls_time_constant_ms);
    record.recent_own_calls =
        weight * record.recent_own_calls + (1 - weight) * record.own_calls;
    record.recent_own_calls_at = now;
    record.own_calls += 1;
    record.started_at_ms.insert(now.since_origin());
}

void pool_shard::end_call(target_record& record,
                          const call_observation& observation,
                          steady_time now)
{
    const double weight =
        decayed_weight(record.recent_own_calls_at, now, own_calls_time_constant_ms);
    record.recent_own_calls =
        weight * record.recent_own_calls + (1 - weight) * record.own_calls;
    record.recent_own_calls_at = now;
    record.own_calls = std::max(0, record.own_calls - 1);
    if (!record.started_at_ms.empty())
    {
        const std::int64_t start = (now - observation.elapsed).since_origin();
        auto nearest = record.started_at_ms.lower_bound(start);
        if (nearest == record.started_at_ms.end())
        {
            --nearest;
        }
        record.started_at_ms.erase(nearest);
    }
    if (observation.result == call_result::succeeded && observation.prefix_hash != 0)
    {
        record.prefixes.add(observation.prefix_hash);
    }
}

void pool_shard::learn_wait(target_record& record,
                            double elapsed_ms,
                            double expected_ms,
                            steady_time now)
{
    const double waited = std::max(0.0, elapsed_ms - expected_ms);
    record.recent_wait_ms += recent_wait_smoothing * (waited - record.recent_wait_ms);
    record.recent_wait_at = now;
}

void pool_shard::learn_time(const target_record& record,
                            const call_observation& observation,
                            double slowness,
                            const pool_context& ctx)
{
    const bool had_samples = models_[observation.kind].has_samples();
    models_[observation.kind].learn(observation);
    if (!had_samples)
    {
        mean_service_ms_ = static_cast<double>(observation.elapsed.count());
        return;
    }
    const double service = service_ms_locked(observation.kind, observation.size);
    mean_service_ms_ += smoothing * (service - mean_service_ms_);
    slowness_p95_.learn(slowness);
    const bool typical = record.health.state == health_state::healthy &&
                         record.health.slowness < 2 * ctx.median_slowness;
    if (typical)
    {
        slots_.learn(ctx.mean_own_calls * ctx.gateways, slowness);
    }
}

void pool_shard::update_health(target_record& record,
                               const call_observation& observation,
                               double slowness,
                               steady_time now)
{
    const double median = median_slowness();
    record.health =
        after_call(record.health, {observation.result, slowness}, median, now);
    if (should_eject(record.health, median) &&
        may_eject_one_more(count_open(), count_ejected()))
    {
        record.health = eject(record.health, now);
    }
}

std::size_t pool_shard::count_open() const
{
    return static_cast<std::size_t>(std::count_if(records_.begin(),
                                                  records_.end(),
                                                  [this](const target_record& each)
                                                  {
                                                      return is_open(each);
                                                  }));
}

std::size_t pool_shard::count_ejected() const
{
    return static_cast<std::size_t>(std::count_if(records_.begin(),
                                                  records_.end(),
                                                  [this](const target_record& each)
                                                  {
                                                      return is_open(each) &&
                                                             each.health.state !=
                                                                 health_state::healthy;
                                                  }));
}

} // namespace medlar
