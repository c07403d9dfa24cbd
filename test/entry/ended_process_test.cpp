#include "support/entry/mortal_targets.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace
{

using namespace medlar;
using namespace medlar::test;

using session = mortal_target::session;

// time from the last answer of a process that leaves to its end
constexpr millis time_to_end{30};

class an_answer_that_ends_with_its_connection : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_answer_that_ends_with_its_connection);
    CPPUNIT_TEST(is_not_whole_when_the_process_of_its_target_has_ended);
    CPPUNIT_TEST(is_not_whole_when_the_next_process_answers_at_the_address);
    CPPUNIT_TEST(is_not_whole_when_the_next_process_cuts_its_report);
    CPPUNIT_TEST(is_not_whole_when_another_target_answers_that_states_no_start);
    CPPUNIT_TEST(is_not_whole_when_the_next_process_is_slow_to_answer);
    CPPUNIT_TEST(is_not_whole_when_its_end_is_seen_late);
    CPPUNIT_TEST(is_not_whole_when_the_rest_of_another_one_is_not_read_yet);
    CPPUNIT_TEST(goes_on_at_another_target_when_the_process_has_ended);
    CPPUNIT_TEST(is_no_plain_answer_when_the_process_has_ended);
    CPPUNIT_TEST(is_repeated_when_the_process_has_ended_and_it_may_be);
    CPPUNIT_TEST(is_whole_when_the_process_lives);
    CPPUNIT_TEST(is_whole_when_the_process_is_silent);
    CPPUNIT_TEST(is_whole_when_the_process_resets_new_connections);
    CPPUNIT_TEST(is_whole_when_the_process_resets_connections_as_it_accepts_them);
    CPPUNIT_TEST(is_no_crash_of_a_target_that_leaves_with_it);
    CPPUNIT_TEST(is_no_failure_of_the_next_process);
    CPPUNIT_TEST(is_whole_when_the_entry_of_the_process_is_late);
    CPPUNIT_TEST(is_whole_when_the_entry_is_late_and_no_other_connection_is_open);
    CPPUNIT_TEST(is_whole_when_the_process_states_no_start);
    CPPUNIT_TEST(is_whole_when_the_process_finishes_its_answers_before_it_leaves);
    CPPUNIT_TEST(is_whole_when_a_process_that_says_it_leaves_ends_soon_after_it);
    CPPUNIT_TEST(is_whole_when_a_listed_process_that_leaves_ends_soon_after_it);
    CPPUNIT_TEST(is_not_whole_when_a_process_that_leaves_has_ended);
    CPPUNIT_TEST_SUITE_END();

    static void announce_end(mortal_targets& it, const std::string& announcement)
    {
        for (const auto& each : it.targets)
        {
            if (announcement == "gone")
            {
                it.store.remove(each->key());
            }
            else
            {
                it.store.put(each->key(), each->entry(announcement));
            }
        }
        // time for the host to learn of it
        it.run_for(millis(600));
        for (const auto& each : it.targets)
        {
            each->stop_listening();
        }
    }

  public:
    // guards against ORDER of issue 41: a stream that ends as complete before its last
    void is_not_whole_when_the_process_of_its_target_has_ended()
    {
        mortal_targets it;
        const auto got = it.begin_request("/u/x");
        it.running_target().end_process();
        it.expect_visibly_cut(got);
    }

    void is_not_whole_when_the_next_process_answers_at_the_address()
    {
        for (const std::string path : {"/s/x", "/u/x", "/n/x"})
        {
            mortal_targets it;
            const auto got = it.begin_request(path);
            // neither of them may go on with a stream
            for (const auto& each : it.targets)
            {
                each->restart();
            }
            it.expect_ended(got);
            CPPUNIT_ASSERT(got->status != status_ok || got->end != call_end::complete);
        }
    }

    void is_not_whole_when_the_next_process_cuts_its_report()
    {
        for (const std::string framing : {"", "Content-Length: 100\r\n"})
        {
            mortal_targets it;
            const auto got = it.begin_request("/u/x");
            mortal_target& target = it.running_target();
            target.restart();
            target.report_handler =
                [framing, cuts = 0](session& from, const request_head&) mutable
            {
                if (++cuts == 1)
                {
                    from.write(absl::StrCat("HTTP/1.1 200 OK\r\n", framing, "\r\n{\"bo"));
                    from.finish();
                    return;
                }
                from.write_report();
            };
            it.expect_visibly_cut(got);
        }
    }

    void is_not_whole_when_another_target_answers_that_states_no_start()
    {
        for (const std::string path : {"/u/x", "/n/x"})
        {
            mortal_targets it;
            for (const auto& each : it.targets)
            {
                each->report_handler = [](session& from, const request_head&)
                {
                    from.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
                };
            }
            const auto got = it.begin_request(path);
            it.running_target().restart_as("i-3");
            it.expect_ended(got);
            CPPUNIT_ASSERT(got->status != status_ok || got->end != call_end::complete);
        }
    }

    void is_not_whole_when_the_next_process_is_slow_to_answer()
    {
        for (const std::string path : {"/u/x", "/n/x"})
        {
            mortal_targets it;
            const auto got = it.begin_request(path);
            // it listens, and reads only after it has loaded what it serves
            it.running_target().reads_from = it.loop.now() + millis(700);
            it.running_target().restart();
            it.expect_ended(got);
            CPPUNIT_ASSERT(got->status != status_ok || got->end != call_end::complete);
        }
    }

    void is_not_whole_when_its_end_is_seen_late()
    {
        for (int i = 0; i < 5; ++i)
        {
            mortal_targets it;
            const auto got = it.begin_request("/u/x");
            mortal_target& target = it.running_target();
            it.freeze(it.host);
            // takes several turns to read, and only then is the end seen
            it.waiting.back().from->write(
                absl::StrCat("id: 4\ndata: ", std::string(120000, 'x'), "\n\n"));
            it.run_for(millis(20));
            target.restart();
            for (int other = 0; other < 6; ++other)
            {
                it.begin(
                    it.host_settings.caller_endpoint,
                    request_text("POST", "/u/y", absl::StrCat("other-", other), "b"));
            }
            it.run_for(millis(20));
            it.thaw(it.host);
            it.expect_ended(got);
            CPPUNIT_ASSERT(got->end != call_end::complete);
        }
    }

    void is_not_whole_when_the_rest_of_another_one_is_not_read_yet()
    {
        mortal_targets it;
        std::vector<std::shared_ptr<received_answer>> all;
        for (int i = 0; i < 3; ++i)
        {
            all.push_back(it.begin_request("/u/x"));
        }
        it.freeze(it.host);
        std::set<mortal_target*> written;
        for (const auto& each : it.waiting)
        {
            // the end of the first one of a target is seen later than the others
            if (written.insert(each.target).second)
            {
                each.from->write(
                    absl::StrCat("id: 4\ndata: ", std::string(240000, 'x'), "\n\n"));
            }
        }
        it.run_for(millis(20));
        for (const auto& each : it.targets)
        {
            each->restart();
        }
        it.run_for(millis(20));
        it.thaw(it.host);
        for (const auto& each : all)
        {
            it.expect_ended(each);
            CPPUNIT_ASSERT(each->end != call_end::complete);
        }
    }

    void goes_on_at_another_target_when_the_process_has_ended()
    {
        mortal_targets it;
        const auto got = it.begin_request("/s/x");
        it.running_target().end_process();
        it.expect_whole(got);
    }

    void is_no_plain_answer_when_the_process_has_ended()
    {
        mortal_targets it;
        const auto got = it.begin_request("/n/x");
        it.running_target().end_process();
        it.expect_ended(got);
        CPPUNIT_ASSERT_EQUAL(status_bad_gateway, got->status);
    }

    void is_repeated_when_the_process_has_ended_and_it_may_be()
    {
        mortal_targets it;
        const auto got = it.begin_request("/i/x");
        it.running_target().end_process();
        it.expect_whole(got);
    }

    void is_whole_when_the_process_lives()
    {
        for (const std::string path : {"/s/x", "/u/x", "/n/x"})
        {
            mortal_targets it;
            const auto got = it.begin_request(path);
            it.finish_answer();
            it.expect_whole(got);
        }
    }

    void is_whole_when_the_process_is_silent()
    {
        mortal_targets it;
        const auto got = it.begin_request("/u/x");
        it.running_target().report_handler = [](session&, const request_head&) {};
        it.finish_answer();
        it.expect_whole(got);
    }

    void is_whole_when_the_process_resets_new_connections()
    {
        mortal_targets it;
        const auto got = it.begin_request("/u/x");
        it.running_target().report_handler = [](session& from, const request_head&)
        {
            from.reset();
        };
        it.finish_answer();
        it.expect_whole(got);
    }

    void is_whole_when_the_process_resets_connections_as_it_accepts_them()
    {
        mortal_targets it;
        const auto got = it.begin_request("/u/x");
        it.running_target().is_resetting = true;
        it.finish_answer();
        it.expect_whole(got);
    }

    void is_no_crash_of_a_target_that_leaves_with_it()
    {
        mortal_targets it;
        for (const auto& each : it.targets)
        {
            each->is_leaving = true;
        }
        // more often than a request that crashes targets is sent
        for (int i = 0; i < 7; ++i)
        {
            const auto got = it.begin_request("/n/x");
            mortal_target& leaving = it.running_target();
            it.finish_answer();
            leaving.end_process();
            it.expect_ended(got);
            // time to find that nothing listens
            it.run_for(millis(100));
            leaving.restart();
            it.store.put(leaving.key(), leaving.entry());
            // time for the host to learn of the next process
            it.run_for(millis(600));
        }
    }

    void is_no_failure_of_the_next_process()
    {
        // each target has more of them than failures after which it is left aside
        constexpr int count = 10;
        mortal_targets it;
        std::vector<std::shared_ptr<received_answer>> all;
        for (int i = 0; i < count; ++i)
        {
            all.push_back(it.begin_request("/n/x"));
        }
        for (const auto& each : it.targets)
        {
            each->restart();
        }
        for (const auto& each : all)
        {
            it.expect_ended(each);
        }
        std::set<mortal_target*> used;
        for (int i = 0; i < count; ++i)
        {
            it.begin_request("/n/x");
            used.insert(&it.running_target());
        }
        CPPUNIT_ASSERT_EQUAL(it.targets.size(), used.size());
    }

    void is_whole_when_the_entry_of_the_process_is_late()
    {
        mortal_targets it;
        for (const auto& each : it.targets)
        {
            each->restart();
        }
        // a connection that lives on, at each target
        std::set<mortal_target*> kept;
        while (kept.size() < it.targets.size())
        {
            it.begin_request("/u/x");
            kept.insert(&it.running_target());
        }
        const auto got = it.begin_request("/u/x");
        it.finish_answer();
        it.expect_whole(got);
    }

    void is_whole_when_the_entry_is_late_and_no_other_connection_is_open()
    {
        mortal_targets it;
        for (const auto& each : it.targets)
        {
            each->restart();
        }
        const auto got = it.begin_request("/u/x");
        it.finish_answer();
        it.expect_whole(got);
    }

    void is_whole_when_the_process_states_no_start()
    {
        for (const std::string status : {"200 OK", "404 Not Found", "503 Full"})
        {
            mortal_targets it;
            const auto got = it.begin_request("/s/x");
            it.running_target().report_handler = [=](session& from, const request_head&)
            {
                from.write(
                    absl::StrCat("HTTP/1.1 ", status, "\r\nContent-Length: 2\r\n\r\n{}"));
            };
            it.finish_answer();
            it.expect_whole(got);
        }
    }

    void is_whole_when_a_process_that_says_it_leaves_ends_soon_after_it()
    {
        mortal_targets it;
        for (const auto& each : it.targets)
        {
            each->is_leaving = true;
        }
        const auto got = it.begin_request("/u/x");
        it.running_target().stop_listening();
        it.finish_answer();
        it.run_for(time_to_end);
        it.running_target().end_process();
        it.expect_whole(got);
    }

    void is_whole_when_a_listed_process_that_leaves_ends_soon_after_it()
    {
        for (const std::string announcement : {"draining", "gone"})
        {
            mortal_targets it;
            std::vector<std::shared_ptr<received_answer>> all;
            for (int i = 0; i < 6; ++i)
            {
                all.push_back(it.begin_request("/u/x"));
            }
            announce_end(it, announcement);
            for (const auto& each : it.waiting)
            {
                each.from->write(events(events_before_end + 1, event_count));
                each.from->finish();
            }
            it.run_for(time_to_end);
            for (const auto& each : it.targets)
            {
                each->end_process();
            }
            for (const auto& each : all)
            {
                it.expect_whole(each);
            }
        }
    }

    void is_not_whole_when_a_process_that_leaves_has_ended()
    {
        for (const std::string announcement : {"draining", "gone"})
        {
            mortal_targets it;
            std::vector<std::shared_ptr<received_answer>> all;
            for (int i = 0; i < 6; ++i)
            {
                all.push_back(it.begin_request("/u/x"));
            }
            announce_end(it, announcement);
            for (const auto& each : it.targets)
            {
                each->end_process();
            }
            for (const auto& each : all)
            {
                it.expect_visibly_cut(each);
            }
        }
    }

    void is_whole_when_the_process_finishes_its_answers_before_it_leaves()
    {
        mortal_targets it;
        std::vector<std::shared_ptr<received_answer>> all;
        for (int i = 0; i < 4; ++i)
        {
            all.push_back(it.begin_request("/u/x"));
        }
        for (const auto& each : it.targets)
        {
            each->stop_listening();
        }
        // the last answers of each target end with its process
        std::map<mortal_target*, int> left;
        for (const auto& each : it.waiting)
        {
            ++left[each.target];
        }
        for (std::size_t i = 0; i < all.size(); ++i)
        {
            const auto& each = it.waiting[i];
            if (--left[each.target] > 0)
            {
                each.from->write(events(events_before_end + 1, event_count));
                each.from->finish();
                it.expect_whole(all[i]);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(an_answer_that_ends_with_its_connection);

} // namespace
