#include <medlar/detail/policy/call_priority.hpp>
#include <medlar/detail/policy/retry_budget.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class second_calls : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(second_calls);
    CPPUNIT_TEST(stay_under_a_tenth_when_everything_fails);
    CPPUNIT_TEST(are_allowed_in_a_burst_after_a_quiet_time);
    CPPUNIT_TEST(are_earned_again_in_a_quiet_time);
    CPPUNIT_TEST(are_not_made_without_time_left);
    CPPUNIT_TEST(are_made_at_once_by_the_baseline);
    CPPUNIT_TEST_SUITE_END();

    void stay_under_a_tenth_when_everything_fails()
    {
        constexpr int first_calls = 10000;
        retry_budget budget = full_retry_budget();
        int second = 0;
        for (int i = 0; i < first_calls; ++i)
        {
            budget = after_first_call(budget);
            while (may_spend(budget))
            {
                budget = after_second_call(budget);
                ++second;
            }
        }
        CPPUNIT_ASSERT(second > 900);
        CPPUNIT_ASSERT(second <= first_calls / 10 + 10);
    }

    void are_allowed_in_a_burst_after_a_quiet_time()
    {
        retry_budget budget = full_retry_budget();
        for (int i = 0; i < 1000; ++i)
        {
            budget = after_first_call(budget);
        }
        int second = 0;
        while (may_spend(budget))
        {
            budget = after_second_call(budget);
            ++second;
        }
        CPPUNIT_ASSERT(second >= 9 && second <= 10);
    }

    void are_earned_again_in_a_quiet_time()
    {
        retry_budget budget = full_retry_budget();
        while (may_spend(budget))
        {
            budget = after_second_call(budget);
        }
        CPPUNIT_ASSERT(!may_spend(after_time(budget, millis(1000))));
        CPPUNIT_ASSERT(may_spend(after_time(budget, millis(10000))));
        const retry_budget rested = after_time(budget, millis(1000000));
        CPPUNIT_ASSERT(!may_spend(after_second_call(after_second_call(rested))));
    }

    void are_not_made_without_time_left()
    {
        retry_question asked;
        asked.left = millis(100);
        asked.expected_ms = 50;
        CPPUNIT_ASSERT(retry_is_useful(asked));
        asked.expected_ms = 150;
        CPPUNIT_ASSERT(!retry_is_useful(asked));
        asked.expected_ms = 50;
        asked.tries = 3;
        CPPUNIT_ASSERT(!retry_is_useful(asked));
        asked.tries = 1;
        asked.policy = retry_policy::never;
        CPPUNIT_ASSERT(!retry_is_useful(asked));
    }

    void are_made_at_once_by_the_baseline()
    {
        retry_question asked;
        asked.policy = retry_policy::blind;
        asked.left = millis(1);
        asked.expected_ms = 1000;
        CPPUNIT_ASSERT(retry_is_useful(asked));
    }
};

class hedges : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(hedges);
    CPPUNIT_TEST(start_when_a_call_is_slower_than_most);
    CPPUNIT_TEST(start_later_where_cost_comes_first);
    CPPUNIT_TEST(are_not_worth_it_without_room_or_time);
    CPPUNIT_TEST_SUITE_END();

    static hedge_question question()
    {
        hedge_question asked;
        asked.left = millis(1000);
        asked.expected_ms = 100;
        asked.slowness_p95 = 1.5;
        asked.utilisation = 0.3;
        asked.usable = 3;
        return asked;
    }

    void start_when_a_call_is_slower_than_most()
    {
        CPPUNIT_ASSERT(hedge_delay(question()) == millis(150));
    }

    void start_later_where_cost_comes_first()
    {
        hedge_question asked = question();
        asked.objective = objective_kind::cost;
        CPPUNIT_ASSERT(hedge_delay(asked).value() > millis(150));
    }

    void are_not_worth_it_without_room_or_time()
    {
        hedge_question asked = question();
        asked.utilisation = 0.9;
        CPPUNIT_ASSERT(!hedge_delay(asked));
        asked = question();
        asked.usable = 1;
        CPPUNIT_ASSERT(!hedge_delay(asked));
        asked = question();
        asked.left = millis(200);
        CPPUNIT_ASSERT(!hedge_delay(asked));
    }
};

class the_priority_of_a_call : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_priority_of_a_call);
    CPPUNIT_TEST(is_higher_for_the_earlier_deadline);
    CPPUNIT_TEST_SUITE_END();

    void is_higher_for_the_earlier_deadline()
    {
        const wall_time deadline(1790000000000);
        CPPUNIT_ASSERT(call_priority(deadline) > call_priority(deadline + millis(20)));
        CPPUNIT_ASSERT(call_priority(deadline) > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(second_calls);
CPPUNIT_TEST_SUITE_REGISTRATION(hedges);
CPPUNIT_TEST_SUITE_REGISTRATION(the_priority_of_a_call);

} // namespace
