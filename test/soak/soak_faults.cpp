// Course of a run: fault injection and the check of recovery.

#include "soak/soak_run.hpp"

#include <medlar/detail/http/status.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <csignal>

namespace medlar::soak
{

namespace
{

// the requests' deadline of 1,500 ms, plus scheduling delays of the processes on a small
// machine
constexpr std::int64_t max_request_ms = 2500;

// requests are still affected after a fault has ended: time to detect a lost path, plus
// the requests' deadline
constexpr millis fault_aftermath{3000};

// a configuration is in force within the bound of the hosts' settings, 2 s; as much again
// for a host whose path to the store was disturbed
constexpr millis dropped_route_bound{4000};

constexpr millis start_timeout{15000};
constexpr millis recovery_timeout{15000};
constexpr int recovery_probes = 20;

// grace_s of the hosts' settings, plus time until the exit is detected
constexpr millis max_shutdown_time{6000};

// pause between replacements of hosts; short enough for one pass forward and one back
constexpr millis replacement_interval{400};

constexpr std::array<std::pair<path_fault, const char*>, 5> faults{{
    {path_fault::delayed, "delayed"},
    {path_fault::resetting, "resetting"},
    {path_fault::requests_lost, "losing requests"},
    {path_fault::answers_lost, "losing answers"},
    {path_fault::silent, "silent"},
}};

} // namespace

void soak_run::record_event(const std::string& what)
{
    history_.push_back(
        absl::StrCat((time_.steady_now() - started_at_).count(), " ms: ", what));
}

const promises& soak_run::execute()
{
    started_at_ = time_.steady_now();
    for (const auto& each : hosts_)
    {
        if (!run_until(start_timeout,
                       [&]
                       {
                           return passes_probe(*each);
                       }))
        {
            promises_.record_violation(describe(*each) +
                                       " does not serve requests after its start");
            return promises_;
        }
    }
    inject_faults_ = true;
    callers_active_ = true;
    for (std::size_t i = 0; i < settings_.callers; ++i)
    {
        ++open_requests_;
        start_request();
    }
    if (settings_.inject_other_faults)
    {
        inject_fault();
        schedule_store_return();
    }
    if (settings_.end_targets)
    {
        start_ending_callers();
    }
    if (settings_.crash_targets)
    {
        schedule_crashing_request();
    }
    if (settings_.release_versions)
    {
        schedule_release();
    }
    if (settings_.evacuate_domains)
    {
        schedule_evacuations();
    }
    if (settings_.cold_targets)
    {
        schedule_cold_starts();
    }
    if (!settings_.older_program.empty())
    {
        replace_next_host();
    }
    run_until(settings_.fault_duration,
              []
              {
                  return false;
              });
    clear_faults();
    check_recovery();
    if (settings_.crash_targets)
    {
        check_crashes();
    }
    callers_active_ = false;
    run_until(recovery_timeout,
              [this]
              {
                  return open_requests_ == 0;
              });
    if (settings_.end_targets)
    {
        check_endings();
    }
    promises_.check(settings_.check_durations ? max_request_ms : 0);
    check_versions();
    if (settings_.evacuate_domains)
    {
        check_evacuations();
    }
    if (settings_.cold_targets)
    {
        check_cold_targets();
    }
    for (const auto& each : hosts_)
    {
        if (each->process->exited_unexpectedly())
        {
            promises_.record_violation(absl::StrCat(
                describe(*each), " exited unexpectedly: ", each->process->last_exit()));
        }
    }
    return promises_;
}

void soak_run::watch_processes()
{
    for (const auto& each : hosts_)
    {
        if (!each->process->is_running() && !each->restart_pending)
        {
            record_event(
                absl::StrCat(describe(*each), " exited: ", each->process->last_exit()));
            schedule_restart(*each);
        }
    }
}

void soak_run::schedule_restart(soak_host& host)
{
    host.restart_pending = true;
    const auto wait = millis(100 + static_cast<std::int64_t>(random_.below(900)));
    mark_disturbed(host, wait);
    loop_.after(wait,
                [this, &host]
                {
                    start_process(host);
                    host.restart_pending = false;
                    record_event(describe(host) + " restarts");
                    mark_disturbed(host, millis(0));
                });
}

void soak_run::replace_next_host()
{
    if (!inject_faults_)
    {
        return;
    }
    loop_.after(replacement_interval,
                [this]
                {
                    replace_next_host();
                });
    const auto awaits_replacement = [](const std::unique_ptr<soak_host>& each)
    {
        return each->is_older != each->next_is_older;
    };
    if (std::any_of(hosts_.begin(), hosts_.end(), awaits_replacement))
    {
        return;
    }
    const auto next = [this]
    {
        return std::find_if(hosts_.begin(),
                            hosts_.end(),
                            [this](const std::unique_ptr<soak_host>& each)
                            {
                                return each->is_older != goes_back_;
                            });
    };
    if (next() == hosts_.end())
    {
        goes_back_ = !goes_back_;
    }
    soak_host& host = **next();
    host.next_is_older = goes_back_;
    record_event(absl::StrCat(describe(host), " is replaced"));
    host.process->expect_exit();
    host.process->signal(SIGTERM);
    mark_disturbed(host, max_shutdown_time);
}

void soak_run::mark_disturbed(soak_host& host, millis span)
{
    host.disturbed_until =
        std::max(host.disturbed_until, time_.steady_now() + span + fault_aftermath);
}

void soak_run::inject_fault()
{
    if (!inject_faults_)
    {
        return;
    }
    probe_dropped_route();
    soak_host& host = *hosts_[random_.below(hosts_.size())];
    switch (random_.below(7))
    {
        case 0:
        case 1:
        case 2:
            inject_process_fault(host);
            break;
        case 3:
            inject_path_fault(*host.link_path, "link of " + host.name, &host);
            break;
        case 4:
            inject_store_fault();
            break;
        case 5:
            inject_target_fault();
            break;
        default:
            put_configuration();
            record_event("new configuration version");
    }
    loop_.after(millis(50 + static_cast<std::int64_t>(random_.below(700))),
                [this]
                {
                    inject_fault();
                });
}

void soak_run::inject_process_fault(soak_host& host)
{
    const auto span = millis(200 + static_cast<std::int64_t>(random_.below(1800)));
    switch (random_.below(5))
    {
        case 0:
            record_event("kill " + host.name);
            host.process->expect_exit();
            host.process->signal(SIGKILL);
            break;
        case 1:
            record_event("stop " + host.name);
            host.process->expect_exit();
            host.process->signal(SIGTERM);
            mark_disturbed(host, max_shutdown_time);
            break;
        case 2:
            record_event(absl::StrCat("pause ", host.name, " for ", span.count(), " ms"));
            host.process->signal(SIGSTOP);
            host.is_paused = true;
            mark_disturbed(host, span);
            // other hosts may wait for keys that the paused host owns
            all_disturbed_until_ = std::max(all_disturbed_until_,
                                            time_.steady_now() + span + fault_aftermath);
            loop_.after(span,
                        [&host]
                        {
                            host.process->signal(SIGCONT);
                            host.is_paused = false;
                        });
            break;
        case 3:
            record_event("reload " + host.name);
            host.process->write_settings(settings_json(host));
            host.process->signal(SIGHUP);
            break;
        default:
            // a process that has not read its settings yet would rightly end
            if (!host.process->has_logged())
            {
                break;
            }
            record_event("reload " + host.name + " with invalid settings");
            host.process->write_settings("{");
            host.process->signal(SIGHUP);
    }
    mark_disturbed(host, millis(0));
}

void soak_run::inject_path_fault(fault_proxy& path,
                                 const std::string& name,
                                 soak_host* of)
{
    const auto& fault = faults[random_.below(faults.size())];
    const auto span = millis(200 + static_cast<std::int64_t>(random_.below(2000)));
    record_event(absl::StrCat(name, " is ", fault.second, " for ", span.count(), " ms"));
    path.set_fault(fault.first);
    if (of != nullptr)
    {
        mark_disturbed(*of, span);
    }
    all_disturbed_until_ =
        std::max(all_disturbed_until_, time_.steady_now() + span + fault_aftermath);
    loop_.after(span,
                [&path]
                {
                    path.set_fault(path_fault::none);
                });
}

void soak_run::inject_store_fault()
{
    if (random_.below(2) == 0)
    {
        inject_path_fault(*store_path_, "the store", nullptr);
        return;
    }
    const auto span = millis(200 + static_cast<std::int64_t>(random_.below(3000)));
    record_event(absl::StrCat("the store is down for ", span.count(), " ms"));
    store_.set_down(true);
    loop_.after(span,
                [this]
                {
                    store_.set_down(false);
                    store_.compact();
                });
}

void soak_run::inject_target_fault()
{
    soak_target& target = targets_[random_.below(targets_.size())];
    if (random_.below(2) == 0)
    {
        inject_path_fault(*target.path, "target " + target.server->key(), nullptr);
        return;
    }
    target.is_failing = !target.is_failing;
    record_event(absl::StrCat(target.server->key(),
                              target.is_failing ? " starts failing" : " stops failing"));
}

void soak_run::schedule_store_return()
{
    store_.save_copy();
    const auto age = millis(500 + static_cast<std::int64_t>(return_random_.below(3000)));
    loop_.after(age,
                [this]
                {
                    if (inject_faults_)
                    {
                        return_store_from_copy();
                        schedule_store_return();
                    }
                });
}

void soak_run::return_store_from_copy()
{
    record_event("the store returns from an old copy");
    store_.return_from_copy();
    // the operator and the targets write again what they had written since
    const auto delay =
        millis(200 + static_cast<std::int64_t>(return_random_.below(1500)));
    loop_.after(delay,
                [this]
                {
                    write_again();
                });
}

void soak_run::write_again()
{
    write_configuration();
    write_evacuations_again();
    for (soak_target& each : targets_)
    {
        write_entry(each);
    }
    if (settings_.end_targets)
    {
        ending_targets_->write_entries();
    }
}

void soak_run::probe_dropped_route()
{
    soak_host& host = *hosts_[return_random_.below(hosts_.size())];
    const auto now = time_.steady_now();
    const auto version =
        1 + static_cast<int>(return_random_.below(static_cast<std::uint64_t>(version_)));
    const auto replaced = replaced_at_.find(version);
    const bool is_dropped =
        replaced != replaced_at_.end() && now - replaced->second > dropped_route_bound;
    const bool is_disturbed = std::max(host.disturbed_until, all_disturbed_until_) >= now;
    if (!is_dropped || is_disturbed)
    {
        return;
    }
    call_callbacks events;
    events.on_head = [this, version, &host](const answer_head& head)
    {
        if (head.status == status_ok)
        {
            promises_.record_violation(absl::StrCat(
                describe(host), " served the dropped route of version ", version));
        }
    };
    const std::string attempt = absl::StrCat("d", settings_.seed, "x", ++last_attempt_);
    client_.start(
        host.callers,
        test::request_text("GET", absl::StrCat("/version-", version, "/x"), attempt),
        {},
        events);
}

void soak_run::clear_faults()
{
    inject_faults_ = false;
    record_event("all faults end");
    withdraw_all();
    store_.set_down(false);
    store_path_->set_fault(path_fault::none);
    for (soak_target& each : targets_)
    {
        each.is_failing = false;
        each.limit.clear();
        each.path->set_fault(path_fault::none);
    }
    if (settings_.end_targets)
    {
        ending_targets_->stop_ends();
        ending_callers_->stop();
    }
    for (const auto& each : hosts_)
    {
        each->link_path->set_fault(path_fault::none);
        each->process->signal(SIGCONT);
        each->is_paused = false;
        each->process->write_settings(settings_json(*each));
    }
}

bool soak_run::passes_probe(soak_host& host)
{
    auto successful = std::make_shared<int>(0);
    auto ended = std::make_shared<int>(0);
    for (int i = 0; i < recovery_probes; ++i)
    {
        send(host,
             request_kind::idempotent,
             [successful, ended](int status)
             {
                 ++*ended;
                 *successful += status == 200 ? 1 : 0;
             });
    }
    run_until(recovery_timeout,
              [ended]
              {
                  return *ended == recovery_probes;
              });
    return *successful == recovery_probes;
}

void soak_run::check_recovery()
{
    for (const auto& each : hosts_)
    {
        if (!run_until(recovery_timeout,
                       [&]
                       {
                           return passes_probe(*each);
                       }))
        {
            promises_.record_violation(
                describe(*each) + " does not serve requests after all faults have ended");
        }
    }
}

} // namespace medlar::soak
