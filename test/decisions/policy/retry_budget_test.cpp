#include <medlar/detail/policy/call_priority.hpp>
#include <medlar/detail/policy/retry_budget.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class extra_calls : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(extra_calls);
    CPPUNIT_TEST(stay_under_a_tenth_when_everything_fails);
    CPPUNIT_TEST(are_allowed_in_a_burst_after_a_quiet_time);
    CPPUNIT_TEST(are_earned_again_in_a_quiet_time);
    CPPUNIT_TEST(are_not_made_without_remaining_time);
    CPPUNIT_TEST(are_made_at_once_by_the_baseline);
    CPPUNIT_TEST_SUITE_END();

    void stay_under_a_tenth_when_everything_fails()
    {
        constexpr int first_calls = 10000;
        retry_budget budget = initial_retry_budget();
        int extra_calls_made = 0;
        for (int i = 0; i < first_calls; ++i)
        {
            budget = after_first_call(budget);
            while (may_spend(budget))
            {
                budget = after_extra_call(budget);
                ++extra_calls_made;
            }
        }
        CPPUNIT_ASSERT(extra_calls_made > 900);
        CPPUNIT_ASSERT(extra_calls_made <= first_calls / 10 + 10);
    }

    void are_allowed_in_a_burst_after_a_quiet_time()
    {
        retry_budget budget = initial_retry_budget();
        for (int i = 0; i < 1000; ++i)
        {
            budget = after_first_call(budget);
        }
        int extra_calls_made = 0;
        while (may_spend(budget))
        {
            budget = after_extra_call(budget);
            ++extra_calls_made;
        }
        CPPUNIT_ASSERT(extra_calls_made >= 9 && extra_calls_made <= 10);
    }

    void are_earned_again_in_a_quiet_time()
    {
        retry_budget budget = initial_retry_budget();
        while (may_spend(budget))
        {
            budget = after_extra_call(budget);
        }
        CPPUNIT_ASSERT(!may_spend(after_elapsed(budget, millis(1000))));
        CPPUNIT_ASSERT(may_spend(after_elapsed(budget, millis(10000))));
        const retry_budget after_long_pause = after_elapsed(budget, millis(1000000));
        CPPUNIT_ASSERT(!may_spend(after_extra_call(after_extra_call(after_long_pause))));
    }

    void are_not_made_without_remaining_time()
    {
        retry_input input;
        input.remaining = millis(100);
        input.expected_ms = 50;
        CPPUNIT_ASSERT(retry_is_useful(input));
        input.expected_ms = 150;
        CPPUNIT_ASSERT(!retry_is_useful(input));
        input.expected_ms = 50;
        input.tries = 3;
        CPPUNIT_ASSERT(!retry_is_useful(input));
        input.tries = 1;
        input.policy = retry_policy::never;
        CPPUNIT_ASSERT(!retry_is_useful(input));
    }

    void are_made_at_once_by_the_baseline()
    {
        retry_input input;
        input.policy = retry_policy::blind;
        input.remaining = millis(1);
        input.expected_ms = 1000;
        CPPUNIT_ASSERT(retry_is_useful(input));
    }
};

class hedges : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(hedges);
    CPPUNIT_TEST(start_when_a_call_is_slower_than_most);
    CPPUNIT_TEST(start_later_where_cost_comes_first);
    CPPUNIT_TEST(are_not_started_without_capacity_or_time);
    CPPUNIT_TEST_SUITE_END();

    static hedge_input slow_call()
    {
        hedge_input input;
        input.remaining = millis(1000);
        input.expected_ms = 100;
        input.slowness_p95 = 1.5;
        input.utilisation = 0.3;
        input.usable_targets = 3;
        return input;
    }

    void start_when_a_call_is_slower_than_most()
    {
        CPPUNIT_ASSERT(hedge_delay(slow_call()) == millis(150));
    }

    void start_later_where_cost_comes_first()
    {
        hedge_input input = slow_call();
        input.objective = objective_kind::cost;
        CPPUNIT_ASSERT(hedge_delay(input).value() > millis(150));
    }

    void are_not_started_without_capacity_or_time()
    {
        hedge_input input = slow_call();
        input.utilisation = 0.9;
        CPPUNIT_ASSERT(!hedge_delay(input));
        input = slow_call();
        input.usable_targets = 1;
        CPPUNIT_ASSERT(!hedge_delay(input));
        input = slow_call();
        input.remaining = millis(200);
        CPPUNIT_ASSERT(!hedge_delay(input));
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

CPPUNIT_TEST_SUITE_REGISTRATION(extra_calls);
CPPUNIT_TEST_SUITE_REGISTRATION(hedges);
CPPUNIT_TEST_SUITE_REGISTRATION(the_priority_of_a_call);

} // namespace
