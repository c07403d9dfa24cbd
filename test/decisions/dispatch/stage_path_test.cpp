#include <medlar/detail/base/stage_graph.hpp>
#include <medlar/detail/dispatch/stage_path.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class the_longest_path_of_stages : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_longest_path_of_stages);
    CPPUNIT_TEST(is_as_long_as_its_longest_branch);
    CPPUNIT_TEST(is_counted_from_a_stage_to_the_end);
    CPPUNIT_TEST(of_no_stages_takes_no_time);
    CPPUNIT_TEST(with_a_cycle_is_found);
    CPPUNIT_TEST_SUITE_END();

    static stage_rule after(const std::vector<std::size_t>& others)
    {
        stage_rule rule;
        rule.after = others;
        return rule;
    }

    /// 0 is independent; 2 depends on 1, and 3 on 2
    const std::vector<stage_rule> stages_{after({}), after({}), after({1}), after({2})};

    /// 400, 100, 200 and 50 ms
    static millis time(std::size_t stage)
    {
        const std::vector<millis> times{
            millis(400), millis(100), millis(200), millis(50)};
        return times[stage];
    }

  public:
    void is_as_long_as_its_longest_branch()
    {
        CPPUNIT_ASSERT(longest_path(stages_, 0, time) == millis(400));
        const std::vector<stage_rule> reversed{stages_[1], stages_[0]};
        CPPUNIT_ASSERT(longest_path(reversed, 0, time) == millis(400));
        const std::vector<stage_rule> chain{after({}), after({0}), after({0, 1})};
        CPPUNIT_ASSERT(longest_path(chain, 0, time) == millis(700));
    }

    void is_counted_from_a_stage_to_the_end()
    {
        CPPUNIT_ASSERT(longest_path_after(stages_, 0, time) == millis(0));
        CPPUNIT_ASSERT(longest_path_after(stages_, 1, time) == millis(250));
        CPPUNIT_ASSERT(longest_path_after(stages_, 2, time) == millis(50));
    }

    void of_no_stages_takes_no_time()
    {
        const std::vector<stage_rule> none;
        CPPUNIT_ASSERT(longest_path(none, 0, time) == millis(0));
    }

    void with_a_cycle_is_found()
    {
        const auto by_index = [](std::size_t stage)
        {
            return stage;
        };
        CPPUNIT_ASSERT(!find_stage_cycle(stages_, by_index));
        const std::vector<stage_rule> self_cycle{after({}), after({1})};
        CPPUNIT_ASSERT(find_stage_cycle(self_cycle, by_index) == std::size_t{1});
        const std::vector<stage_rule> mutual_cycle{after({1}), after({0})};
        CPPUNIT_ASSERT(find_stage_cycle(mutual_cycle, by_index) == std::size_t{0});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_longest_path_of_stages);

} // namespace
