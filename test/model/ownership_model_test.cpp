#include "model/ownership_model.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>

namespace
{

using namespace medlar;
using namespace medlar::testing;

/// timing in steps of one millisecond
ownership_timing step_timing()
{
    ownership_timing timing;
    timing.lease_duration = millis(2);
    timing.drift_allowance = millis(0);
    timing.max_caller_skew = millis(2);
    timing.max_host_skew = millis(1);
    timing.retention = millis(1000);
    timing.first_attempt_window = millis(4);
    return timing;
}

model_setup setup_of(const std::string& name,
                     const std::vector<std::vector<std::uint64_t>>& views,
                     const std::vector<std::uint64_t>& homes)
{
    model_setup setup;
    setup.name = name;
    setup.timing = step_timing();
    setup.views = views;
    setup.homes = homes;
    setup.clock_offsets = {0, 0, 0};
    setup.caller_skew = 2;
    setup.horizon = 4;
    return setup;
}

/// One of three processes, the home, leaves the view.
model_setup removal()
{
    return setup_of("removal", {{1, 2, 3}, {2, 3}}, {1, 2});
}

/// A view of two processes is followed by a view of one other process.
model_setup succession()
{
    model_setup setup = setup_of("succession", {{1, 3}, {2}}, {1, 2});
    setup.may_restart = {3};
    return setup;
}

/// A third process joins two and becomes the home.
model_setup joining()
{
    return setup_of("joining", {{1, 2}, {1, 2, 3}}, {1, 3});
}

/// One of two processes is replaced by a third.
model_setup replacement()
{
    return setup_of("replacement", {{1, 2}, {2, 3}}, {1, 3});
}

/// The home moves to a joining process and back when that process leaves.
model_setup returning()
{
    model_setup setup = setup_of("returning", {{1}, {1, 2}, {1}}, {1, 2, 1});
    setup.clock_offsets = {0, 0};
    return setup;
}

/// Sets a lease of one step and a short horizon, which limits the number of states.
model_setup with_short_lease(model_setup setup)
{
    setup.timing.lease_duration = millis(1);
    setup.horizon = 3;
    return setup;
}

model_result explored(const model_setup& setup)
{
    const model_result result = ownership_model(setup).explore();
    std::cout << "\n  " << setup.name << ", clocks " << setup.clock_offsets[0] << " "
              << setup.clock_offsets[1] << ", " << setup.horizon
              << " steps of time: " << result.states << " states"
              << (result.double_run.empty() ? "" : "; run twice: " + result.double_run)
              << std::flush;
    return result;
}

/// Offsets by which the first home's clock is ahead of the last one's; ahead is the worst
/// case.
const std::vector<int> old_ahead{1};
const std::vector<int> all_offsets{0, 1, -1};

void expect_no_double_run(model_setup setup, const std::vector<int>& offsets)
{
    const std::size_t last = setup.homes[1] - 1;
    for (const int offset : offsets)
    {
        setup.clock_offsets.assign(setup.clock_offsets.size(), 0);
        setup.clock_offsets[last] = -offset;
        const model_result result = explored(setup);
        CPPUNIT_ASSERT_EQUAL(std::string(), result.double_run);
        CPPUNIT_ASSERT(result.first_home_ran || setup.first_accepting_view > 1);
        CPPUNIT_ASSERT(result.last_home_ran);
        CPPUNIT_ASSERT(result.last_view_established);
    }
}

void expect_double_run(model_setup setup)
{
    CPPUNIT_ASSERT(!explored(setup).double_run.empty());
}

class every_interleaving : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(every_interleaving);
    CPPUNIT_TEST(of_a_removal_runs_a_request_at_most_once);
    CPPUNIT_TEST(of_a_removal_with_restarts_runs_a_request_at_most_once);
    CPPUNIT_TEST(of_a_joining_runs_a_request_at_most_once);
    CPPUNIT_TEST(of_a_replacement_runs_a_request_at_most_once);
    CPPUNIT_TEST(of_a_return_runs_a_request_at_most_once);
    CPPUNIT_TEST(of_a_handover_runs_a_request_at_most_once);
    CPPUNIT_TEST(of_a_handover_can_lead_to_a_run_at_the_new_home);
    CPPUNIT_TEST_SUITE_END();

    void of_a_removal_runs_a_request_at_most_once()
    {
        expect_no_double_run(removal(), old_ahead);
        model_setup shorter = removal();
        shorter.horizon = 3;
        expect_no_double_run(shorter, all_offsets);
    }

    void of_a_removal_with_restarts_runs_a_request_at_most_once()
    {
        model_setup smaller = with_short_lease(succession());
        smaller.horizon = 2;
        expect_no_double_run(smaller, old_ahead);
        for (const std::uint64_t process : {1, 2, 3})
        {
            model_setup setup = with_short_lease(removal());
            setup.may_restart = {process};
            setup.name = "removal, restart of " + std::to_string(process);
            setup.horizon = 2;
            expect_no_double_run(setup, old_ahead);
        }
    }

    void of_a_joining_runs_a_request_at_most_once()
    {
        expect_no_double_run(joining(), old_ahead);
    }

    void of_a_replacement_runs_a_request_at_most_once()
    {
        model_setup setup = replacement();
        setup.horizon = 3;
        expect_no_double_run(setup, old_ahead);
    }

    void of_a_return_runs_a_request_at_most_once()
    {
        model_setup setup = returning();
        expect_no_double_run(setup, old_ahead);
        setup.with_handover = true;
        expect_no_double_run(setup, old_ahead);
        // only requests that the first home did not run
        setup.first_accepting_view = 2;
        expect_no_double_run(setup, old_ahead);
    }

    void of_a_handover_runs_a_request_at_most_once()
    {
        for (model_setup setup : {removal(), joining()})
        {
            setup = with_short_lease(setup);
            setup.horizon = 4;
            setup.name += " with handover";
            setup.with_handover = true;
            expect_no_double_run(setup, old_ahead);
        }
    }

    void of_a_handover_can_lead_to_a_run_at_the_new_home()
    {
        model_setup setup = removal();
        setup.horizon = 3;
        setup.first_accepting_view = 2;
        CPPUNIT_ASSERT(!explored(setup).ran_after_handover);
        setup.with_handover = true;
        CPPUNIT_ASSERT(explored(setup).ran_after_handover);
    }
};

class a_double_run_is_found : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_double_run_is_found);
    CPPUNIT_TEST(when_the_takeover_has_no_margin);
    CPPUNIT_TEST(when_the_margin_leaves_out_the_skew_between_hosts);
    CPPUNIT_TEST(when_the_margin_leaves_out_the_skew_of_callers);
    CPPUNIT_TEST(when_hosts_clocks_are_twice_the_skew_apart);
    CPPUNIT_TEST(when_a_view_is_adopted_before_grants_have_run_out);
    CPPUNIT_TEST(when_nobody_waits_for_the_grants_of_a_stopped_process);
    CPPUNIT_TEST(when_a_restarted_process_is_taken_as_a_member);
    CPPUNIT_TEST(when_a_restarted_process_forgets_its_grants);
    CPPUNIT_TEST(when_the_age_of_requests_is_not_checked);
    CPPUNIT_TEST(when_a_stated_first_attempt_is_repeated_early);
    CPPUNIT_TEST_SUITE_END();

    /// Sets the clock of the old home ahead of the new one's by the allowed maximum.
    static model_setup ahead(model_setup setup)
    {
        setup.timing.max_host_skew = millis(2);
        setup.clock_offsets = {0, -2, -2};
        setup.horizon = 3;
        return setup;
    }

    static void expect_no_double_run_here(model_setup setup)
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), explored(setup).double_run);
    }

    void when_the_takeover_has_no_margin()
    {
        model_setup setup = removal();
        setup.faults.omitted_margin = setup.timing.takeover_margin();
        expect_double_run(setup);
    }

    void when_the_margin_leaves_out_the_skew_between_hosts()
    {
        model_setup setup = ahead(removal());
        expect_no_double_run_here(setup);
        setup.faults.omitted_margin = setup.timing.max_host_skew;
        expect_double_run(setup);
    }

    void when_the_margin_leaves_out_the_skew_of_callers()
    {
        model_setup setup = ahead(removal());
        setup.faults.omitted_margin = setup.timing.max_caller_skew;
        expect_double_run(setup);
    }

    void when_hosts_clocks_are_twice_the_skew_apart()
    {
        model_setup setup = ahead(removal());
        setup.clock_offsets = {0, -4, -4};
        setup.horizon = 5;
        expect_double_run(setup);
    }

    void when_a_view_is_adopted_before_grants_have_run_out()
    {
        model_setup setup = ahead(removal());
        setup.faults.ignores_own_grants = true;
        expect_double_run(setup);
    }

    void when_nobody_waits_for_the_grants_of_a_stopped_process()
    {
        model_setup setup = succession();
        setup.clock_offsets = {0, -1, -1};
        setup.faults.ignores_grants_of_stopped = true;
        expect_double_run(setup);
    }

    void when_a_restarted_process_is_taken_as_a_member()
    {
        model_setup setup = with_short_lease(succession());
        setup.clock_offsets = {0, -1, -1};
        setup.faults.keeps_membership_on_restart = true;
        expect_double_run(setup);
    }

    void when_a_restarted_process_forgets_its_grants()
    {
        model_setup setup = succession();
        setup.clock_offsets = {0, -1, -1};
        setup.faults.loses_grants_on_restart = true;
        expect_double_run(setup);
    }

    void when_the_age_of_requests_is_not_checked()
    {
        model_setup setup = removal();
        setup.faults.skips_issue_time_check = true;
        expect_double_run(setup);
    }

    void when_a_stated_first_attempt_is_repeated_early()
    {
        model_setup setup = removal();
        setup.faults.resends_first_attempt_early = true;
        expect_double_run(setup);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(every_interleaving);
CPPUNIT_TEST_SUITE_REGISTRATION(a_double_run_is_found);

} // namespace
