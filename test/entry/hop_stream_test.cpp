#include "support/entry/cut_group.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

using exchange_ptr = std::shared_ptr<caller_exchange>;

constexpr int event_count = 7;

// time for the hosts to learn of a change
constexpr millis change_time{1000};

// time for the hosts to make known which streams they have begun
constexpr millis record_time{1000};

std::string event_text(int number, const std::string& version)
{
    return absl::StrCat("id: ", number, "\ndata: ", version, "\n\n");
}

/// Returns the number of the last event that the sender of a request has.
int last_event_of(const caller_exchange& exchange)
{
    int last = 0;
    return absl::SimpleAtoi(exchange.head().headers.get("Last-Event-Id"), &last) ? last
                                                                                 : 0;
}

/// A stream as its caller gets it in several tries
class caller_stream
{
  public:
    explicit caller_stream(std::string path) : path_(std::move(path))
    {
    }

    const std::string& path() const
    {
        return path_;
    }

    /// the headers of the next try
    std::string headers() const
    {
        return last_ == 0 ? std::string()
                          : absl::StrCat("Last-Event-Id: ",
                                         last_,
                                         "\r\nResumes: ",
                                         first_attempt_,
                                         "\r\n");
    }

    /// Adds what one try has brought, and expects that it goes on with what was there.
    /// @param max_events the caller leaves after so many of its events
    void
    add(const received_answer& got, const std::string& what, int max_events = event_count)
    {
        if (got.status != 200)
        {
            return;
        }
        const std::vector<std::string> events = absl::StrSplit(got.body, "\n\n");
        int added = 0;
        // the last one is empty, or not whole
        for (std::size_t i = 0; i + 1 < events.size() && added < max_events; ++i, ++added)
        {
            add_event(events[i], std::string(got.headers.get("Attempt-Id")), what);
        }
        is_whole_ = got.end == call_end::complete && max_events >= event_count;
        if (is_whole_)
        {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, event_count, last_);
        }
    }

    bool is_whole() const
    {
        return is_whole_;
    }

    int last() const
    {
        return last_;
    }

  private:
    void add_event(const std::string& text,
                   const std::string& attempt,
                   const std::string& what)
    {
        const std::vector<std::string> lines = absl::StrSplit(text, '\n');
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::size_t{2}, lines.size());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, absl::StrCat("id: ", last_ + 1), lines[0]);
        ++last_;
        if (first_attempt_.empty())
        {
            first_attempt_ = attempt;
            version_ = lines[1];
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, version_, lines[1]);
    }

    std::string path_;
    int last_ = 0;
    std::string first_attempt_;
    std::string version_;
    bool is_whole_ = false;
};

/// three hosts, of which the first has no path, in front of targets of two versions
class cut_streams : public cut_group
{
  public:
    cut_streams()
    {
        answer = [this](const exchange_ptr& exchange)
        {
            const std::string id(exchange->head().headers.get("Expect-Instance"));
            std::string body;
            for (int i = last_event_of(*exchange) + 1; i <= event_count; ++i)
            {
                body += event_text(i, version_of(id));
            }
            exchange->answer(200, signed_headers(*exchange), body);
        };
        restart_target(1, "v2");
        restart_target(3, "v2");
        run_for(change_time);
    }

    std::string version_of(const std::string& id) const
    {
        for (const auto& each : targets)
        {
            if (each->id() == id)
            {
                return each->version.get<std::string>();
            }
        }
        return "none";
    }
};

/// hosts in front of targets that send the events of a stream in two parts
class parted_streams : public partitioned_group
{
  public:
    parted_streams() : partitioned_group(4, 6, 0)
    {
        for (std::size_t i = 0; i < targets.size(); i += 2)
        {
            targets[i]->version = "v2";
            targets[i]->restart(targets[i]->started_ms + 1);
            store.put(targets[i]->key(), targets[i]->entry());
        }
        answer = [this](const exchange_ptr& exchange)
        {
            answer_part(exchange);
        };
        run_for(change_time);
        cut(0, path_cut::refused);
    }

    /// Breaks the streams off within an event.
    void break_streams()
    {
        is_parting = false;
        for (const waiting_stream& each : std::exchange(waiting, {}))
        {
            const std::string next = event_text(each.last + 1, each.version);
            each.exchange->write(next.substr(0, next.size() / 2));
            each.exchange->abort();
        }
    }

    struct waiting_stream
    {
        exchange_ptr exchange;
        std::string version;
        int last = 0;
    };

    /// whether targets wait in the middle of a stream
    bool is_parting = true;
    std::vector<waiting_stream> waiting;

  private:
    static void write_events(const waiting_stream& stream, int until)
    {
        for (int i = stream.last + 1; i <= until; ++i)
        {
            stream.exchange->write(event_text(i, stream.version));
        }
    }

    void answer_part(const exchange_ptr& exchange)
    {
        const std::string id(exchange->head().headers.get("Expect-Instance"));
        const auto target = std::find_if(targets.begin(),
                                         targets.end(),
                                         [&](const auto& each)
                                         {
                                             return each->id() == id;
                                         });
        waiting_stream stream{
            exchange, (*target)->version.get<std::string>(), last_event_of(*exchange)};
        exchange->begin(200, "OK", signed_headers(*exchange), {body_kind::chunked, 0});
        if (!is_parting)
        {
            write_events(stream, event_count);
            exchange->finish();
            return;
        }
        const int middle = std::min(event_count, stream.last + 2);
        write_events(stream, middle);
        stream.last = middle;
        waiting.push_back(stream);
    }
};

/// hosts in front of targets of two versions, which new streams share
class shared_streams : public partitioned_group
{
  public:
    shared_streams() : partitioned_group(4, 6, 0)
    {
        for (std::size_t i = 0; i < targets.size(); i += 2)
        {
            targets[i]->version = "v2";
            targets[i]->restart(targets[i]->started_ms + 1);
            store.put(targets[i]->key(), targets[i]->entry());
        }
        answer = [this](const exchange_ptr& exchange)
        {
            const std::string id(exchange->head().headers.get("Expect-Instance"));
            std::string body;
            for (int i = last_event_of(*exchange) + 1; i <= event_count; ++i)
            {
                body += event_text(i, versions_.at(id));
            }
            exchange->answer(200, signed_headers(*exchange), body);
        };
        for (const auto& each : targets)
        {
            versions_[each->id()] = each->version.get<std::string>();
        }
        CPPUNIT_ASSERT(until(
            [this]
            {
                return store.has_key_with_prefix("medlar/shares/");
            }));
        run_for(change_time);
    }

    /// Cuts the paths of a host to the targets of a version.
    void cut_from_version(std::size_t host, const std::string& version)
    {
        for (std::size_t i = 0; i < targets.size(); ++i)
        {
            if (targets[i]->version == version)
            {
                cut_from(host, i);
            }
        }
    }

  private:
    std::map<std::string, std::string> versions_;
};

class a_stream_that_another_host_runs : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_stream_that_another_host_runs);
    CPPUNIT_TEST(goes_on_with_its_next_event_when_the_answer_of_that_host_is_cut);
    CPPUNIT_TEST(goes_on_with_its_next_event_when_that_of_a_target_is_cut);
    CPPUNIT_TEST(goes_on_with_its_next_event_when_targets_break_off);
    CPPUNIT_TEST(goes_on_with_its_next_event_when_that_host_is_killed);
    CPPUNIT_TEST(goes_on_at_the_version_of_its_events_if_two_hosts_have_begun_it);
    CPPUNIT_TEST(begins_where_it_was_saved_if_its_host_loses_the_path_meanwhile);
    CPPUNIT_TEST(begins_although_its_caller_says_that_it_is_repeated);
    CPPUNIT_TEST(is_refused_soon_if_nobody_can_tell_where_it_began);
    CPPUNIT_TEST_SUITE_END();

    /// cuts the answers to a stream, and to the caller that takes it up
    /// @param is_left whether the caller leaves the first answer, which is whole
    static void cut_streams_by(cut_plan cut_group::*plan, bool is_left)
    {
        cut_streams it;
        it.cut_first_host();
        int number = 0;
        int whole = 0;
        for (const answer_cut& cut : some_answer_cuts())
        {
            if (cut.is_undetectable() && plan == &cut_group::target_plan)
            {
                continue;
            }
            caller_stream stream(absl::StrCat("/r/", ++number));
            constexpr int max_tries = 8;
            for (int i = 0; i < max_tries && !stream.is_whole(); ++i)
            {
                const bool is_left_now = is_left && i == 0;
                if (i < 2 && !is_left_now)
                {
                    (it.*plan).next = cut;
                }
                const std::size_t host =
                    i < 3 ? 0 : static_cast<std::size_t>(i) % it.hosts.size();
                stream.add(it.send_at(host, stream.path(), stream.headers()),
                           cut.text(),
                           is_left_now ? 2 : event_count);
            }
            (it.*plan).next.reset();
            whole += stream.is_whole() ? 1 : 0;
        }
        // the others may have to wait for targets of their version that were put aside
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(whole, " of ", number),
                               whole * 4 >= number * 3);
        CPPUNIT_ASSERT((it.*plan).cuts >= static_cast<std::size_t>(number));
    }

    static std::vector<caller_stream> make_streams(int count)
    {
        std::vector<caller_stream> streams;
        for (int i = 0; i < count; ++i)
        {
            streams.emplace_back(absl::StrCat("/r/", i));
        }
        return streams;
    }

    /// begins streams at the host without a path, up to the middle
    static std::vector<std::shared_ptr<received_answer>>
    begin_streams(parted_streams& it, std::vector<caller_stream>& streams)
    {
        std::vector<std::shared_ptr<received_answer>> answers;
        const std::size_t waiting = it.waiting.size() + streams.size();
        for (std::size_t i = 0; i < streams.size(); ++i)
        {
            answers.push_back(it.begin_at(0, streams[i].path(), streams[i].headers()));
        }
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return it.waiting.size() == waiting;
            }));
        it.run_for(millis(50));
        return answers;
    }

    /// waits for the ends of streams, and takes those up that were not whole
    static int end_all(parted_streams& it,
                       std::vector<caller_stream>& streams,
                       const std::vector<std::shared_ptr<received_answer>>& answers)
    {
        int taken_up = 0;
        for (std::size_t i = 0; i < streams.size(); ++i)
        {
            const std::string& path = streams[i].path();
            CPPUNIT_ASSERT_MESSAGE(path,
                                   it.until(
                                       [&]
                                       {
                                           return answers[i]->ended;
                                       }));
            streams[i].add(*answers[i], path);
            constexpr int max_tries = 4;
            for (int j = 0; j < max_tries && !streams[i].is_whole(); ++j)
            {
                ++taken_up;
                streams[i].add(it.send_at(0, path, streams[i].headers()), path);
            }
            CPPUNIT_ASSERT_MESSAGE(path, streams[i].is_whole());
        }
        return taken_up;
    }

    /// begins streams at a host that saves them ahead, and then loses its path
    static void take_up_saved_streams()
    {
        shared_streams it;
        it.cut_from_version(0, "v1");
        constexpr int stream_count = 12;
        std::vector<caller_stream> streams = make_streams(stream_count);
        std::vector<std::shared_ptr<received_answer>> answers;
        for (const caller_stream& each : streams)
        {
            answers.push_back(it.begin_at(0, each.path()));
        }
        // those whose shares give the first version are being saved for the other one
        it.run_for(millis(100));
        it.cut_from_version(0, "v2");
        int saved = 0;
        for (std::size_t i = 0; i < streams.size(); ++i)
        {
            const bool was_saved = !answers[i]->ended;
            CPPUNIT_ASSERT(it.until(
                [&]
                {
                    return answers[i]->ended;
                }));
            if (!was_saved || answers[i]->status != 200)
            {
                continue;
            }
            ++saved;
            streams[i].add(*answers[i], streams[i].path(), 2);
            it.run_for(millis(50));
            for (std::size_t host = 1; host < it.hosts.size(); ++host)
            {
                caller_stream taken_up = streams[i];
                taken_up.add(it.send_at(host, taken_up.path(), taken_up.headers()),
                             absl::StrCat(taken_up.path(), " at ", host));
                CPPUNIT_ASSERT(taken_up.is_whole());
            }
        }
        CPPUNIT_ASSERT(saved > 0);
    }

  public:
    void goes_on_with_its_next_event_when_the_answer_of_that_host_is_cut()
    {
        for (const bool is_left : {false, true})
        {
            cut_streams_by(&cut_group::hop_plan, is_left);
        }
    }

    void goes_on_with_its_next_event_when_that_of_a_target_is_cut()
    {
        for (const bool is_left : {false, true})
        {
            cut_streams_by(&cut_group::target_plan, is_left);
        }
    }

    void goes_on_with_its_next_event_when_targets_break_off()
    {
        parted_streams it;
        std::vector<caller_stream> streams = make_streams(12);
        const auto answers = begin_streams(it, streams);
        it.break_streams();
        // some go on within their answer
        CPPUNIT_ASSERT(end_all(it, streams, answers) < 12);
    }

    void goes_on_with_its_next_event_when_that_host_is_killed()
    {
        parted_streams it;
        std::vector<caller_stream> streams = make_streams(12);
        const auto answers = begin_streams(it, streams);
        it.run_for(record_time);
        it.kill_host(1);
        it.run_for(millis(200));
        std::vector<caller_stream> resumed;
        std::vector<caller_stream> others;
        std::vector<std::shared_ptr<received_answer>> answers_of_others;
        for (std::size_t i = 0; i < streams.size(); ++i)
        {
            if (!answers[i]->ended)
            {
                others.push_back(streams[i]);
                answers_of_others.push_back(answers[i]);
                continue;
            }
            CPPUNIT_ASSERT(answers[i]->end != call_end::complete);
            resumed.push_back(streams[i]);
            resumed.back().add(*answers[i], "killed");
            CPPUNIT_ASSERT_EQUAL(2, resumed.back().last());
        }
        CPPUNIT_ASSERT(!resumed.empty());
        // the next host runs them up to their middle, where targets break off
        const auto answers_of_resumed = begin_streams(it, resumed);
        it.break_streams();
        end_all(it, resumed, answers_of_resumed);
        end_all(it, others, answers_of_others);
    }

    void goes_on_at_the_version_of_its_events_if_two_hosts_have_begun_it()
    {
        cut_streams it;
        // without shares of versions in the store each host chooses one
        it.store.set_down(true);
        it.cut_first_host();
        // no more than the retry budget of the first host permits
        constexpr int stream_count = 12;
        int resumed = 0;
        for (int i = 0; i < stream_count; ++i)
        {
            const std::string path = absl::StrCat("/r/", i);
            it.hop_plan.next = answer_cut{body_kind::length, cut_end::closed, 0};
            caller_stream stream(path);
            stream.add(it.send_at(0, path), path, 2);
            it.hop_plan.next.reset();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 2, stream.last());
            const auto host = static_cast<std::size_t>(i) % it.hosts.size();
            stream.add(it.send_at(host, stream.path(), stream.headers()), path);
            resumed += stream.is_whole() ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(stream_count, resumed);
    }

    void begins_where_it_was_saved_if_its_host_loses_the_path_meanwhile()
    {
        // the host that runs a stream may be the one that keeps it
        constexpr int rounds = 4;
        for (int i = 0; i < rounds; ++i)
        {
            take_up_saved_streams();
        }
    }

    void begins_although_its_caller_says_that_it_is_repeated()
    {
        cut_streams it;
        // without shares of versions nobody can tell where it would have begun
        it.store.set_down(true);
        it.cut_first_host();
        const received_answer got = it.send_at(0, "/r/x", "Medlar-Repeated: 1\r\n");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(got.body, 200, got.status);
    }

    void is_refused_soon_if_nobody_can_tell_where_it_began()
    {
        cut_streams it;
        it.store.set_down(true);
        it.run_for(millis(100));
        // the caller has a third of its time left for another try
        constexpr millis soon{1000};
        const steady_time begin = it.time.steady_now();
        const received_answer got =
            it.send(it.all_settings[1].forward_endpoint,
                    request_text("POST", "/r/x", "id-r", "b", "Medlar-Repeated: 1\r\n"));
        const millis took = it.time.steady_now() - begin;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(got.body, 503, got.status);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(took.count()), took < soon);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_stream_that_another_host_runs);

} // namespace
