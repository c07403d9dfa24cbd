#include <medlar/detail/loop/tcp_silence_rule.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class a_tcp_silence_rule : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_tcp_silence_rule);
    CPPUNIT_TEST(keeps_the_connection_of_a_peer_that_is_silent_for_two_seconds);
    CPPUNIT_TEST(gives_up_a_dead_peer_within_the_contact_time_of_its_first_probe);
    CPPUNIT_TEST(counts_probes_only_without_a_user_timeout);
    CPPUNIT_TEST(gives_up_at_the_first_probe_after_the_user_timeout);
    CPPUNIT_TEST_SUITE_END();

    static void expect_times(millis longest_silence,
                             millis given_up_after,
                             const tcp_silence_rule& rule)
    {
        CPPUNIT_ASSERT_EQUAL(longest_silence.count(), rule.longest_silence().count());
        CPPUNIT_ASSERT_EQUAL(given_up_after.count(), rule.given_up_after().count());
    }

  public:
    // guards against requests lost at a sound target that is silent for a moment
    void keeps_the_connection_of_a_peer_that_is_silent_for_two_seconds()
    {
        const tcp_silence_rule rule;
        CPPUNIT_ASSERT(millis(2000) <= rule.longest_silence());
        // bytes that were sent just before are sent again within the silence and after it
        CPPUNIT_ASSERT(millis(3000) < rule.user_timeout);
    }

    void gives_up_a_dead_peer_within_the_contact_time_of_its_first_probe()
    {
        constexpr millis contact_time{3000};
        const tcp_silence_rule rule;
        CPPUNIT_ASSERT(rule.given_up_after() - rule.first_probe <= contact_time);
        CPPUNIT_ASSERT(rule.first_probe <= millis(1000));
    }

    void counts_probes_only_without_a_user_timeout()
    {
        expect_times(
            millis(2000), millis(5000), {millis(2000), millis(1000), 3, millis(0)});
        expect_times(
            millis(0), millis(3000), {millis(2000), millis(1000), 3, millis(2500)});
        expect_times(
            millis(4000), millis(7000), {millis(2000), millis(1000), 3, millis(6500)});
    }

    void gives_up_at_the_first_probe_after_the_user_timeout()
    {
        expect_times(
            millis(0), millis(3000), {millis(2000), millis(1000), 9, millis(1000)});
        expect_times(
            millis(0), millis(3000), {millis(2000), millis(1000), 9, millis(3000)});
        expect_times(
            millis(1000), millis(4000), {millis(2000), millis(1000), 9, millis(3001)});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_tcp_silence_rule);

} // namespace
