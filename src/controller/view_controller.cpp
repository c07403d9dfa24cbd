#include <medlar/detail/base/error.hpp>
#include <medlar/detail/controller/store_keys.hpp>
#include <medlar/detail/controller/view_controller.hpp>
#include <medlar/detail/log/controller_events.hpp>

#include <algorithm>
#include <utility>

namespace medlar
{

namespace
{

constexpr millis report_wait{1000};
// pause between reports while a required change has not been proposed
constexpr millis pending_change_pause{100};

} // namespace

view_controller::view_controller(store_client& store,
                                 live_state& live,
                                 gateway_feed& feed,
                                 const clock& time,
                                 const view_settings& settings)
    : store_(store),
      live_(live),
      feed_(feed),
      time_(time),
      settings_(settings),
      schedule_(settings.settle_time, settings.stagger)
{
}

void view_controller::run(stop_signal& stop)
{
    std::uint64_t last = 0;
    while (!stop.stopped())
    {
        const std::optional<gateway_feed::numbered_report> report =
            feed_.wait_for_report(last, report_wait);
        if (!report)
        {
            continue;
        }
        last = report->number;
        update_from_gateway(report->content);
        if (evaluate(report->content) && stop.pause(pending_change_pause))
        {
            feed_.push_now();
        }
    }
}

bool view_controller::evaluate(const gateway_report& report)
{
    silent_members_.update(report.not_heard, time_.steady_now());
    const live_snapshot now = live_.snapshot();
    if (!now.reachable || now.stored_view.malformed)
    {
        schedule_.reset();
        return false;
    }
    return now.view ? propose_next_if_due(report, now)
                    : propose_first_if_due(report, now);
}

void view_controller::update_from_gateway(const gateway_report& report)
{
    const live_snapshot known = live_.snapshot();
    const view_epoch epoch(version_of(known.view.get()).number);
    const revision number(version_of(known.configuration.get()).number);
    const bool ahead = report.newest > epoch || report.configuration > number;
    // Peers are often slightly faster than the watch, so newer state is fetched only if
    // two consecutive reports show it.
    if (!std::exchange(gateway_was_ahead_, ahead) || !ahead)
    {
        return;
    }
    const absl::StatusOr<newer_state> newer = feed_.fetch_newer_state(epoch, number);
    if (!newer.ok())
    {
        log_event(gateway_report_malformed, {{"error", newer.status().message()}});
        return;
    }
    if (newer->view)
    {
        live_.merge_view(*newer->view);
    }
    if (newer->configuration)
    {
        const absl::Status merged = live_.merge_configuration(*newer->configuration);
        if (!merged.ok())
        {
            log_event(gateway_report_malformed, {{"error", merged.message()}});
        }
    }
}

bool view_controller::propose_first_if_due(const gateway_report& report,
                                           const live_snapshot& now)
{
    // A gateway that has a view received it before the store lost it.
    if (report.newest != view_epoch(0))
    {
        return false;
    }
    const membership_observations observations = observations_of(report);
    view_record first;
    first.current.epoch = view_epoch(1);
    first.current.members = first_members(observations);
    if (first.current.members.empty())
    {
        return false;
    }
    const std::size_t rank = proposal_rank(view(), observations);
    if (!schedule_.due(first.current.members, rank, time_.steady_now()))
    {
        return true;
    }
    propose(first, now.stored_view.modified);
    return false;
}

bool view_controller::propose_next_if_due(const gateway_report& report,
                                          const live_snapshot& now)
{
    const view_record& record = *now.view;
    if (!report.may_propose || report.newest != record.current.epoch)
    {
        schedule_.reset();
        return report.newest < record.current.epoch;
    }
    const membership_observations observations = observations_of(report);
    const std::vector<view_member> desired = next_members(record.current, observations);
    if (same_processes(desired, record.current.members))
    {
        schedule_.reset();
        return false;
    }
    const std::size_t rank = proposal_rank(record.current, observations);
    if (!schedule_.due(desired, rank, time_.steady_now()))
    {
        return true;
    }
    propose(next_record(record, desired), now.stored_view.modified);
    return false;
}

membership_observations
view_controller::observations_of(const gateway_report& report) const
{
    membership_observations observations;
    observations.self.host = report.host;
    observations.self.process = report.process;
    observations.self.link = settings_.gateway;
    observations.self.failure_domain = settings_.failure_domain;
    observations.lost =
        silent_members_.silent_for(settings_.eviction_delay, time_.steady_now());
    observations.leaving = report.leaving;
    observations.waiting = report.waiting;
    const bool listed = std::any_of(observations.waiting.begin(),
                                    observations.waiting.end(),
                                    [&report](const view_member& member)
                                    {
                                        return member.process == report.process;
                                    });
    if (!report.member && !listed)
    {
        observations.waiting.push_back(observations.self);
    }
    return observations;
}

void view_controller::propose(const view_record& record, store_index expected)
{
    schedule_.reset();
    const field epoch("epoch", record.current.epoch.get());
    const absl::StatusOr<bool> written =
        store_.compare_and_swap(store_keys::view, write_view_record(record), expected);
    if (written.ok() && !*written)
    {
        log_event(view_proposal_lost, {epoch});
        return;
    }
    if (written.ok())
    {
        publish(record);
        return;
    }
    const bool reply_lost = error_number_of(written.status()) ==
                            static_cast<int>(error_number::store_reply_lost);
    if (!reply_lost)
    {
        log_event(view_proposal_failed, {epoch, {"error", written.status().message()}});
        return;
    }
    log_event(view_proposal_unsettled, {epoch, {"error", written.status().message()}});
    if (is_stored(record))
    {
        publish(record);
    }
}

bool view_controller::is_stored(const view_record& record)
{
    const absl::StatusOr<std::optional<store_entry>> entry = store_.get(store_keys::view);
    if (!entry.ok() || !entry->has_value())
    {
        return false;
    }
    const absl::StatusOr<view_record> stored = parse_view_record((*entry)->value);
    return stored.ok() && compare_versions(version_of(&record), version_of(&*stored)) ==
                              state_order::same;
}

void view_controller::publish(const view_record& record)
{
    log_event(view_proposed,
              {{"epoch", record.current.epoch.get()},
               {"members", static_cast<std::uint64_t>(record.current.members.size())}});
    live_.merge_view(record);
    feed_.set_view(record.current.epoch, write_view_record(record));
}

} // namespace medlar
