#include <medlar/detail/entry/serving_configuration.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class a_route : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_route);
    CPPUNIT_TEST(of_streams_derives_the_caller_timeout_from_its_limits);
    CPPUNIT_TEST(of_other_kinds_uses_its_timeout_as_caller_timeout);
    CPPUNIT_TEST_SUITE_END();

    static route stream(millis soft_timeout, millis event_gap)
    {
        route result;
        result.kind = route_kind::stream;
        result.timeout = millis(20000);
        result.soft_timeout = soft_timeout;
        result.max_event_gap = event_gap;
        return result;
    }

    void of_streams_derives_the_caller_timeout_from_its_limits()
    {
        CPPUNIT_ASSERT(stream(millis(100), millis(100)).caller_timeout() == millis(2000));
        CPPUNIT_ASSERT(stream(millis(1600), millis(300)).caller_timeout() ==
                       millis(6400));
        CPPUNIT_ASSERT(stream(millis(300), millis(500)).caller_timeout() == millis(4000));
    }

    void of_other_kinds_uses_its_timeout_as_caller_timeout()
    {
        route plain = stream(millis(300), millis(0));
        plain.kind = route_kind::idempotent;
        CPPUNIT_ASSERT(plain.caller_timeout() == plain.timeout);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_route);

} // namespace
