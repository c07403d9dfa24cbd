#include "support/entry/crashing_pool.hpp"

#include <medlar/detail/loop/message_link.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

// runs of such a request that may begin later than the time for the hosts to tell each
// other after the third crash
constexpr int max_late_runs = 3;

constexpr char stream_headers[] =
    "Prompt-Prefix: shared:100,own:10\r\nToken-Counts: 10,5\r\n";

/// sends the same request to all hosts in turn, and sound ones between
/// @return the answer to the last one
received_answer send_in_turn(crashing_pool& pool,
                             const std::string& path,
                             const std::string& headers,
                             int count)
{
    received_answer last;
    for (int i = 0; i < count; ++i)
    {
        const std::size_t host = static_cast<std::size_t>(i) % pool.hosts.size();
        last = pool.send_request(host, path, "bad", headers);
        pool.run_restarting(millis(200));
        const std::string sound = absl::StrCat("sound ", i);
        pool.send_request((host + 1) % pool.hosts.size(), path, sound, headers);
    }
    return last;
}

void expect_served(crashing_pool& pool, const std::string& path, const std::string& body)
{
    for (std::size_t host = 0; host < pool.hosts.size(); ++host)
    {
        const received_answer got = pool.send_request(host, path, body, stream_headers);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(got.body, 200, got.status);
    }
}

class a_request_that_crashes_targets : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_request_that_crashes_targets);
    CPPUNIT_TEST(is_not_sent_on_once_it_has_crashed_three);
    CPPUNIT_TEST(is_not_sent_on_if_it_may_run_only_once);
    CPPUNIT_TEST(is_not_sent_on_if_they_crash_after_its_first_event);
    CPPUNIT_TEST(is_known_to_a_host_that_starts_later);
    CPPUNIT_TEST(is_found_when_hosts_that_collected_the_crashes_are_killed);
    CPPUNIT_TEST_SUITE_END();

    static void expect_blocked(const std::string& path, bool crashes_late)
    {
        crashing_pool it(3, 4);
        it.crashing_body = "bad";
        it.is_crashing_late = crashes_late;
        it.max_crashes = 3;
        const received_answer last = send_in_turn(it, path, stream_headers, 24);
        CPPUNIT_ASSERT(it.late_arrivals <= max_late_runs);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(last.body, 503, last.status);
        expect_served(it, path, "another");
    }

  public:
    void is_not_sent_on_once_it_has_crashed_three()
    {
        expect_blocked("/i/x", false);
    }

    void is_not_sent_on_if_it_may_run_only_once()
    {
        expect_blocked("/n/x", false);
    }

    void is_not_sent_on_if_they_crash_after_its_first_event()
    {
        expect_blocked("/a/x", true);
    }

    void is_known_to_a_host_that_starts_later()
    {
        crashing_pool it(2, 4);
        it.crashing_body = "bad";
        CPPUNIT_ASSERT_EQUAL(503, send_in_turn(it, "/i/x", stream_headers, 12).status);
        const int crashes = it.crashes;
        it.add_host("late");
        const received_answer got = it.send_request(2, "/i/x", "bad", stream_headers);
        CPPUNIT_ASSERT_EQUAL(503, got.status);
        CPPUNIT_ASSERT_EQUAL(crashes, it.crashes);
    }

    void is_found_when_hosts_that_collected_the_crashes_are_killed()
    {
        crashing_pool it(4, 5);
        it.crashing_body = "bad";
        it.max_crashes = 3;
        send_in_turn(it, "/i/x", stream_headers, 1);
        it.kill_host(0);
        it.kill_host(0);
        const received_answer last = send_in_turn(it, "/i/x", stream_headers, 24);
        CPPUNIT_ASSERT_EQUAL(503, last.status);
        CPPUNIT_ASSERT(it.late_arrivals <= max_late_runs);
        expect_served(it, "/i/x", "another");
    }
};

class a_sound_request : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_sound_request);
    CPPUNIT_TEST(is_served_after_targets_crashed_one_by_one_for_their_own_reasons);
    CPPUNIT_TEST(is_served_after_all_targets_crashed_at_once);
    CPPUNIT_TEST(is_served_after_targets_reset_its_connections);
    CPPUNIT_TEST(is_served_if_only_other_prompts_crash_targets);
    CPPUNIT_TEST(is_served_after_it_was_running_in_three_crashes_of_its_pool);
    CPPUNIT_TEST(is_served_if_the_host_that_knows_it_to_be_harmless_answers_late);
    CPPUNIT_TEST(is_served_after_its_block_has_ended_without_the_store);
    CPPUNIT_TEST(is_served_after_the_item_of_an_ended_block_has_come_back);
    CPPUNIT_TEST(is_served_if_the_end_of_its_block_is_heard_before_the_block);
    CPPUNIT_TEST_SUITE_END();

    /// sends the same request to all hosts; the targets leave it without an answer
    static std::vector<std::shared_ptr<received_answer>>
    begin_waiting(crashing_pool& pool)
    {
        pool.is_answering = false;
        std::vector<std::shared_ptr<received_answer>> waiting;
        for (std::size_t i = 0; i < 6; ++i)
        {
            waiting.push_back(pool.begin_request(i % pool.hosts.size(), "/i/x", "read"));
        }
        pool.run_for(millis(60));
        return waiting;
    }

    /// another prompt would make it another request
    static void expect_read_served(crashing_pool& pool)
    {
        for (std::size_t host = 0; host < pool.hosts.size(); ++host)
        {
            const received_answer got = pool.send_request(host, "/i/x", "read");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(got.body, 200, got.status);
        }
    }

    static crash_suspect read_suspect()
    {
        const request_key key =
            key_of_request({"POST", "h.example", "/i/x", "org-1", "read"});
        return suspects_of(key, {}).request;
    }

    static std::string read_key(const crashing_pool& pool)
    {
        return absl::StrCat(pool.protocol.blocked_suspect_prefix(),
                            absl::Hex(read_suspect().get(), absl::kZeroPad16));
    }

    /// Writes that the read is blocked, and waits until the hosts refuse it.
    static void block_read(crashing_pool& pool, const std::string& value)
    {
        pool.store.put(read_key(pool), value);
        pool.run_for(millis(1000));
        CPPUNIT_ASSERT_EQUAL(503, pool.send_request(0, "/i/x", "read").status);
    }

  public:
    void is_served_after_targets_crashed_one_by_one_for_their_own_reasons()
    {
        crashing_pool it(3, 4);
        for (std::size_t target = 0; target < 4; ++target)
        {
            const auto waiting = begin_waiting(it);
            it.crash(target);
            it.is_answering = true;
            it.run_restarting(millis(300));
        }
        expect_read_served(it);
    }

    void is_served_after_all_targets_crashed_at_once()
    {
        crashing_pool it(3, 4);
        const auto waiting = begin_waiting(it);
        for (std::size_t target = 0; target < 4; ++target)
        {
            it.crash(target);
            it.run_for(millis(30));
        }
        it.run_for(millis(500));
        it.is_answering = true;
        it.restart_crashed();
        it.run_for(millis(600));
        expect_read_served(it);
    }

    void is_served_if_only_other_prompts_crash_targets()
    {
        crashing_pool it(3, 8);
        it.crashing_parts = {"bad"};
        // until the hosts that judge have started
        it.run_for(millis(1600));
        for (int i = 0; i < 2; ++i)
        {
            it.send_prompt(0, absl::StrCat("bad:50,own-", i, ":10"));
        }
        it.run_restarting(millis(600));
        for (std::size_t host = 0; host < it.hosts.size(); ++host)
        {
            const received_answer got = it.send_prompt(host, "good:50,other:10");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(got.body, 200, got.status);
        }
    }

    /// Crashes a target while two hosts have sent it the read. Its callers leave after
    /// that, so that each crash is one of another run.
    static void crash_under_read(crashing_pool& pool, std::size_t target)
    {
        pool.is_answering = false;
        std::vector<std::shared_ptr<client_call>> calls(8);
        for (std::size_t i = 0; i < calls.size(); ++i)
        {
            const std::string attempt = absl::StrCat("crash-", target, "-", i);
            pool.begin(pool.all_settings.at(1 + i % 2).caller_endpoint,
                       request_text("POST", "/i/x", attempt, "read"),
                       &calls[i]);
        }
        pool.run_for(millis(60));
        pool.crash(target);
        pool.run_for(millis(300));
        for (const std::shared_ptr<client_call>& each : calls)
        {
            each->cancel();
        }
        pool.run_for(millis(50));
    }

    /// Guards against a read that is refused everywhere for ten minutes since it was
    /// running when the targets of its pool crashed for another cause.
    void is_served_after_it_was_running_in_three_crashes_of_its_pool()
    {
        crashing_pool it(3, 4);
        // until the hosts that judge have started
        it.run_for(millis(1600));
        CPPUNIT_ASSERT_EQUAL(200, it.send_request(0, "/i/x", "read").status);
        for (std::size_t target = 0; target < 3; ++target)
        {
            crash_under_read(it, target);
        }
        it.is_answering = true;
        it.restart_crashed();
        it.run_for(millis(600));
        expect_read_served(it);
    }

    /// Guards against a read that is refused everywhere for ten minutes although one host
    /// has got an answer to it: that host was frozen while the judges asked.
    void is_served_if_the_host_that_knows_it_to_be_harmless_answers_late()
    {
        crashing_pool it(3, 4);
        // until the hosts that judge have started
        it.run_for(millis(1600));
        crash_under_read(it, 0);
        it.is_answering = true;
        CPPUNIT_ASSERT_EQUAL(200, it.send_request(0, "/i/x", "read").status);
        crash_under_read(it, 1);
        it.freeze(it.hosts[0]);
        crash_under_read(it, 2);
        it.run_for(millis(400));
        CPPUNIT_ASSERT_EQUAL(503, it.send_request(1, "/i/x", "read").status);
        it.thaw(it.hosts[0]);
        it.is_answering = true;
        it.restart_crashed();
        it.run_for(millis(1500));
        expect_read_served(it);
    }

    /// Guards against an item that outlives its block in the store: a host that starts
    /// later reads it, and writes it again for all hosts once the store has lost it.
    void is_served_after_its_block_has_ended_without_the_store()
    {
        crashing_pool it(3, 4);
        it.store.save_copy();
        const auto waiting = begin_waiting(it);
        block_read(it, "host-0 7");
        it.store.set_down(true);
        it.answer_waiting();
        it.run_for(millis(200));
        it.store.set_down(false);
        it.run_for(millis(2500));
        it.add_host("late");
        expect_read_served(it);
        it.store.return_from_copy();
        it.run_for(millis(3000));
        expect_read_served(it);
    }

    /// Guards against an item that is written after its removal, or that an old copy of
    /// the store brings back: nothing ends the block that it begins.
    void is_served_after_the_item_of_an_ended_block_has_come_back()
    {
        crashing_pool it(3, 4);
        const auto waiting = begin_waiting(it);
        block_read(it, "host-0 7");
        it.answer_waiting();
        it.run_for(millis(1000));
        const std::string key = read_key(it);
        CPPUNIT_ASSERT(!it.store.has_key_with_prefix(key));
        it.store.put(key, "host-0 7");
        it.run_for(millis(1000));
        expect_read_served(it);
        CPPUNIT_ASSERT(!it.store.has_key_with_prefix(key));
        // another block
        it.store.put(key, "host-0 8");
        it.run_for(millis(1000));
        CPPUNIT_ASSERT_EQUAL(503, it.send_request(0, "/i/x", "read").status);
    }

    /// Guards against a host that goes on refusing what all others serve again, since
    /// the messages of two hosts on one block have reached it in the other order.
    void is_served_if_the_end_of_its_block_is_heard_before_the_block()
    {
        crashing_pool it(1, 2);
        const auto link = message_link::create(
            connection::connect(it.loop, it.all_settings[0].link_endpoint, millis(1000)),
            [](const nlohmann::json&) {},
            [](connection_end) {});
        const auto tell = [&](const std::string& type, std::uint64_t number)
        {
            link->send({{"type", type},
                        {"suspect", read_suspect().get()},
                        {"left_ms", 60000},
                        {"blocks", {number}}});
            it.run_for(millis(200));
        };
        tell("harmless", 7);
        tell("blocked", 7);
        expect_read_served(it);
        tell("blocked", 8);
        CPPUNIT_ASSERT_EQUAL(503, it.send_request(0, "/i/x", "read").status);
    }

    void is_served_after_targets_reset_its_connections()
    {
        crashing_pool it(3, 4);
        for (int i = 0; i < 4; ++i)
        {
            const auto waiting = begin_waiting(it);
            it.reset_waiting();
            it.run_for(millis(200));
            it.reset_waiting();
        }
        it.is_answering = true;
        expect_read_served(it);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_request_that_crashes_targets);
CPPUNIT_TEST_SUITE_REGISTRATION(a_sound_request);

} // namespace
