#include <medlar/detail/dispatch/cold_permit_issuer.hpp>
#include <medlar/detail/dispatch/cold_target.hpp>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

namespace
{

using namespace medlar;

const cold_bound bound;
const target_id target("i-1");

steady_time at_ms(std::int64_t ms)
{
    return steady_time(100000 + ms);
}

/// the largest number of times in one second
std::size_t most_in_a_second(std::vector<std::int64_t> times)
{
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first)
    {
        const auto last = std::lower_bound(first, times.end(), *first + 1000);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

class permits_for_a_cold_target : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(permits_for_a_cold_target);
    CPPUNIT_TEST(stay_within_the_bound_if_two_hosts_issue_them_and_all_are_used_late);
    CPPUNIT_TEST(are_used_up_to_the_rate_by_hosts_that_wait_as_told);
    CPPUNIT_TEST(follow_a_stated_limit_that_is_lower);
    CPPUNIT_TEST(are_still_issued_if_the_bound_or_the_limit_is_zero);
    CPPUNIT_TEST_SUITE_END();

  public:
    void stay_within_the_bound_if_two_hosts_issue_them_and_all_are_used_late()
    {
        // load: each of two issuers is asked 1,000 times a second
        for (const double rate : {0.5, 1.0, 2.0, 5.0, 20.0, 200.0})
        {
            const double per_s = cold_permit_rate({millis(3000), rate}, bound, {});
            std::vector<std::int64_t> used;
            for (int issuer = 0; issuer < 2; ++issuer)
            {
                cold_permit_issuer issuing;
                for (std::int64_t ms = 0; ms < 4000; ++ms)
                {
                    if (issuing.issue(target, per_s, at_ms(ms)).is_granted)
                    {
                        // those before a moment are used late, those after it at once
                        const std::int64_t delay =
                            ms < 2000 ? std::min(cold_permit_validity.count(), 2000 - ms)
                                      : 0;
                        used.push_back(ms + delay);
                    }
                }
            }
            const auto most = static_cast<double>(most_in_a_second(used));
            CPPUNIT_ASSERT_MESSAGE(absl::StrCat(most, " at ", rate),
                                   most <= rate * bound.over + bound.slack);
        }
    }

    void are_used_up_to_the_rate_by_hosts_that_wait_as_told()
    {
        // load: 62 hosts, each with a request ready at any time
        constexpr int host_count = 62;
        const double per_s = cold_permit_rate({millis(3000), 5}, bound, {});
        cold_permit_issuer issuing;
        std::vector<std::int64_t> waiting(host_count, 0);
        int granted = 0;
        int asked = 0;
        for (std::int64_t ms = 0; ms < 3000; ++ms)
        {
            for (std::int64_t& until : waiting)
            {
                if (until <= ms)
                {
                    const permit answer = issuing.issue(target, per_s, at_ms(ms));
                    granted += answer.is_granted ? 1 : 0;
                    ++asked;
                    until = ms + std::max<std::int64_t>(answer.wait.count(), 20);
                }
            }
        }
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(granted), granted >= 13);
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(asked), asked <= 3 * 4 * host_count);
    }

    void follow_a_stated_limit_that_is_lower()
    {
        const cold_rule rule{millis(3000), 5};
        CPPUNIT_ASSERT_EQUAL(2.0, cold_permit_rate(rule, bound, 2));
        CPPUNIT_ASSERT_EQUAL(cold_permit_rate(rule, bound, {}),
                             cold_permit_rate(rule, bound, 50));
    }

    void are_still_issued_if_the_bound_or_the_limit_is_zero()
    {
        const cold_rule rule{millis(3000), 5};
        CPPUNIT_ASSERT(cold_permit_rate(rule, {0, 0}, {}) > 0);
        CPPUNIT_ASSERT(cold_permit_rate(rule, bound, 0) > 0);
    }
};

class statements_that_a_target_is_cold : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(statements_that_a_target_is_cold);
    CPPUNIT_TEST(are_not_undone_by_an_entry_that_was_written_before);
    CPPUNIT_TEST(of_an_entry_are_corrected_by_the_next_one);
    CPPUNIT_TEST_SUITE_END();

  public:
    void are_not_undone_by_an_entry_that_was_written_before()
    {
        cold_phase phase;
        phase.record_start({millis(3000), 5}, at_ms(0));
        phase.record_entry(millis(0), at_ms(100));
        phase.record_entry(std::nullopt, at_ms(200));
        phase.record_statement(millis(10), at_ms(300));
        CPPUNIT_ASSERT(phase.until() == at_ms(3000));
    }

    void of_an_entry_are_corrected_by_the_next_one()
    {
        cold_phase phase;
        phase.record_entry(max_cold_time * 10, at_ms(0));
        CPPUNIT_ASSERT(phase.until() == at_ms(0) + max_cold_time);
        phase.record_entry(millis(500), at_ms(100));
        CPPUNIT_ASSERT(phase.until() == at_ms(600));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(permits_for_a_cold_target);
CPPUNIT_TEST_SUITE_REGISTRATION(statements_that_a_target_is_cold);

} // namespace
