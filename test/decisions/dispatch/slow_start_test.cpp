#include <medlar/detail/dispatch/slow_start.hpp>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>

namespace
{

using namespace medlar;

constexpr std::int64_t usual_ms = 100;
constexpr int slots = 6;

steady_time at_ms(std::int64_t ms)
{
    return steady_time(100000 + ms);
}

/// A target under a burst: there is always one more request than the window takes. It
/// executes some calls at the usual pace; with more, all of them take longer.
struct loaded_target
{
    /// @param capacity calls at the usual pace, by the time; 0 if it fails all
    void play(std::int64_t until_ms, const std::function<double(std::int64_t)>& capacity)
    {
        for (; now_ms < until_ms; now_ms += 5)
        {
            end_due(capacity(now_ms));
            while (!window.has_ended() && window.begin(++last_call, at_ms(now_ms)))
            {
                const double load =
                    window.in_progress() / std::max(0.1, capacity(now_ms));
                const auto took =
                    static_cast<std::int64_t>(usual_ms * std::max(1.0, load));
                open[last_call] = {now_ms, now_ms + took};
                most = std::max(most, window.in_progress());
                ++sent;
            }
        }
    }

    void end_due(double capacity)
    {
        for (auto each = open.begin(); each != open.end();)
        {
            const auto call = each++;
            if (call->second.second <= now_ms)
            {
                const millis took(call->second.second - call->second.first);
                window.end(call->first,
                           capacity == 0 ? slow_start_result::failed
                                         : pace_of(took, millis(usual_ms)),
                           at_ms(now_ms));
                open.erase(call);
            }
        }
    }

    slow_start_window window{slots, at_ms(0)};
    std::map<std::uint64_t, std::pair<std::int64_t, std::int64_t>> open;
    std::uint64_t last_call = 0;
    std::int64_t now_ms = 0;
    int most = 0;
    int sent = 0;
};

class a_window_of_a_target_that_returns : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_window_of_a_target_that_returns);
    CPPUNIT_TEST(opens_fully_within_a_few_answers_if_the_target_is_as_fast_as_usual);
    CPPUNIT_TEST(stays_small_while_the_target_is_slow_and_opens_when_it_is_not);
    CPPUNIT_TEST(begins_again_when_the_target_fails_again);
    CPPUNIT_TEST(begins_again_at_the_next_issuer);
    CPPUNIT_TEST(takes_late_and_lost_ends_of_calls);
    CPPUNIT_TEST_SUITE_END();

  public:
    void opens_fully_within_a_few_answers_if_the_target_is_as_fast_as_usual()
    {
        loaded_target it;
        it.play(1500,
                [](std::int64_t)
                {
                    return slots;
                });
        CPPUNIT_ASSERT(it.window.has_ended());
        CPPUNIT_ASSERT_EQUAL(slots, it.most);
        CPPUNIT_ASSERT(it.now_ms <= 1500);
    }

    void stays_small_while_the_target_is_slow_and_opens_when_it_is_not()
    {
        loaded_target it;
        it.play(4000,
                [](std::int64_t)
                {
                    return 0.4;
                });
        // one at a time, 250 ms each
        CPPUNIT_ASSERT_EQUAL(1, it.most);
        CPPUNIT_ASSERT(it.sent >= 15);
        it.play(6000,
                [](std::int64_t)
                {
                    return slots;
                });
        CPPUNIT_ASSERT(it.window.has_ended());
    }

    void begins_again_when_the_target_fails_again()
    {
        loaded_target it;
        it.play(250,
                [](std::int64_t)
                {
                    return slots;
                });
        CPPUNIT_ASSERT(it.window.size() > 1);
        it.play(1250,
                [](std::int64_t)
                {
                    return 0;
                });
        CPPUNIT_ASSERT_EQUAL(1, it.window.size());
        CPPUNIT_ASSERT(!it.window.has_ended());
    }

    void begins_again_at_the_next_issuer()
    {
        slow_start_window next(slots, at_ms(5000));
        // the end of a call that the issuer before had let through
        next.end(17, slow_start_result::timely, at_ms(5000));
        CPPUNIT_ASSERT_EQUAL(1, next.size());
        CPPUNIT_ASSERT(next.begin(1, at_ms(5001)));
        CPPUNIT_ASSERT(!next.begin(2, at_ms(5001)));
    }

    void takes_late_and_lost_ends_of_calls()
    {
        slow_start_window window(slots, at_ms(0));
        CPPUNIT_ASSERT(window.begin(1, at_ms(0)));
        CPPUNIT_ASSERT(!window.begin(2, at_ms(20000)));
        // the end of call 1 is lost
        CPPUNIT_ASSERT(window.begin(2, at_ms(31000)));
        window.end(1, slow_start_result::timely, at_ms(31001));
        CPPUNIT_ASSERT_EQUAL(1, window.size());
        CPPUNIT_ASSERT_EQUAL(1, window.in_progress());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_window_of_a_target_that_returns);

} // namespace
