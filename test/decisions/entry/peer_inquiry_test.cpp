#include <medlar/detail/hosts/peer_inquiry.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace
{

using namespace medlar;

class the_inquiry_of_a_starting_host : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_inquiry_of_a_starting_host);
    CPPUNIT_TEST(needs_one_round_when_all_hosts_have_just_started);
    CPPUNIT_TEST(asks_one_peer_for_everything);
    CPPUNIT_TEST(ends_with_the_first_peer_that_knows_something);
    CPPUNIT_TEST(ends_when_enough_peers_know_nothing);
    CPPUNIT_TEST(ends_when_all_peers_know_nothing);
    CPPUNIT_TEST(waits_for_silent_peers_no_longer_than_the_operator_takes);
    CPPUNIT_TEST_SUITE_END();

    const steady_time start_{1000};
    peer_inquiry inquiry_{start_};

  public:
    void needs_one_round_when_all_hosts_have_just_started()
    {
        const std::size_t asked = peer_inquiry::peers_to_ask(true);
        for (std::size_t i = 0; i < asked; ++i)
        {
            inquiry_.record_ignorance(host_id(std::to_string(i)), 294);
        }
        CPPUNIT_ASSERT(inquiry_.is_done(start_));
    }

    void asks_one_peer_for_everything()
    {
        // an answer of 3,000 targets is 1 MB, on links of 10 Mbit/s
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peer_inquiry::peers_to_ask(false));
    }

    void ends_with_the_first_peer_that_knows_something()
    {
        CPPUNIT_ASSERT(!inquiry_.is_done(start_));
        inquiry_.record_knowledge();
        CPPUNIT_ASSERT(inquiry_.is_done(start_));
    }

    void ends_when_enough_peers_know_nothing()
    {
        inquiry_.record_ignorance(host_id("a"), 200);
        inquiry_.record_ignorance(host_id("b"), 200);
        inquiry_.record_ignorance(host_id("b"), 200);
        CPPUNIT_ASSERT(!inquiry_.is_done(start_));
        inquiry_.record_ignorance(host_id("c"), 200);
        CPPUNIT_ASSERT(inquiry_.is_done(start_));
    }

    void ends_when_all_peers_know_nothing()
    {
        inquiry_.record_ignorance(host_id("a"), 1);
        CPPUNIT_ASSERT(inquiry_.is_done(start_));
    }

    void waits_for_silent_peers_no_longer_than_the_operator_takes()
    {
        CPPUNIT_ASSERT(!inquiry_.is_done(start_ + millis(2500)));
        CPPUNIT_ASSERT(inquiry_.is_done(start_ + millis(4000)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_inquiry_of_a_starting_host);

} // namespace
