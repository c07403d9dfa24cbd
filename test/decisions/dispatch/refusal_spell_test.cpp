#include <medlar/detail/dispatch/refusal_spell.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class a_spell_of_refusals : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_spell_of_refusals);
    CPPUNIT_TEST(sends_the_first_callers_away_for_a_short_time);
    CPPUNIT_TEST(sends_callers_away_for_as_long_as_it_has_lasted);
    CPPUNIT_TEST(ends_with_a_time_without_refusals);
    CPPUNIT_TEST(does_not_grow_without_bound);
    CPPUNIT_TEST_SUITE_END();

    const steady_time start_{1000000};
    refusal_spell spell_;

    /// Refuses four requests a second.
    millis refuse_for(millis span)
    {
        millis wait{0};
        for (millis at{0}; at <= span; at = at + millis(250))
        {
            wait = spell_.refused(start_ + at);
        }
        return wait;
    }

  public:
    void sends_the_first_callers_away_for_a_short_time()
    {
        CPPUNIT_ASSERT(spell_.refused(start_) <= millis(1000));
        CPPUNIT_ASSERT(spell_.refused(start_) > millis(0));
    }

    void sends_callers_away_for_as_long_as_it_has_lasted()
    {
        CPPUNIT_ASSERT(refuse_for(millis(3000)) == millis(3000));
    }

    void ends_with_a_time_without_refusals()
    {
        refuse_for(millis(3000));
        CPPUNIT_ASSERT(spell_.refused(start_ + millis(6000)) <= millis(1000));
    }

    void does_not_grow_without_bound()
    {
        CPPUNIT_ASSERT(refuse_for(millis(60000)) <= millis(5000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_spell_of_refusals);

} // namespace
