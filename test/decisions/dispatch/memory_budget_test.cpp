#include <medlar/detail/dispatch/memory_budget.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace
{

using namespace medlar;

constexpr std::size_t limit = 48000000;
constexpr std::size_t largest_body = 4194304;

/// Bodies that are received from a crowd, with 16 KB for each client that sends in each
/// turn of 100 ms. Clients stop one byte short of the end unless they are honest.
class crowd_of_bodies
{
  public:
    struct client
    {
        std::size_t length = largest_body;
        bool is_honest = false;
        std::size_t received = 0;
        bool is_paused = false;
        bool is_granted = false;
        bool is_complete = false;
        bool is_ended = false;
        steady_time last_progress;
    };

    crowd_of_bodies()
    {
        budget.set_limit(limit);
    }

    void add(std::size_t count, std::size_t length, bool is_honest)
    {
        client added;
        added.length = length;
        added.is_honest = is_honest;
        clients.insert(clients.end(), count, added);
    }

    void run_for(millis span)
    {
        for (const steady_time end = now_ + span; now_ < end; now_ = now_ + millis(100))
        {
            for (client& each : clients)
            {
                receive(each);
            }
            most_used = std::max(most_used, budget.used());
            relieve();
        }
    }

    std::size_t count(bool client::*what, bool is_honest) const
    {
        return static_cast<std::size_t>(
            std::count_if(clients.begin(),
                          clients.end(),
                          [&](const client& each)
                          {
                              return each.*what && each.is_honest == is_honest;
                          }));
    }

    memory_budget budget;
    std::vector<client> clients;
    std::size_t most_used = 0;

  private:
    void receive(client& from)
    {
        constexpr std::size_t read_bytes = 16384;
        const std::size_t sent = from.is_honest ? from.length : from.length - 1;
        const std::size_t more = std::min(read_bytes, sent - from.received);
        if (from.is_ended || from.is_complete || from.is_paused || more == 0)
        {
            return;
        }
        from.received += more;
        from.last_progress = now_;
        budget.add(more);
        if (from.received == from.length)
        {
            from.is_complete = true;
            budget.subtract(from.received);
            return;
        }
        from.is_paused = !from.is_granted && !budget.may_receive(from.received);
    }

    void relieve()
    {
        std::vector<memory_holder> holders;
        std::vector<client*> held;
        for (client& each : clients)
        {
            if (!each.is_ended && !each.is_complete)
            {
                holders.push_back(
                    {each.is_paused ? memory_use::paused_body : memory_use::incoming_body,
                     each.received,
                     each.length - each.received,
                     each.is_granted,
                     each.last_progress});
                held.push_back(&each);
            }
        }
        const memory_relief relief = budget.relieve(holders, now_);
        for (const auto* ended : {&relief.stalled, &relief.refused})
        {
            for (const std::size_t each : *ended)
            {
                held[each]->is_ended = true;
                budget.subtract(held[each]->received);
            }
        }
        for (const auto* resumed : {&relief.granted, &relief.resumed})
        {
            for (const std::size_t each : *resumed)
            {
                held[each]->is_paused = false;
                held[each]->is_granted = resumed == &relief.granted;
                held[each]->last_progress = now_;
            }
        }
    }

    steady_time now_{1000000};
};

class a_budget_of_48_mb : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_budget_of_48_mb);
    CPPUNIT_TEST(lets_three_hundred_bodies_of_100_kb_pass_without_a_pause);
    CPPUNIT_TEST(lets_a_body_of_the_largest_size_pass);
    CPPUNIT_TEST(is_kept_by_a_hundred_bodies_that_stop_short);
    CPPUNIT_TEST(lets_honest_small_bodies_pass_among_them);
    CPPUNIT_TEST(lets_some_pass_when_all_bodies_are_honest_and_too_many);
    CPPUNIT_TEST(ends_stalled_bodies_before_others);
    CPPUNIT_TEST(ends_output_only_after_a_long_stall);
    CPPUNIT_TEST(returns_memory_once_much_was_freed);
    CPPUNIT_TEST_SUITE_END();

    crowd_of_bodies crowd_;

  public:
    // guards against limits that ordinary traffic meets
    void lets_three_hundred_bodies_of_100_kb_pass_without_a_pause()
    {
        crowd_.add(300, 100000, true);
        crowd_.run_for(millis(800));
        CPPUNIT_ASSERT_EQUAL(std::size_t{300},
                             crowd_.count(&crowd_of_bodies::client::is_complete, true));
    }

    void lets_a_body_of_the_largest_size_pass()
    {
        crowd_.add(1, largest_body, true);
        crowd_.run_for(millis(30000));
        CPPUNIT_ASSERT(crowd_.clients[0].is_complete);
    }

    // guards against bodies that together hold all memory, so that none can end
    void is_kept_by_a_hundred_bodies_that_stop_short()
    {
        crowd_.add(100, largest_body, false);
        crowd_.run_for(millis(60000));
        CPPUNIT_ASSERT(crowd_.most_used <= limit);
        // they are ended once an honest body needs their memory
        crowd_.add(1, 100000, true);
        crowd_.run_for(millis(1500));
        CPPUNIT_ASSERT(crowd_.clients.back().is_complete);
    }

    void lets_honest_small_bodies_pass_among_them()
    {
        crowd_.add(100, largest_body, false);
        crowd_.run_for(millis(5000));
        crowd_.add(50, 16000, true);
        crowd_.run_for(millis(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{50},
                             crowd_.count(&crowd_of_bodies::client::is_complete, true));
    }

    void lets_some_pass_when_all_bodies_are_honest_and_too_many()
    {
        crowd_.add(100, largest_body, true);
        crowd_.run_for(millis(60000));
        const std::size_t complete =
            crowd_.count(&crowd_of_bodies::client::is_complete, true);
        CPPUNIT_ASSERT(crowd_.most_used <= limit);
        CPPUNIT_ASSERT(complete >= 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{100},
                             complete +
                                 crowd_.count(&crowd_of_bodies::client::is_ended, true));
    }

    void ends_stalled_bodies_before_others()
    {
        const steady_time now{1000000};
        crowd_.budget.add(limit + 1);
        const std::vector<memory_holder> holders{
            {memory_use::incoming_body, 3000000, 1, false, now},
            {memory_use::incoming_body, 2000000, 1, false, now + millis(-2000)},
            {memory_use::incoming_body, 20000000, 1, false, now + millis(-2000)},
            {memory_use::paused_body, 4000000, 1, false, now}};
        const memory_relief relief = crowd_.budget.relieve(holders, now);
        // ending the largest suffices
        CPPUNIT_ASSERT(relief.stalled == std::vector<std::size_t>{2});
        CPPUNIT_ASSERT(relief.refused.empty());
        CPPUNIT_ASSERT(relief.granted == std::vector<std::size_t>{3});
    }

    // guards against answers that are cut although their readers are only slow
    void ends_output_only_after_a_long_stall()
    {
        const steady_time now{1000000};
        crowd_.budget.add(limit + 1);
        const std::vector<memory_holder> holders{
            {memory_use::unread_output, 3000000, 0, false, now + millis(-3000)},
            {memory_use::unread_output, 3000000, 0, false, now + millis(-6000)}};
        CPPUNIT_ASSERT(crowd_.budget.relieve(holders, now).stalled ==
                       std::vector<std::size_t>{1});
    }

    void returns_memory_once_much_was_freed()
    {
        const steady_time now{1000000};
        crowd_.budget.add(limit / 2);
        CPPUNIT_ASSERT(!crowd_.budget.should_trim(now));
        crowd_.budget.subtract(limit / 2);
        CPPUNIT_ASSERT(crowd_.budget.should_trim(now));
        CPPUNIT_ASSERT(!crowd_.budget.should_trim(now + millis(2000)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_budget_of_48_mb);

} // namespace
