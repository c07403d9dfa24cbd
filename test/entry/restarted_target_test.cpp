#include "support/entry/told_peer.hpp"
#include "support/entry/versioned_pool.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

using exchange_ptr = std::shared_ptr<caller_exchange>;

/// an entry host in front of two targets that can leave requests without an answer
class holding_pool : public entry_group
{
  public:
    holding_pool()
    {
        for (int i = 0; i < 2; ++i)
        {
            targets.push_back(std::make_unique<stand_in_target>(
                loop,
                absl::StrCat("i-", i),
                "plain",
                [this, i](const exchange_ptr& exchange)
                {
                    if (is_holding)
                    {
                        held[i].push_back(exchange);
                        return;
                    }
                    exchange->answer(200, signed_headers(*exchange), "hello");
                }));
            store.put(targets.back()->key(), targets.back()->entry());
        }
        store.put("op/config",
                  configuration_json(3, {route_json("/a/", "idempotent", "plain")}));
        start_hosts(1);
    }

    std::shared_ptr<received_answer> begin_request()
    {
        return begin(all_settings.front().caller_endpoint,
                     request_text("GET", "/a/x", absl::StrCat("id-", ++sent_)));
    }

    std::vector<std::unique_ptr<stand_in_target>> targets;
    bool is_holding = false;
    std::map<int, std::vector<exchange_ptr>> held;

  private:
    int sent_ = 0;
};

class a_target_that_started_again : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_target_that_started_again);
    CPPUNIT_TEST(is_not_put_aside_for_the_calls_of_the_process_before);
    CPPUNIT_TEST(crashes_under_the_start_of_its_process);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_not_put_aside_for_the_calls_of_the_process_before()
    {
        holding_pool it;
        it.is_holding = true;
        std::vector<std::shared_ptr<received_answer>> answers;
        for (int i = 0; i < 12; ++i)
        {
            answers.push_back(it.begin_request());
            it.run_for(millis(10));
        }
        CPPUNIT_ASSERT(it.held[0].size() >= 3);
        it.is_holding = false;
        stand_in_target& target = *it.targets[0];
        ++target.started_ms;
        it.store.put(target.key(), target.entry());
        it.run_for(millis(300));
        target.requests.clear();
        // the connections of the process before end late
        for (const exchange_ptr& each : it.held[0])
        {
            each->abort();
        }
        it.run_for(millis(50));
        target.requests.clear();
        for (int i = 0; i < 20; ++i)
        {
            it.begin_request();
            it.run_for(millis(10));
        }
        CPPUNIT_ASSERT(target.requests.size() >= 5);
    }

    void crashes_under_the_start_of_its_process()
    {
        versioned_pool it(1, {{"i-1", "v1"}});
        const told_peer judge(it.loop, "peer-1");
        judge.register_at(it.store);
        it.run_for(millis(500));
        it.restart_unlisted("i-1", "v2");
        const std::int64_t started_ms = it.engines.at("i-1")->started_ms;
        it.begin_stream(0);
        it.engines.erase("i-1");
        nlohmann::json report;
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                for (const nlohmann::json& each : judge.messages)
                {
                    if (each.at("type") == "crashes")
                    {
                        report = each;
                    }
                }
                return !report.is_null();
            }));
        CPPUNIT_ASSERT_EQUAL(
            started_ms,
            report.at("crashes").front().at("started_ms").get<std::int64_t>());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_target_that_started_again);

} // namespace
