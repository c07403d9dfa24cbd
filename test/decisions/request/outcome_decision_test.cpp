#include <medlar/detail/request/outcome_decision.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

/// @brief Returns the facts given by the four low bits of a number.
run_facts make_facts(unsigned bits)
{
    run_facts facts;
    facts.complete = (bits & 1U) != 0;
    facts.call_may_have_run = (bits & 2U) != 0;
    facts.non_idempotent_may_have_run = (bits & 4U) != 0;
    facts.non_idempotent_settled = (bits & 8U) != 0;
    return facts;
}

class a_run_that_has_ended : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_run_that_has_ended);
    CPPUNIT_TEST(is_answered_if_and_only_if_every_stage_answered);
    CPPUNIT_TEST(is_not_run_only_if_no_call_may_have_run);
    CPPUNIT_TEST(is_failed_if_every_non_idempotent_call_reported_its_end);
    CPPUNIT_TEST(is_unknown_if_a_non_idempotent_call_did_not_report_its_end);
    CPPUNIT_TEST(is_failed_but_may_run_again_if_only_idempotent_calls_ran);
    CPPUNIT_TEST(may_not_run_again_once_a_non_idempotent_call_may_have_run);
    CPPUNIT_TEST_SUITE_END();

    static constexpr unsigned combinations = 16;

    void is_answered_if_and_only_if_every_stage_answered()
    {
        for (unsigned bits = 0; bits < combinations; ++bits)
        {
            const run_facts facts = make_facts(bits);
            const bool answered = decide_outcome(facts).kind == outcome_kind::answered;
            CPPUNIT_ASSERT_EQUAL(facts.complete, answered);
        }
    }

    void is_not_run_only_if_no_call_may_have_run()
    {
        for (unsigned bits = 0; bits < combinations; ++bits)
        {
            const run_facts facts = make_facts(bits);
            const bool not_run = decide_outcome(facts).kind == outcome_kind::not_run;
            const bool nothing_may_have_run = !facts.complete &&
                                              !facts.call_may_have_run &&
                                              !facts.non_idempotent_may_have_run;
            CPPUNIT_ASSERT_EQUAL(nothing_may_have_run, not_run);
        }
    }

    void is_failed_if_every_non_idempotent_call_reported_its_end()
    {
        const run_decision decision = decide_outcome({false, true, true, true});
        CPPUNIT_ASSERT(decision.kind == outcome_kind::failed);
        CPPUNIT_ASSERT(!decision.may_run_again);
    }

    void is_unknown_if_a_non_idempotent_call_did_not_report_its_end()
    {
        const run_decision decision = decide_outcome({false, true, true, false});
        CPPUNIT_ASSERT(decision.kind == outcome_kind::unknown);
        CPPUNIT_ASSERT(!decision.may_run_again);
    }

    void is_failed_but_may_run_again_if_only_idempotent_calls_ran()
    {
        const run_decision decision = decide_outcome({false, true, false, true});
        CPPUNIT_ASSERT(decision.kind == outcome_kind::failed);
        CPPUNIT_ASSERT(decision.may_run_again);
    }

    void may_not_run_again_once_a_non_idempotent_call_may_have_run()
    {
        for (unsigned bits = 0; bits < combinations; ++bits)
        {
            const run_facts facts = make_facts(bits);
            if (facts.non_idempotent_may_have_run)
            {
                CPPUNIT_ASSERT(!decide_outcome(facts).may_run_again);
            }
        }
    }
};

class an_entry_without_an_answer_from_the_home : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_entry_without_an_answer_from_the_home);
    CPPUNIT_TEST(
        reports_not_run_only_if_nothing_was_sent_and_no_earlier_attempt_can_have_run);
    CPPUNIT_TEST_SUITE_END();

    void reports_not_run_only_if_nothing_was_sent_and_no_earlier_attempt_can_have_run()
    {
        for (const bool idempotent : {false, true})
        {
            for (const bool first : {false, true})
            {
                for (const bool sent : {false, true})
                {
                    const bool not_run =
                        decide_entry_outcome({idempotent, first, sent}) ==
                        outcome_kind::not_run;
                    CPPUNIT_ASSERT_EQUAL(!sent && (idempotent || first), not_run);
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_run_that_has_ended);
CPPUNIT_TEST_SUITE_REGISTRATION(an_entry_without_an_answer_from_the_home);

} // namespace
