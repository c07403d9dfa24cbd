#include <medlar/detail/dispatch/stage_forecast.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class an_estimate_of_an_owner : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_estimate_of_an_owner);
    CPPUNIT_TEST(shrinks_while_the_queue_is_worked_off);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// A host refused for a second after its last estimate of a burst, since a refused
    /// request brings no new one.
    void shrinks_while_the_queue_is_worked_off()
    {
        const steady_time start{1000000};
        const forecast_key key{pool_id("p"), 1, false};
        stage_forecast forecast;
        forecast.record_estimate(key, millis(900), start);
        const auto expected_at = [&](std::int64_t ms)
        {
            return forecast.expected_time(key, millis(200), start + millis(ms)).count();
        };
        CPPUNIT_ASSERT_EQUAL(std::int64_t{900}, expected_at(0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{500}, expected_at(400));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{200}, expected_at(800));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(an_estimate_of_an_owner);

} // namespace
