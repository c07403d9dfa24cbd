#include <medlar/detail/policy/admission.hpp>
#include <medlar/detail/policy/admission_shard.hpp>
#include <medlar/detail/policy/fair_share.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

const pool_id engines("engines");
const pool_id encoders("encoders");

pool_estimate pool_with(double slots, double in_system, double mean_ms)
{
    pool_estimate pool;
    pool.load.slots = slots;
    pool.load.in_system = in_system;
    pool.load.own_calls = in_system;
    pool.own_pending_calls = in_system;
    pool.load.mean_service_ms = mean_ms;
    pool.load.usable_targets = 1;
    return pool;
}

/// @brief an encode stage of 50 ms, then a generate stage
request_demand two_stages(double generate_ms)
{
    request_demand demand;
    demand.stages.push_back({encoders, 50, {}});
    demand.stages.push_back({engines, generate_ms, {0}});
    return demand;
}

waiting_request
waiting(std::uint64_t ticket, const char* organisation, double work_ms, double slack_ms)
{
    waiting_request request;
    request.ticket = ticket;
    request.organisation = organisation_id(organisation);
    request.demand.stages.push_back({engines, work_ms, {}});
    request.slack_ms = slack_ms;
    return request;
}

class the_time_that_a_request_needs : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_time_that_a_request_needs);
    CPPUNIT_TEST(is_the_sum_of_its_stages_in_idle_pools);
    CPPUNIT_TEST(includes_the_waiting_in_full_pools);
    CPPUNIT_TEST(counts_stages_side_by_side_once);
    CPPUNIT_TEST(does_not_depend_on_the_order_of_the_stages);
    CPPUNIT_TEST(leaves_out_the_stages_that_are_done);
    CPPUNIT_TEST(has_a_wider_margin_where_cost_comes_first);
    CPPUNIT_TEST_SUITE_END();

    void is_the_sum_of_its_stages_in_idle_pools()
    {
        const pool_estimates pools{{engines, pool_with(4, 0, 100)}};
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            150, expected_span_ms(two_stages(100), pools, 0), 0.1);
    }

    void includes_the_waiting_in_full_pools()
    {
        const pool_estimates pools{{engines, pool_with(4, 7, 100)}};
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            250, expected_span_ms(two_stages(100), pools, 0), 0.1);
    }

    void counts_stages_side_by_side_once()
    {
        request_demand demand = two_stages(100);
        demand.stages.push_back({encoders, 80, {0}});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(150, service_span_ms(demand, 0), 0.1);
    }

    void does_not_depend_on_the_order_of_the_stages()
    {
        request_demand demand;
        demand.stages.push_back({engines, 100, {1}});
        demand.stages.push_back({encoders, 50, {}});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(150, service_span_ms(demand, 0), 0.1);
    }

    void leaves_out_the_stages_that_are_done()
    {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, service_span_ms(two_stages(100), 1), 0.1);
    }

    void has_a_wider_margin_where_cost_comes_first()
    {
        CPPUNIT_ASSERT(span_with_margin_ms(200, 100, objective_kind::cost) >
                       span_with_margin_ms(200, 100, objective_kind::attainment));
        CPPUNIT_ASSERT(is_worth_continuing(200, 100, 150, objective_kind::attainment));
        CPPUNIT_ASSERT(!is_worth_continuing(200, 100, 150, objective_kind::cost));
        CPPUNIT_ASSERT(!is_worth_continuing(200, 100, 90, objective_kind::attainment));
    }
};

class requests_that_wait : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(requests_that_wait);
    CPPUNIT_TEST(start_at_once_while_slots_are_free);
    CPPUNIT_TEST(start_in_the_order_of_their_slack);
    CPPUNIT_TEST(are_dropped_when_they_cannot_start_in_time);
    CPPUNIT_TEST(are_dropped_by_most_work_when_not_all_can_start);
    CPPUNIT_TEST(are_not_dropped_for_an_organisation_over_its_share);
    CPPUNIT_TEST(start_by_organisation_in_turn);
    CPPUNIT_TEST(are_not_blocked_by_another_pool);
    CPPUNIT_TEST_SUITE_END();

    using decisions = std::map<std::uint64_t, waiting_decision>;

    static decisions decide(const std::vector<waiting_request>& all,
                            const pool_estimates& pools,
                            const work_in_progress& in_progress = {})
    {
        decisions made;
        for (const waiting_plan& each : plan_waiting(all, in_progress, pools))
        {
            made[each.ticket] = each.decision;
        }
        return made;
    }

    static pool_estimates full_pool()
    {
        return {{engines, pool_with(4, 6, 100)}};
    }

    void start_at_once_while_slots_are_free()
    {
        const pool_estimates pools{{engines, pool_with(4, 1, 100)}};
        const decisions made =
            decide({waiting(1, "a", 100, 50), waiting(2, "a", 100, 50)}, pools);
        CPPUNIT_ASSERT(made.at(1) == waiting_decision::start);
        CPPUNIT_ASSERT(made.at(2) == waiting_decision::start);
    }

    void start_in_the_order_of_their_slack()
    {
        const pool_estimates pools{{engines, pool_with(4, 5, 100)}};
        const decisions made =
            decide({waiting(1, "a", 100, 900), waiting(2, "a", 100, 300)}, pools);
        CPPUNIT_ASSERT(made.at(1) == waiting_decision::wait);
        CPPUNIT_ASSERT(made.at(2) == waiting_decision::start);
    }

    void are_dropped_when_they_cannot_start_in_time()
    {
        const decisions made = decide({waiting(1, "a", 100, 1)}, full_pool());
        CPPUNIT_ASSERT(made.at(1) == waiting_decision::drop);
    }

    void are_dropped_by_most_work_when_not_all_can_start()
    {
        const decisions made = decide({waiting(1, "a", 4000, 100),
                                       waiting(2, "a", 100, 200),
                                       waiting(3, "a", 100, 300)},
                                      full_pool());
        CPPUNIT_ASSERT(made.at(1) == waiting_decision::drop);
        CPPUNIT_ASSERT(made.at(2) == waiting_decision::wait);
        CPPUNIT_ASSERT(made.at(3) == waiting_decision::wait);
    }

    void are_not_dropped_for_an_organisation_over_its_share()
    {
        std::vector<waiting_request> all;
        for (std::uint64_t ticket = 1; ticket <= 50; ++ticket)
        {
            all.push_back(waiting(ticket, "large", 100, 300));
        }
        all.push_back(waiting(100, "small", 150, 301));
        const decisions made = decide(all, full_pool());
        int dropped = 0;
        for (const auto& [ticket, decision] : made)
        {
            dropped += decision == waiting_decision::drop ? 1 : 0;
        }
        CPPUNIT_ASSERT(dropped > 30);
        CPPUNIT_ASSERT(made.at(100) != waiting_decision::drop);
    }

    void start_by_organisation_in_turn()
    {
        const pool_estimates pools{{engines, pool_with(4, 5, 100)}};
        const work_in_progress busy{{organisation_id("large"), 500}};
        const decisions made = decide(
            {waiting(1, "large", 100, 100), waiting(2, "small", 100, 900)}, pools, busy);
        CPPUNIT_ASSERT(made.at(1) == waiting_decision::wait);
        CPPUNIT_ASSERT(made.at(2) == waiting_decision::start);
    }

    void are_not_blocked_by_another_pool()
    {
        pool_estimates pools = full_pool();
        pools[encoders] = pool_with(4, 0, 10);
        waiting_request other = waiting(2, "a", 10, 900);
        other.demand.stages.front().pool = encoders;
        const decisions made = decide({waiting(1, "a", 100, 900), other}, pools);
        CPPUNIT_ASSERT(made.at(1) == waiting_decision::wait);
        CPPUNIT_ASSERT(made.at(2) == waiting_decision::start);
    }
};

class a_host_that_holds_many_requests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_host_that_holds_many_requests);
    CPPUNIT_TEST(refuses_when_it_is_full);
    CPPUNIT_TEST(keeps_capacity_for_other_organisations);
    CPPUNIT_TEST(refuses_at_once_with_a_retry_time);
    CPPUNIT_TEST(refuses_a_request_whose_deadline_has_passed);
    CPPUNIT_TEST(counts_stages_that_have_ended);
    CPPUNIT_TEST_SUITE_END();

    static admission_request request(std::uint64_t ticket, const char* organisation)
    {
        admission_request out;
        out.ticket = ticket;
        out.attributes.organisation = organisation_id(organisation);
        out.attributes.deadline = steady_time(1000);
        out.demand.stages.push_back({engines, 100, {}});
        return out;
    }

    static admission admit_at(admission_shard& shard,
                              const admission_request& candidate,
                              double in_system = 0)
    {
        const auto estimate_pools = [in_system]
        {
            pool_estimate pool = pool_with(4, in_system, 100);
            pool.own_pending_calls = 0;
            return pool_estimates{{engines, pool}};
        };
        return shard.admit(candidate, estimate_pools, steady_time(0));
    }

    static reason refusal(const admission& answer)
    {
        const auto* refused = std::get_if<admission_refusal>(&answer);
        return refused == nullptr ? reason::none : refused->why;
    }

    void refuses_when_it_is_full()
    {
        admission_shard shard(2);
        admit_at(shard, request(1, "a"));
        admit_at(shard, request(2, "b"));
        CPPUNIT_ASSERT(refusal(admit_at(shard, request(3, "c"))) == reason::host_full);
        shard.finish(1);
        CPPUNIT_ASSERT(refusal(admit_at(shard, request(3, "c"))) == reason::none);
    }

    void keeps_capacity_for_other_organisations()
    {
        held_requests held;
        held.max_requests = 100;
        held.total_count = 60;
        held.organisation_count = 55;
        held.active_weight = 2;
        CPPUNIT_ASSERT(!within_share(held));
        held.organisation_count = 5;
        CPPUNIT_ASSERT(within_share(held));
        held.total_count = 40;
        held.organisation_count = 40;
        CPPUNIT_ASSERT(within_share(held));
    }

    void refuses_at_once_with_a_retry_time()
    {
        admission_shard shard(100);
        const admission answer = admit_at(shard, request(1, "a"), 400);
        CPPUNIT_ASSERT(refusal(answer) == reason::deadline_unreachable);
        CPPUNIT_ASSERT(std::get<admission_refusal>(answer).retry_after >= millis(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, shard.held());
    }

    void refuses_a_request_whose_deadline_has_passed()
    {
        admission_shard shard(100);
        admission_request late = request(1, "a");
        late.attributes.deadline = steady_time(0);
        CPPUNIT_ASSERT(refusal(admit_at(shard, late)) == reason::deadline_passed);
    }

    void counts_stages_that_have_ended()
    {
        admission_shard shard(100);
        std::uint64_t ticket = 1;
        while (std::holds_alternative<admitted>(admit_at(shard, request(ticket, "a"))))
        {
            CPPUNIT_ASSERT(++ticket < 50);
        }
        call_observation observation;
        observation.pool = engines;
        observation.ticket = 1;
        observation.elapsed = millis(100);
        shard.stage_succeeded(observation);
        shard.finish(ticket);
        const admission next = admit_at(shard, request(ticket + 1, "a"));
        CPPUNIT_ASSERT(std::holds_alternative<admitted>(next));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_time_that_a_request_needs);
CPPUNIT_TEST_SUITE_REGISTRATION(requests_that_wait);
CPPUNIT_TEST_SUITE_REGISTRATION(a_host_that_holds_many_requests);

} // namespace
