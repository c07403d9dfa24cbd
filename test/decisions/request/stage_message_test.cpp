#include <medlar/detail/request/stage_message.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

reason reason_for(absl::string_view body)
{
    const auto checked = check_reply(body, "org/1");
    const auto* bad = std::get_if<bad_reply>(&checked);
    return bad == nullptr ? reason::none : bad->why;
}

reason reason_for_line(absl::string_view line, std::int64_t next)
{
    const auto checked = check_stream_line(line, "org/1", next);
    const auto* bad = std::get_if<bad_reply>(&checked);
    return bad == nullptr ? reason::none : bad->why;
}

class the_answer_of_a_target : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_answer_of_a_target);
    CPPUNIT_TEST(is_accepted_if_it_is_complete_and_for_this_request);
    CPPUNIT_TEST(is_refused_if_it_is_for_another_request);
    CPPUNIT_TEST(is_refused_if_it_is_truncated_or_malformed);
    CPPUNIT_TEST(is_not_run_only_if_it_states_so);
    CPPUNIT_TEST_SUITE_END();

    void is_accepted_if_it_is_complete_and_for_this_request()
    {
        const auto checked =
            check_reply("{\"request_id\":\"org/1\",\"output\":{\"a\":1}}", "org/1");
        CPPUNIT_ASSERT_EQUAL(std::string("{\"a\":1}"),
                             std::get<stage_output>(checked).text);
    }

    void is_refused_if_it_is_for_another_request()
    {
        CPPUNIT_ASSERT(reason_for("{\"request_id\":\"org/2\",\"output\":1}") ==
                       reason::target_answer_mismatched);
        CPPUNIT_ASSERT(reason_for("{\"request_id\":7,\"output\":1}") ==
                       reason::target_answer_mismatched);
        CPPUNIT_ASSERT(reason_for("{\"output\":1}") == reason::target_answer_mismatched);
    }

    void is_refused_if_it_is_truncated_or_malformed()
    {
        for (const char* body : {"",
                                 "{\"request_id\":\"org/1\",\"output\":{\"a\"",
                                 "[]",
                                 "null",
                                 "{\"request_id\":\"org/1\"}"})
        {
            CPPUNIT_ASSERT(reason_for(body) == reason::target_answer_malformed);
        }
    }

    void is_not_run_only_if_it_states_so()
    {
        const target_refusal refusal =
            read_target_refusal("{\"not_run\":true,\"retry_after_ms\":50}");
        CPPUNIT_ASSERT(refusal.not_run);
        CPPUNIT_ASSERT(refusal.retry_after == millis(50));
        CPPUNIT_ASSERT(
            read_target_refusal("{\"not_run\":true,\"leaving\":true}").leaving);
        for (const char* body : {"",
                                 "{}",
                                 "[]",
                                 "{\"not_run\":1}",
                                 "{\"leaving\":true}",
                                 "{\"not_run\":false,\"leaving\":true}"})
        {
            CPPUNIT_ASSERT(!read_target_refusal(body).not_run);
            CPPUNIT_ASSERT(!read_target_refusal(body).leaving);
        }
    }
};

class the_stream_of_an_engine : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_stream_of_an_engine);
    CPPUNIT_TEST(continues_with_the_next_token);
    CPPUNIT_TEST(ends_if_the_stated_token_count_is_right);
    CPPUNIT_TEST(is_refused_when_a_token_is_missing_or_repeated);
    CPPUNIT_TEST(is_refused_when_it_is_for_another_request);
    CPPUNIT_TEST_SUITE_END();

    void continues_with_the_next_token()
    {
        const auto checked = check_stream_line(
            "{\"request_id\":\"org/1\",\"index\":4,\"text\":\"a\"}", "org/1", 4);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), std::get<stream_token>(checked).text);
    }

    void ends_if_the_stated_token_count_is_right()
    {
        const std::string end =
            "{\"request_id\":\"org/1\",\"done\":true,\"tokens\":4,\"cached_tokens\":2}";
        const auto checked = check_stream_line(end, "org/1", 4);
        CPPUNIT_ASSERT(std::get<stream_end>(checked).cached_tokens == 2);
        CPPUNIT_ASSERT(reason_for_line(end, 3) == reason::target_answer_malformed);
    }

    void is_refused_when_a_token_is_missing_or_repeated()
    {
        const std::string line = "{\"request_id\":\"org/1\",\"index\":4,\"text\":\"a\"}";
        CPPUNIT_ASSERT(reason_for_line(line, 3) == reason::target_answer_malformed);
        CPPUNIT_ASSERT(reason_for_line(line, 5) == reason::target_answer_malformed);
        CPPUNIT_ASSERT(reason_for_line("{\"request_id\":\"org/1\",\"index\":4}", 4) ==
                       reason::target_answer_malformed);
    }

    void is_refused_when_it_is_for_another_request()
    {
        CPPUNIT_ASSERT(
            reason_for_line("{\"request_id\":\"org/2\",\"index\":0,\"text\":\"a\"}", 0) ==
            reason::target_answer_mismatched);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_answer_of_a_target);
CPPUNIT_TEST_SUITE_REGISTRATION(the_stream_of_an_engine);

} // namespace
