#include "support/entry/mortal_targets.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

using session = mortal_target::session;

// time for which the address of a process that has ended resets new connections
constexpr millis reset_time{300};

/// guards against ORDER: a question that is accepted and then reset was taken as proof
/// that the process lives, and a cut answer was passed on as complete
class an_answer_whose_end_is_asked_for_and_the_question_is_reset
    : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_answer_whose_end_is_asked_for_and_the_question_is_reset);
    CPPUNIT_TEST(is_not_whole_when_the_next_process_answers_after_that);
    CPPUNIT_TEST(goes_on_at_another_target_when_the_next_process_answers_after_that);
    CPPUNIT_TEST(is_not_whole_when_the_next_process_states_no_start);
    CPPUNIT_TEST(is_not_whole_when_no_question_is_answered);
    CPPUNIT_TEST(is_whole_when_an_older_connection_lives);
    CPPUNIT_TEST(is_whole_when_the_process_answers_after_that);
    CPPUNIT_TEST_SUITE_END();

    static void expect_no_complete_success(const received_answer& got)
    {
        CPPUNIT_ASSERT(got.status != status_ok || got.end != call_end::complete);
    }

  public:
    void is_not_whole_when_the_next_process_answers_after_that()
    {
        for (const std::string path : {"/u/x", "/n/x"})
        {
            mortal_targets it;
            const auto got = it.begin_request(path);
            it.running_target().restart_after_resets(reset_time);
            it.expect_ended(got);
            expect_no_complete_success(*got);
        }
    }

    void goes_on_at_another_target_when_the_next_process_answers_after_that()
    {
        mortal_targets it;
        const auto got = it.begin_request("/s/x");
        it.running_target().restart_after_resets(reset_time);
        it.expect_whole(got);
    }

    void is_not_whole_when_the_next_process_states_no_start()
    {
        mortal_targets it;
        for (const auto& each : it.targets)
        {
            each->report_handler = [](session& from, const request_head&)
            {
                from.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
            };
        }
        const auto got = it.begin_request("/u/x");
        it.running_target().restart_after_resets(reset_time);
        it.expect_visibly_cut(got);
    }

    void is_not_whole_when_no_question_is_answered()
    {
        mortal_targets it;
        const auto got = it.begin_request("/u/x");
        it.running_target().restart_after_resets(millis(60000));
        it.expect_visibly_cut(got);
    }

    void is_whole_when_an_older_connection_lives()
    {
        for (const std::string path : {"/u/x", "/n/x"})
        {
            mortal_targets it;
            const auto got = it.begin_request(path);
            it.running_target().is_resetting = true;
            it.finish_answer();
            it.expect_whole(got);
        }
    }

    void is_whole_when_the_process_answers_after_that()
    {
        mortal_targets it;
        const auto got = it.begin_request("/u/x");
        mortal_target& target = it.running_target();
        // no older connection is left
        target.reset_all_but(*it.waiting.back().from);
        target.is_resetting = true;
        it.finish_answer();
        it.run_for(reset_time);
        target.is_resetting = false;
        it.expect_whole(got);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(
    an_answer_whose_end_is_asked_for_and_the_question_is_reset);

} // namespace
