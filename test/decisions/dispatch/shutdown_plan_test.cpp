#include <medlar/detail/dispatch/answer_time.hpp>
#include <medlar/detail/dispatch/shutdown_plan.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class a_shutdown_plan : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_shutdown_plan);
    CPPUNIT_TEST(accepts_requests_until_the_balancer_has_noticed);
    CPPUNIT_TEST(answers_what_takes_no_longer_than_the_grace_period);
    CPPUNIT_TEST(ends_the_last_requests_before_the_process);
    CPPUNIT_TEST(has_no_time_for_answers_in_a_very_short_grace_period);
    CPPUNIT_TEST_SUITE_END();

  public:
    void accepts_requests_until_the_balancer_has_noticed()
    {
        const shutdown_plan plan = shutdown_plan::create(told_at_, millis(8000));
        CPPUNIT_ASSERT(plan.accepts_requests(told_at_ + millis(2999)));
        CPPUNIT_ASSERT(!plan.accepts_requests(told_at_ + millis(3000)));
    }

    void answers_what_takes_no_longer_than_the_grace_period()
    {
        const shutdown_plan plan = shutdown_plan::create(told_at_, millis(8000));
        const steady_time late = told_at_ + millis(6000);
        CPPUNIT_ASSERT(plan.is_answerable(late, millis(1500)));
        CPPUNIT_ASSERT(!plan.is_answerable(late, millis(1501)));
    }

    void ends_the_last_requests_before_the_process()
    {
        const shutdown_plan plan = shutdown_plan::create(told_at_, millis(8000));
        CPPUNIT_ASSERT(!plan.is_over(plan.last_answer_at()));
        CPPUNIT_ASSERT(plan.is_over(told_at_ + millis(7999)));
    }

    void has_no_time_for_answers_in_a_very_short_grace_period()
    {
        const shutdown_plan plan = shutdown_plan::create(told_at_, millis(100));
        CPPUNIT_ASSERT(!plan.is_answerable(told_at_, millis(1)));
        CPPUNIT_ASSERT(plan.is_over(told_at_ + millis(1)));
    }

  private:
    steady_time told_at_ = steady_time() + millis(50000);
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_shutdown_plan);

class an_answer_time : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_answer_time);
    CPPUNIT_TEST(is_assumed_before_the_first_answer);
    CPPUNIT_TEST(covers_nearly_all_answers_of_a_steady_target);
    CPPUNIT_TEST(follows_a_target_that_turns_slow);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_assumed_before_the_first_answer()
    {
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1000}, answer_time().estimate().count());
    }

    void covers_nearly_all_answers_of_a_steady_target()
    {
        answer_time it;
        for (int i = 0; i < 100; ++i)
        {
            it.record(millis(i % 2 == 0 ? 80 : 120));
        }
        CPPUNIT_ASSERT(it.estimate() >= millis(120));
        CPPUNIT_ASSERT(it.estimate() <= millis(240));
    }

    void follows_a_target_that_turns_slow()
    {
        answer_time it;
        it.record(millis(60));
        for (int i = 0; i < 3; ++i)
        {
            it.record(millis(2000));
        }
        CPPUNIT_ASSERT(it.estimate() >= millis(2000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(an_answer_time);

} // namespace
