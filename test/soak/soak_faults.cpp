// What is done to the processes and the paths of a run, and its course.

#include "soak/soak_run.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <csignal>

namespace medlar::soak
{

namespace
{

// the deadline of 1,500 ms, and time for the processes of a small machine to take turns
constexpr std::int64_t longest_request_ms = 2500;

// a request may have begun before a fault and be disturbed by what it leaves behind: the
// time until a lost path is noticed, and the deadline
constexpr millis after_effect{3000};

constexpr millis longest_start{15000};
constexpr millis longest_recovery{15000};
constexpr int answers_of_recovery = 20;

// the grace of the settings, and time for the process to be seen
constexpr millis longest_leave{6000};

constexpr std::array<std::pair<path_fault, const char*>, 5> faults{{
    {path_fault::delayed, "delayed"},
    {path_fault::resetting, "resetting"},
    {path_fault::requests_lost, "cut towards it"},
    {path_fault::answers_lost, "cut from it"},
    {path_fault::silent, "silent"},
}};

} // namespace

void soak_run::note(const std::string& what)
{
    history_.push_back(
        absl::StrCat((time_.steady_now() - began_).count(), " ms: ", what));
}

const promises& soak_run::play()
{
    began_ = time_.steady_now();
    for (const auto& each : hosts_)
    {
        if (!until(longest_start,
                   [&]
                   {
                       return answers_many(*each);
                   }))
        {
            book_.broken(each->name + " does not serve after its start");
            return book_;
        }
    }
    faults_come_ = true;
    is_calling_ = true;
    for (std::size_t i = 0; i < settings_.callers; ++i)
    {
        ++open_requests_;
        begin_request();
    }
    next_fault();
    until(settings_.faults_for,
          []
          {
              return false;
          });
    lift_faults();
    check_recovery();
    is_calling_ = false;
    until(longest_recovery,
          [this]
          {
              return open_requests_ == 0;
          });
    book_.check(settings_.checks_times ? longest_request_ms : 0);
    for (const auto& each : hosts_)
    {
        if (each->process->ended_by_itself())
        {
            book_.broken(absl::StrCat(
                each->name, " ended by itself: ", each->process->last_end()));
        }
    }
    return book_;
}

void soak_run::watch_processes()
{
    for (const auto& each : hosts_)
    {
        if (!each->process->is_running() && !each->restart_is_due)
        {
            note(absl::StrCat(each->name, " ended: ", each->process->last_end()));
            restart_later(*each);
        }
    }
}

void soak_run::restart_later(soak_host& host)
{
    host.restart_is_due = true;
    const auto wait = millis(100 + static_cast<std::int64_t>(random_.below(900)));
    disturb(host, wait);
    loop_.after(wait,
                [this, &host]
                {
                    host.process->write_settings(settings_of(host));
                    host.process->start();
                    host.restart_is_due = false;
                    note(host.name + " starts again");
                    disturb(host, millis(0));
                });
}

void soak_run::disturb(soak_host& host, millis span)
{
    host.disturbed_until =
        std::max(host.disturbed_until, time_.steady_now() + span + after_effect);
}

void soak_run::next_fault()
{
    if (!faults_come_)
    {
        return;
    }
    soak_host& host = *hosts_[random_.below(hosts_.size())];
    switch (random_.below(7))
    {
        case 0:
        case 1:
        case 2:
            fault_process(host);
            break;
        case 3:
            fault_a_path(*host.link_path, "link of " + host.name, &host);
            break;
        case 4:
            fault_store();
            break;
        case 5:
            fault_target();
            break;
        default:
            put_configuration();
            note("the configuration changes");
    }
    loop_.after(millis(50 + static_cast<std::int64_t>(random_.below(700))),
                [this]
                {
                    next_fault();
                });
}

void soak_run::fault_process(soak_host& host)
{
    const auto span = millis(200 + static_cast<std::int64_t>(random_.below(1800)));
    switch (random_.below(5))
    {
        case 0:
            note("kill " + host.name);
            host.process->expect_end();
            host.process->signal(SIGKILL);
            break;
        case 1:
            note("stop " + host.name);
            host.process->expect_end();
            host.process->signal(SIGTERM);
            disturb(host, longest_leave);
            break;
        case 2:
            note(absl::StrCat("pause ", host.name, " for ", span.count(), " ms"));
            host.process->signal(SIGSTOP);
            disturb(host, span);
            // its peers may wait for what it owns
            all_disturbed_until_ =
                std::max(all_disturbed_until_, time_.steady_now() + span + after_effect);
            loop_.after(span,
                        [&host]
                        {
                            host.process->signal(SIGCONT);
                        });
            break;
        case 3:
            note("reload " + host.name);
            host.process->write_settings(settings_of(host));
            host.process->signal(SIGHUP);
            break;
        default:
            note("reload " + host.name + " with settings that cannot be read");
            host.process->write_settings("{");
            host.process->signal(SIGHUP);
    }
    disturb(host, millis(0));
}

void soak_run::fault_a_path(fault_proxy& path, const std::string& name, soak_host* of)
{
    const auto& fault = faults[random_.below(faults.size())];
    const auto span = millis(200 + static_cast<std::int64_t>(random_.below(2000)));
    note(absl::StrCat(name, " is ", fault.second, " for ", span.count(), " ms"));
    path.set_fault(fault.first);
    if (of != nullptr)
    {
        disturb(*of, span);
    }
    all_disturbed_until_ =
        std::max(all_disturbed_until_, time_.steady_now() + span + after_effect);
    loop_.after(span,
                [&path]
                {
                    path.set_fault(path_fault::none);
                });
}

void soak_run::fault_store()
{
    if (random_.below(2) == 0)
    {
        fault_a_path(*store_path_, "the store", nullptr);
        return;
    }
    const auto span = millis(200 + static_cast<std::int64_t>(random_.below(3000)));
    note(absl::StrCat("the store is down for ", span.count(), " ms"));
    store_.set_down(true);
    loop_.after(span,
                [this]
                {
                    store_.set_down(false);
                    store_.compact();
                });
}

void soak_run::fault_target()
{
    soak_target& target = targets_[random_.below(targets_.size())];
    if (random_.below(2) == 0)
    {
        fault_a_path(*target.path, "target " + target.server->key(), nullptr);
        return;
    }
    target.is_failing = !target.is_failing;
    note(absl::StrCat(target.server->key(), target.is_failing ? " fails" : " works"));
}

void soak_run::lift_faults()
{
    faults_come_ = false;
    note("all faults are over");
    store_.set_down(false);
    store_path_->set_fault(path_fault::none);
    for (soak_target& each : targets_)
    {
        each.is_failing = false;
        each.path->set_fault(path_fault::none);
    }
    for (const auto& each : hosts_)
    {
        each->link_path->set_fault(path_fault::none);
        each->process->signal(SIGCONT);
        each->process->write_settings(settings_of(*each));
    }
}

bool soak_run::answers_many(soak_host& host)
{
    auto good = std::make_shared<int>(0);
    auto ended = std::make_shared<int>(0);
    for (int i = 0; i < answers_of_recovery; ++i)
    {
        send(host,
             request_kind::idempotent,
             [good, ended](int status)
             {
                 ++*ended;
                 *good += status == 200 ? 1 : 0;
             });
    }
    until(longest_recovery,
          [ended]
          {
              return *ended == answers_of_recovery;
          });
    return *good == answers_of_recovery;
}

void soak_run::check_recovery()
{
    for (const auto& each : hosts_)
    {
        if (!until(longest_recovery,
                   [&]
                   {
                       return answers_many(*each);
                   }))
        {
            book_.broken(each->name + " does not serve again after all faults are over");
        }
    }
}

} // namespace medlar::soak
