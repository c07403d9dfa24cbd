#include "support/entry/stalling_peer.hpp"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

constexpr char answer_head_text[] = "HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\n"
                                    "Response-Signature: s\r\nConnection: close\r\n\r\n";

/// one host in front of a peer as the target of plain requests and of streams
class unframed_fixture : public entry_fixture
{
  public:
    unframed_fixture()
    {
        for (const std::string pool : {"plain", "engines"})
        {
            store.put("servers/i-" + pool,
                      nlohmann::json({{"service", pool},
                                      {"address", to_string(peer.where())},
                                      {"zone", "a"},
                                      {"version", "v1"},
                                      {"slots", 6},
                                      {"state", "ready"},
                                      {"cold_ms", 0},
                                      {"sequence", 1},
                                      {"born", 5}})
                          .dump());
        }
        nlohmann::json plain = route_json("/n/", "non_idempotent", "plain");
        nlohmann::json stream = route_json("/s/", "stream", "engines");
        for (nlohmann::json* each : {&plain, &stream})
        {
            (*each)["timeout_ms"] = 20000;
        }
        store.put("op/config", configuration_json(3, {plain, stream}));
        host_settings = settings("host-1");
        host = start(host_settings);
        CPPUNIT_ASSERT(until(
            [&]
            {
                return is_ready(host_settings);
            }));
    }

    /// Sends a request whose body the target does not read.
    std::shared_ptr<received_answer> begin_unread(const std::string& path)
    {
        const std::string body(40000, 'x');
        const auto got =
            begin(host_settings.caller_endpoint,
                  absl::StrCat("POST ",
                               path,
                               " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id-1\r\n"
                               "Deadline-Ms: 15000\r\nAuthorization: Bearer key-1\r\n"
                               "Content-Length: ",
                               body.size(),
                               "\r\n\r\n",
                               body));
        CPPUNIT_ASSERT(until(
            [&]
            {
                const std::string received = peer.read(100);
                const bool is_report = absl::StartsWith(received, report_request_begin);
                if (is_report)
                {
                    peer.write(report_answer);
                }
                return !is_report && !received.empty();
            }));
        return got;
    }

    void expect_ended(const std::shared_ptr<received_answer>& got)
    {
        CPPUNIT_ASSERT(until(
            [&]
            {
                return got->ended;
            }));
    }

    stalling_peer peer;
    entry_settings host_settings;
    std::shared_ptr<running_host> host;
};

class an_answer_without_a_length : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_answer_without_a_length);
    CPPUNIT_TEST(is_whole_when_its_target_ends_it);
    CPPUNIT_TEST(is_a_failure_when_tcp_has_given_its_connection_up);
    CPPUNIT_TEST(is_a_broken_stream_when_tcp_has_given_its_connection_up);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_whole_when_its_target_ends_it()
    {
        unframed_fixture it;
        const auto got = it.begin_unread("/n/x");
        it.peer.write(absl::StrCat(answer_head_text, "whole"));
        it.peer.finish();
        it.expect_ended(got);
        CPPUNIT_ASSERT_EQUAL(200, got->status);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), got->body);
        CPPUNIT_ASSERT(got->end == call_end::complete);
    }

    // guards against MIXED of review/2: a part of a plain answer with the signature
    void is_a_failure_when_tcp_has_given_its_connection_up()
    {
        unframed_fixture it;
        const auto got = it.begin_unread("/n/x");
        it.peer.write(absl::StrCat(answer_head_text, "a part"));
        it.expect_ended(got);
        CPPUNIT_ASSERT_EQUAL(502, got->status);
    }

    // guards against MIXED of review/2: a stream that ends before its last event
    void is_a_broken_stream_when_tcp_has_given_its_connection_up()
    {
        unframed_fixture it;
        const auto got = it.begin_unread("/s/x");
        it.peer.write(absl::StrCat(answer_head_text, "id: 1\ndata: x\n\n"));
        it.expect_ended(got);
        CPPUNIT_ASSERT_EQUAL(200, got->status);
        CPPUNIT_ASSERT(got->end == call_end::broken_off);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(an_answer_without_a_length);

} // namespace
