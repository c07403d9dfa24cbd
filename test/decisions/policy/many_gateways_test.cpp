#include "decisions/policy/shared_targets.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using test::draft_call;
using test::draft_end;
using test::engine_document;
using test::shared_targets;

constexpr int gateways = 8;

class eight_gateways_over_shared_targets : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(eight_gateways_over_shared_targets);
    CPPUNIT_TEST(spread_calls_with_late_reports);
    CPPUNIT_TEST(spread_without_any_report);
    CPPUNIT_TEST(eject_a_straggler_and_take_it_back);
    CPPUNIT_TEST(send_one_probe_each);
    CPPUNIT_TEST_SUITE_END();

    /// @brief Places calls at a steady random rate of about 70% of the targets' capacity.
    static void run_load(shared_targets& shared, int milliseconds)
    {
        random_source arrivals(5);
        for (int i = 0; i < milliseconds; ++i)
        {
            constexpr double calls_per_ms = 0.168;
            if (arrivals.fraction() < calls_per_ms)
            {
                shared.place(arrivals.below(gateways));
            }
            shared.step();
        }
    }

    /// @brief Returns the maximum number of calls at any target, sampled every 10 ms.
    static std::int64_t max_calls_at_a_target(shared_targets& shared, int milliseconds)
    {
        std::int64_t max_calls = 0;
        for (int i = 0; i < milliseconds; i += 10)
        {
            run_load(shared, 10);
            for (const char* name : {"t0", "t1", "t2", "t3", "t4", "t5"})
            {
                max_calls = std::max(max_calls, shared.in_system(name));
            }
        }
        return max_calls;
    }

    /// The pool has 24 slots. If all gateways chose the target that looks idlest in the
    /// latest report, the calls of a whole report age would go to that one target.
    void spread_calls_with_late_reports()
    {
        shared_targets::settings settings;
        settings.report_age = millis(500);
        shared_targets shared(settings);
        run_load(shared, 2000);
        CPPUNIT_ASSERT(max_calls_at_a_target(shared, 8000) <=
                       std::int64_t{3} * settings.slots);
    }

    void spread_without_any_report()
    {
        shared_targets shared(shared_targets::settings{});
        run_load(shared, 2000);
        shared.take_placed_count("t0");
        run_load(shared, 6000);
        constexpr int equal_part = 168;
        const int placed = shared.take_placed_count("t0");
        CPPUNIT_ASSERT(placed > equal_part * 2 / 3 && placed < equal_part * 4 / 3);
    }

    void eject_a_straggler_and_take_it_back()
    {
        shared_targets shared(shared_targets::settings{});
        run_load(shared, 3000);
        shared.set_slowdown("t0", 10);
        run_load(shared, 4000);
        shared.take_placed_count("t0");
        run_load(shared, 5000);
        const int while_slow = shared.take_placed_count("t0");
        shared.set_slowdown("t0", 1);
        run_load(shared, 20000);
        shared.take_placed_count("t0");
        run_load(shared, 5000);
        const int after_recovery = shared.take_placed_count("t0");
        CPPUNIT_ASSERT_MESSAGE(std::to_string(while_slow), while_slow <= 3 * gateways);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(after_recovery), after_recovery >= 70);
    }

    void send_one_probe_each()
    {
        const auto engine = policy_engine::create({});
        engine->configure(engine_document(3));
        const target_id failing("t0");
        for (int i = 0; i < 3; ++i)
        {
            const call_observation failed =
                draft_end(failing, millis(1), call_result::failed);
            engine->observe(failed, steady_time(0));
        }
        const steady_time later(5000);
        int probes = 0;
        for (int i = 0; i < 20; ++i)
        {
            probes += engine->choose(draft_call(), later)->name == failing ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(1, probes);
        engine->observe(draft_end(failing, millis(1)), later);
        int after = 0;
        for (int i = 0; i < 20; ++i)
        {
            after += engine->choose(draft_call(), later)->name == failing ? 1 : 0;
        }
        CPPUNIT_ASSERT(after > 1);
    }
};

class an_engine_whose_pool_fails : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_engine_whose_pool_fails);
    CPPUNIT_TEST(bounds_the_load_of_retries);
    CPPUNIT_TEST(still_uses_half_of_the_pool);
    CPPUNIT_TEST_SUITE_END();

    /// @brief Makes calls that all fail and retries each as often as allowed.
    /// @return number of calls made
    static int
    calls_made(policy_engine& engine, const pipeline& definition, int first_calls)
    {
        int made = 0;
        for (int i = 0; i < first_calls; ++i)
        {
            const steady_time now(i);
            stage_call call = draft_call();
            for (int tries = 1; true; ++tries)
            {
                const target_id at = engine.choose(call, now)->name;
                engine.observe(draft_end(at, millis(1), call_result::failed), now);
                call.tried.insert(at);
                ++made;
                if (!engine.may_retry(definition, tries, now, call.deadline))
                {
                    break;
                }
            }
        }
        return made;
    }

    void bounds_the_load_of_retries()
    {
        const document content = engine_document(4);
        const auto engine = policy_engine::create({});
        engine->configure(content);
        pipeline definition = content.pipelines.front();
        const int made = calls_made(*engine, definition, 2000);
        CPPUNIT_ASSERT(made > 2000 && made <= 2210);
        definition.retries = retry_policy::blind;
        CPPUNIT_ASSERT_EQUAL(6000, calls_made(*engine, definition, 2000));
    }

    void still_uses_half_of_the_pool()
    {
        const document content = engine_document(4);
        const auto engine = policy_engine::create({});
        engine->configure(content);
        calls_made(*engine, content.pipelines.front(), 100);
        std::set<target_id> used;
        for (int i = 0; i < 20; ++i)
        {
            used.insert(engine->choose(draft_call(), steady_time(100))->name);
        }
        CPPUNIT_ASSERT(used.size() >= 2);
    }
};

class an_organisation_that_floods : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_organisation_that_floods);
    CPPUNIT_TEST(does_not_starve_the_others);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int slots = 4;
    static constexpr std::int64_t service_ms = 100;

    struct flooded_host
    {
        std::unique_ptr<policy_engine> engine = policy_engine::create({});
        std::map<std::uint64_t, arrival> waiting;
        std::map<std::uint64_t, steady_time> running;
        int small_answered = 0;
        int small_refused = 0;
        int large_answered = 0;

        /// @brief Ends the calls that are due and admits the queued requests again.
        void step(steady_time now)
        {
            for (auto each = running.begin(); each != running.end();)
            {
                each = now >= each->second ? end(each, now) : std::next(each);
            }
            for (auto each = waiting.begin(); each != waiting.end();)
            {
                each = admit(each, now) ? waiting.erase(each) : std::next(each);
            }
        }

        std::map<std::uint64_t, steady_time>::iterator
        end(std::map<std::uint64_t, steady_time>::iterator each, steady_time now)
        {
            call_observation observation = draft_end(target_id("t0"), millis(service_ms));
            observation.ticket = each->first;
            engine->observe(observation, now);
            engine->finish(each->first, now);
            (each->first % 2 == 0 ? small_answered : large_answered) += 1;
            return running.erase(each);
        }

        /// @return whether the request is no longer queued
        bool admit(std::map<std::uint64_t, arrival>::iterator each, steady_time now)
        {
            const admission answer = engine->admit(each->first, each->second, now);
            if (std::holds_alternative<admitted>(answer))
            {
                engine->choose(draft_call(), now);
                running[each->first] = now + millis(service_ms);
                return true;
            }
            const bool refused = std::holds_alternative<admission_refusal>(answer);
            small_refused += refused && each->first % 2 == 0 ? 1 : 0;
            return refused;
        }
    };

    /// Even tickets belong to the small organisation (10 requests per second), odd ones
    /// to the large one (200 per second); the pool serves 40 per second.
    void does_not_starve_the_others()
    {
        flooded_host host;
        host.engine->configure(engine_document(1));
        std::uint64_t small = 0;
        std::uint64_t large = 1;
        for (std::int64_t ms = 0; ms < 20000; ++ms)
        {
            const steady_time now(ms);
            arrival attributes;
            attributes.pipeline = pipeline_id("review");
            attributes.deadline = now + millis(600);
            if (ms % 100 == 0)
            {
                attributes.organisation = organisation_id("small");
                host.waiting[small += 2] = attributes;
            }
            if (ms % 5 == 0)
            {
                attributes.organisation = organisation_id("large");
                host.waiting[large += 2] = attributes;
            }
            host.step(now);
        }
        const std::string counts = std::to_string(host.small_answered) + " answered, " +
                                   std::to_string(host.small_refused) +
                                   " refused, large " +
                                   std::to_string(host.large_answered);
        CPPUNIT_ASSERT_MESSAGE(counts, host.small_answered >= 196);
        CPPUNIT_ASSERT_MESSAGE(counts, host.large_answered >= 400);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(eight_gateways_over_shared_targets);
CPPUNIT_TEST_SUITE_REGISTRATION(an_engine_whose_pool_fails);
CPPUNIT_TEST_SUITE_REGISTRATION(an_organisation_that_floods);

} // namespace
