#include <medlar/detail/dispatch/repeat_budget.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace
{

using namespace medlar;

class the_budget_of_repeats : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_budget_of_repeats);
    CPPUNIT_TEST(holds_for_all_hosts_together_when_every_call_fails);
    CPPUNIT_TEST(lets_a_quiet_host_repeat);
    CPPUNIT_TEST(forgets_what_is_older_than_its_window);
    CPPUNIT_TEST_SUITE_END();

    const steady_time start_{5000000};

  public:
    void holds_for_all_hosts_together_when_every_call_fails()
    {
        constexpr std::size_t hosts = 8;
        const repeat_rule rule{0.2, 56, millis(10000)};
        std::vector<repeat_budget> budgets(hosts, repeat_budget(rule));
        int repeats = 0;
        int first = 0;
        for (int ms = 0; ms < 10000; ms += 10)
        {
            const steady_time now = start_ + millis(ms);
            repeat_budget& each = budgets[static_cast<std::size_t>(ms / 10) % hosts];
            each.note_first(now);
            ++first;
            if (each.may_repeat(now, hosts))
            {
                each.note_repeat(now);
                ++repeats;
            }
        }
        CPPUNIT_ASSERT(repeats <= 0.2 * first + 56);
        CPPUNIT_ASSERT(repeats > 0.1 * first);
    }

    void lets_a_quiet_host_repeat()
    {
        repeat_budget budget({0.2, 56, millis(10000)});
        budget.note_first(start_);
        CPPUNIT_ASSERT(budget.may_repeat(start_, 8));
        CPPUNIT_ASSERT(!budget.may_repeat(start_, 1000));
    }

    void forgets_what_is_older_than_its_window()
    {
        repeat_budget budget({0.2, 8, millis(10000)});
        for (int i = 0; i < 20; ++i)
        {
            budget.note_repeat(start_);
        }
        CPPUNIT_ASSERT(!budget.may_repeat(start_ + millis(9000), 1));
        CPPUNIT_ASSERT(budget.may_repeat(start_ + millis(12000), 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_budget_of_repeats);

} // namespace
