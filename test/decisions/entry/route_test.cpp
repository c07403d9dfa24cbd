#include <medlar/detail/entry/serving_configuration.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class a_route : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_route);
    CPPUNIT_TEST(of_streams_knows_when_its_callers_leave);
    CPPUNIT_TEST(of_other_answers_has_callers_that_wait_for_its_timeout);
    CPPUNIT_TEST_SUITE_END();

    static route stream(millis aim, millis pause)
    {
        route made;
        made.kind = route_kind::stream;
        made.timeout = millis(20000);
        made.aim = aim;
        made.longest_pause = pause;
        return made;
    }

    void of_streams_knows_when_its_callers_leave()
    {
        CPPUNIT_ASSERT(stream(millis(100), millis(100)).patience() == millis(2000));
        CPPUNIT_ASSERT(stream(millis(1600), millis(300)).patience() == millis(6400));
        CPPUNIT_ASSERT(stream(millis(300), millis(500)).patience() == millis(4000));
    }

    void of_other_answers_has_callers_that_wait_for_its_timeout()
    {
        route plain = stream(millis(300), millis(0));
        plain.kind = route_kind::idempotent;
        CPPUNIT_ASSERT(plain.patience() == plain.timeout);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_route);

} // namespace
