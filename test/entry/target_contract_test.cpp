#include "support/entry/entry_fixture.hpp"
#include "support/entry/raw_target.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/resource.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

using exchange_ptr = std::shared_ptr<caller_exchange>;

/// one entry host
class one_host_fixture : public entry_fixture
{
  public:
    void start_host()
    {
        store.put("op/config",
                  configuration_json(3,
                                     {route_json("/a/", "idempotent", "plain"),
                                      route_json("/s/", "stream", "engines")}));
        host_settings = settings("host-1");
        host = start(host_settings);
        CPPUNIT_ASSERT(until(
            [&]
            {
                return is_ready(host_settings);
            }));
    }

    received_answer fetch(const std::string& path)
    {
        return send(host_settings.caller_endpoint,
                    request_text("GET", path, "id-" + std::to_string(++requests_)));
    }

    entry_settings host_settings;
    std::shared_ptr<running_host> host;

  private:
    int requests_ = 0;
};

class a_target_that_is_leaving : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_target_that_is_leaving);
    CPPUNIT_TEST(gets_no_more_requests_although_the_store_shows_it_as_ready);
    CPPUNIT_TEST(gets_requests_again_once_it_was_restarted);
    CPPUNIT_TEST_SUITE_END();

    static void answer_leaving(const exchange_ptr& exchange)
    {
        header_list headers = signed_headers(*exchange);
        headers.add("Server-Leaving", "1");
        exchange->answer(200, headers, "hello");
    }

  public:
    void gets_no_more_requests_although_the_store_shows_it_as_ready()
    {
        one_host_fixture it;
        stand_in_target leaving(it.loop, "i-1", "plain", answer_leaving);
        it.store.put(leaving.key(), leaving.entry());
        it.start_host();
        CPPUNIT_ASSERT_EQUAL(200, it.fetch("/a/x").status);
        const received_answer refused = it.fetch("/a/x");
        CPPUNIT_ASSERT_EQUAL(503, refused.status);
        CPPUNIT_ASSERT(refused.headers.count("Retry-After") == 1);
        it.store.put(leaving.key(), leaving.entry("ready", 2));
        it.run_for(millis(700));
        CPPUNIT_ASSERT_EQUAL(503, it.fetch("/a/x").status);
        // nor while the store is away, and in its next era
        it.store.save_copy();
        it.store.return_from_copy();
        it.run_for(millis(700));
        CPPUNIT_ASSERT_EQUAL(503, it.fetch("/a/x").status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaving.requests.size());
    }

    void gets_requests_again_once_it_was_restarted()
    {
        one_host_fixture it;
        stand_in_target leaving(it.loop, "i-1", "plain", answer_leaving);
        it.store.put(leaving.key(), leaving.entry());
        it.start_host();
        CPPUNIT_ASSERT_EQUAL(200, it.fetch("/a/x").status);
        leaving.started_ms = 6;
        it.store.put(leaving.key(), leaving.entry("ready", 0));
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                it.fetch("/a/x");
                return leaving.requests.size() == 2;
            }));
    }
};

class a_target_that_wants_a_pause : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_target_that_wants_a_pause);
    CPPUNIT_TEST(gets_no_requests_until_it_ends);
    CPPUNIT_TEST(is_replaced_by_another_one);
    CPPUNIT_TEST_SUITE_END();

    static void refuse_for_a_while(const exchange_ptr& exchange)
    {
        header_list headers;
        headers.add("Attempt-Id",
                    std::string(exchange->head().headers.get("Attempt-Id")));
        headers.add("Not-Executed", "1");
        headers.add("Retry-After", "1.2");
        exchange->answer(503, headers, "");
    }

  public:
    void gets_no_requests_until_it_ends()
    {
        one_host_fixture it;
        stand_in_target paused(it.loop, "i-1", "plain", refuse_for_a_while);
        it.store.put(paused.key(), paused.entry());
        it.start_host();
        const steady_time begin = it.time.steady_now();
        CPPUNIT_ASSERT_EQUAL(503, it.fetch("/a/x").status);
        while (it.time.steady_now() - begin < millis(1100))
        {
            const received_answer refused = it.fetch("/a/x");
            CPPUNIT_ASSERT_EQUAL(503, refused.status);
            it.run_for(millis(50));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, paused.requests.size());
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                it.fetch("/a/x");
                return paused.requests.size() > 1;
            }));
    }

    void is_replaced_by_another_one()
    {
        one_host_fixture it;
        stand_in_target paused(it.loop, "i-1", "plain", refuse_for_a_while);
        stand_in_target serving(it.loop,
                                "i-2",
                                "plain",
                                [](const exchange_ptr& exchange)
                                {
                                    exchange->answer(
                                        200, signed_headers(*exchange), "hello");
                                });
        it.store.put(paused.key(), paused.entry());
        it.store.put(serving.key(), serving.entry());
        it.start_host();
        for (int i = 0; i < 20; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(200, it.fetch("/a/x").status);
        }
        CPPUNIT_ASSERT(paused.requests.size() <= 1);
    }
};

class bytes_without_end : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(bytes_without_end);
    CPPUNIT_TEST(in_a_head_are_no_answer);
    CPPUNIT_TEST(in_interim_heads_are_no_answer);
    CPPUNIT_TEST(in_answers_to_others_are_no_answer);
    CPPUNIT_TEST(in_trailers_are_no_answer);
    CPPUNIT_TEST(in_one_event_are_no_event);
    CPPUNIT_TEST(in_events_end_with_the_time_of_the_request);
    CPPUNIT_TEST_SUITE_END();

    /// most of it is in the buffers of the loopback connection
    static constexpr std::size_t max_read_bytes = 16000000;

    static std::int64_t peak_memory_kb()
    {
        rusage usage{};
        getrusage(RUSAGE_SELF, &usage);
        return usage.ru_maxrss;
    }

    /// Sends one request to a target that answers without end.
    /// @param max_bytes most bytes that the host may read before it closes the connection
    static void expect_closed(const std::string& path,
                              const std::string& begin,
                              const std::string& repeated,
                              std::size_t max_bytes = max_read_bytes)
    {
        one_host_fixture it;
        raw_target endless(it.loop, begin, repeated);
        it.store.put("servers/i-1", endless.entry(path == "/a/x" ? "plain" : "engines"));
        it.start_host();
        const std::int64_t memory_kb = peak_memory_kb();
        const received_answer answer = it.fetch(path);
        CPPUNIT_ASSERT(answer.status != 200 || answer.end != call_end::complete);
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return endless.is_closed;
            }));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(endless.sent_bytes),
                               endless.sent_bytes < max_bytes);
#ifndef __SANITIZE_ADDRESS__
        constexpr std::int64_t max_growth_kb = 16384;
        CPPUNIT_ASSERT(peak_memory_kb() - memory_kb < max_growth_kb);
#else
        (void)memory_kb;
#endif
        // the host serves on
        CPPUNIT_ASSERT(it.is_ready(it.host_settings));
    }

    static std::string head(const std::string& more)
    {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nResponse-Signature: s\r\n" + more +
               "\r\n";
    }

  public:
    void in_a_head_are_no_answer()
    {
        expect_closed(
            "/a/x", "HTTP/1.1 200 OK\r\n", "X-More: yyyyyyyyyyyyyyyyyyyyyy\r\n");
        expect_closed("/a/x", "HTTP/1.1 200 OK\r\nX: ", std::string(4096, 'y'));
        expect_closed("/a/x", "", std::string(4096, 'y'));
    }

    void in_interim_heads_are_no_answer()
    {
        expect_closed("/a/x", "", "HTTP/1.1 103 Early Hints\r\nLink: y\r\n\r\n");
    }

    void in_answers_to_others_are_no_answer()
    {
        expect_closed("/a/x",
                      "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n"
                      "Content-Length: 99999999999\r\n\r\n",
                      std::string(4096, 'y'));
    }

    void in_trailers_are_no_answer()
    {
        expect_closed("/a/x",
                      head("Transfer-Encoding: chunked\r\n") + "2\r\nhi\r\n0\r\n",
                      "X-More: yyyyyyyyyyyyyyyyyyyyyy\r\n");
        expect_closed("/a/x",
                      head("Transfer-Encoding: chunked\r\n") + "2;",
                      std::string(4096, 'y'));
    }

    void in_one_event_are_no_event()
    {
        expect_closed("/s/x",
                      head("Content-Type: text/event-stream\r\n") + "data: ",
                      std::string(4096, 'y'));
    }

    void in_events_end_with_the_time_of_the_request()
    {
        // an event that was sent before is skipped, again and again
        expect_closed("/s/x",
                      head("Content-Type: text/event-stream\r\n"),
                      "id: 1\ndata: " + std::string(2000, 'y') + "\n\n",
                      SIZE_MAX);
    }
};

class a_slow_stream : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_slow_stream);
    CPPUNIT_TEST(is_forwarded_to_its_end);
    CPPUNIT_TEST(ends_with_its_deadline_if_only_bytes_come_now_and_then);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_forwarded_to_its_end()
    {
        one_host_fixture it;
        stand_in_target slow(it.loop,
                             "i-1",
                             "engines",
                             [&it](const exchange_ptr& exchange)
                             {
                                 exchange->begin(200,
                                                 "OK",
                                                 signed_headers(*exchange),
                                                 {body_kind::chunked, 0});
                                 send_event(it, exchange, 1);
                             });
        it.store.put(slow.key(), slow.entry());
        it.start_host();
        const received_answer answer = it.fetch("/s/x");
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT(answer.end == call_end::complete);
        CPPUNIT_ASSERT(answer.body.find("id: 4\n") != std::string::npos);
    }

    void ends_with_its_deadline_if_only_bytes_come_now_and_then()
    {
        one_host_fixture it;
        raw_target stalled(it.loop,
                           "HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\n"
                           "Response-Signature: s\r\n"
                           "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n",
                           ":",
                           millis(100));
        it.store.put("servers/i-1", stalled.entry("engines"));
        it.start_host();
        const steady_time begin = it.time.steady_now();
        const received_answer answer = it.fetch("/s/x");
        CPPUNIT_ASSERT(answer.end != call_end::complete);
        // the request's deadline is 1,500 ms
        CPPUNIT_ASSERT(it.time.steady_now() - begin < millis(2500));
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return stalled.is_closed;
            }));
    }

  private:
    static void send_event(one_host_fixture& it, const exchange_ptr& exchange, int number)
    {
        constexpr int last = 4;
        exchange->write("id: " + std::to_string(number) + "\ndata: x\n\n");
        if (number == last)
        {
            exchange->finish();
            return;
        }
        it.loop.after(millis(350),
                      [&it, exchange, number]
                      {
                          send_event(it, exchange, number + 1);
                      });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_slow_stream);
CPPUNIT_TEST_SUITE_REGISTRATION(a_target_that_is_leaving);
CPPUNIT_TEST_SUITE_REGISTRATION(a_target_that_wants_a_pause);
CPPUNIT_TEST_SUITE_REGISTRATION(bytes_without_end);

} // namespace
