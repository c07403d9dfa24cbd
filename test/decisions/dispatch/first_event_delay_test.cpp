#include <medlar/detail/dispatch/first_event_delay.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

const token_count short_prompt{1500};
const token_count long_prompt{17000};

class the_delay_of_the_first_event : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_delay_of_the_first_event);
    CPPUNIT_TEST(is_told_by_the_size_of_the_prompt);
    CPPUNIT_TEST(is_that_of_all_prompts_for_a_size_that_is_new);
    CPPUNIT_TEST(is_assumed_before_the_first_measurement);
    CPPUNIT_TEST(follows_an_engine_that_turns_slow);
    CPPUNIT_TEST_SUITE_END();

    first_event_delay delay_;

    void record(int times, token_count prompt, millis took)
    {
        for (int i = 0; i < times; ++i)
        {
            delay_.record(prompt, took);
        }
    }

  public:
    void is_told_by_the_size_of_the_prompt()
    {
        record(10, short_prompt, millis(50));
        record(10, long_prompt, millis(600));
        CPPUNIT_ASSERT(delay_.estimate(short_prompt) == millis(50));
        CPPUNIT_ASSERT(delay_.estimate(long_prompt) == millis(600));
    }

    void is_that_of_all_prompts_for_a_size_that_is_new()
    {
        record(100, short_prompt, millis(100));
        const millis expected = delay_.estimate(long_prompt);
        CPPUNIT_ASSERT(expected > millis(100) && expected < millis(150));
    }

    void is_assumed_before_the_first_measurement()
    {
        CPPUNIT_ASSERT(delay_.estimate(short_prompt) == millis(400));
        delay_.record(short_prompt, millis(0));
        CPPUNIT_ASSERT(delay_.estimate(short_prompt) > millis(300));
    }

    void follows_an_engine_that_turns_slow()
    {
        record(100, long_prompt, millis(200));
        record(60, long_prompt, millis(1000));
        CPPUNIT_ASSERT(delay_.estimate(long_prompt) > millis(900));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_delay_of_the_first_event);

} // namespace
