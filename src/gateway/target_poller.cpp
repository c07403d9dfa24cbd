#include <medlar/detail/gateway/target_poller.hpp>
#include <medlar/detail/http/status.hpp>
#include <medlar/detail/request/json_fields.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace medlar
{

namespace
{

constexpr millis poll_timeout{250};

} // namespace

std::optional<load_report> read_load_report(const target_id& name, absl::string_view body)
{
    const nlohmann::json parsed = parse_json(body);
    if (!parsed.is_object())
    {
        return std::nullopt;
    }
    load_report report;
    report.target_name = name;
    report.running = integer_field(parsed, "running", -1);
    report.queued = integer_field(parsed, "queued", -1);
    report.slots = integer_field(parsed, "slots", -1);
    report.age = millis(integer_field(parsed, "age_ms", 0));
    const bool complete = report.running >= 0 && report.queued >= 0 && report.slots > 0;
    return complete ? std::optional<load_report>(report) : std::nullopt;
}

std::unique_ptr<target_poller> target_poller::create(const dependencies& deps,
                                                     millis interval)
{
    return std::unique_ptr<target_poller>(new target_poller(deps, interval));
}

target_poller::target_poller(const dependencies& deps, millis interval)
    : deps_(deps),
      interval_(interval),
      thread_(
          [this]
          {
              run();
          })
{
}

target_poller::~target_poller()
{
    stop_->cancel(cancel_cause::not_needed);
    thread_.join();
}

void target_poller::run()
{
    while (!stop_->wait_for(interval_))
    {
        poll_all();
    }
}

void target_poller::poll_all()
{
    deps_.policy.set_gateways(static_cast<int>(deps_.peers.peers().size()) + 1);
    const std::shared_ptr<const accepted_document> configuration =
        deps_.peers.configuration();
    for (const pool& each : configuration->content.pools)
    {
        for (const target& polled : each.targets)
        {
            if (stop_->cause() != cancel_cause::none)
            {
                return;
            }
            if (each.reports_load)
            {
                poll_load(polled);
            }
            if (each.reports_load && !each.model.get().empty())
            {
                poll_cache(polled);
            }
        }
    }
}

void target_poller::poll_load(const target& polled)
{
    const std::optional<load_report> report =
        read_load_report(polled.name, fetch(polled, "/v1/load"));
    if (report)
    {
        deps_.policy.observe_load(*report, deps_.time.steady_now());
    }
}

void target_poller::poll_cache(const target& polled)
{
    std::uint64_t& last = last_sequence_[polled.name];
    const nlohmann::json parsed =
        parse_json(fetch(polled, absl::StrCat("/v1/cache_events?after=", last)));
    if (!parsed.is_object() || !parsed.contains("events") || !parsed["events"].is_array())
    {
        return;
    }
    for (const nlohmann::json& each : parsed["events"])
    {
        if (!each.is_object() || !each.contains("prefix_hash") ||
            !each["prefix_hash"].is_number_unsigned())
        {
            continue;
        }
        cache_event change;
        change.target_name = polled.name;
        change.sequence = static_cast<std::uint64_t>(integer_field(each, "sequence", 0));
        change.stored = bool_field(each, "stored");
        change.prefix_hash = each["prefix_hash"].get<std::uint64_t>();
        deps_.policy.observe_cache(change, deps_.time.steady_now());
        last = std::max(last, change.sequence);
    }
}

std::string target_poller::fetch(const target& polled, const std::string& path)
{
    // estimated size of request line and headers, for the control traffic metric
    constexpr std::size_t header_bytes = 200;
    const std::optional<target_answer> answer =
        deps_.client.get({polled.address, polled.port}, path, poll_timeout);
    const std::size_t bytes =
        header_bytes + path.size() + (answer ? answer->body.size() : 0);
    deps_.metrics.add("medlar_control_bytes_total",
                      {{"path", "target_poll"}},
                      static_cast<double>(bytes));
    return answer && answer->status == status_ok ? answer->body : std::string();
}

} // namespace medlar
