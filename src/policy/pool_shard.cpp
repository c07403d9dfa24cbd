#include <medlar/detail/policy/pool_shard.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace medlar
{

namespace
{

constexpr double own_memory_ms = 300;
constexpr double overdue_factor = 2.5;
constexpr double overdue_floor_ms = 100;
constexpr double smoothing = 0.05;
constexpr double start_slowness_p95 = 2;
constexpr double most_slowness = 100;
constexpr double seen_wait_memory_ms = 1000;
constexpr double seen_wait_smoothing = 0.4;
constexpr std::uint64_t calls_between_prefix_plans = 64;
constexpr std::uint64_t calls_between_first_prefix_plans = 8;

double clamped_slowness(double elapsed_ms, double expected_ms)
{
    return expected_ms <= 0 ? 1 : std::min(most_slowness, elapsed_ms / expected_ms);
}

/// @brief weight that a value from @p then still has at @p now
double remaining_weight(steady_time then, steady_time now, double memory_ms)
{
    const auto passed = static_cast<double>((now - then).count());
    return std::exp(-std::max(0.0, passed) / memory_ms);
}

const char* name_of(health_state state)
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

pool_shard::pool_shard(failure_domain_id here, std::uint64_t seed)
    : here_(std::move(here)),
      slowness_p95_(0.95, start_slowness_p95),
      random_(seed),
      turn_(random_.next())
{
}

void pool_shard::configure(const pool& content)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<target_record> next;
    for (const target& each : content.targets)
    {
        target_record* known = find(each.name);
        const bool same = known != nullptr && known->is.address == each.address &&
                          known->is.port == each.port;
        target_record record = same ? std::move(*known) : target_record{};
        record.is = each;
        next.push_back(std::move(record));
    }
    records_ = std::move(next);
    prefix_places_.clear();
}

void pool_shard::set_leaving(const std::set<target_id>& leaving)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (target_record& record : records_)
    {
        record.leaving = leaving.count(record.is.name) != 0;
    }
}

std::optional<target>
pool_shard::choose(const stage_call& call, int gateways, steady_time now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (call.prefix_hash != 0 && call.tried.empty())
    {
        plan_prefix(call.prefix_hash);
    }
    const routing_snapshot seen = snapshot(call, context(gateways, now));
    const std::optional<std::size_t> chosen =
        call.routing == routing_policy::round_robin
            ? choose_round_robin(seen, call, turn_++)
            : choose_adaptive(seen, call, now, random_);
    if (!chosen)
    {
        return std::nullopt;
    }
    target_record& record = records_[*chosen];
    if (seen.targets[*chosen].probe_due)
    {
        record.health = start_probe(record.health);
    }
    start_call(record, now);
    return record.is;
}

void pool_shard::observe(const call_observation& seen, int gateways, steady_time now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    target_record* record = find(seen.at);
    if (record == nullptr)
    {
        return;
    }
    const double expected = expected_ms(seen);
    const double slowness =
        clamped_slowness(static_cast<double>(seen.elapsed.count()), expected);
    if (seen.result == call_result::succeeded)
    {
        learn_wait(*record, static_cast<double>(seen.elapsed.count()), expected, now);
        learn_time(*record, seen, slowness, context(gateways, now));
    }
    end_call(*record, seen, now);
    update_health(*record, seen, slowness, now);
}

bool pool_shard::observe_load(const load_report& report, steady_time now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    target_record* record = find(report.at);
    if (record == nullptr)
    {
        return false;
    }
    const steady_time made_at = now - report.age;
    const double weight = remaining_weight(record->own_recent_at, now, own_memory_ms);
    reported_load next;
    next.in_system = static_cast<double>(report.running + report.queued);
    next.own_then = weight * record->own_recent + (1 - weight) * record->own;
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
    target_record* record = find(change.at);
    if (record == nullptr)
    {
        return false;
    }
    record->prefixes.take_event(change.sequence, change.stored, change.prefix_hash);
    return true;
}

pool_load pool_shard::load(int gateways, steady_time now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const pool_context of = context(gateways, now);
    pool_load total;
    int reporting = 0;
    for (const target_record& record : records_)
    {
        if (!is_open(record) || record.health.state != health_state::healthy)
        {
            continue;
        }
        total.usable += 1;
        total.own += record.own;
        total.in_system += in_system(record, of);
        total.slots += slots_of(record);
        reporting += record.report ? 1 : 0;
    }
    total.mean_service_ms = mean_service_ms_;
    total.reported = 2 * reporting > total.usable;
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

bool pool_shard::knows(stage_kind kind) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto model = models_.find(kind);
    return model != models_.end() && model->second.known();
}

double pool_shard::slowness_p95() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return slowness_p95_.value();
}

nlohmann::json pool_shard::describe(int gateways, steady_time now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const pool_context of = context(gateways, now);
    nlohmann::json targets = nlohmann::json::array();
    for (const target_record& record : records_)
    {
        targets.push_back({{"target", record.is.name.get()},
                           {"state", name_of(record.health.state)},
                           {"drained", record.is.drained},
                           {"leaving", record.leaving},
                           {"in_flight", record.own},
                           {"in_system", in_system(record, of)},
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
        if (record.is.name == name)
        {
            return &record;
        }
    }
    return nullptr;
}

pool_shard::pool_context pool_shard::context(int gateways, steady_time now) const
{
    return {gateways, now, own_mean(), median_slowness()};
}

double pool_shard::own_mean() const
{
    double own = 0;
    for (const target_record& record : records_)
    {
        own += record.own;
    }
    return records_.empty() ? 0 : own / static_cast<double>(records_.size());
}

double pool_shard::slots_of(const target_record& record) const
{
    return record.reported_slots ? *record.reported_slots : slots_.slots();
}

double pool_shard::in_system(const target_record& record, const pool_context& of) const
{
    load_knowledge known;
    known.own_now = record.own;
    known.own_mean = of.own_mean;
    known.gateways = of.gateways;
    known.mean_service_ms = mean_service_ms_;
    known.report = record.report;
    return record.own + others_in_system(known, of.now);
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
    return !record.leaving && !record.is.drained;
}

target_snapshot pool_shard::snapshot_of(const target_record& record,
                                        const stage_call& call,
                                        double service_ms,
                                        const pool_context& of) const
{
    target_snapshot out;
    out.name = record.is.name;
    out.failure_domain = record.is.failure_domain;
    out.closed = !is_open(record);
    out.health = record.health.state;
    out.probe_due = probe_is_due(record.health, of.now);
    out.in_system = in_system(record, of);
    out.slots = slots_of(record);
    const double slowness = record.health.slowness / of.median_slowness;
    out.service_ms = service_ms * std::max(1.0, slowness);
    out.seen_wait_ms = record.seen_wait_ms *
                       remaining_weight(record.seen_wait_at, of.now, seen_wait_memory_ms);
    out.overdue_ms = overdue_ms(record, service_ms, of);
    out.holds_prefix = call.prefix_hash != 0 && record.prefixes.holds(call.prefix_hash);
    return out;
}

void pool_shard::plan_prefix(std::uint64_t prefix_hash)
{
    prefix_counts_.count(prefix_hash);
    const std::uint64_t calls = prefix_counts_.calls();
    const std::uint64_t period = calls < calls_between_prefix_plans
                                     ? calls_between_first_prefix_plans
                                     : calls_between_prefix_plans;
    if (calls % period == 0)
    {
        prefix_places_ =
            assign_prefixes(prefix_counts_.shares(), prefix_counts_.weight(), names());
    }
    if (prefix_places_.count(prefix_hash) == 0)
    {
        prefix_places_[prefix_hash] = {rendezvous_first(prefix_hash, names())};
    }
}

bool pool_shard::keeps_prefix(std::size_t place, std::uint64_t prefix_hash) const
{
    const auto places = prefix_places_.find(prefix_hash);
    return prefix_hash != 0 && places != prefix_places_.end() &&
           std::count(places->second.begin(), places->second.end(), place) != 0;
}

std::vector<target_id> pool_shard::names() const
{
    std::vector<target_id> all;
    for (const target_record& record : records_)
    {
        all.push_back(record.is.name);
    }
    return all;
}

double pool_shard::overdue_ms(const target_record& record,
                              double service_ms,
                              const pool_context& of) const
{
    if (record.started_at_ms.empty())
    {
        return 0;
    }
    const std::int64_t age = of.now.since_origin() - *record.started_at_ms.begin();
    const double usual = std::max(service_ms, mean_service_ms_) * of.median_slowness;
    const double allowed = overdue_factor * usual + overdue_floor_ms;
    return std::max(0.0, static_cast<double>(age) - allowed);
}

routing_snapshot pool_shard::snapshot(const stage_call& call,
                                      const pool_context& of) const
{
    routing_snapshot out;
    out.here = here_;
    const double service = service_ms_locked(call.kind, call.size);
    for (std::size_t i = 0; i < records_.size(); ++i)
    {
        out.targets.push_back(snapshot_of(records_[i], call, service, of));
        out.targets.back().keeps_prefix = keeps_prefix(i, call.prefix_hash);
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

double pool_shard::expected_ms(const call_observation& seen) const
{
    const auto model = models_.find(seen.kind);
    return model == models_.end() ? 0 : model->second.estimate_ms(seen);
}

void pool_shard::start_call(target_record& record, steady_time now)
{
    const double weight = remaining_weight(record.own_recent_at, now, own_memory_ms);
    record.own_recent = weight * record.own_recent + (1 - weight) * record.own;
    record.own_recent_at = now;
    record.own += 1;
    record.started_at_ms.insert(now.since_origin());
}

void pool_shard::end_call(target_record& record,
                          const call_observation& seen,
                          steady_time now)
{
    const double weight = remaining_weight(record.own_recent_at, now, own_memory_ms);
    record.own_recent = weight * record.own_recent + (1 - weight) * record.own;
    record.own_recent_at = now;
    record.own = std::max(0, record.own - 1);
    if (!record.started_at_ms.empty())
    {
        const std::int64_t start = (now - seen.elapsed).since_origin();
        auto nearest = record.started_at_ms.lower_bound(start);
        if (nearest == record.started_at_ms.end())
        {
            --nearest;
        }
        record.started_at_ms.erase(nearest);
    }
    if (seen.result == call_result::succeeded && seen.prefix_hash != 0)
    {
        record.prefixes.stored(seen.prefix_hash);
    }
}

void pool_shard::learn_wait(target_record& record,
                            double elapsed_ms,
                            double expected_ms,
                            steady_time now)
{
    const double waited = std::max(0.0, elapsed_ms - expected_ms);
    record.seen_wait_ms += seen_wait_smoothing * (waited - record.seen_wait_ms);
    record.seen_wait_at = now;
}

void pool_shard::learn_time(const target_record& record,
                            const call_observation& seen,
                            double slowness,
                            const pool_context& of)
{
    const bool known = models_[seen.kind].known();
    models_[seen.kind].learn(seen);
    if (!known)
    {
        mean_service_ms_ = static_cast<double>(seen.elapsed.count());
        return;
    }
    const double service = service_ms_locked(seen.kind, seen.size);
    mean_service_ms_ += smoothing * (service - mean_service_ms_);
    slowness_p95_.learn(slowness);
    const bool typical = record.health.state == health_state::healthy &&
                         record.health.slowness < 2 * of.median_slowness;
    if (typical)
    {
        slots_.learn(of.own_mean * of.gateways, slowness);
    }
}

void pool_shard::update_health(target_record& record,
                               const call_observation& seen,
                               double slowness,
                               steady_time now)
{
    const double median = median_slowness();
    record.health = after_call(record.health, {seen.result, slowness}, median, now);
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
