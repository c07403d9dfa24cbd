#include <medlar/detail/dispatch/refusal_backoff.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class the_backoff_after_refusals : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_backoff_after_refusals);
    CPPUNIT_TEST(is_short_for_the_first_callers);
    CPPUNIT_TEST(is_as_long_as_the_burst_has_lasted);
    CPPUNIT_TEST(starts_again_after_a_gap_without_refusals);
    CPPUNIT_TEST(is_bounded);
    CPPUNIT_TEST_SUITE_END();

    const steady_time start_{1000000};
    refusal_backoff backoff_;

    /// Records four refusals per second and returns the last delay.
    millis refuse_for(millis duration)
    {
        millis delay{0};
        for (millis at{0}; at <= duration; at = at + millis(250))
        {
            delay = backoff_.record_refusal(start_ + at);
        }
        return delay;
    }

  public:
    void is_short_for_the_first_callers()
    {
        CPPUNIT_ASSERT(backoff_.record_refusal(start_) <= millis(1000));
        CPPUNIT_ASSERT(backoff_.record_refusal(start_) > millis(0));
    }

    void is_as_long_as_the_burst_has_lasted()
    {
        CPPUNIT_ASSERT(refuse_for(millis(3000)) == millis(3000));
    }

    void starts_again_after_a_gap_without_refusals()
    {
        refuse_for(millis(3000));
        CPPUNIT_ASSERT(backoff_.record_refusal(start_ + millis(6000)) <= millis(1000));
    }

    void is_bounded()
    {
        CPPUNIT_ASSERT(refuse_for(millis(60000)) <= millis(5000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_backoff_after_refusals);

} // namespace
