#include "decisions/policy/snapshots.hpp"

#include <medlar/detail/policy/load_estimate.hpp>
#include <medlar/detail/policy/prefix_affinity.hpp>
#include <medlar/detail/policy/routing.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace
{

using namespace medlar;
using test::draft_call;
using test::idle_pool;

constexpr int choices = 200;

/// @brief Returns the set of targets chosen in repeated decisions on the same input.
std::set<std::size_t> chosen_among(const routing_snapshot& pool, const stage_call& call)
{
    random_source random(1);
    std::set<std::size_t> chosen;
    for (int i = 0; i < choices; ++i)
    {
        chosen.insert(choose_adaptive(pool, call, steady_time(0), random).value());
    }
    return chosen;
}

class routing_by_load : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(routing_by_load);
    CPPUNIT_TEST(uses_every_idle_target);
    CPPUNIT_TEST(avoids_a_target_with_a_queue);
    CPPUNIT_TEST(avoids_a_target_where_calls_were_seen_to_wait);
    CPPUNIT_TEST(avoids_a_target_whose_call_is_overdue);
    CPPUNIT_TEST(never_uses_a_closed_target);
    CPPUNIT_TEST(uses_another_target_on_the_second_try);
    CPPUNIT_TEST(returns_to_a_tried_target_when_there_is_no_other);
    CPPUNIT_TEST_SUITE_END();

    void uses_every_idle_target()
    {
        routing_snapshot pool = idle_pool(3);
        pool.local_domain = failure_domain_id("elsewhere");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, chosen_among(pool, draft_call()).size());
    }

    void avoids_a_target_with_a_queue()
    {
        routing_snapshot pool = idle_pool(2);
        pool.targets[0].in_system = 8;
        CPPUNIT_ASSERT(chosen_among(pool, draft_call()) == std::set<std::size_t>{1});
    }

    void avoids_a_target_where_calls_were_seen_to_wait()
    {
        routing_snapshot pool = idle_pool(2);
        pool.targets[0].recent_wait_ms = 300;
        CPPUNIT_ASSERT(chosen_among(pool, draft_call()) == std::set<std::size_t>{1});
    }

    void avoids_a_target_whose_call_is_overdue()
    {
        routing_snapshot pool = idle_pool(2);
        pool.targets[0].overdue_ms = 500;
        CPPUNIT_ASSERT(chosen_among(pool, draft_call()) == std::set<std::size_t>{1});
    }

    void never_uses_a_closed_target()
    {
        routing_snapshot pool = idle_pool(2);
        pool.targets[0].closed = true;
        pool.targets[1].in_system = 100;
        CPPUNIT_ASSERT(chosen_among(pool, draft_call()) == std::set<std::size_t>{1});
        pool.targets[1].closed = true;
        random_source random(1);
        const steady_time now(0);
        CPPUNIT_ASSERT(!choose_adaptive(pool, draft_call(), now, random));
        CPPUNIT_ASSERT(!choose_round_robin(pool, draft_call(), 0));
    }

    void uses_another_target_on_the_second_try()
    {
        stage_call call = draft_call();
        call.tried = {target_id("t0")};
        CPPUNIT_ASSERT(chosen_among(idle_pool(2), call) == std::set<std::size_t>{1});
    }

    void returns_to_a_tried_target_when_there_is_no_other()
    {
        stage_call call = draft_call();
        call.tried = {target_id("t0")};
        CPPUNIT_ASSERT(chosen_among(idle_pool(1), call) == std::set<std::size_t>{0});
    }
};

class routing_by_failure_domain : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(routing_by_failure_domain);
    CPPUNIT_TEST(stays_inside_while_slots_are_free);
    CPPUNIT_TEST(spills_for_attainment_when_it_ends_sooner_elsewhere);
    CPPUNIT_TEST(stays_inside_for_cost_while_the_deadline_allows);
    CPPUNIT_TEST(spills_for_cost_when_the_deadline_is_near);
    CPPUNIT_TEST_SUITE_END();

    void stays_inside_while_slots_are_free()
    {
        stage_call call = draft_call();
        call.objective = objective_kind::cost;
        CPPUNIT_ASSERT(chosen_among(idle_pool(2), call) == std::set<std::size_t>{0});
    }

    void spills_for_attainment_when_it_ends_sooner_elsewhere()
    {
        routing_snapshot pool = idle_pool(2);
        pool.targets[0].in_system = 3;
        const stage_call call = draft_call();
        CPPUNIT_ASSERT(chosen_among(pool, call) == std::set<std::size_t>{1});
    }

    void stays_inside_for_cost_while_the_deadline_allows()
    {
        routing_snapshot pool = idle_pool(2);
        pool.targets[0].in_system = 3;
        stage_call call = draft_call();
        call.objective = objective_kind::cost;
        CPPUNIT_ASSERT(chosen_among(pool, call) == std::set<std::size_t>{0});
    }

    void spills_for_cost_when_the_deadline_is_near()
    {
        routing_snapshot pool = idle_pool(2);
        pool.targets[0].in_system = 3;
        stage_call call = draft_call(steady_time(150));
        call.objective = objective_kind::cost;
        CPPUNIT_ASSERT(chosen_among(pool, call) == std::set<std::size_t>{1});
    }
};

class routing_by_health : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(routing_by_health);
    CPPUNIT_TEST(sends_no_call_to_an_ejected_target);
    CPPUNIT_TEST(uses_ejected_targets_when_none_is_healthy);
    CPPUNIT_TEST(sends_a_probe_that_is_due);
    CPPUNIT_TEST(sends_no_probe_with_a_call_that_is_short_of_time);
    CPPUNIT_TEST(ejects_at_most_half_of_a_pool);
    CPPUNIT_TEST_SUITE_END();

    void sends_no_call_to_an_ejected_target()
    {
        routing_snapshot pool = idle_pool(2);
        pool.targets[0].health = health_state::ejected;
        CPPUNIT_ASSERT(chosen_among(pool, draft_call()) == std::set<std::size_t>{1});
    }

    void uses_ejected_targets_when_none_is_healthy()
    {
        routing_snapshot pool = idle_pool(1);
        pool.targets[0].health = health_state::ejected;
        CPPUNIT_ASSERT(chosen_among(pool, draft_call()) == std::set<std::size_t>{0});
    }

    void sends_a_probe_that_is_due()
    {
        routing_snapshot pool = idle_pool(2);
        pool.targets[0].health = health_state::ejected;
        pool.targets[0].probe_due = true;
        CPPUNIT_ASSERT(chosen_among(pool, draft_call()) == std::set<std::size_t>{0});
    }

    void sends_no_probe_with_a_call_that_is_short_of_time()
    {
        routing_snapshot pool = idle_pool(2);
        pool.targets[0].health = health_state::ejected;
        pool.targets[0].probe_due = true;
        const stage_call call = draft_call(steady_time(150));
        CPPUNIT_ASSERT(chosen_among(pool, call) == std::set<std::size_t>{1});
    }

    void ejects_at_most_half_of_a_pool()
    {
        CPPUNIT_ASSERT(!may_eject_one_more(1, 0));
        CPPUNIT_ASSERT(may_eject_one_more(2, 0));
        CPPUNIT_ASSERT(!may_eject_one_more(3, 1));
        CPPUNIT_ASSERT(may_eject_one_more(4, 1));
        CPPUNIT_ASSERT(!may_eject_one_more(4, 2));
    }
};

class routing_by_prefix : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(routing_by_prefix);
    CPPUNIT_TEST(goes_to_the_target_it_is_assigned_to);
    CPPUNIT_TEST(waits_for_it_no_longer_than_the_cache_saves);
    CPPUNIT_TEST(spills_to_the_same_target_on_every_host);
    CPPUNIT_TEST(moves_few_prefixes_when_a_target_is_removed);
    CPPUNIT_TEST(splits_a_prefix_that_is_too_much_for_one_target);
    CPPUNIT_TEST(gives_no_target_much_more_than_its_part);
    CPPUNIT_TEST(forgets_cached_prefixes_at_a_gap_in_the_events);
    CPPUNIT_TEST_SUITE_END();

    static routing_snapshot pool_with_assigned_target(std::size_t assigned)
    {
        routing_snapshot pool = idle_pool(4);
        pool.local_domain = failure_domain_id("elsewhere");
        pool.targets[assigned].prefix_assigned = true;
        pool.prefix_saving_ms = 60;
        return pool;
    }

    static stage_call prefixed_call()
    {
        stage_call call = draft_call();
        call.prefix_hash = 42;
        return call;
    }

    static std::vector<target_id> names(int count)
    {
        std::vector<target_id> all;
        for (int i = 0; i < count; ++i)
        {
            all.emplace_back("t" + std::to_string(i));
        }
        return all;
    }

    void goes_to_the_target_it_is_assigned_to()
    {
        routing_snapshot pool = pool_with_assigned_target(2);
        pool.targets[2].in_system = 3;
        CPPUNIT_ASSERT(chosen_among(pool, prefixed_call()) == std::set<std::size_t>{2});
    }

    void waits_for_it_no_longer_than_the_cache_saves()
    {
        routing_snapshot pool = pool_with_assigned_target(2);
        pool.targets[2].recent_wait_ms = 50;
        CPPUNIT_ASSERT(chosen_among(pool, prefixed_call()) == std::set<std::size_t>{2});
        pool.targets[2].recent_wait_ms = 70;
        CPPUNIT_ASSERT(chosen_among(pool, prefixed_call()).count(2) == 0);
    }

    void spills_to_the_same_target_on_every_host()
    {
        routing_snapshot pool = pool_with_assigned_target(2);
        pool.targets[2].recent_wait_ms = 200;
        const std::size_t spill_targets = chosen_among(pool, prefixed_call()).size();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, spill_targets);
    }

    void moves_few_prefixes_when_a_target_is_removed()
    {
        std::vector<target_id> fewer = names(10);
        fewer.pop_back();
        for (std::uint64_t prefix = 1; prefix <= 200; ++prefix)
        {
            const std::size_t before = rendezvous_first(prefix, names(10));
            const std::size_t after = rendezvous_first(prefix, fewer);
            CPPUNIT_ASSERT(before == 9 || before == after);
        }
    }

    void splits_a_prefix_that_is_too_much_for_one_target()
    {
        const prefix_assignment assignment =
            assign_prefixes({{1, 0.7}, {2, 0.3}}, 1000000, names(4));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, assignment.at(1).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, assignment.at(2).size());
    }

    void gives_no_target_much_more_than_its_part()
    {
        std::vector<prefix_share> shares;
        for (std::uint64_t prefix = 1; prefix <= 60; ++prefix)
        {
            shares.push_back({prefix, 1.0 / 60});
        }
        std::vector<int> load(6, 0);
        for (const auto& [prefix, assigned] : assign_prefixes(shares, 1000000, names(6)))
        {
            load[assigned.front()] += 1;
        }
        for (const int each : load)
        {
            CPPUNIT_ASSERT(each <= 13);
        }
    }

    void forgets_cached_prefixes_at_a_gap_in_the_events()
    {
        cached_prefixes prefixes;
        prefixes.handle_event(1, true, 7);
        prefixes.handle_event(2, true, 8);
        CPPUNIT_ASSERT(prefixes.contains(7));
        prefixes.handle_event(4, true, 9);
        CPPUNIT_ASSERT(!prefixes.contains(7));
        CPPUNIT_ASSERT(prefixes.contains(9));
        prefixes.handle_event(3, true, 7);
        CPPUNIT_ASSERT(!prefixes.contains(7));
    }
};

class the_load_of_a_target : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_load_of_a_target);
    CPPUNIT_TEST(is_taken_from_the_own_calls_without_a_report);
    CPPUNIT_TEST(is_taken_from_a_fresh_report);
    CPPUNIT_TEST(forgets_a_report_as_its_calls_end);
    CPPUNIT_TEST(grows_since_the_report_as_the_own_calls_did);
    CPPUNIT_TEST(learns_the_slots_that_nobody_reports);
    CPPUNIT_TEST_SUITE_END();

    static load_estimate_input eight_gateways()
    {
        load_estimate_input input;
        input.own_calls = 1;
        input.mean_own_calls = 0.5;
        input.gateways = 8;
        input.mean_service_ms = 200;
        return input;
    }

    void is_taken_from_the_own_calls_without_a_report()
    {
        const double others = others_in_system(eight_gateways(), steady_time(0));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.5, others, 0.01);
    }

    void is_taken_from_a_fresh_report()
    {
        load_estimate_input input = eight_gateways();
        input.report = reported_load{9, 1, steady_time(0)};
        const double others = others_in_system(input, steady_time(0));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(8, others, 0.01);
    }

    void forgets_a_report_as_its_calls_end()
    {
        load_estimate_input input = eight_gateways();
        input.report = reported_load{9, 1, steady_time(0)};
        const double others = others_in_system(input, steady_time(5000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.5, others, 0.01);
    }

    void grows_since_the_report_as_the_own_calls_did()
    {
        load_estimate_input input = eight_gateways();
        input.report = reported_load{9, 0, steady_time(0)};
        const double others = others_in_system(input, steady_time(0));
        CPPUNIT_ASSERT(others > 9);
    }

    void learns_the_slots_that_nobody_reports()
    {
        slot_estimate estimate;
        for (int i = 0; i < choices; ++i)
        {
            const double in_system = i % 2 == 0 ? 8 : 16;
            estimate.learn(in_system, in_system <= 8 ? 1.0 : 2.0);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(8, estimate.slots(), 0.5);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(routing_by_load);
CPPUNIT_TEST_SUITE_REGISTRATION(routing_by_failure_domain);
CPPUNIT_TEST_SUITE_REGISTRATION(routing_by_health);
CPPUNIT_TEST_SUITE_REGISTRATION(routing_by_prefix);
CPPUNIT_TEST_SUITE_REGISTRATION(the_load_of_a_target);

} // namespace
