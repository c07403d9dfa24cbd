#include <medlar/detail/dispatch/refused_callers.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class the_refused_callers_of_a_pool : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_refused_callers_of_a_pool);
    CPPUNIT_TEST(are_told_from_new_ones);
    CPPUNIT_TEST(wait_since_they_were_refused_first);
    CPPUNIT_TEST(are_forgotten_after_some_seconds);
    CPPUNIT_TEST(are_bounded_in_number);
    CPPUNIT_TEST_SUITE_END();

    const steady_time start_{1000000};
    refused_callers callers_;

  public:
    void are_told_from_new_ones()
    {
        callers_.refused(1, start_);
        CPPUNIT_ASSERT(callers_.waited(1, start_ + millis(400)) == millis(400));
        CPPUNIT_ASSERT(callers_.waited(2, start_ + millis(400)) == millis(0));
    }

    void wait_since_they_were_refused_first()
    {
        callers_.refused(1, start_);
        callers_.refused(1, start_ + millis(300));
        CPPUNIT_ASSERT(callers_.waited(1, start_ + millis(700)) == millis(700));
    }

    void are_forgotten_after_some_seconds()
    {
        callers_.refused(1, start_);
        CPPUNIT_ASSERT(callers_.waited(1, start_ + millis(20000)) == millis(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, callers_.size());
    }

    void are_bounded_in_number()
    {
        for (std::uint64_t key = 0; key < 50000; ++key)
        {
            callers_.refused(key, start_);
        }
        CPPUNIT_ASSERT(callers_.size() <= 20001);
        CPPUNIT_ASSERT(callers_.waited(0, start_ + millis(1)) == millis(0));
        CPPUNIT_ASSERT(callers_.waited(49999, start_ + millis(1)) == millis(1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_refused_callers_of_a_pool);

} // namespace
