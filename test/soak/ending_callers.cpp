#include "soak/ending_callers.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace medlar::soak
{

namespace
{

constexpr millis caller_timeout{10000};
constexpr millis try_pause{50};
constexpr std::size_t max_tries = 5;

// a host may take so long to find out that the target of a whole stream lives on
constexpr millis settled_time{500};

// joined streams that are tolerated in a run
constexpr int max_joined_streams = 2;

const char* name_of(const target_answer& answer)
{
    switch (answer.end)
    {
        case answer_end::cut:
            return "FIN";
        case answer_end::cut_within_event:
            return "FIN-within";
        case answer_end::cut_by_reset:
            return "RST";
        default:
            break;
    }
    const bool ends_soon = answer.process_ended_at &&
                           *answer.process_ended_at < answer.ended_at + settled_time;
    return answer.was_leaving ? (ends_soon ? "leaving-soon" : "leaving")
                              : (ends_soon ? "soon" : "none");
}

} // namespace

ending_callers::ending_callers(event_loop& loop,
                               ending_targets& targets,
                               std::vector<endpoint> hosts,
                               std::uint64_t seed)
    : loop_(loop),
      targets_(targets),
      hosts_(std::move(hosts)),
      seed_(seed),
      random_(~seed),
      started_at_(loop.now())
{
}

void ending_callers::start(std::size_t count)
{
    is_active_ = true;
    for (std::size_t i = 0; i < count; ++i)
    {
        begin_stream();
    }
}

void ending_callers::begin_stream()
{
    if (!is_active_)
    {
        return;
    }
    const stream_shape shape = stream_shape::draw(random_);
    const auto begun = std::make_shared<caller_stream>(
        numbered_stream(absl::StrCat("n", seed_, "x", streams_.size()), shape));
    begun->may_resume = random_.below(3) != 0;
    begun->takes_up = random_.below(4) != 0;
    streams_.push_back(begun);
    ++open_;
    // a third of the streams go over the hop
    const std::size_t direct_hosts = std::max<std::size_t>(1, hosts_.size() - 1);
    send(begun, random_.below(3) == 0 ? hosts_.size() - 1 : random_.below(direct_hosts));
}

std::string ending_callers::request_of(const caller_stream& stream,
                                       const std::string& attempt) const
{
    std::string text = absl::StrCat("POST ",
                                    stream.may_resume ? "/ending/" : "/ending-once/",
                                    stream.seen.shape().text(),
                                    "/",
                                    stream.seen.name(),
                                    " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: ",
                                    attempt,
                                    "\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer "
                                    "key-1\r\nPrompt-Prefix: shared:10,own-",
                                    stream.seen.name(),
                                    ":5\r\n");
    if (stream.seen.has_events())
    {
        absl::StrAppend(&text,
                        "Last-Event-Id: ",
                        stream.seen.last_number(),
                        "\r\nResumes: ",
                        stream.began_with,
                        "\r\n");
    }
    return text + "Content-Length: 1\r\n\r\nb";
}

void ending_callers::send(const stream_ptr& stream, std::size_t host)
{
    const auto sent = std::make_shared<stream_try>();
    sent->attempt = absl::StrCat(stream->seen.name(), "t", stream->tries.size());
    sent->host = host;
    stream->tries.push_back(sent);
    call_callbacks events;
    events.on_head = [sent](const answer_head& head)
    {
        sent->status = head.status;
    };
    events.on_data = [sent](absl::string_view data)
    {
        sent->body.append(data.data(), data.size());
    };
    events.on_end = [this, stream, sent](call_end how)
    {
        sent->is_complete = how == call_end::complete;
        end_try(stream, sent);
    };
    sent->call =
        client_.start(hosts_.at(host), request_of(*stream, sent->attempt), {}, events);
    loop_.after(caller_timeout,
                [this, stream, sent]
                {
                    if (!sent->is_done)
                    {
                        sent->call->cancel();
                        end_try(stream, sent);
                    }
                });
}

void ending_callers::end_try(const stream_ptr& stream,
                             const std::shared_ptr<stream_try>& ended)
{
    if (ended->is_done)
    {
        return;
    }
    ended->is_done = true;
    ended->ended_at = loop_.now();
    const bool had_events = stream->seen.has_events();
    stream->was_taken_up = stream->was_taken_up || had_events;
    if (ended->status == status_ok)
    {
        stream->went_on = stream->went_on || had_events;
        stream->seen.add_answer(ended->body, ended->is_complete);
        if (!had_events && stream->seen.has_events())
        {
            stream->began_with = ended->attempt;
        }
    }
    const bool was_answered = ended->status == status_ok && ended->is_complete;
    const bool may_go_on = stream->may_resume || ended->status == status_unavailable;
    if (was_answered || !stream->takes_up || !may_go_on ||
        stream->tries.size() >= max_tries)
    {
        end_stream(stream);
        return;
    }
    loop_.after(try_pause,
                [this, stream, last = ended->host]
                {
                    const std::size_t others =
                        std::max<std::size_t>(1, hosts_.size() - 1);
                    const std::size_t further = 1 + random_.below(others);
                    send(stream, (last + further) % hosts_.size());
                });
}

void ending_callers::end_stream(const stream_ptr&)
{
    --open_;
    loop_.after(millis(5 + static_cast<std::int64_t>(random_.below(40))),
                [this]
                {
                    begin_stream();
                });
}

bool ending_callers::was_cut(const std::string& name)
{
    const auto& answers = targets_.answers_of(name);
    return std::any_of(answers.begin(),
                       answers.end(),
                       [](const ending_targets::answer_ptr& each)
                       {
                           const bool is_settled =
                               each->end == answer_end::whole &&
                               (!each->process_ended_at ||
                                *each->process_ended_at > each->ended_at + settled_time);
                           const bool was_closed_by_host =
                               each->end == answer_end::left && !each->process_ended_at;
                           return !is_settled && !was_closed_by_host;
                       });
}

std::string ending_callers::class_of(const caller_stream& stream)
{
    std::string end = "none";
    std::string version = "-";
    for (const auto& each : targets_.answers_of(stream.seen.name()))
    {
        // the last one that was cut, if any
        if (end == "none" || each->is_cut())
        {
            end = name_of(*each);
        }
        if (each->is_cut())
        {
            version = each->next_version == each->version ? "same" : "newer";
        }
    }
    return absl::StrCat(stream.seen.shape().framing_name(),
                        " ",
                        end,
                        " ",
                        version,
                        stream.may_resume ? " resumable" : " once",
                        stream.takes_up ? " taken-up" : " left",
                        stream.tries.front()->host + 1 == hosts_.size() ? " hop"
                                                                        : " direct");
}

void ending_callers::report(const caller_stream& stream, const std::string& what)
{
    std::string text = absl::StrCat("stream ", stream.seen.name(), " (");
    absl::StrAppend(&text, class_of(stream), ", shape ", stream.seen.shape().text());
    for (const auto& each : stream.tries)
    {
        absl::StrAppend(&text,
                        "; host-",
                        each->host,
                        " ",
                        each->status,
                        each->is_complete ? " complete" : " broken",
                        " at ",
                        (each->ended_at - started_at_).count(),
                        " ms");
    }
    for (const auto& each : targets_.answers_of(stream.seen.name()))
    {
        absl::StrAppend(&text, "; ", each->target, " ", each->version);
        absl::StrAppend(&text,
                        " up to ",
                        each->next_number - 1,
                        " ",
                        name_of(*each),
                        " at ",
                        (each->ended_at - started_at_).count(),
                        " ms");
    }
    violations_.push_back(absl::StrCat(text, "): ", what));
}

ending_counts ending_callers::check_stream(const caller_stream& stream, bool is_strict)
{
    ending_counts counts;
    counts.streams = 1;
    const numbered_stream& seen = stream.seen;
    if (seen.ended_early_as_whole)
    {
        counts.early_as_whole = 1;
        report(stream,
               absl::StrCat("ended as complete after number ", seen.last_number()));
    }
    if (seen.misses_numbers)
    {
        counts.missing = 1;
        report(stream, "misses numbers");
    }
    if (seen.repeats_numbers)
    {
        counts.repeated = 1;
        report(stream, "repeats numbers, or goes back");
    }
    if (seen.has_foreign_data)
    {
        counts.foreign = 1;
        report(stream, "has data of another stream");
    }
    counts.joined = seen.versions.size() > 1 ? 1 : 0;
    counts.taken_up = stream.was_taken_up ? 1 : 0;
    counts.went_on = stream.went_on ? 1 : 0;
    check_end(stream, is_strict, counts);
    return counts;
}

void ending_callers::check_end(const caller_stream& stream,
                               bool is_strict,
                               ending_counts& counts)
{
    const numbered_stream& seen = stream.seen;
    if (seen.is_whole())
    {
        counts.whole = 1;
        const auto& last = targets_.answers_of(seen.name()).back();
        counts.latest_end = last->end == answer_end::whole
                                ? stream.tries.back()->ended_at - last->ended_at
                                : millis(0);
    }
    else if (!seen.ended_early_as_whole)
    {
        ++(seen.has_events() ? counts.visibly_broken : counts.not_begun);
    }
    const bool has_broken_try =
        std::any_of(stream.tries.begin(),
                    stream.tries.end(),
                    [](const std::shared_ptr<stream_try>& each)
                    {
                        return each->status == status_ok && !each->is_complete;
                    });
    if (has_broken_try && !was_cut(seen.name()))
    {
        counts.sound_broken = 1;
        if (is_strict)
        {
            report(stream, "broke off, but no target broke it off");
        }
    }
}

std::vector<std::string> ending_callers::check(bool is_strict)
{
    for (const stream_ptr& each : streams_)
    {
        const ending_counts counts = check_stream(*each, is_strict);
        joined_ += counts.joined;
        add(table_, {{class_of(*each), counts}});
        add(table_, {{"shape " + each->seen.shape().text(), counts}});
    }
    for (const stream_ptr& each : streams_)
    {
        if (joined_ > max_joined_streams && each->seen.versions.size() > 1)
        {
            report(*each,
                   "joins versions " + absl::StrJoin(each->seen.versions, " and "));
        }
    }
    return violations_;
}

} // namespace medlar::soak
