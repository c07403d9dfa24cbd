#include "support/entry/entry_group.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <map>

namespace
{

using namespace medlar;
using namespace medlar::test;

// time from the first statement of a limit until the hosts have to keep to it
constexpr millis contact_time{3000};

/// @brief Entry hosts in front of targets with little room, which state how many refusals
/// a second they bear.
class brittle_pool : public entry_group
{
  public:
    using exchange_ptr = std::shared_ptr<caller_exchange>;

    struct target
    {
        std::unique_ptr<stand_in_target> server;
        int running = 0;
        std::deque<steady_time> refusals;
        int refusal_count = 0;
        steady_time refused_at;
        int falls = 0;
    };

    brittle_pool(int host_count, int target_count)
    {
        for (int i = 0; i < target_count; ++i)
        {
            targets.push_back(std::make_unique<target>());
            target& added = *targets.back();
            added.server = std::make_unique<stand_in_target>(
                loop,
                absl::StrCat("i-", i),
                "plain",
                [this, &added](const exchange_ptr& exchange)
                {
                    answer(added, exchange);
                });
            store.put(added.server->key(), added.server->entry());
        }
        store.put("op/config",
                  configuration_json(3, {route_json("/a/", "idempotent", "plain")}));
        start_hosts(host_count);
    }

    /// Sends requests to all hosts in turn for some time, without waiting for answers.
    void play(millis span, millis interval)
    {
        const steady_time end = time.steady_now() + span;
        while (time.steady_now() < end)
        {
            const entry_settings& to = all_settings.at(sent_ % all_settings.size());
            answers.push_back(
                begin(to.caller_endpoint,
                      request_text("GET", "/a/x", absl::StrCat("id-", ++sent_))));
            run_for(interval);
        }
    }

    /// Registers a host that does not say that it heeds rulings on refusals.
    void add_older_host()
    {
        const endpoint where = free_endpoint();
        store.put("medlar/hosts/older",
                  nlohmann::json({{"address", where.address},
                                  {"port", where.port},
                                  {"domain", "a"},
                                  {"share", 1}})
                      .dump());
        run_for(millis(500));
    }

    int falls() const
    {
        int sum = 0;
        for (const auto& each : targets)
        {
            sum += each->falls;
        }
        return sum;
    }

    std::vector<std::unique_ptr<target>> targets;
    std::vector<std::shared_ptr<received_answer>> answers;
    /// requests that a target takes at once
    int room = 2;
    /// shortest time from a refusal to the next call, except calls that were on their way
    millis shortest_pause{10000};
    /// refusals a second that a target bears
    int refusal_limit = 3;
    /// from when on a target falls over
    steady_time falls_from;

  private:
    static constexpr millis work_time{200};
    static constexpr millis on_the_way{50};

    void answer(target& by, const exchange_ptr& exchange)
    {
        header_list headers = signed_headers(*exchange);
        headers.add("Server-Brittle", absl::StrCat(refusal_limit));
        const millis since_refusal = time.steady_now() - by.refused_at;
        if (since_refusal > on_the_way)
        {
            shortest_pause = std::min(shortest_pause, since_refusal);
        }
        if (by.running >= room)
        {
            headers.add("Not-Executed", "1");
            exchange->answer(503, headers, "");
            record_refusal(by);
            return;
        }
        ++by.running;
        loop.after(work_time,
                   [&by, exchange, headers]
                   {
                       --by.running;
                       exchange->answer(200, headers, "hello");
                   });
    }

    void record_refusal(target& by)
    {
        constexpr millis second{1000};
        const steady_time now = time.steady_now();
        ++by.refusal_count;
        by.refused_at = now;
        by.refusals.push_back(now);
        while (now - by.refusals.front() > second)
        {
            by.refusals.pop_front();
        }
        if (now >= falls_from &&
            by.refusals.size() > static_cast<std::size_t>(refusal_limit))
        {
            ++by.falls;
            by.refusals.clear();
        }
    }

    std::size_t sent_ = 0;
};

class targets_that_bear_few_refusals : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(targets_that_bear_few_refusals);
    CPPUNIT_TEST(do_not_fall_over_under_more_requests_than_they_have_room_for);
    CPPUNIT_TEST(do_not_fall_over_when_hosts_are_killed_and_started);
    CPPUNIT_TEST(are_used_as_far_as_they_have_room);
    CPPUNIT_TEST(are_paused_by_each_refusal_beside_an_earlier_build);
    CPPUNIT_TEST(are_used_as_before_if_the_limit_cannot_be_read);
    CPPUNIT_TEST_SUITE_END();

  public:
    void do_not_fall_over_under_more_requests_than_they_have_room_for()
    {
        brittle_pool it(5, 3);
        it.falls_from = it.time.steady_now() + contact_time;
        it.play(millis(9000), millis(15));
        CPPUNIT_ASSERT(it.falls() <= 2);
        for (const auto& each : it.answers)
        {
            const bool is_refused =
                each->status == 503 && !each->headers.get("Retry-After").empty();
            CPPUNIT_ASSERT(!each->ended || each->status == 200 || is_refused);
        }
    }

    void do_not_fall_over_when_hosts_are_killed_and_started()
    {
        brittle_pool it(5, 3);
        it.falls_from = it.time.steady_now() + contact_time;
        it.play(millis(3500), millis(20));
        it.kill_host(0);
        it.play(millis(1500), millis(20));
        it.add_host("late");
        it.play(millis(4000), millis(20));
        CPPUNIT_ASSERT(it.falls() <= 2);
    }

    void are_used_as_far_as_they_have_room()
    {
        brittle_pool it(4, 3);
        it.play(millis(2000), millis(60));
        const std::size_t before = it.answers.size();
        it.play(millis(6000), millis(60));
        int served = 0;
        for (std::size_t i = before; i < it.answers.size(); ++i)
        {
            CPPUNIT_ASSERT(it.until(
                [&]
                {
                    return it.answers[i]->ended;
                }));
            served += it.answers[i]->status == 200 ? 1 : 0;
        }
        // half of what the targets have room for
        CPPUNIT_ASSERT(served * 10 >= static_cast<int>(it.answers.size() - before) * 9);
    }

    /// guards against rulings that use up the limit while a host of an earlier build,
    /// which hears none, sends calls as well
    void are_paused_by_each_refusal_beside_an_earlier_build()
    {
        brittle_pool it(3, 2);
        it.run_for(millis(1600));
        it.play(millis(2000), millis(25));
        CPPUNIT_ASSERT(it.shortest_pause < millis(300));
        it.add_older_host();
        it.run_for(millis(1200));
        it.shortest_pause = millis(10000);
        it.play(millis(2000), millis(25));
        CPPUNIT_ASSERT(it.shortest_pause > millis(450) &&
                       it.shortest_pause < millis(10000));
    }

    void are_used_as_before_if_the_limit_cannot_be_read()
    {
        brittle_pool it(1, 1);
        it.refusal_limit = -1;
        it.play(millis(2000), millis(50));
        CPPUNIT_ASSERT(it.targets[0]->refusal_count > 3);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(targets_that_bear_few_refusals);

} // namespace
