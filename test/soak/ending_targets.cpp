#include "soak/ending_targets.hpp"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace medlar::soak
{

namespace
{

constexpr std::size_t target_count = 5;

constexpr millis event_gap{25};

// time between the two parts of an event, and from a part of an event to the end
constexpr millis part_gap{5};

// a sound target may fall silent for a second or so
constexpr millis silence{1000};

// time from an entry that says that the target leaves until it accepts no more
constexpr millis leaving_time{300};

// how long the store is away and back, where nothing states a start
constexpr millis outage{5000};
constexpr millis outage_gap{2500};

// time until a target that has started again writes its entry, if it is late
constexpr millis listing_delay{800};

const char* describe(answer_end how)
{
    return how == answer_end::cut_by_reset       ? " ends, its connections are reset"
           : how == answer_end::cut_within_event ? " ends within events"
                                                 : " ends";
}

} // namespace

ending_targets::ending_targets(event_loop& loop,
                               test::stand_in_store& store,
                               std::uint64_t seed,
                               start_report reports,
                               std::function<void(const std::string&)> record)
    : loop_(loop),
      store_(store),
      random_(seed),
      reports_(reports),
      record_(std::move(record)),
      has_versions_(seed % 2 == 0 || reports == start_report::missing)
{
    for (std::size_t i = 0; i < target_count; ++i)
    {
        add_target();
    }
}

void ending_targets::add_target()
{
    targets_.push_back(std::make_unique<ending_target>());
    ending_target& added = *targets_.back();
    added.server =
        std::make_unique<test::stand_in_target>(loop_,
                                                absl::StrCat("e-", targets_.size()),
                                                pool,
                                                [this, &added](const exchange_ptr& call)
                                                {
                                                    handle_call(added, call);
                                                });
    added.server->report_handler = [this, &added](const exchange_ptr& exchange)
    {
        when_not_silent(added,
                        [this, &added, exchange]
                        {
                            exchange->answer(status_ok, {}, report_of(added).dump());
                        });
    };
    added.path = std::make_unique<test::fault_proxy>(
        loop_, test::free_endpoint(), added.server->where());
    added.unreachable = test::free_endpoint();
    write_entry(added);
}

nlohmann::json ending_targets::report_of(const ending_target& target) const
{
    nlohmann::json said{{"busy", false}, {"sequence", target.sequence}};
    if (reports_ == start_report::stated)
    {
        said["born"] = target.server->started_ms;
    }
    return said;
}

void ending_targets::write_entry(ending_target& target)
{
    nlohmann::json entry = nlohmann::json::parse(target.server->entry(
        target.is_leaving ? "draining" : "ready", ++target.sequence));
    entry["address"] = to_string(target.path->where());
    store_.put(target.server->key(), entry.dump());
}

void ending_targets::write_entries()
{
    for (const auto& each : targets_)
    {
        write_entry(*each);
    }
}

std::string ending_targets::without_path(const std::string& key,
                                         const std::string& value) const
{
    for (const auto& each : targets_)
    {
        if (key == each->server->key())
        {
            nlohmann::json entry = nlohmann::json::parse(value);
            entry["address"] = to_string(each->unreachable);
            return entry.dump();
        }
    }
    return value;
}

void ending_targets::when_not_silent(ending_target& target, std::function<void()> action)
{
    const steady_time now = loop_.now();
    if (target.silent_until <= now)
    {
        action();
        return;
    }
    loop_.after(target.silent_until - now, std::move(action));
}

void ending_targets::handle_call(ending_target& target, const exchange_ptr& exchange)
{
    when_not_silent(target,
                    [this, &target, exchange]
                    {
                        if (exchange->is_disconnected() || target.is_down)
                        {
                            return;
                        }
                        if (absl::StartsWith(exchange->head().path(), "/ending"))
                        {
                            begin_stream(target, exchange);
                            return;
                        }
                        exchange->answer(status_ok, {}, "");
                    });
}

void ending_targets::begin_stream(ending_target& target, const exchange_ptr& exchange)
{
    // the path is /ROUTE/SHAPE/NAME
    const std::vector<std::string> path =
        absl::StrSplit(exchange->head().path(), '/', absl::SkipEmpty());
    const auto begun = std::make_shared<target_answer>();
    begun->exchange = exchange;
    begun->shape = stream_shape::from_text(path.at(1));
    begun->name = path.at(2);
    begun->target = target.server->key();
    begun->version = target.server->version.get<std::string>();
    begun->was_leaving = target.is_leaving;
    const std::string last(exchange->head().headers.get("Last-Event-Id"));
    begun->next_number =
        last.empty() ? begun->shape.first : begun->shape.next_after(std::stoi(last));
    answers_[begun->name].push_back(begun);
    target.answers.push_back(begun);

    header_list headers = test::signed_headers(*exchange);
    headers.add("Content-Type", "text/event-stream");
    if (target.is_leaving)
    {
        headers.add("Server-Leaving", "1");
    }
    std::size_t length = 0;
    for (int i = begun->next_number; i <= begun->shape.last(); ++i)
    {
        length +=
            begun->shape.event(i, absl::StrCat(begun->name, " ", begun->version)).size();
    }
    exchange->begin(200, "OK", headers, {begun->shape.framing, length});
    send_event(target, begun);
}

void ending_targets::send_event(ending_target& target, const answer_ptr& answer)
{
    if (answer->end != answer_end::open)
    {
        return;
    }
    if (answer->exchange->is_disconnected())
    {
        answer->end = answer_end::left;
        answer->ended_at = loop_.now();
        return;
    }
    if (answer->next_number > answer->shape.last())
    {
        finish(target, answer);
        return;
    }
    const std::string event = answer->shape.event(
        answer->next_number++, absl::StrCat(answer->name, " ", answer->version));
    const std::size_t part = answer->shape.is_split ? event.size() / 2 : event.size();
    answer->exchange->write(event.substr(0, part));
    if (part < event.size())
    {
        answer->is_within_event = true;
        loop_.after(part_gap,
                    [answer, rest = event.substr(part)]
                    {
                        if (answer->end == answer_end::open)
                        {
                            answer->is_within_event = false;
                            answer->exchange->write(rest);
                        }
                    });
    }
    const bool is_sent = answer->shape.framing == body_kind::length &&
                         answer->next_number > answer->shape.last();
    if (is_sent && part == event.size())
    {
        finish(target, answer);
        return;
    }
    loop_.after(event_gap,
                [this, &target, answer]
                {
                    when_not_silent(target,
                                    [this, &target, answer]
                                    {
                                        send_event(target, answer);
                                    });
                });
}

void ending_targets::finish(ending_target& target, const answer_ptr& answer)
{
    answer->end = answer_end::whole;
    answer->ended_at = loop_.now();
    answer->was_leaving = answer->was_leaving || target.is_leaving;
    if (answer->shape.framing == body_kind::until_close)
    {
        answer->exchange->abort();
    }
    else
    {
        answer->exchange->finish();
    }
    // one in so many ends of streams is followed by a silence
    constexpr std::uint64_t silent_ends = 40;
    if (is_ending_ && !target.is_leaving && random_.below(silent_ends) == 0)
    {
        fall_silent(target);
    }
}

void ending_targets::fall_silent(ending_target& target)
{
    if (target.silent_until <= loop_.now())
    {
        record_(target.server->key() + " is silent for a second");
        target.silent_until = loop_.now() + silence;
    }
}

void ending_targets::start_ends()
{
    is_ending_ = true;
    schedule_end();
    if (reports_ == start_report::missing)
    {
        schedule_outage();
    }
}

void ending_targets::schedule_outage()
{
    loop_.after(outage_gap,
                [this]
                {
                    if (!is_ending_)
                    {
                        return;
                    }
                    record_("the store is away");
                    store_.set_down(true);
                    loop_.after(outage,
                                [this]
                                {
                                    record_("the store is back");
                                    store_.set_down(false);
                                    schedule_outage();
                                });
                });
}

void ending_targets::schedule_end()
{
    loop_.after(millis(400 + static_cast<std::int64_t>(random_.below(600))),
                [this]
                {
                    if (is_ending_)
                    {
                        end_one();
                        schedule_end();
                    }
                });
}

void ending_targets::end_one()
{
    ending_target& target = *targets_[random_.below(targets_.size())];
    const std::uint64_t chance = random_.below(10);
    if (target.is_down || target.is_leaving)
    {
        return;
    }
    if (chance < 2)
    {
        leave(target);
    }
    else if (chance < 6)
    {
        end_process(target, answer_end::cut);
    }
    else
    {
        end_process(target,
                    chance < 8 ? answer_end::cut_within_event : answer_end::cut_by_reset);
    }
}

void ending_targets::end_process(ending_target& target, answer_end how)
{
    record_(absl::StrCat(target.server->key(), describe(how)));
    target.is_down = true;
    for (const answer_ptr& each : target.answers)
    {
        if (each->end != answer_end::open)
        {
            continue;
        }
        if (each->exchange->is_disconnected())
        {
            each->end = answer_end::left;
            continue;
        }
        const bool is_cut_in_part = how == answer_end::cut && each->is_within_event;
        each->end = is_cut_in_part ? answer_end::cut_within_event : how;
        if (how == answer_end::cut_within_event && !each->is_within_event)
        {
            const std::string event = each->shape.event(
                each->next_number, absl::StrCat(each->name, " ", each->version));
            each->exchange->write(event.substr(0, event.size() / 2));
        }
    }
    // what was written reaches the host first
    loop_.after(part_gap,
                [this, &target, how]
                {
                    close_connections(target, how);
                });
}

void ending_targets::close_connections(ending_target& target, answer_end how)
{
    how == answer_end::cut_by_reset ? target.path->stop_by_reset() : target.path->stop();
    const bool is_newer = has_versions_ && random_.below(3) != 0;
    const std::string version = is_newer ? absl::StrCat("v", ++last_version_)
                                         : target.server->version.get<std::string>();
    const steady_time now = loop_.now();
    for (const answer_ptr& each : target.answers)
    {
        each->ended_at = each->is_cut() ? now : each->ended_at;
        each->process_ended_at = now;
        each->next_version = version;
    }
    target.answers.clear();
    loop_.after(millis(300 + static_cast<std::int64_t>(random_.below(1200))),
                [this, &target, version]
                {
                    start_again(target, version);
                });
}

void ending_targets::start_again(ending_target& target, const std::string& version)
{
    record_(absl::StrCat(target.server->key(), " starts again as ", version));
    target.server->version = version;
    ++target.server->started_ms;
    target.server->restart_as(target.server->id());
    target.path->resume();
    target.is_down = false;
    target.is_leaving = false;
    const bool is_late = random_.below(2) == 0;
    loop_.after(is_late ? listing_delay : millis(0),
                [this, &target]
                {
                    write_entry(target);
                });
}

void ending_targets::leave(ending_target& target)
{
    record_(target.server->key() + " leaves");
    target.is_leaving = true;
    write_entry(target);
    loop_.after(leaving_time,
                [this, &target]
                {
                    target.path->refuse_new();
                    end_when_unused(target);
                });
}

void ending_targets::end_when_unused(ending_target& target)
{
    const bool is_used = std::any_of(target.answers.begin(),
                                     target.answers.end(),
                                     [](const answer_ptr& each)
                                     {
                                         return each->end == answer_end::open &&
                                                !each->exchange->is_disconnected();
                                     });
    if (is_used)
    {
        loop_.after(event_gap,
                    [this, &target]
                    {
                        end_when_unused(target);
                    });
        return;
    }
    end_process(target, answer_end::cut);
}

} // namespace medlar::soak
