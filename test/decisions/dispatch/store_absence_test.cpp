#include <medlar/detail/dispatch/store_absence.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

constexpr millis heartbeat{1200};

steady_time at_ms(std::int64_t ms)
{
    return steady_time(1000000 + ms);
}

class an_absence_of_the_store : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_absence_of_the_store);
    CPPUNIT_TEST(lapses_nothing_if_one_call_failed);
    CPPUNIT_TEST(may_lapse_entries_that_were_written_before_it);
    CPPUNIT_TEST(is_one_with_others_between_which_targets_wrote_nothing);
    CPPUNIT_TEST(is_over_once_all_targets_have_written);
    CPPUNIT_TEST(is_none_while_a_relay_gets_answers);
    CPPUNIT_TEST(counts_if_the_relay_returns_first);
    CPPUNIT_TEST(is_measured_in_heartbeats);
    CPPUNIT_TEST_SUITE_END();

    store_absence absence_{heartbeat, at_ms(0)};

    /// the store answers every half second
    void answer(std::int64_t from_ms, std::int64_t to_ms)
    {
        for (std::int64_t ms = from_ms; ms <= to_ms; ms += 500)
        {
            CPPUNIT_ASSERT(!absence_.record_answer(at_ms(ms), false));
        }
    }

  public:
    void lapses_nothing_if_one_call_failed()
    {
        answer(500, 5000);
        CPPUNIT_ASSERT(!absence_.record_answer(at_ms(6250), true));
    }

    void may_lapse_entries_that_were_written_before_it()
    {
        answer(500, 5000);
        CPPUNIT_ASSERT(absence_.record_answer(at_ms(7400), true));
        answer(7900, 12000);
        CPPUNIT_ASSERT(!absence_.record_answer(at_ms(12500), true));
    }

    void is_one_with_others_between_which_targets_wrote_nothing()
    {
        answer(500, 5000);
        CPPUNIT_ASSERT(!absence_.record_answer(at_ms(5800), true));
        answer(6300, 6800);
        CPPUNIT_ASSERT(!absence_.record_answer(at_ms(7300), true));
        CPPUNIT_ASSERT(absence_.record_answer(at_ms(7500), true));
        // each of them may keep an entry away for longer
        CPPUNIT_ASSERT(absence_.record_answer(at_ms(8000), true));
    }

    void is_over_once_all_targets_have_written()
    {
        answer(500, 5000);
        CPPUNIT_ASSERT(!absence_.record_answer(at_ms(6000), true));
        answer(6500, 8000);
        CPPUNIT_ASSERT(!absence_.record_answer(at_ms(9000), true));
        answer(9500, 11000);
        CPPUNIT_ASSERT(!absence_.record_answer(at_ms(12000), true));
    }

    void is_none_while_a_relay_gets_answers()
    {
        answer(500, 5000);
        // this host's own calls fail meanwhile
        for (const std::int64_t ms : {5500, 7000, 9000, 8500})
        {
            absence_.record_relay_answer(at_ms(ms));
        }
        CPPUNIT_ASSERT(!absence_.record_answer(at_ms(11000), true));
    }

    void counts_if_the_relay_returns_first()
    {
        answer(500, 5000);
        absence_.record_relay_answer(at_ms(7400));
        absence_.record_relay_answer(at_ms(7800));
        CPPUNIT_ASSERT(absence_.record_answer(at_ms(8000), true));
    }

    void is_measured_in_heartbeats()
    {
        absence_.set_heartbeat(millis(2000));
        answer(500, 5000);
        CPPUNIT_ASSERT(!absence_.record_answer(at_ms(8900), true));
        CPPUNIT_ASSERT(absence_.record_answer(at_ms(9000), true));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(an_absence_of_the_store);

} // namespace
