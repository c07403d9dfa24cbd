#include <medlar/detail/dispatch/rate_allowance.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

steady_time at_ms(std::int64_t ms)
{
    return steady_time(100000 + ms);
}

/// requests taken of one each 10 ms in a span that begins at @p from_ms
int taken(rate_allowance& from, std::int64_t from_ms, std::int64_t span_ms)
{
    int count = 0;
    for (std::int64_t ms = from_ms; ms < from_ms + span_ms; ms += 10)
    {
        count += from.take(at_ms(ms)) ? 1 : 0;
    }
    return count;
}

class an_allowance : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_allowance);
    CPPUNIT_TEST(lets_an_overload_through_at_the_limit);
    CPPUNIT_TEST(lets_a_burst_through_after_a_pause);
    CPPUNIT_TEST(stays_within_the_bound_if_two_hosts_give_it_out_for_a_second);
    CPPUNIT_TEST(tells_when_the_next_request_may_come);
    CPPUNIT_TEST(lets_a_request_through_at_times_if_the_limit_is_zero);
    CPPUNIT_TEST(follows_a_changed_limit);
    CPPUNIT_TEST_SUITE_END();

  public:
    void lets_an_overload_through_at_the_limit()
    {
        rate_allowance half(0.5, at_ms(0));
        CPPUNIT_ASSERT(taken(half, 0, 20000) <= 11);
        rate_allowance forty(40, at_ms(0));
        const int count = taken(forty, 0, 10000);
        CPPUNIT_ASSERT(count >= 390 && count <= 410);
    }

    void lets_a_burst_through_after_a_pause()
    {
        rate_allowance one(1, at_ms(0));
        CPPUNIT_ASSERT_EQUAL(2, taken(one, 10000, 100));
        rate_allowance forty(40, at_ms(0));
        CPPUNIT_ASSERT(taken(forty, 10000, 20) == 2);
        CPPUNIT_ASSERT(taken(forty, 20000, 200) >= 16);
    }

    void stays_within_the_bound_if_two_hosts_give_it_out_for_a_second()
    {
        for (const double per_s : {0.1, 0.5, 1.0, 5.0, 40.0})
        {
            rate_allowance first(per_s, at_ms(0));
            rate_allowance second(per_s, at_ms(0));
            taken(first, 0, 20);
            const int both = taken(first, 30000, 4000) + taken(second, 31000, 1000);
            CPPUNIT_ASSERT(both <= 1.5 * per_s * 4 + 5);
        }
    }

    void tells_when_the_next_request_may_come()
    {
        rate_allowance two(2, at_ms(0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, two.time_until_next(at_ms(0)).count());
        CPPUNIT_ASSERT(two.take(at_ms(0)));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{500}, two.time_until_next(at_ms(0)).count());
        CPPUNIT_ASSERT(!two.take(at_ms(499)));
        CPPUNIT_ASSERT(two.take(at_ms(500)));
    }

    void lets_a_request_through_at_times_if_the_limit_is_zero()
    {
        rate_allowance none(0, at_ms(0));
        CPPUNIT_ASSERT(none.take(at_ms(0)));
        CPPUNIT_ASSERT_EQUAL(1, taken(none, 0, 11000));
    }

    void follows_a_changed_limit()
    {
        rate_allowance changing(100, at_ms(0));
        changing.take(at_ms(5000));
        changing.set_rate(1, at_ms(5000));
        CPPUNIT_ASSERT(taken(changing, 5000, 4000) <= 6);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(an_allowance);

} // namespace
