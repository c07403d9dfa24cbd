#include <medlar/detail/dispatch/start_choice.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class a_request_with_stages : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_request_with_stages);
    CPPUNIT_TEST(begins_if_it_can_be_in_time);
    CPPUNIT_TEST(is_refused_at_once_if_the_queues_make_it_late);
    CPPUNIT_TEST(is_served_late_if_it_would_be_late_without_queues);
    CPPUNIT_TEST(is_refused_if_its_caller_would_be_gone);
    CPPUNIT_TEST(goes_on_if_it_has_begun);
    CPPUNIT_TEST(comes_back_and_is_in_time_or_finds_room_or_is_refused);
    CPPUNIT_TEST_SUITE_END();

    start_question asked_{millis(800), millis(500), millis(1300), millis(6000), false};

  public:
    void begins_if_it_can_be_in_time()
    {
        CPPUNIT_ASSERT(choose_start(asked_) == start_choice::in_time);
    }

    void is_refused_at_once_if_the_queues_make_it_late()
    {
        asked_.expected = millis(1301);
        CPPUNIT_ASSERT(choose_start(asked_) == start_choice::refused);
    }

    void is_served_late_if_it_would_be_late_without_queues()
    {
        asked_.expected = millis(2000);
        asked_.unqueued = millis(1500);
        CPPUNIT_ASSERT(choose_start(asked_) == start_choice::late);
    }

    void is_refused_if_its_caller_would_be_gone()
    {
        asked_.expected = millis(6001);
        asked_.unqueued = millis(1500);
        CPPUNIT_ASSERT(choose_start(asked_) == start_choice::refused);
    }

    void comes_back_and_is_in_time_or_finds_room_or_is_refused()
    {
        CPPUNIT_ASSERT(choose_return(asked_) == start_choice::in_time);
        asked_.until_aim = millis(300);
        CPPUNIT_ASSERT(choose_return(asked_) == start_choice::refused);
        asked_.expected = millis(600);
        CPPUNIT_ASSERT(choose_return(asked_) == start_choice::late);
        asked_.until_deadline = millis(500);
        CPPUNIT_ASSERT(choose_return(asked_) == start_choice::refused);
    }

    void goes_on_if_it_has_begun()
    {
        asked_.expected = millis(7000);
        asked_.has_begun = true;
        CPPUNIT_ASSERT(choose_start(asked_) == start_choice::late);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_request_with_stages);

} // namespace
