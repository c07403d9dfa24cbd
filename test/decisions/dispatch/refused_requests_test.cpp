#include <medlar/detail/dispatch/refused_requests.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class the_refused_requests_of_a_pool : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_refused_requests_of_a_pool);
    CPPUNIT_TEST(are_distinguished_from_new_ones);
    CPPUNIT_TEST(count_from_their_first_refusal);
    CPPUNIT_TEST(expire_after_some_seconds);
    CPPUNIT_TEST(are_bounded_in_number);
    CPPUNIT_TEST_SUITE_END();

    const steady_time start_{1000000};
    refused_requests requests_;

  public:
    void are_distinguished_from_new_ones()
    {
        requests_.record_refusal(1, start_);
        CPPUNIT_ASSERT(requests_.time_since_refusal(1, start_ + millis(400)) ==
                       millis(400));
        CPPUNIT_ASSERT(requests_.time_since_refusal(2, start_ + millis(400)) ==
                       millis(0));
    }

    void count_from_their_first_refusal()
    {
        requests_.record_refusal(1, start_);
        requests_.record_refusal(1, start_ + millis(300));
        CPPUNIT_ASSERT(requests_.time_since_refusal(1, start_ + millis(700)) ==
                       millis(700));
    }

    void expire_after_some_seconds()
    {
        requests_.record_refusal(1, start_);
        CPPUNIT_ASSERT(requests_.time_since_refusal(1, start_ + millis(20000)) ==
                       millis(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, requests_.size());
    }

    void are_bounded_in_number()
    {
        for (std::uint64_t key = 0; key < 50000; ++key)
        {
            requests_.record_refusal(key, start_);
        }
        CPPUNIT_ASSERT(requests_.size() <= 20001);
        CPPUNIT_ASSERT(requests_.time_since_refusal(0, start_ + millis(1)) == millis(0));
        CPPUNIT_ASSERT(requests_.time_since_refusal(49999, start_ + millis(1)) ==
                       millis(1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_refused_requests_of_a_pool);

} // namespace
