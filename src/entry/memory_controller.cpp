#include <medlar/detail/entry/memory_controller.hpp>
#include <medlar/detail/log/entry_events.hpp>
#include <medlar/detail/loop/caller_connection.hpp>

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <utility>

namespace medlar
{

namespace
{

constexpr millis log_interval{1000};

// descriptors for the store, other hosts and the servers of the host itself
constexpr std::size_t reserved_descriptors = 64;

// Each connection may read once while no budget is left, so their number bounds what is
// held beyond it.
constexpr std::size_t budget_bytes_per_connection = 16384;

std::size_t descriptors_of_process()
{
    rlimit limit{};
    return getrlimit(RLIMIT_NOFILE, &limit) == 0
               ? static_cast<std::size_t>(limit.rlim_cur)
               : 1024;
}

/// the number of connections that leaves a descriptor to each for a call to a target
std::size_t connections_for(const entry_settings& settings)
{
    const std::size_t descriptors =
        settings.max_descriptors > 0
            ? std::min(settings.max_descriptors, descriptors_of_process())
            : descriptors_of_process();
    const std::size_t usable =
        descriptors - std::min(descriptors / 2, reserved_descriptors);
    return std::max<std::size_t>(
        1,
        std::min(usable / 2,
                 budget_bytes_of(settings.memory_mb) / budget_bytes_per_connection));
}

} // namespace

memory_controller::memory_controller(entry_context& context) : context_(context)
{
    apply_settings();
}

void memory_controller::apply_settings()
{
    context_.loop.memory()->set_limit(budget_bytes_of(context_.settings.memory_mb));
    context_.loop.memory()->set_least_read_rate(context_.settings.least_read_rate);
    for (http_server* const each : servers_)
    {
        each->set_max_connections(connections_for(context_.settings));
    }
}

void memory_controller::add_server(http_server& server)
{
    server.set_max_connections(connections_for(context_.settings));
    servers_.push_back(&server);
}

void memory_controller::record(const char* why, std::uint64_t& count)
{
    ++count;
    context_.metrics->add("medlar_connections_ended_total", {{"why", why}});
}

void memory_controller::tick()
{
    memory_budget& budget = *context_.loop.memory();
    std::size_t paused = 0;
    std::uint64_t evictions = 0;
    for (http_server* const each : servers_)
    {
        each->update_accepting();
        paused += each->paused_bodies();
        evictions += each->evicted_connections();
    }
    for (; recorded_evictions_ < evictions; ++recorded_evictions_)
    {
        record("evicted", evicted_);
    }
    most_paused_ = std::max(most_paused_, paused);
    if (paused > 0 || budget.is_full())
    {
        relieve();
    }
    if (budget.should_trim(context_.loop.now()))
    {
        malloc_trim(0);
    }
    log_shortage();
}

void memory_controller::relieve()
{
    std::vector<held_memory> held;
    for (const http_server* const each : servers_)
    {
        each->list_held_memory(held);
    }
    std::vector<memory_holder> holders;
    holders.reserve(held.size());
    for (const held_memory& each : held)
    {
        holders.push_back(each.holder);
    }
    const memory_relief relief =
        context_.loop.memory()->relieve(holders, context_.loop.now());
    for (const std::size_t each : relief.stalled)
    {
        const bool is_reader = holders[each].use == memory_use::unread_output;
        record(is_reader ? "slow_reader" : "stalled",
               is_reader ? slow_readers_ : stalled_);
        if (held[each].caller)
        {
            held[each].caller->end_for_memory(true);
        }
        else
        {
            held[each].closing->reset();
        }
    }
    for (const std::size_t each : relief.refused)
    {
        record("no_memory", refused_);
        held[each].caller->end_for_memory(false);
    }
    for (const std::size_t each : relief.granted)
    {
        held[each].caller->resume_body(true);
    }
    for (const std::size_t each : relief.resumed)
    {
        held[each].caller->resume_body(false);
    }
}

void memory_controller::log_shortage()
{
    const steady_time now = context_.loop.now();
    const bool has_news = most_paused_ > 0 || stalled_ > 0 || slow_readers_ > 0 ||
                          refused_ > 0 || evicted_ > 0;
    if (!has_news || (logged_at_ && now - *logged_at_ < log_interval))
    {
        return;
    }
    logged_at_ = now;
    const memory_budget& budget = *context_.loop.memory();
    log_event(entry_memory_short,
              {{"used", static_cast<std::int64_t>(budget.used())},
               {"limit", static_cast<std::int64_t>(budget.limit())},
               {"paused", static_cast<std::int64_t>(std::exchange(most_paused_, 0))},
               {"stalled", std::exchange(stalled_, 0)},
               {"slow_readers", std::exchange(slow_readers_, 0)},
               {"refused", std::exchange(refused_, 0)},
               {"evicted", std::exchange(evicted_, 0)}});
}

void memory_controller::write_metrics() const
{
    const memory_budget& budget = *context_.loop.memory();
    std::size_t paused = 0;
    for (const http_server* const each : servers_)
    {
        paused += each->paused_bodies();
    }
    context_.metrics->set(
        "medlar_memory_used_bytes", {}, static_cast<double>(budget.used()));
    context_.metrics->set(
        "medlar_memory_limit_bytes", {}, static_cast<double>(budget.limit()));
    context_.metrics->set("medlar_bodies_paused", {}, static_cast<double>(paused));
}

} // namespace medlar
