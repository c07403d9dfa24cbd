#include <medlar/detail/dispatch/event_pace.hpp>
#include <medlar/detail/dispatch/target_choice.hpp>
#include <medlar/detail/dispatch/target_speeds.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace
{

using namespace medlar;

constexpr double median_gap_ms = 20;

target_id name(std::size_t number)
{
    return target_id("engine " + std::to_string(number));
}

/// speeds of a pool in which a third each is slow, usual and fast
double speed_of_engine(std::size_t number)
{
    constexpr std::array<double, 3> speeds{0.6, 1, 1.6};
    return speeds[number % speeds.size()];
}

target_speeds measured(std::size_t engines, double (*speed)(std::size_t))
{
    target_speeds speeds;
    for (std::size_t i = 0; i < engines; ++i)
    {
        for (int stream = 0; stream < 4; ++stream)
        {
            speeds.record(name(i), median_gap_ms / speed(i));
        }
    }
    return speeds;
}

/// Engines that process one prompt after the other, and the prompts that they get.
class busy_pool
{
  public:
    static constexpr std::size_t engines = 30;

    explicit busy_pool(const target_speeds& speeds)
    {
        for (std::size_t i = 0; i < engines; ++i)
        {
            target_record record;
            record.id = name(i);
            record.pool = pool_id("p");
            record.slots = 64;
            record.address = {"127.0.0.1", static_cast<std::uint16_t>(i + 1)};
            table_.put(record);
            table_.find(name(i))->speed_weight = speeds.weight_of(name(i));
        }
    }

    /// sends prompts at a rate and returns how many of 1,000 begin their answer in time
    int in_time(double per_s, millis objective)
    {
        constexpr double prompt_ms = 275;
        constexpr int prompts = 1000;
        std::map<target_id, double> free_at;
        int served = 0;
        double now_ms = 0;
        for (int i = 0; i < prompts; ++i)
        {
            now_ms -= std::log(1 - random_.fraction()) * 1000 / per_s;
            target_choice_input input;
            input.candidates = table_.serving(pool_id("p"));
            input.now = steady_time(static_cast<std::int64_t>(now_ms) + 1000000);
            input.prefix = random_.below(600);
            const target_state* const chosen = choose_engine(input, random_);
            const auto number = static_cast<std::size_t>(chosen->record.address.port - 1);
            double& engine = free_at[chosen->record.id];
            engine = std::max(engine, now_ms) + prompt_ms / speed_of_engine(number);
            served += engine - now_ms <= static_cast<double>(objective.count()) ? 1 : 0;
        }
        return served;
    }

  private:
    target_table table_;
    random_source random_{11};
};

class engines_of_uneven_speed : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engines_of_uneven_speed);
    CPPUNIT_TEST(begin_nearly_all_answers_in_time_in_a_burst);
    CPPUNIT_TEST(get_prompts_by_their_speed);
    CPPUNIT_TEST(count_as_equal_while_only_their_load_differs);
    CPPUNIT_TEST(count_as_equal_until_enough_is_known);
    CPPUNIT_TEST(keep_the_prompts_that_other_weights_do_not_concern);
    CPPUNIT_TEST(are_told_to_other_hosts_when_they_have_changed);
    CPPUNIT_TEST(ignore_paces_that_no_stream_can_have);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// Load: a burst of twice the usual prompts, half of what all engines together bear.
    /// An equal share keeps slow engines at 0.85 of what they bear, and prompts queue.
    void begin_nearly_all_answers_in_time_in_a_burst()
    {
        constexpr double per_s = 58;
        constexpr millis objective{1000};
        busy_pool weighed(measured(busy_pool::engines, speed_of_engine));
        CPPUNIT_ASSERT(weighed.in_time(per_s, objective) >= 950);
        busy_pool equal{target_speeds()};
        CPPUNIT_ASSERT(equal.in_time(per_s, objective) < 900);
    }

    void get_prompts_by_their_speed()
    {
        const target_speeds speeds = measured(9, speed_of_engine);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.36, speeds.weight_of(name(0)), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, speeds.weight_of(name(1)), 0.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.56, speeds.weight_of(name(2)), 0.01);
    }

    void count_as_equal_while_only_their_load_differs()
    {
        const target_speeds speeds = measured(9,
                                              [](std::size_t number)
                                              {
                                                  return number % 2 == 0 ? 0.8 : 1.12;
                                              });
        for (std::size_t i = 0; i < 9; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(1.0, speeds.weight_of(name(i)));
        }
    }

    void count_as_equal_until_enough_is_known()
    {
        target_speeds speeds = measured(3, speed_of_engine);
        CPPUNIT_ASSERT_EQUAL(1.0, speeds.weight_of(name(0)));
        speeds = measured(9, speed_of_engine);
        speeds.record(name(9), 5 * median_gap_ms);
        CPPUNIT_ASSERT_EQUAL(1.0, speeds.weight_of(name(9)));
        CPPUNIT_ASSERT_EQUAL(1.0, speeds.weight_of(target_id("unknown")));
    }

    void keep_the_prompts_that_other_weights_do_not_concern()
    {
        target_table table;
        for (std::uint16_t i = 0; i < 12; ++i)
        {
            target_record record;
            record.id = name(i);
            record.pool = pool_id("p");
            record.address = {"127.0.0.1", static_cast<std::uint16_t>(i + 1)};
            table.put(record);
        }
        random_source random(3);
        const auto choose = [&](std::uint64_t prefix)
        {
            target_choice_input input;
            input.candidates = table.serving(pool_id("p"));
            input.prefix = prefix;
            return choose_engine(input, random)->record.id;
        };
        std::map<std::uint64_t, target_id> before;
        for (std::uint64_t prefix = 0; prefix < 300; ++prefix)
        {
            before[prefix] = choose(prefix);
        }
        table.find(name(4))->speed_weight = 0.3;
        int left = 0;
        for (const auto& each : before)
        {
            const bool is_moved = choose(each.first) != each.second;
            CPPUNIT_ASSERT(!is_moved || each.second == name(4));
            left += is_moved ? 1 : 0;
        }
        CPPUNIT_ASSERT(left > 0);
    }

    void are_told_to_other_hosts_when_they_have_changed()
    {
        target_speeds collected = measured(6, speed_of_engine);
        const std::vector<target_pace> all = collected.changes_since(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, all.size());
        target_speeds known;
        for (const target_pace& each : all)
        {
            known.set(each);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            collected.weight_of(name(0)), known.weight_of(name(0)), 0.01);
        const std::uint64_t told = collected.version();
        for (int stream = 0; stream < 4; ++stream)
        {
            collected.record(name(1), 1.2 * median_gap_ms);
            collected.record(name(2), 9 * median_gap_ms);
        }
        CPPUNIT_ASSERT(collected.changes_since(told).empty());
        for (int stream = 0; stream < 12; ++stream)
        {
            collected.record(name(1), 3 * median_gap_ms);
        }
        CPPUNIT_ASSERT(!collected.changes_since(told).empty());
        CPPUNIT_ASSERT(collected.changes_since(told).front().target == name(1));
    }

    void ignore_paces_that_no_stream_can_have()
    {
        target_speeds speeds = measured(9, speed_of_engine);
        const std::uint64_t before = speeds.version();
        for (const double odd : {0.0,
                                 -1.0,
                                 1e9,
                                 std::numeric_limits<double>::infinity(),
                                 std::numeric_limits<double>::quiet_NaN()})
        {
            speeds.record(name(1), odd);
            speeds.set({name(1), odd});
        }
        CPPUNIT_ASSERT_EQUAL(before, speeds.version());
        CPPUNIT_ASSERT_EQUAL(1.0, speeds.weight_of(name(1)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engines_of_uneven_speed);

class the_pace_of_a_stream : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_pace_of_a_stream);
    CPPUNIT_TEST(leaves_out_prompts_that_are_processed_between_events);
    CPPUNIT_TEST(is_unknown_for_a_short_stream);
    CPPUNIT_TEST(begins_anew_at_another_target);
    CPPUNIT_TEST_SUITE_END();

  public:
    void leaves_out_prompts_that_are_processed_between_events()
    {
        event_pace pace;
        steady_time at{1000};
        for (int i = 0; i < 12; ++i)
        {
            at = at + millis(i % 4 == 3 ? 300 : 20);
            pace.record(at);
        }
        CPPUNIT_ASSERT_EQUAL(20.0, *pace.typical_gap_ms());
        CPPUNIT_ASSERT(pace.longest_gap() == millis(300));
        CPPUNIT_ASSERT(*pace.first() == steady_time(1020));
    }

    void is_unknown_for_a_short_stream()
    {
        event_pace pace;
        for (std::int64_t i = 0; i < 5; ++i)
        {
            pace.record(steady_time(1000 + i * 20));
        }
        CPPUNIT_ASSERT(!pace.typical_gap_ms());
    }

    void begins_anew_at_another_target()
    {
        event_pace pace;
        for (std::int64_t i = 0; i < 9; ++i)
        {
            pace.record(steady_time(1000 + i * 20));
        }
        pace.begin_target();
        for (std::int64_t i = 0; i < 9; ++i)
        {
            pace.record(steady_time(9000 + i * 50));
        }
        CPPUNIT_ASSERT_EQUAL(50.0, *pace.typical_gap_ms());
        CPPUNIT_ASSERT(pace.longest_gap() == millis(50));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_pace_of_a_stream);

} // namespace
