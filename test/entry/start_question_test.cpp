#include "support/entry/entry_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

using exchange_ptr = std::shared_ptr<caller_exchange>;

/// one entry host in front of two engines, whose streams have one event and can be
/// resumed
class two_engines : public entry_fixture
{
  public:
    two_engines()
        : first(loop, "i-1", "plain", answer_stream),
          second(loop, "i-2", "plain", answer_stream)
    {
        store.put("op/config",
                  configuration_json(3,
                                     {route_json("/a/", "stream", "plain"),
                                      route_json("/b/", "idempotent", "plain")}));
        store.put(first.key(), first.entry());
        store.put(second.key(), second.entry());
        host_settings = settings("host-1");
        host = start(host_settings);
        CPPUNIT_ASSERT(until(
            [&]
            {
                return is_ready(host_settings);
            }));
    }

    int fetch(const std::string& path)
    {
        return send(host_settings.caller_endpoint,
                    request_text("POST", path, "id-" + std::to_string(++requests_), "b"))
            .status;
    }

    /// Takes up a stream after its first event.
    int resume(const std::string& attempt)
    {
        return send(host_settings.caller_endpoint,
                    request_text("POST",
                                 "/a/x",
                                 "id-" + std::to_string(++requests_),
                                 "b",
                                 "Last-Event-Id: 1\r\nResumes: " + attempt + "\r\n"))
            .status;
    }

    /// Sends streams until both engines have been asked.
    /// @return how many were served
    int serve_until_both_are_asked()
    {
        int served = 0;
        for (int i = 0; i < 40 && (first.reports == 0 || second.reports == 0); ++i)
        {
            served += fetch("/a/x") == status_ok ? 1 : 0;
        }
        CPPUNIT_ASSERT(first.reports > 0 && second.reports > 0);
        return served;
    }

    int sent() const
    {
        return requests_;
    }

    stand_in_target first;
    stand_in_target second;
    entry_settings host_settings;
    std::shared_ptr<running_host> host;

  private:
    static void answer_stream(const exchange_ptr& exchange)
    {
        exchange->answer(status_ok, signed_headers(*exchange), "id: 1\ndata: x\n\n");
    }

    int requests_ = 0;
};

class the_start_of_an_engine : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_start_of_an_engine);
    CPPUNIT_TEST(is_asked_once_on_each_connection);
    CPPUNIT_TEST(is_not_asked_where_no_stream_can_be_resumed);
    CPPUNIT_TEST(may_be_unknown);
    CPPUNIT_TEST(may_be_answered_with_a_failure);
    CPPUNIT_TEST(is_awaited_before_a_stream_is_sent);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_asked_once_on_each_connection()
    {
        two_engines it;
        for (int i = 0; i < 12; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(status_ok, it.fetch("/a/x"));
        }
        CPPUNIT_ASSERT(it.first.reports <= 1);
        CPPUNIT_ASSERT(it.second.reports <= 1);
        it.first.restart(6);
        it.second.restart(6);
        it.store.put(it.first.key(), it.first.entry());
        it.store.put(it.second.key(), it.second.entry());
        it.run_for(millis(500));
        it.first.reports = 0;
        it.second.reports = 0;
        CPPUNIT_ASSERT_EQUAL(status_ok, it.fetch("/a/x"));
        CPPUNIT_ASSERT_EQUAL(1, it.first.reports + it.second.reports);
    }

    void is_not_asked_where_no_stream_can_be_resumed()
    {
        two_engines it;
        for (int i = 0; i < 4; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(status_ok, it.fetch("/b/x"));
        }
        CPPUNIT_ASSERT_EQUAL(0, it.first.reports + it.second.reports);
    }

    void may_be_unknown()
    {
        two_engines it;
        for (stand_in_target* each : {&it.first, &it.second})
        {
            each->report_handler = [](const exchange_ptr& exchange)
            {
                exchange->answer(status_not_found, {}, "no such path");
            };
        }
        const int served = it.serve_until_both_are_asked();
        CPPUNIT_ASSERT_EQUAL(it.sent(), served);
    }

    void may_be_answered_with_a_failure()
    {
        for (const std::string connection : {"keep-alive", "close"})
        {
            two_engines it;
            for (stand_in_target* each : {&it.first, &it.second})
            {
                each->report_handler = [connection](const exchange_ptr& exchange)
                {
                    header_list headers;
                    headers.add("Connection", connection);
                    exchange->answer(status_server_error, headers, "");
                };
            }
            const int served = it.serve_until_both_are_asked();
            CPPUNIT_ASSERT_EQUAL(it.sent(), served);
            // the process that began them is unknown
            CPPUNIT_ASSERT_EQUAL(status_unavailable, it.resume("id-1"));
        }
    }

    void is_awaited_before_a_stream_is_sent()
    {
        const std::vector<stand_in_target::behaviour> bad{
            [](const exchange_ptr& exchange)
            {
                exchange->abort();
            },
            [](const exchange_ptr& exchange)
            {
                // ends before its length
                exchange->begin(status_ok, "OK", {}, {body_kind::length, 100});
                exchange->write("{\"born\": 5}");
                exchange->abort();
            }};
        for (const stand_in_target::behaviour& each : bad)
        {
            two_engines it;
            it.first.report_handler = each;
            const int served = it.serve_until_both_are_asked();
            CPPUNIT_ASSERT_EQUAL(it.sent(), served);
            CPPUNIT_ASSERT(it.first.requests.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_start_of_an_engine);

} // namespace
