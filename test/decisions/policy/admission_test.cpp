#include <medlar/detail/policy/admission.hpp>
#include <medlar/detail/policy/admission_shard.hpp>
#include <medlar/detail/policy/fair_share.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

const pool_id engines("engines");
const pool_id encoders("encoders");

pool_outlook outlook(double slots, double in_system, double mean_ms)
{
    pool_outlook pool;
    pool.load.slots = slots;
    pool.load.in_system = in_system;
    pool.load.own = in_system;
    pool.own_pending = in_system;
    pool.load.mean_service_ms = mean_ms;
    pool.load.usable = 1;
    return pool;
}

/// @brief encode for 50 ms, then generate for a time
request_need two_stages(double generate_ms)
{
    request_need need;
    need.stages.push_back({encoders, 50, {}});
    need.stages.push_back({engines, generate_ms, {0}});
    return need;
}

waiting_request
waiting(std::uint64_t ticket, const char* organisation, double work_ms, double slack_ms)
{
    waiting_request request;
    request.ticket = ticket;
    request.organisation = organisation_id(organisation);
    request.need.stages.push_back({engines, work_ms, {}});
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
    CPPUNIT_TEST(is_judged_more_strictly_where_cost_comes_first);
    CPPUNIT_TEST_SUITE_END();

    void is_the_sum_of_its_stages_in_idle_pools()
    {
        const pool_outlooks pools{{engines, outlook(4, 0, 100)}};
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            150, expected_span_ms(two_stages(100), pools, 0), 0.1);
    }

    void includes_the_waiting_in_full_pools()
    {
        const pool_outlooks pools{{engines, outlook(4, 7, 100)}};
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            250, expected_span_ms(two_stages(100), pools, 0), 0.1);
    }

    void counts_stages_side_by_side_once()
    {
        request_need need = two_stages(100);
        need.stages.push_back({encoders, 80, {0}});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(150, bare_span_ms(need, 0), 0.1);
    }

    void does_not_depend_on_the_order_of_the_stages()
    {
        request_need need;
        need.stages.push_back({engines, 100, {1}});
        need.stages.push_back({encoders, 50, {}});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(150, bare_span_ms(need, 0), 0.1);
    }

    void leaves_out_the_stages_that_are_done()
    {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, bare_span_ms(two_stages(100), 1), 0.1);
    }

    void is_judged_more_strictly_where_cost_comes_first()
    {
        CPPUNIT_ASSERT(judged_span_ms(200, 100, objective_kind::cost) >
                       judged_span_ms(200, 100, objective_kind::attainment));
        CPPUNIT_ASSERT(is_worth_continuing(200, 100, 150, objective_kind::attainment));
        CPPUNIT_ASSERT(!is_worth_continuing(200, 100, 150, objective_kind::cost));
        CPPUNIT_ASSERT(!is_worth_continuing(200, 100, 90, objective_kind::attainment));
    }
};

class requests_that_wait : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(requests_that_wait);
    CPPUNIT_TEST(start_at_once_while_there_is_room);
    CPPUNIT_TEST(start_in_the_order_of_their_slack);
    CPPUNIT_TEST(are_dropped_when_they_cannot_start_in_time);
    CPPUNIT_TEST(give_way_if_they_need_most_when_not_all_can_start);
    CPPUNIT_TEST(are_not_dropped_for_an_organisation_that_floods);
    CPPUNIT_TEST(take_turns_by_organisation);
    CPPUNIT_TEST(are_not_held_up_by_another_pool);
    CPPUNIT_TEST_SUITE_END();

    using decisions = std::map<std::uint64_t, waiting_decision>;

    static decisions decide(const std::vector<waiting_request>& all,
                            const pool_outlooks& pools,
                            const work_in_progress& in_progress = {})
    {
        decisions made;
        for (const waiting_plan& each : plan_waiting(all, in_progress, pools))
        {
            made[each.ticket] = each.decision;
        }
        return made;
    }

    static pool_outlooks full_pool()
    {
        return {{engines, outlook(4, 6, 100)}};
    }

    void start_at_once_while_there_is_room()
    {
        const pool_outlooks pools{{engines, outlook(4, 1, 100)}};
        const decisions made =
            decide({waiting(1, "a", 100, 50), waiting(2, "a", 100, 50)}, pools);
        CPPUNIT_ASSERT(made.at(1) == waiting_decision::start);
        CPPUNIT_ASSERT(made.at(2) == waiting_decision::start);
    }

    void start_in_the_order_of_their_slack()
    {
        const pool_outlooks pools{{engines, outlook(4, 5, 100)}};
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

    void give_way_if_they_need_most_when_not_all_can_start()
    {
        const decisions made = decide({waiting(1, "a", 4000, 100),
                                       waiting(2, "a", 100, 200),
                                       waiting(3, "a", 100, 300)},
                                      full_pool());
        CPPUNIT_ASSERT(made.at(1) == waiting_decision::drop);
        CPPUNIT_ASSERT(made.at(2) == waiting_decision::wait);
        CPPUNIT_ASSERT(made.at(3) == waiting_decision::wait);
    }

    void are_not_dropped_for_an_organisation_that_floods()
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

    void take_turns_by_organisation()
    {
        const pool_outlooks pools{{engines, outlook(4, 5, 100)}};
        const work_in_progress busy{{organisation_id("large"), 500}};
        const decisions made = decide(
            {waiting(1, "large", 100, 100), waiting(2, "small", 100, 900)}, pools, busy);
        CPPUNIT_ASSERT(made.at(1) == waiting_decision::wait);
        CPPUNIT_ASSERT(made.at(2) == waiting_decision::start);
    }

    void are_not_held_up_by_another_pool()
    {
        pool_outlooks pools = full_pool();
        pools[encoders] = outlook(4, 0, 10);
        waiting_request other = waiting(2, "a", 10, 900);
        other.need.stages.front().pool = encoders;
        const decisions made = decide({waiting(1, "a", 100, 900), other}, pools);
        CPPUNIT_ASSERT(made.at(1) == waiting_decision::wait);
        CPPUNIT_ASSERT(made.at(2) == waiting_decision::start);
    }
};

class a_host_that_holds_many_requests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_host_that_holds_many_requests);
    CPPUNIT_TEST(refuses_when_it_is_full);
    CPPUNIT_TEST(keeps_room_for_other_organisations);
    CPPUNIT_TEST(answers_at_once_and_says_when_to_come_back);
    CPPUNIT_TEST(refuses_a_request_whose_deadline_has_passed);
    CPPUNIT_TEST(counts_stages_that_have_ended);
    CPPUNIT_TEST_SUITE_END();

    static admission_request request(std::uint64_t ticket, const char* organisation)
    {
        admission_request out;
        out.ticket = ticket;
        out.what.organisation = organisation_id(organisation);
        out.what.deadline = steady_time(1000);
        out.need.stages.push_back({engines, 100, {}});
        return out;
    }

    static admission
    ask(admission_shard& shard, const admission_request& what, double in_system = 0)
    {
        const auto read = [in_system]
        {
            pool_outlook pool = outlook(4, in_system, 100);
            pool.own_pending = 0;
            return pool_outlooks{{engines, pool}};
        };
        return shard.admit(what, read, steady_time(0));
    }

    static reason refusal(const admission& answer)
    {
        const auto* refused = std::get_if<turned_away>(&answer);
        return refused == nullptr ? reason::none : refused->why;
    }

    void refuses_when_it_is_full()
    {
        admission_shard shard(2);
        ask(shard, request(1, "a"));
        ask(shard, request(2, "b"));
        CPPUNIT_ASSERT(refusal(ask(shard, request(3, "c"))) == reason::host_full);
        shard.finish(1);
        CPPUNIT_ASSERT(refusal(ask(shard, request(3, "c"))) == reason::none);
    }

    void keeps_room_for_other_organisations()
    {
        held_requests held;
        held.most = 100;
        held.of_all = 60;
        held.of_organisation = 55;
        held.active_weight = 2;
        CPPUNIT_ASSERT(!within_share(held));
        held.of_organisation = 5;
        CPPUNIT_ASSERT(within_share(held));
        held.of_all = 40;
        held.of_organisation = 40;
        CPPUNIT_ASSERT(within_share(held));
    }

    void answers_at_once_and_says_when_to_come_back()
    {
        admission_shard shard(100);
        const admission answer = ask(shard, request(1, "a"), 400);
        CPPUNIT_ASSERT(refusal(answer) == reason::deadline_unreachable);
        CPPUNIT_ASSERT(std::get<turned_away>(answer).retry_after >= millis(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, shard.held());
    }

    void refuses_a_request_whose_deadline_has_passed()
    {
        admission_shard shard(100);
        admission_request late = request(1, "a");
        late.what.deadline = steady_time(0);
        CPPUNIT_ASSERT(refusal(ask(shard, late)) == reason::deadline_passed);
    }

    void counts_stages_that_have_ended()
    {
        admission_shard shard(100);
        std::uint64_t ticket = 1;
        while (std::holds_alternative<admitted>(ask(shard, request(ticket, "a"))))
        {
            CPPUNIT_ASSERT(++ticket < 50);
        }
        call_observation seen;
        seen.pool = engines;
        seen.ticket = 1;
        seen.elapsed = millis(100);
        shard.stage_succeeded(seen);
        shard.finish(ticket);
        const admission next = ask(shard, request(ticket + 1, "a"));
        CPPUNIT_ASSERT(std::holds_alternative<admitted>(next));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_time_that_a_request_needs);
CPPUNIT_TEST_SUITE_REGISTRATION(requests_that_wait);
CPPUNIT_TEST_SUITE_REGISTRATION(a_host_that_holds_many_requests);

} // namespace
