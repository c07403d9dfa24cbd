#include <medlar/detail/policy/policy_engine.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <map>
#include <thread>

namespace
{

using namespace medlar;

document two_target_document()
{
    document content;
    pool engines;
    engines.name = pool_id("engines");
    engines.targets.resize(2);
    engines.targets[0].name = target_id("a");
    engines.targets[1].name = target_id("b");
    content.pools.push_back(engines);
    pipeline review;
    review.name = pipeline_id("review");
    stage draft;
    draft.name = "draft";
    draft.kind = stage_kind::generate;
    draft.pool = engines.name;
    review.stages.push_back(draft);
    content.pipelines.push_back(review);
    return content;
}

stage_call draft_call()
{
    stage_call call;
    call.pool = pool_id("engines");
    call.kind = stage_kind::generate;
    call.deadline = steady_time(10000);
    return call;
}

class policy_engine_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(policy_engine_test);
    CPPUNIT_TEST(round_robin_takes_each_target_in_turn);
    CPPUNIT_TEST(calls_spread_over_idle_targets);
    CPPUNIT_TEST(a_leaving_target_gets_no_calls);
    CPPUNIT_TEST(an_unknown_pool_has_no_target);
    CPPUNIT_TEST(threads_use_it_concurrently);
    CPPUNIT_TEST(a_replaced_configuration_lives_while_it_is_read);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        engine_ = policy_engine::create({});
        engine_->configure(two_target_document());
    }

    void round_robin_takes_each_target_in_turn()
    {
        stage_call call = draft_call();
        call.routing = routing_policy::round_robin;
        CPPUNIT_ASSERT_EQUAL(5, count_of_ten_calls(call)[target_id("a")]);
    }

    void calls_spread_over_idle_targets()
    {
        CPPUNIT_ASSERT_EQUAL(5, count_of_ten_calls(draft_call())[target_id("a")]);
    }

    void a_leaving_target_gets_no_calls()
    {
        engine_->set_leaving({target_id("a")});
        CPPUNIT_ASSERT_EQUAL(10, count_of_ten_calls(draft_call())[target_id("b")]);
        engine_->set_leaving({target_id("a"), target_id("b")});
        CPPUNIT_ASSERT(!engine_->choose(draft_call(), steady_time(0)));
    }

    void an_unknown_pool_has_no_target()
    {
        stage_call call = draft_call();
        call.pool = pool_id("elsewhere");
        CPPUNIT_ASSERT(!engine_->choose(call, steady_time(0)));
    }

    /// Each thread admits, routes and ends its own requests while the configuration, the
    /// reports and the leaving targets change. No call may be counted as in flight at the
    /// end.
    void threads_use_it_concurrently()
    {
        constexpr int threads = 4;
        constexpr std::uint64_t requests = 300;
        std::vector<std::thread> running;
        for (std::uint64_t i = 0; i < threads; ++i)
        {
            running.emplace_back(
                [this, i]
                {
                    for (std::uint64_t request = 1; request <= requests; ++request)
                    {
                        serve_one(i * requests + request);
                    }
                });
        }
        for (std::int64_t i = 0; i < 100; ++i)
        {
            const steady_time now(i);
            engine_->configure(two_target_document());
            engine_->set_leaving({target_id(i % 2 == 0 ? "a" : "b")});
            engine_->observe_load({target_id("a"), 1, 0, 4, millis(5)}, now);
            engine_->observe_cache({target_id("a"), static_cast<std::uint64_t>(i) + 1},
                                   now);
            engine_->describe(now);
        }
        for (std::thread& each : running)
        {
            each.join();
        }
        const std::string final_state = engine_->describe(steady_time(1000));
        CPPUNIT_ASSERT_MESSAGE(final_state,
                               final_state.find("\"in_flight\":1") == std::string::npos);
    }

    void a_replaced_configuration_lives_while_it_is_read()
    {
        std::atomic<bool> is_done{false};
        std::thread replacing(
            [this, &is_done]
            {
                while (!is_done)
                {
                    engine_->configure(two_target_document());
                }
            });
        for (std::int64_t i = 0; i < 2000; ++i)
        {
            engine_->observe_load({target_id("a"), 1, 0, 4, millis(5)}, steady_time(i));
            engine_->observe_cache({target_id("a"), static_cast<std::uint64_t>(i) + 1},
                                   steady_time(i));
            engine_->describe(steady_time(i));
        }
        is_done = true;
        replacing.join();
        CPPUNIT_ASSERT(engine_->choose(draft_call(), steady_time(2000)));
    }

  private:
    void serve_one(std::uint64_t ticket)
    {
        const auto now = steady_time(static_cast<std::int64_t>(ticket));
        arrival attributes;
        attributes.pipeline = pipeline_id("review");
        attributes.organisation = organisation_id(ticket % 2 == 0 ? "even" : "odd");
        attributes.deadline = now + millis(10000);
        engine_->admit(ticket, attributes, now);
        engine_->worth_continuing(attributes, 0, now);
        stage_call call = draft_call();
        call.ticket = ticket;
        call.prefix_hash = ticket % 7;
        engine_->hedge_after(call, now);
        if (const auto at = engine_->choose(call, now))
        {
            call_observation observation;
            observation.target_name = at->name;
            observation.pool = call.pool;
            observation.kind = call.kind;
            observation.elapsed = millis(5);
            observation.ticket = ticket;
            engine_->observe(observation, now + observation.elapsed);
        }
        engine_->finish(ticket, now);
    }

    std::map<target_id, int> count_of_ten_calls(const stage_call& call)
    {
        std::map<target_id, int> counts;
        for (int i = 0; i < 10; ++i)
        {
            counts[engine_->choose(call, steady_time(0))->name] += 1;
        }
        return counts;
    }

    std::unique_ptr<policy_engine> engine_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(policy_engine_test);

} // namespace
