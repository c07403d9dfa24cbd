#include <medlar/detail/policy/body_budget.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <thread>
#include <vector>

namespace
{

using namespace medlar;

constexpr std::int64_t kib = 1024;

/// Load: clients whose bodies never end, beside ordinary requests.
class the_budget_of_bodies : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_budget_of_bodies);
    CPPUNIT_TEST(takes_ordinary_bodies_while_large_ones_hold_their_share);
    CPPUNIT_TEST(refuses_a_body_that_grows_beyond_the_share_of_large_ones);
    CPPUNIT_TEST(is_free_again_when_the_bodies_have_ended);
    CPPUNIT_TEST(is_never_exceeded_by_threads_that_take_at_once);
    CPPUNIT_TEST_SUITE_END();

  public:
    void takes_ordinary_bodies_while_large_ones_hold_their_share()
    {
        body_budget budget(byte_count(1024 * kib));
        std::vector<std::unique_ptr<body_charge>> crowd;
        int taken = 0;
        for (int i = 0; i < 100; ++i)
        {
            crowd.push_back(std::make_unique<body_charge>(budget));
            taken += crowd.back()->raise_to(byte_count(64 * kib)) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(12, taken);
        body_charge ordinary(budget);
        CPPUNIT_ASSERT(ordinary.raise_to(byte_count(body_budget::small_body_bytes)));
    }

    void refuses_a_body_that_grows_beyond_the_share_of_large_ones()
    {
        body_budget budget(byte_count(1024 * kib));
        body_charge body(budget);
        CPPUNIT_ASSERT(body.raise_to(byte_count(768 * kib)));
        CPPUNIT_ASSERT(!body.raise_to(byte_count(769 * kib)));
        // it keeps what it has
        CPPUNIT_ASSERT_EQUAL(768 * kib, budget.used().get());
    }

    void is_free_again_when_the_bodies_have_ended()
    {
        body_budget budget(byte_count(1024 * kib));
        {
            body_charge body(budget);
            CPPUNIT_ASSERT(body.raise_to(byte_count(512 * kib)));
            CPPUNIT_ASSERT(body.raise_to(byte_count(256 * kib)));
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, budget.used().get());
    }

    void is_never_exceeded_by_threads_that_take_at_once()
    {
        constexpr std::int64_t total = 64 * kib;
        constexpr int threads = 4;
        body_budget budget{byte_count(total)};
        std::atomic<bool> was_exceeded{false};
        std::vector<std::thread> running;
        for (int i = 0; i < threads; ++i)
        {
            running.emplace_back(
                [&]
                {
                    for (int round = 0; round < 2000; ++round)
                    {
                        body_charge body(budget);
                        body.raise_to(byte_count(12 * kib));
                        body.raise_to(byte_count(16 * kib));
                        was_exceeded = was_exceeded || budget.used().get() > total;
                    }
                });
        }
        for (std::thread& each : running)
        {
            each.join();
        }
        CPPUNIT_ASSERT(!was_exceeded);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, budget.used().get());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_budget_of_bodies);

} // namespace
