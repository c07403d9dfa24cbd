#include "support/entry/limited_pool.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

constexpr millis window{4000};

// time from the first statement of a limit until the hosts have to keep to it
constexpr millis contact_time{3000};

/// requests that a target with a limit may get in a window: one and a half times what the
/// limit allows, and five more
std::size_t allowed(double per_s)
{
    constexpr double window_s = 4;
    return static_cast<std::size_t>(1.5 * per_s * window_s + 5);
}

class targets_that_state_a_limit : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(targets_that_state_a_limit);
    CPPUNIT_TEST(get_no_more_requests_than_that_from_all_hosts_together);
    CPPUNIT_TEST_SUITE_END();

  public:
    void get_no_more_requests_than_that_from_all_hosts_together()
    {
        limited_pool it(3, {"1", ""});
        const steady_time begin = it.time.steady_now();
        it.play(millis(9000), millis(60));
        const std::size_t most =
            limited_pool::most_arrivals(*it.targets[0], begin + contact_time, window);
        CPPUNIT_ASSERT(most > 0);
        CPPUNIT_ASSERT(most <= allowed(1));
        for (const auto& each : it.answers)
        {
            CPPUNIT_ASSERT(!each->ended || each->status == 200);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(targets_that_state_a_limit);

} // namespace
