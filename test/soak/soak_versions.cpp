// Targets of several software versions, and callers that take up streams that broke off.

#include "soak/soak_run.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace medlar::soak
{

namespace
{

constexpr millis release_interval{900};

// time from the end of a target until it is back at a newer version
constexpr millis replacement_time{200};

// time until a target that has kept its id writes its entry
constexpr millis listing_delay{800};

// joined streams that are tolerated in a run
constexpr std::size_t max_joined_streams = 2;

std::size_t count_events(absl::string_view body)
{
    std::size_t count = 0;
    for (std::size_t at = body.find("\n\n"); at != absl::string_view::npos;
         at = body.find("\n\n", at + 1))
    {
        ++count;
    }
    return count;
}

} // namespace

void soak_run::schedule_release()
{
    loop_.after(release_interval,
                [this]
                {
                    if (!inject_faults_)
                    {
                        return;
                    }
                    soak_target& target =
                        targets_[release_random_.below(targets_.size())];
                    if (!target.is_down)
                    {
                        release(target);
                    }
                    schedule_release();
                });
}

void soak_run::release(soak_target& target)
{
    target.is_down = true;
    target.path->stop();
    const std::string version = absl::StrCat("v", 3 + last_release_++ / 2);
    // every second target keeps its id, and its old entry for a while
    const bool keeps_id = last_release_ % 2 == 0;
    const std::string successor =
        keeps_id ? target.server->id() : absl::StrCat("t-r", last_release_);
    record_event(absl::StrCat(
        target.server->key(), " is replaced by ", successor, " of ", version));
    if (!keeps_id)
    {
        store_.remove(target.server->key());
    }
    loop_.after(replacement_time,
                [this, &target, version, successor]
                {
                    target.server->version = version;
                    ++target.server->started_ms;
                    begin_cold(target);
                    target.server->restart_as(successor);
                    target.path->resume();
                    target.is_down = false;
                });
    loop_.after(replacement_time + (keeps_id ? listing_delay : millis(0)),
                [this, &target]
                {
                    write_entry(target);
                });
}

void soak_run::record_version(std::size_t target, const caller_exchange& exchange)
{
    const header_list& headers = exchange.head().headers;
    const std::string attempt(headers.get("Attempt-Id"));
    const std::string version = targets_[target].server->version.get<std::string>();
    if (headers.get("Last-Event-Id").empty())
    {
        began_at_[attempt].insert(version);
        return;
    }
    const std::string resumed(headers.get("Resumes"));
    const std::set<std::string>& origins = began_at_[resumed.empty() ? attempt : resumed];
    if (origins.count(version) == 0)
    {
        joined_.push_back(absl::StrCat(
            attempt, " of ", absl::StrJoin(origins, " or "), " at ", version));
    }
}

void soak_run::take_up(const request_record& broken)
{
    const std::size_t events = count_events(broken.body);
    if (broken.kind != request_kind::stream || broken.is_complete || events == 0)
    {
        return;
    }
    ++taken_up_;
    const soak_host& to = *hosts_[release_random_.below(hosts_.size())];
    client_.start(to.callers,
                  test::request_text("POST",
                                     "/stream/x",
                                     absl::StrCat("r", broken.attempt),
                                     "b",
                                     absl::StrCat("Prompt-Prefix: shared:10,own-",
                                                  broken.attempt,
                                                  ":5\r\nLast-Event-Id: ",
                                                  events,
                                                  "\r\nResumes: ",
                                                  broken.attempt,
                                                  "\r\n")),
                  {},
                  {});
}

void soak_run::check_versions()
{
    record_event(absl::StrCat(taken_up_, " streams were taken up"));
    if (joined_.size() <= max_joined_streams)
    {
        return;
    }
    for (const std::string& each : joined_)
    {
        promises_.record_violation("a stream went on at another version: " + each);
    }
}

} // namespace medlar::soak
