#include "support/entry/cold_pool.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

// Load of these tests unless they state another: 100 requests a second at three hosts,
// for targets that take 5 a second while cold. Without permits one target gets 30 or more
// of them in a second; the bound is 12.

class targets_that_are_cold : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(targets_that_are_cold);
    CPPUNIT_TEST(get_no_more_than_their_rate_from_all_hosts_together);
    CPPUNIT_TEST(get_no_more_when_all_of_a_pool_return_at_once);
    CPPUNIT_TEST(get_no_more_if_only_their_own_reply_tells_that_they_have_started);
    CPPUNIT_TEST(get_no_more_if_only_their_own_reply_states_it);
    CPPUNIT_TEST(get_no_more_if_a_host_starts_meanwhile);
    CPPUNIT_TEST(get_nothing_from_a_host_that_cannot_reach_their_issuer);
    CPPUNIT_TEST(get_no_more_calls_with_pieces);
    CPPUNIT_TEST(get_permitted_requests_though_they_are_slow_to_report);
    CPPUNIT_TEST(are_used_as_before_where_the_pool_states_no_rate);
    CPPUNIT_TEST_SUITE_END();

  public:
    void get_no_more_than_their_rate_from_all_hosts_together()
    {
        cold_pool it(3, 3);
        it.put_cold(0, 3000);
        it.play(millis(2400));
        CPPUNIT_ASSERT(it.most_arrivals(0) >= 3);
        it.expect_bound(0);
        // the others take what the cold target does not
        for (const auto& each : it.answers)
        {
            CPPUNIT_ASSERT_EQUAL(200, each->ended ? each->status : 200);
        }
        it.run_for(millis(600));
        it.targets[0]->arrivals.clear();
        it.play(millis(1000));
        CPPUNIT_ASSERT(it.most_arrivals(0) > cold_pool::bound);
    }

    void get_no_more_when_all_of_a_pool_return_at_once()
    {
        cold_pool it(3, 4);
        for (std::size_t i = 0; i < it.targets.size(); ++i)
        {
            it.put_cold(i, 60000);
        }
        it.play(millis(2400));
        for (std::size_t i = 0; i < it.targets.size(); ++i)
        {
            it.expect_bound(i);
        }
        for (const auto& each : it.answers)
        {
            const bool is_refused =
                each->status == 503 && !each->headers.get("Retry-After").empty();
            CPPUNIT_ASSERT(!each->ended || each->status == 200 || is_refused);
        }
    }

    void get_no_more_if_only_their_own_reply_tells_that_they_have_started()
    {
        cold_pool it(3, 2);
        it.play(millis(300));
        it.targets[0]->server->restart(6);
        it.targets[0]->arrivals.clear();
        it.play(millis(2000));
        CPPUNIT_ASSERT(it.most_arrivals(0) >= 3);
        it.expect_bound(0);
    }

    void get_no_more_if_only_their_own_reply_states_it()
    {
        cold_pool it(3, 2);
        it.play(millis(300));
        it.targets[0]->cold_ms = "2500";
        // its connections end, and so do the hosts' reasons to believe their entry
        it.targets[0]->server->restart(5);
        it.targets[0]->arrivals.clear();
        it.play(millis(2000));
        it.expect_bound(0);
    }

    void get_no_more_if_a_host_starts_meanwhile()
    {
        cold_pool it(4, 2);
        it.put_cold(0, 60000);
        it.play(millis(1000));
        it.kill_host(0);
        it.play(millis(1000));
        it.add_host("late");
        it.play(millis(1000));
        it.expect_bound(0);
    }

    void get_nothing_from_a_host_that_cannot_reach_their_issuer()
    {
        constexpr int target_count = 8;
        cold_pool it(2, target_count);
        for (std::size_t i = 0; i < target_count; ++i)
        {
            it.put_cold(i, 60000);
        }
        it.run_for(millis(300));
        it.freeze(it.hosts[1]);
        it.all_settings.pop_back();
        it.play(millis(3000));
        std::size_t unused = 0;
        for (std::size_t i = 0; i < target_count; ++i)
        {
            unused += it.targets[i]->arrivals.empty() ? 1 : 0;
            it.expect_bound(i);
        }
        CPPUNIT_ASSERT(unused > 0 && unused < target_count);
    }

    /// Guards against permits that run out while a slow target is asked for its start.
    /// One request after the other at one host: 5 a second are permitted at most.
    void get_permitted_requests_though_they_are_slow_to_report()
    {
        cold_pool it(1, 1);
        it.put_cold(0, 4000);
        std::vector<std::shared_ptr<caller_exchange>> unanswered;
        stand_in_target& cold = *it.targets[0]->server;
        cold.report_handler = [&unanswered](const std::shared_ptr<caller_exchange>& each)
        {
            unanswered.push_back(each);
        };
        const steady_time begun = it.time.steady_now();
        it.play(millis(100));
        CPPUNIT_ASSERT(!it.targets[0]->arrivals.empty());
        CPPUNIT_ASSERT(it.targets[0]->arrivals[0] - begun < millis(150));
        it.play(millis(2000));
        CPPUNIT_ASSERT_EQUAL(0, cold.reports);
        it.expect_bound(0);
    }

    void get_no_more_calls_with_pieces()
    {
        cold_pool it(3, 2);
        it.put_cold_stage(60000);
        it.play(millis(2500), "/s/x");
        const std::size_t most = cold_pool::most_of(it.stage_arrivals, cold_pool::second);
        const std::string count = absl::StrCat(
            most, " calls in a second, ", it.stage_arrivals.size(), " in all");
        CPPUNIT_ASSERT_MESSAGE(count, most >= 3);
        CPPUNIT_ASSERT_MESSAGE(count, most <= cold_pool::bound);
    }

    void are_used_as_before_where_the_pool_states_no_rate()
    {
        for (const nlohmann::json& rate :
             {nlohmann::json(0), nlohmann::json(-5), nlohmann::json("5")})
        {
            cold_pool it(1, 1, rate);
            it.put_cold(0, 60000);
            it.play(millis(700));
            CPPUNIT_ASSERT(it.most_arrivals(0) > cold_pool::bound);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(targets_that_are_cold);

} // namespace
