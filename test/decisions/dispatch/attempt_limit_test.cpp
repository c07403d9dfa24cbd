#include <medlar/detail/dispatch/attempt_limit.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class an_attempt_limit : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_attempt_limit);
    CPPUNIT_TEST(is_used_up_by_sends_that_reached_a_target);
    CPPUNIT_TEST(lends_another_host_what_is_left);
    CPPUNIT_TEST(keeps_one_send_back_if_the_other_host_may_break_off);
    CPPUNIT_TEST(gets_back_what_the_other_host_has_not_used);
    CPPUNIT_TEST(permits_no_more_sends_by_any_number_of_hosts);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_used_up_by_sends_that_reached_a_target()
    {
        attempt_limit limit = attempt_limit::create(2);
        limit.record_send();
        limit.record_unsent();
        limit.record_send();
        CPPUNIT_ASSERT(!limit.is_used_up());
        limit.record_send();
        CPPUNIT_ASSERT(limit.is_used_up());
        CPPUNIT_ASSERT_EQUAL(2, limit.sends());
    }

    void lends_another_host_what_is_left()
    {
        attempt_limit limit = attempt_limit::create(3);
        limit.record_send();
        CPPUNIT_ASSERT_EQUAL(2, limit.lend(false));
        CPPUNIT_ASSERT(limit.is_used_up());
    }

    void keeps_one_send_back_if_the_other_host_may_break_off()
    {
        attempt_limit limit = attempt_limit::create(3);
        CPPUNIT_ASSERT_EQUAL(2, limit.lend(true));
        CPPUNIT_ASSERT(!limit.is_used_up());
        CPPUNIT_ASSERT_EQUAL(1, limit.lend(true));
        CPPUNIT_ASSERT(limit.is_used_up());

        // a host that can send it once only could not retry where a target refuses
        CPPUNIT_ASSERT_EQUAL(2, attempt_limit::create(2).lend(true));
    }

    void gets_back_what_the_other_host_has_not_used()
    {
        attempt_limit limit = attempt_limit::create(1);
        for (int host = 0; host < 3; ++host)
        {
            CPPUNIT_ASSERT_EQUAL(1, limit.lend(true));
            limit.return_lent();
        }
        CPPUNIT_ASSERT(!limit.is_used_up());
    }

    void permits_no_more_sends_by_any_number_of_hosts()
    {
        for (int max_sends = 1; max_sends <= 5; ++max_sends)
        {
            attempt_limit limit = attempt_limit::create(max_sends);
            int sends = 0;
            while (!limit.is_used_up())
            {
                sends += limit.lend(true);
            }
            CPPUNIT_ASSERT_EQUAL(max_sends, sends);
        }
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(an_attempt_limit);
