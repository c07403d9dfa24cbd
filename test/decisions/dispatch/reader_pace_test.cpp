#include <medlar/detail/dispatch/reader_pace.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace
{

using namespace medlar;

constexpr std::uint64_t rate = 4096;

/// guards against readers that hold memory by a byte now and then, and against sound ones
/// that count as stalled
class the_pace_of_a_reader : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_pace_of_a_reader);
    CPPUNIT_TEST(is_too_slow_from_the_start_at_a_byte_now_and_then);
    CPPUNIT_TEST(is_enough_at_the_least_rate_however_it_is_spread);
    CPPUNIT_TEST(is_too_slow_from_the_time_that_it_stops);
    CPPUNIT_TEST(is_enough_at_any_byte_without_a_rate);
    CPPUNIT_TEST(is_too_slow_also_if_nothing_waits_at_times);
    CPPUNIT_TEST(is_enough_after_a_long_time_without_output);
    CPPUNIT_TEST_SUITE_END();

    /// Takes @p bytes every @p interval for ten seconds, and is asked every 100 ms.
    /// @return for how long at most it was too slow
    static millis
    longest_slow(std::uint64_t bytes, millis interval, std::uint64_t least_rate)
    {
        constexpr millis question_interval{100};
        const steady_time start{5000};
        reader_pace pace;
        std::uint64_t taken = 0;
        pace.begin_wait(start);
        millis longest{0};
        for (millis at{0}; at < millis(10000); at = at + question_interval)
        {
            if (at.count() % interval.count() == 0 && at > millis(0))
            {
                taken += bytes;
            }
            const steady_time now = start + at;
            longest = std::max(longest, now - pace.slow_since(taken, least_rate, now));
        }
        return longest;
    }

  public:
    void is_too_slow_from_the_start_at_a_byte_now_and_then()
    {
        CPPUNIT_ASSERT(longest_slow(1, millis(100), rate) >= millis(9900));
        CPPUNIT_ASSERT(longest_slow(rate / 10 - 10, millis(100), rate) >= millis(9900));
    }

    void is_enough_at_the_least_rate_however_it_is_spread()
    {
        CPPUNIT_ASSERT(longest_slow(rate / 10 + 1, millis(100), rate) <= millis(100));
        CPPUNIT_ASSERT(longest_slow(rate * 4, millis(4000), rate) <= millis(4000));
    }

    void is_too_slow_from_the_time_that_it_stops()
    {
        reader_pace pace;
        const steady_time start{5000};
        pace.begin_wait(start);
        const steady_time stop = start + millis(3000);
        CPPUNIT_ASSERT(pace.slow_since(50000, rate, stop) == stop);
        CPPUNIT_ASSERT(pace.slow_since(50000, rate, stop + millis(6000)) == stop);
    }

    void is_enough_at_any_byte_without_a_rate()
    {
        CPPUNIT_ASSERT(longest_slow(1, millis(4000), 0) <= millis(4000));
        CPPUNIT_ASSERT(longest_slow(0, millis(4000), 0) >= millis(9900));
    }

    // guards against a measurement that begins anew with each part that is sent
    void is_too_slow_also_if_nothing_waits_at_times()
    {
        reader_pace pace;
        steady_time now{5000};
        for (std::uint64_t part = 1; part <= 10; ++part)
        {
            pace.begin_wait(now);
            now = now + millis(900);
            pace.end_wait(now);
            now = now + millis(100);
            pace.slow_since(part * 1000, rate, now);
        }
        CPPUNIT_ASSERT(now - pace.slow_since(10000, rate, now) == millis(9000));
    }

    void is_enough_after_a_long_time_without_output()
    {
        reader_pace pace;
        const steady_time start{5000};
        pace.begin_wait(start);
        pace.end_wait(start + millis(100));
        const steady_time later = start + millis(60000);
        pace.begin_wait(later);
        CPPUNIT_ASSERT(later - pace.slow_since(0, rate, later) == millis(100));
        CPPUNIT_ASSERT(pace.slow_since(rate, rate, later + millis(900)) ==
                       later + millis(900));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_pace_of_a_reader);

} // namespace
