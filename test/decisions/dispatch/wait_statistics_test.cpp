#include <medlar/detail/base/stage_graph.hpp>
#include <medlar/detail/dispatch/stage_forecast.hpp>
#include <medlar/detail/dispatch/wait_statistics.hpp>
#include <medlar/detail/entry/serving_configuration.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class wait_statistics_of_a_queue : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(wait_statistics_of_a_queue);
    CPPUNIT_TEST(approach_the_ratio_of_waits_to_computed_ones);
    CPPUNIT_TEST(stay_within_bounds_after_one_absurd_wait);
    CPPUNIT_TEST(forget_a_burst_within_seconds);
    CPPUNIT_TEST(count_arrivals_that_are_as_urgent);
    CPPUNIT_TEST_SUITE_END();

    const steady_time start_{1000000};
    wait_statistics statistics_;

  public:
    /// A pool of 15 targets that gets 200 jobs a second, whose waits of 700 ms are
    /// computed as 500 ms.
    void approach_the_ratio_of_waits_to_computed_ones()
    {
        for (int ms = 0; ms < 1000; ms += 5)
        {
            statistics_.record_wait(0, 700, 500, start_ + millis(ms));
        }
        const double factor = statistics_.wait_factor(0, start_ + millis(1000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.4, factor, 0.02);
        CPPUNIT_ASSERT(statistics_.wait_factor(1, start_) > 1);
    }

    void stay_within_bounds_after_one_absurd_wait()
    {
        statistics_.record_wait(0, 1e9, 1, start_);
        CPPUNIT_ASSERT_EQUAL(3.0, statistics_.wait_factor(0, start_));
        statistics_.record_wait(1, 0, 1e9, start_);
        CPPUNIT_ASSERT_EQUAL(0.5, statistics_.wait_factor(1, start_));
    }

    void forget_a_burst_within_seconds()
    {
        statistics_.record_wait(0, 300000, 100000, start_);
        CPPUNIT_ASSERT(statistics_.wait_factor(0, start_) > 2.9);
        CPPUNIT_ASSERT(statistics_.wait_factor(0, start_ + millis(8000)) < 1.6);
    }

    void count_arrivals_that_are_as_urgent()
    {
        for (int ms = 0; ms < 4000; ++ms)
        {
            statistics_.record_arrival(0, 1, start_ + millis(ms));
            statistics_.record_arrival(1, 2, start_ + millis(ms));
        }
        const steady_time end = start_ + millis(4000);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, statistics_.arrivals_per_ms(0, end), 0.02);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3, statistics_.arrivals_per_ms(1, end), 0.02);
        CPPUNIT_ASSERT(statistics_.arrivals_per_ms(1, end + millis(4000)) < 0.01);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(wait_statistics_of_a_queue);

class a_request_of_several_stages : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_request_of_several_stages);
    CPPUNIT_TEST(expects_the_queue_of_the_time_at_which_a_stage_begins);
    CPPUNIT_TEST(takes_no_absurd_growth_from_other_hosts);
    CPPUNIT_TEST_SUITE_END();

    const steady_time start_{1000000};
    const forecast_key key_{pool_id("second"), 0, false};
    stage_forecast forecast_;

  public:
    void expects_the_queue_of_the_time_at_which_a_stage_begins()
    {
        forecast_.record_estimate(key_, millis(400), millis(500), start_);
        std::vector<stage_rule> stages(3);
        stages[1].after = {0};
        stages[2].after = {0};
        const millis all = end_of_all_stages<millis>(
            stages,
            0,
            [this](std::size_t stage, millis ahead)
            {
                return stage == 1
                           ? forecast_.expected_time(key_, millis(100), start_, ahead)
                           : millis(200);
            });
        // 200 ms of the first stage, after which 400 ms have become 500 ms
        CPPUNIT_ASSERT_EQUAL(std::int64_t{700}, all.count());
    }

    void takes_no_absurd_growth_from_other_hosts()
    {
        forecast_.record_estimate(key_, millis(400), millis(1LL << 60U), start_);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t{1400},
            forecast_.expected_time(key_, millis(100), start_, millis(1000)).count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_request_of_several_stages);

} // namespace
