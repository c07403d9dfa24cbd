#include <medlar/detail/dispatch/process_evidence.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class the_process_of_an_entry : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_process_of_an_entry);
    CPPUNIT_TEST(is_known_until_its_connections_end);
    CPPUNIT_TEST(is_unknown_after_writes_that_came_late);
    CPPUNIT_TEST(is_known_again_once_its_entry_goes_on);
    CPPUNIT_TEST(is_known_again_once_its_entry_names_another_version);
    CPPUNIT_TEST(is_unknown_again_after_each_end_of_its_connections);
    CPPUNIT_TEST(is_known_whatever_is_heard_late_of_its_connections);
    CPPUNIT_TEST(has_ended_once_until_its_entry_goes_on);
    CPPUNIT_TEST_SUITE_END();

    const steady_time now_{1000000};
    process_evidence evidence_;

  public:
    void is_known_until_its_connections_end()
    {
        CPPUNIT_ASSERT(evidence_.record_write(false, now_));
        CPPUNIT_ASSERT(!evidence_.may_have_restarted());
        evidence_.record_loss(now_);
        CPPUNIT_ASSERT(evidence_.may_have_restarted());
    }

    void is_unknown_after_writes_that_came_late()
    {
        evidence_.record_loss(now_);
        CPPUNIT_ASSERT(!evidence_.record_write(false, now_ + millis(60000)));
        CPPUNIT_ASSERT(!evidence_.record_write(false, now_ + millis(61499)));
        CPPUNIT_ASSERT(evidence_.may_have_restarted());
    }

    void is_known_again_once_its_entry_goes_on()
    {
        evidence_.record_loss(now_);
        evidence_.record_write(false, now_);
        CPPUNIT_ASSERT(evidence_.record_write(false, now_ + millis(1500)));
        CPPUNIT_ASSERT(!evidence_.may_have_restarted());
    }

    void is_known_again_once_its_entry_names_another_version()
    {
        evidence_.record_loss(now_);
        CPPUNIT_ASSERT(evidence_.record_write(true, now_));
        CPPUNIT_ASSERT(!evidence_.may_have_restarted());
    }

    void is_unknown_again_after_each_end_of_its_connections()
    {
        evidence_.record_loss(now_);
        evidence_.record_write(false, now_);
        evidence_.record_loss(now_ + millis(1));
        CPPUNIT_ASSERT(!evidence_.record_write(false, now_ + millis(1500)));
        CPPUNIT_ASSERT(evidence_.may_have_restarted());
    }

    void is_known_whatever_is_heard_late_of_its_connections()
    {
        evidence_.record_write(false, now_);
        evidence_.record_write(false, now_ + millis(1500));
        CPPUNIT_ASSERT(!evidence_.record_end(now_));
        CPPUNIT_ASSERT(!evidence_.may_have_restarted());
        CPPUNIT_ASSERT(evidence_.record_end(now_ + millis(1)));
        CPPUNIT_ASSERT(evidence_.may_have_restarted());
    }

    void has_ended_once_until_its_entry_goes_on()
    {
        evidence_.record_loss(now_);
        CPPUNIT_ASSERT(evidence_.record_end(now_));
        CPPUNIT_ASSERT(!evidence_.record_end(now_ + millis(1)));
        evidence_.record_write(false, now_ + millis(2));
        evidence_.record_write(false, now_ + millis(1502));
        CPPUNIT_ASSERT(!evidence_.may_have_restarted());
        CPPUNIT_ASSERT(evidence_.record_end(now_ + millis(1503)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_process_of_an_entry);

} // namespace
