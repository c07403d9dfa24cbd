#include <medlar/detail/controller/configuration_controller.hpp>
#include <medlar/detail/controller/store_keys.hpp>
#include <medlar/detail/log/controller_events.hpp>

#include <utility>

namespace medlar
{

namespace
{

// minimum time between two watches, however fast the store answers
constexpr millis watch_spacing{50};

bool is_behind(const live_entry& stored, const state_version& known)
{
    return !stored.malformed &&
           compare_versions(known, stored.version) == state_order::older;
}

} // namespace

configuration_controller::configuration_controller(store_client& store,
                                                   live_state& live,
                                                   gateway_feed& feed,
                                                   const watch_settings& settings)
    : store_(store),
      live_(live),
      feed_(feed),
      settings_(settings),
      retry_backoff_(settings.initial_backoff, settings.max_backoff, settings.seed),
      repair_backoff_(settings.repair_delay, settings.repair_delay, settings.seed)
{
}

void configuration_controller::run(stop_signal& stop)
{
    bool running = true;
    while (running && !stop.stopped())
    {
        running = watch_once(stop) && repair(stop);
    }
}

bool configuration_controller::watch_once(stop_signal& stop)
{
    const absl::StatusOr<store_folder> folder =
        store_.watch(store_keys::live_folder, last_index_, settings_.max_wait);
    if (stop.stopped())
    {
        return false;
    }
    if (!folder.ok())
    {
        record_failure(folder.status());
        // The next watch reads the folder from the start: the store may have been
        // restored to an older state.
        last_index_ = store_index(0);
        return stop.pause(retry_backoff_.next());
    }
    retry_backoff_.reset();
    handle_folder(*folder);
    // A lower index means that the store was restored to an older state.
    last_index_ = folder->index < last_index_ ? store_index(0) : folder->index;
    return stop.pause(watch_spacing);
}

void configuration_controller::handle_folder(const store_folder& folder)
{
    if (std::exchange(unreachable_, false))
    {
        log_event(store_reachable, {});
    }
    const live_reading reading = live_.update(folder);
    const live_snapshot now = live_.snapshot();
    report(reading, now);
    if (now.configuration)
    {
        feed_.set_configuration(now.configuration->number, now.configuration_text);
        feed_.set_confirmed(now.configuration->number);
    }
    if (now.view)
    {
        feed_.set_view(now.view->current.epoch, write_view_record(*now.view));
    }
}

void configuration_controller::report(const live_reading& reading,
                                      const live_snapshot& now)
{
    const state_version configuration = version_of(now.configuration.get());
    const state_version view = version_of(now.view.get());
    const field stored_revision("stored", now.stored_configuration.version.number);
    const field stored_epoch("stored", now.stored_view.version.number);
    const field known_revision("known", configuration.number);
    const field known_epoch("known", view.number);
    switch (reading.configuration)
    {
        case state_order::newer:
            log_event(configuration_read, {{"revision", configuration.number}});
            break;
        case state_order::older:
            log_event(store_configuration_older, {stored_revision, known_revision});
            break;
        case state_order::conflicting:
            log_event(store_configuration_conflicting, {stored_revision});
            break;
        case state_order::same:
            break;
    }
    switch (reading.view)
    {
        case state_order::newer:
            log_event(view_read, {{"epoch", view.number}});
            break;
        case state_order::older:
            log_event(store_view_older, {stored_epoch, known_epoch});
            break;
        case state_order::conflicting:
            log_event(store_view_conflicting, {stored_epoch});
            break;
        case state_order::same:
            break;
    }
    if (!reading.malformed.ok())
    {
        log_event(store_entry_malformed, {{"error", reading.malformed.message()}});
    }
}

void configuration_controller::record_failure(const absl::Status& failure)
{
    if (!std::exchange(unreachable_, true))
    {
        log_event(store_unreachable, {{"error", failure.message()}});
    }
    live_.set_unreachable();
    feed_.set_confirmed(std::nullopt);
}

bool configuration_controller::repair(stop_signal& stop)
{
    const live_snapshot before = live_.snapshot();
    const state_version configuration = version_of(before.configuration.get());
    const state_version view = version_of(before.view.get());
    const bool configuration_behind =
        is_behind(before.stored_configuration, configuration);
    const bool view_behind = is_behind(before.stored_view, view);
    if (!before.reachable || (!configuration_behind && !view_behind))
    {
        return true;
    }
    if (!stop.pause(repair_backoff_.next()))
    {
        return false;
    }
    bool written = false;
    if (configuration_behind)
    {
        written |= write_back(store_keys::configuration,
                              before.configuration_text,
                              before.stored_configuration.modified);
    }
    if (view_behind)
    {
        written |= write_back(store_keys::view,
                              write_view_record(*before.view),
                              before.stored_view.modified);
    }
    // Reading from the start shows whether another controller wrote first.
    last_index_ = store_index(0);
    return !written || stop.pause(watch_spacing);
}

bool configuration_controller::write_back(const std::string& key,
                                          const std::string& value,
                                          store_index expected)
{
    const absl::StatusOr<bool> written = store_.compare_and_swap(key, value, expected);
    if (written.ok() && *written)
    {
        log_event(store_repaired, {{"key", key}});
    }
    return written.ok() && *written;
}

} // namespace medlar
