#include "support/entry/stalling_peer.hpp"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

using exchange_ptr = std::shared_ptr<caller_exchange>;

constexpr std::size_t long_answer_bytes = 8000000;

/// a caller on a real socket with a small window, which reads at its own pace
class slow_caller
{
  public:
    explicit slow_caller(const endpoint& host)
    {
        constexpr int small_window = 65536;
        socket_.connect(Poco::Net::SocketAddress(host.address, host.port));
        socket_.setReceiveBufferSize(small_window);
    }

    void write(const std::string& bytes)
    {
        socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    }

    /// Reads at most some bytes, if there are any.
    void read(std::size_t most)
    {
        std::string bytes(most, '\0');
        if (has_ended || !socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
        {
            return;
        }
        try
        {
            const int count = socket_.receiveBytes(bytes.data(), static_cast<int>(most));
            received.append(bytes, 0, static_cast<std::size_t>(count));
            has_ended = count == 0;
        }
        catch (const Poco::Exception&)
        {
            has_ended = true;
            was_reset = true;
        }
    }

    std::string received;
    bool has_ended = false;
    bool was_reset = false;

  private:
    Poco::Net::StreamSocket socket_;
};

/// one host in front of a target with long answers
class long_answer_fixture : public entry_fixture
{
  public:
    long_answer_fixture()
        : target(loop,
                 "i-1",
                 "plain",
                 [this](const exchange_ptr& exchange)
                 {
                     held = exchange;
                     if (!is_holding)
                     {
                         exchange->answer(200,
                                          signed_headers(*exchange),
                                          std::string(long_answer_bytes, 'x'));
                     }
                 })
    {
        store.put(target.key(), target.entry());
        nlohmann::json plain = route_json("/n/", "non_idempotent", "plain");
        nlohmann::json stream = route_json("/s/", "stream", "plain");
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

    static std::string request(const std::string& path, const std::string& version)
    {
        return absl::StrCat("GET ",
                            path,
                            " HTTP/",
                            version,
                            "\r\nHost: h.example\r\nAttempt-Id: id-1\r\n"
                            "Deadline-Ms: 15000\r\nAuthorization: Bearer key-1\r\n\r\n");
    }

    /// Reads slowly until the answer, of more than long_answer_bytes, is there.
    bool reads_all(slow_caller& caller)
    {
        constexpr std::size_t bytes_per_turn = 32768;
        return until(
            [&]
            {
                caller.read(bytes_per_turn);
                return caller.received.size() > long_answer_bytes || caller.has_ended;
            });
    }

    bool is_holding = false;
    exchange_ptr held;
    stand_in_target target;
    entry_settings host_settings;
    std::shared_ptr<running_host> host;
};

class a_caller_that_reads_slowly : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_caller_that_reads_slowly);
    CPPUNIT_TEST(gets_its_whole_answer);
    CPPUNIT_TEST(gets_its_whole_answer_from_a_host_that_stops);
    CPPUNIT_TEST(leaves_a_connection_to_the_target_that_serves_the_next_one);
    CPPUNIT_TEST_SUITE_END();

  public:
    // guards against LOST of review/4: a write that would block taken for a reset
    void gets_its_whole_answer()
    {
        long_answer_fixture it;
        slow_caller caller(it.host_settings.caller_endpoint);
        caller.write(it.request("/n/x", "1.1"));
        it.run_for(millis(300));
        CPPUNIT_ASSERT(it.reads_all(caller));
        CPPUNIT_ASSERT(!caller.has_ended);
    }

    // guards against LOST: output that was not sent yet does not keep the process
    void gets_its_whole_answer_from_a_host_that_stops()
    {
        long_answer_fixture it;
        slow_caller caller(it.host_settings.caller_endpoint);
        caller.write(it.request("/n/x", "1.1"));
        it.run_for(millis(300));
        it.host->host->drain();
        // the grace period is longer than the time that the caller takes
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                caller.read(4096);
                return it.host->host->is_finished();
            }));
        it.kill(it.host);
        CPPUNIT_ASSERT(it.reads_all(caller));
        CPPUNIT_ASSERT(caller.received.size() > long_answer_bytes);
    }

    // guards against LOST: a paused connection was taken back into use as it was
    void leaves_a_connection_to_the_target_that_serves_the_next_one()
    {
        long_answer_fixture it;
        for (int i = 0; i < 2; ++i)
        {
            slow_caller caller(it.host_settings.caller_endpoint);
            caller.write(it.request("/n/x", "1.1"));
            it.run_for(millis(200));
            CPPUNIT_ASSERT(it.reads_all(caller));
            CPPUNIT_ASSERT(!caller.has_ended);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_caller_that_reads_slowly);

class a_caller_of_http_1_0 : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_caller_of_http_1_0);
    CPPUNIT_TEST(sees_that_its_answer_broke_off);
    CPPUNIT_TEST_SUITE_END();

  public:
    // guards against MIXED: without chunks, a regular end makes a part look whole
    void sees_that_its_answer_broke_off()
    {
        long_answer_fixture it;
        it.is_holding = true;
        slow_caller caller(it.host_settings.caller_endpoint);
        caller.write(it.request("/s/x", "1.0"));
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return it.held != nullptr;
            }));
        it.held->begin(200, "OK", signed_headers(*it.held), {body_kind::chunked, 0});
        it.held->write("id: 1\ndata: x\n\n");
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                caller.read(1000);
                return absl::StrContains(caller.received, "id: 1");
            }));
        // no other target is left for the stream
        it.store.remove("servers/i-1");
        it.run_for(millis(600));
        it.held->abort();
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                caller.read(1000);
                return caller.has_ended;
            }));
        CPPUNIT_ASSERT(caller.was_reset);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_caller_of_http_1_0);

} // namespace
