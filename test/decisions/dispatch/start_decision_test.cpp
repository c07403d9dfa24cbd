#include <medlar/detail/dispatch/start_decision.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class a_request_with_stages : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_request_with_stages);
    CPPUNIT_TEST(starts_if_it_can_be_in_time);
    CPPUNIT_TEST(is_refused_at_once_if_the_queues_make_it_late);
    CPPUNIT_TEST(is_served_late_if_it_would_be_late_without_queues);
    CPPUNIT_TEST(is_refused_if_it_would_miss_its_deadline);
    CPPUNIT_TEST(continues_if_it_has_finished_work);
    CPPUNIT_TEST(is_retried_in_time_or_with_free_capacity_or_refused);
    CPPUNIT_TEST_SUITE_END();

    start_input input_{millis(800), millis(500), millis(1300), millis(6000), false};

  public:
    void starts_if_it_can_be_in_time()
    {
        CPPUNIT_ASSERT(decide_start(input_) == start_decision::in_time);
    }

    void is_refused_at_once_if_the_queues_make_it_late()
    {
        input_.expected_time = millis(1301);
        CPPUNIT_ASSERT(decide_start(input_) == start_decision::refused);
    }

    void is_served_late_if_it_would_be_late_without_queues()
    {
        input_.expected_time = millis(2000);
        input_.service_time = millis(1500);
        CPPUNIT_ASSERT(decide_start(input_) == start_decision::late);
    }

    void is_refused_if_it_would_miss_its_deadline()
    {
        input_.expected_time = millis(6001);
        input_.service_time = millis(1500);
        CPPUNIT_ASSERT(decide_start(input_) == start_decision::refused);
    }

    void is_retried_in_time_or_with_free_capacity_or_refused()
    {
        CPPUNIT_ASSERT(decide_retry(input_) == start_decision::in_time);
        input_.until_soft_deadline = millis(300);
        CPPUNIT_ASSERT(decide_retry(input_) == start_decision::refused);
        input_.expected_time = millis(600);
        CPPUNIT_ASSERT(decide_retry(input_) == start_decision::late);
        input_.until_deadline = millis(500);
        CPPUNIT_ASSERT(decide_retry(input_) == start_decision::refused);
    }

    void continues_if_it_has_finished_work()
    {
        input_.expected_time = millis(7000);
        input_.has_finished_work = true;
        CPPUNIT_ASSERT(decide_start(input_) == start_decision::late);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_request_with_stages);

} // namespace
