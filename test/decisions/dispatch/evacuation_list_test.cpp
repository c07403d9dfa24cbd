#include <medlar/detail/dispatch/evacuation_list.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class an_evacuation_missing_in_a_store_that_is_back : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_evacuation_missing_in_a_store_that_is_back);
    CPPUNIT_TEST(is_in_force_until_its_time_is_over);
    CPPUNIT_TEST(stays_in_force_once_it_is_written_again);
    CPPUNIT_TEST(is_told_to_a_host_that_starts);
    CPPUNIT_TEST_SUITE_END();

    const failure_domain_id domain_{"a"};
    const steady_time now_{1000000};
    const steady_time until_ = now_ + millis(2000);
    evacuation_list list_;

  public:
    void is_in_force_until_its_time_is_over()
    {
        CPPUNIT_ASSERT(list_.begin(domain_));
        CPPUNIT_ASSERT(list_.hold(domain_, until_));
        // a second loss does not prolong it
        CPPUNIT_ASSERT(!list_.hold(domain_, until_ + millis(2000)));
        CPPUNIT_ASSERT(list_.end_held(until_ - millis(1)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, list_.end_held(until_).size());
        CPPUNIT_ASSERT(list_.all().empty());
    }

    void stays_in_force_once_it_is_written_again()
    {
        list_.begin(domain_);
        list_.hold(domain_, until_);
        CPPUNIT_ASSERT(!list_.begin(domain_));
        CPPUNIT_ASSERT(list_.end_held(until_).empty());
        CPPUNIT_ASSERT(list_.end(domain_));
        CPPUNIT_ASSERT(!list_.end(domain_));
    }

    void is_told_to_a_host_that_starts()
    {
        list_.begin(domain_);
        list_.hold(domain_, until_);
        evacuation_list starting;
        for (const auto& each : list_.held())
        {
            CPPUNIT_ASSERT(starting.begin_held(each.first, each.second));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starting.end_held(until_).size());
        // what the store shows is not ended by what another host holds
        starting.begin(domain_);
        CPPUNIT_ASSERT(!starting.begin_held(domain_, until_));
        CPPUNIT_ASSERT(starting.end_held(until_).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(an_evacuation_missing_in_a_store_that_is_back);

} // namespace
