#include <medlar/detail/dispatch/start_inquiry.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class an_inquiry_after_a_start : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_inquiry_after_a_start);
    CPPUNIT_TEST(is_made_by_each_call_while_it_is_answered);
    CPPUNIT_TEST(is_made_by_one_call_at_a_time_after_one_without_an_answer);
    CPPUNIT_TEST(is_made_ever_more_rarely_while_no_answer_comes);
    CPPUNIT_TEST(is_made_by_each_call_again_after_an_answer);
    CPPUNIT_TEST_SUITE_END();

    const steady_time now_{1000000};
    start_inquiry inquiry_;

  public:
    void is_made_by_each_call_while_it_is_answered()
    {
        CPPUNIT_ASSERT(inquiry_.begin(now_));
        CPPUNIT_ASSERT(inquiry_.begin(now_));
        inquiry_.record_answered();
        CPPUNIT_ASSERT(inquiry_.begin(now_));
        CPPUNIT_ASSERT(!inquiry_.is_unanswered());
    }

    void is_made_by_one_call_at_a_time_after_one_without_an_answer()
    {
        inquiry_.record_unanswered(now_);
        // asked at the same time
        inquiry_.record_unanswered(now_);
        CPPUNIT_ASSERT(inquiry_.is_unanswered());
        CPPUNIT_ASSERT(!inquiry_.begin(now_ + millis(999)));
        CPPUNIT_ASSERT(inquiry_.begin(now_ + millis(1000)));
        CPPUNIT_ASSERT(!inquiry_.begin(now_ + millis(1000)));
    }

    void is_made_ever_more_rarely_while_no_answer_comes()
    {
        inquiry_.record_unanswered(now_);
        int asked = 0;
        for (millis at{0}; at < millis(60000); at = at + millis(100))
        {
            asked += inquiry_.begin(now_ + at) ? 1 : 0;
        }
        // at 1, 3, 7 and 15 s, and every 8 s from then on
        CPPUNIT_ASSERT_EQUAL(9, asked);
    }

    void is_made_by_each_call_again_after_an_answer()
    {
        inquiry_.record_unanswered(now_);
        inquiry_.record_answered();
        CPPUNIT_ASSERT(inquiry_.begin(now_));
        CPPUNIT_ASSERT(inquiry_.begin(now_));
        inquiry_.record_unanswered(now_);
        CPPUNIT_ASSERT(!inquiry_.begin(now_ + millis(999)));
        CPPUNIT_ASSERT(inquiry_.begin(now_ + millis(1000)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(an_inquiry_after_a_start);

} // namespace
