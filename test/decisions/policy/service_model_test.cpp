#include <medlar/detail/policy/service_model.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class the_time_of_a_call : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_time_of_a_call);
    CPPUNIT_TEST(follows_its_size);
    CPPUNIT_TEST(is_not_guessed_steeper_than_in_proportion);
    CPPUNIT_TEST(leaves_out_the_waiting_of_some_calls);
    CPPUNIT_TEST(of_a_generate_call_follows_its_tokens);
    CPPUNIT_TEST(includes_what_a_cached_prefix_saves);
    CPPUNIT_TEST_SUITE_END();

    static call_observation call(std::int64_t bytes, std::int64_t elapsed_ms)
    {
        call_observation observation;
        observation.size.input = byte_count(bytes);
        observation.elapsed = millis(elapsed_ms);
        return observation;
    }

    static call_observation
    generate(std::int64_t tokens, std::int64_t first_ms, std::int64_t cached)
    {
        call_observation observation = call(100, first_ms + tokens * 10);
        observation.first_token = millis(first_ms);
        observation.tokens_written = token_count(tokens);
        observation.cached_tokens = token_count(cached);
        observation.size.max_tokens = token_count(tokens);
        return observation;
    }

    static request_size size(std::int64_t bytes, std::int64_t tokens)
    {
        return {byte_count(bytes), token_count(tokens)};
    }

    void follows_its_size()
    {
        service_model model;
        for (int i = 1; i <= 100; ++i)
        {
            const std::int64_t kilobytes = i % 10 + 1;
            model.learn(call(kilobytes * 1024, 5 + 2 * kilobytes));
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(45, model.estimate_ms(size(20480, 0)), 1);
    }

    /// Two samples of nearly the same size whose times differ by chance must not give a
    /// steep slope.
    void is_not_guessed_steeper_than_in_proportion()
    {
        service_model model;
        model.learn(call(8000, 16));
        model.learn(call(8100, 25));
        CPPUNIT_ASSERT(model.estimate_ms(size(32000, 0)) <= 100);
    }

    void leaves_out_the_waiting_of_some_calls()
    {
        service_model model;
        for (int i = 0; i < 300; ++i)
        {
            model.learn(call(1000, i % 3 == 0 ? 200 : 50));
        }
        CPPUNIT_ASSERT(model.estimate_ms(size(1000, 0)) < 75);
    }

    void of_a_generate_call_follows_its_tokens()
    {
        service_model model;
        for (int i = 0; i < 50; ++i)
        {
            model.learn(generate(10 + i % 20, 30, 0));
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(530, model.estimate_ms(size(100, 50)), 5);
    }

    void includes_what_a_cached_prefix_saves()
    {
        service_model model;
        for (int i = 0; i < 50; ++i)
        {
            model.learn(generate(10, 70, 0));
            model.learn(generate(10, 10, 500));
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(60, model.prefix_saving_ms(size(100, 10)), 2);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(110, model.estimate_ms(generate(10, 10, 500)), 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_time_of_a_call);

} // namespace
