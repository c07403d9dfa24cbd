#include <medlar/detail/dispatch/pool_retry_budget.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace
{

using namespace medlar;

class the_retry_budget_of_a_pool : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_retry_budget_of_a_pool);
    CPPUNIT_TEST(limits_all_hosts_together_when_every_call_fails);
    CPPUNIT_TEST(lets_a_host_with_few_requests_retry);
    CPPUNIT_TEST(drops_retries_older_than_its_window);
    CPPUNIT_TEST(keeps_its_counts_when_its_rule_changes);
    CPPUNIT_TEST_SUITE_END();

    const steady_time start_{5000000};

  public:
    void limits_all_hosts_together_when_every_call_fails()
    {
        constexpr std::size_t hosts = 8;
        const pool_retry_rule rule{0.2, 56, millis(10000)};
        std::vector<pool_retry_budget> budgets(hosts, pool_retry_budget(rule));
        int retries = 0;
        int first_tries = 0;
        for (int ms = 0; ms < 10000; ms += 10)
        {
            const steady_time now = start_ + millis(ms);
            pool_retry_budget& budget =
                budgets[static_cast<std::size_t>(ms / 10) % hosts];
            budget.record_first_try(now);
            ++first_tries;
            if (budget.may_retry(now, hosts))
            {
                budget.record_retry(now);
                ++retries;
            }
        }
        CPPUNIT_ASSERT(retries <= 0.2 * first_tries + 56);
        CPPUNIT_ASSERT(retries > 0.1 * first_tries);
    }

    void lets_a_host_with_few_requests_retry()
    {
        pool_retry_budget budget({0.2, 56, millis(10000)});
        budget.record_first_try(start_);
        CPPUNIT_ASSERT(budget.may_retry(start_, 8));
        CPPUNIT_ASSERT(!budget.may_retry(start_, 1000));
    }

    void drops_retries_older_than_its_window()
    {
        pool_retry_budget budget({0.2, 8, millis(10000)});
        for (int i = 0; i < 20; ++i)
        {
            budget.record_retry(start_);
        }
        CPPUNIT_ASSERT(!budget.may_retry(start_ + millis(9000), 1));
        CPPUNIT_ASSERT(budget.may_retry(start_ + millis(12000), 1));
    }

    void keeps_its_counts_when_its_rule_changes()
    {
        pool_retry_budget budget({0, 100, millis(10000)});
        for (int i = 0; i < 20; ++i)
        {
            budget.record_retry(start_ + millis(std::int64_t{i} * 100));
        }
        CPPUNIT_ASSERT(budget.may_retry(start_ + millis(2000), 1));
        for (const millis window : {millis(5000), millis(20000), millis(7000)})
        {
            budget.set_rule({0, 25, window});
            CPPUNIT_ASSERT(!budget.may_retry(start_ + millis(2000), 1));
            budget.set_rule({0, 26.5, window});
            CPPUNIT_ASSERT(budget.may_retry(start_ + millis(2000), 1));
        }
        CPPUNIT_ASSERT(budget.may_retry(start_ + millis(15000), 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_retry_budget_of_a_pool);

} // namespace
