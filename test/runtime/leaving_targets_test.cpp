#include <medlar/detail/membership/leaving_targets.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class a_target_that_is_live_again : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_target_that_is_live_again);
    CPPUNIT_TEST(is_not_marked_leaving_by_an_outdated_peer_entry);
    CPPUNIT_TEST(is_marked_leaving_by_its_own_refusal);
    CPPUNIT_TEST_SUITE_END();

    const steady_time now_{1000000};
    const target_id returned_{"t1"};

    void list_and_remove(leaving_targets& targets) const
    {
        targets.set_controller_list({returned_}, now_);
        targets.set_controller_list({}, now_);
    }

    void is_not_marked_leaving_by_an_outdated_peer_entry()
    {
        leaving_targets targets;
        targets.record_refusal(returned_, now_);
        list_and_remove(targets);
        targets.merge({{returned_, millis(20000)}}, now_);
        CPPUNIT_ASSERT(targets.all().empty());
    }

    void is_marked_leaving_by_its_own_refusal()
    {
        leaving_targets targets;
        list_and_remove(targets);
        targets.record_refusal(returned_, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, targets.all().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_target_that_is_live_again);

} // namespace
