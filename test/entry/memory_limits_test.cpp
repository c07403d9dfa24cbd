#include "support/entry/entry_fixture.hpp"

#include <medlar/detail/loop/caller_connection.hpp>

#include <absl/strings/match.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace medlar;
using namespace medlar::test;

/// a client that sends some bytes and keeps what it receives
class raw_client : public connection_handler
{
  public:
    raw_client(event_loop& loop, const endpoint& where, const std::string& bytes)
        : stream_(connection::connect(loop, where, millis(1000)))
    {
        stream_->set_handler(this);
        stream_->send(bytes);
    }

    ~raw_client() override
    {
        stream_->close();
    }

    void on_input() override
    {
        received.append(stream_->input().data(), stream_->input().size());
        stream_->consume(stream_->input().size());
    }

    void on_end(connection_end) override
    {
        has_ended = true;
    }

    std::string received;
    bool has_ended = false;

  private:
    std::shared_ptr<connection> stream_;
};

class a_request_ended_for_memory : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_request_ended_for_memory);
    CPPUNIT_TEST(is_refused_with_503_and_told_when_to_retry);
    CPPUNIT_TEST(is_ended_with_408_if_it_has_stalled);
    CPPUNIT_TEST_SUITE_END();

    /// Ends the only request of a server, whose body is incomplete.
    /// @return what the client receives
    static std::string end_one(bool is_stalled)
    {
        const medlar::clock time = medlar::clock::system();
        event_loop loop(time);
        const server_limits limits;
        const endpoint where = free_endpoint();
        bool has_reached_a_target = false;
        const auto server =
            http_server::listen(loop,
                                where,
                                limits,
                                [&](const std::shared_ptr<caller_exchange>&)
                                {
                                    has_reached_a_target = true;
                                });
        CPPUNIT_ASSERT_MESSAGE(server.status().ToString(), server.ok());
        raw_client client(loop,
                          where,
                          "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n" +
                              std::string(16000, 'x'));
        std::vector<held_memory> held;
        const steady_time end = time.steady_now() + millis(10000);
        while (!client.has_ended && time.steady_now() < end)
        {
            loop.run_once(millis(10));
            held.clear();
            (*server)->list_held_memory(held);
            if (!held.empty() && held.front().caller &&
                held.front().holder.remaining == 4000)
            {
                held.front().caller->end_for_memory(is_stalled);
            }
        }
        CPPUNIT_ASSERT(client.has_ended);
        CPPUNIT_ASSERT(!has_reached_a_target);
        return client.received;
    }

  public:
    void is_refused_with_503_and_told_when_to_retry()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
                        "Content-Type: text/plain\r\nRetry-After: 1\r\n"
                        "Content-Length: 45\r\n\r\n"
                        "this host has no memory left for the request\n"),
            end_one(false));
    }

    void is_ended_with_408_if_it_has_stalled()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("HTTP/1.1 408 Request Time-out\r\nConnection: close\r\n"
                        "Content-Type: text/plain\r\nContent-Length: 35\r\n\r\n"
                        "the request did not arrive in time\n"),
            end_one(true));
    }
};

class the_limits_of_a_host : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_limits_of_a_host);
    CPPUNIT_TEST(are_read_from_its_settings);
    CPPUNIT_TEST(are_rejected_by_name_if_they_are_invalid);
    CPPUNIT_TEST(set_its_budget_at_the_start_and_at_a_reload);
    CPPUNIT_TEST(set_its_connections_at_the_start_and_at_a_reload);
    CPPUNIT_TEST_SUITE_END();

    static absl::StatusOr<entry_settings> read(const std::string& limits)
    {
        return platform::read_settings(
            R"({"node": "n", "zone": "a", "ip": "10.1.0.41",
                "listen": {"front": "10.1.0.41:1", "ready": "10.1.0.41:2",
                           "control": "10.1.0.41:3"},
                "port_range": [7740, 7755], "platform": {"address": "10.2.0.1:4"},
                "limits": {)" +
            limits + "}}");
    }

    static std::string metrics(entry_fixture& it, const entry_settings& host)
    {
        return it.send(host.metrics_endpoint, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
            .body;
    }

    static bool
    shows(entry_fixture& it, const entry_settings& host, const std::string& line)
    {
        return absl::StrContains(metrics(it, host), line);
    }

    static std::string budget_line(std::size_t memory_mb)
    {
        return "medlar_memory_limit_bytes " + std::to_string(budget_bytes_of(memory_mb)) +
               "\n";
    }

  public:
    void are_read_from_its_settings()
    {
        const auto given =
            read(R"("memory_mb": 60, "max_fds": 600, "min_read_bytes_per_s": 9000)");
        CPPUNIT_ASSERT_MESSAGE(given.status().ToString(), given.ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{60}, given->memory_mb);
        CPPUNIT_ASSERT_EQUAL(std::size_t{600}, given->max_descriptors);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9000}, given->least_read_rate);
        for (const char* each :
             {"", R"("memory_mb": null, "max_fds": null, "min_read_bytes_per_s": null)"})
        {
            const auto missing = read(each);
            CPPUNIT_ASSERT(missing.ok());
            CPPUNIT_ASSERT_EQUAL(std::size_t{120}, missing->memory_mb);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, missing->max_descriptors);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{4096}, missing->least_read_rate);
        }
        // values that are no use are cut
        CPPUNIT_ASSERT_EQUAL(budget_bytes_of(16), budget_bytes_of(0));
        CPPUNIT_ASSERT(budget_bytes_of(SIZE_MAX) > budget_bytes_of(65536));
    }

    void are_rejected_by_name_if_they_are_invalid()
    {
        for (const std::string name : {"memory_mb", "max_fds", "min_read_bytes_per_s"})
        {
            for (const char* value : {"-1", "1e30", "\"60\"", "true", "[60]"})
            {
                const auto odd = read("\"" + name + "\": " + value);
                const std::string why(odd.status().message());
                CPPUNIT_ASSERT_MESSAGE(name + " " + value, !odd.ok());
                CPPUNIT_ASSERT_MESSAGE(why, absl::StrContains(why, "limits: " + name));
            }
        }
    }

    void set_its_budget_at_the_start_and_at_a_reload()
    {
        entry_fixture_of_one it;
        it.settings_.memory_mb = 60;
        const auto host = it.start(it.settings_);
        CPPUNIT_ASSERT(shows(it, it.settings_, budget_line(60)));
        host->settings.memory_mb = 0;
        host->host->reload();
        CPPUNIT_ASSERT(shows(it, it.settings_, budget_line(16)));
    }

    void set_its_connections_at_the_start_and_at_a_reload()
    {
        entry_fixture_of_one it;
        // half of what is left by 50 reserved ones
        it.settings_.max_descriptors = 100;
        const auto host = it.start(it.settings_);
        const std::string evicted = "medlar_connections_ended_total{why=\"evicted\"} ";
        std::vector<std::unique_ptr<raw_client>> clients;
        const auto open = [&](std::size_t count)
        {
            for (std::size_t i = 0; i < count; ++i)
            {
                clients.push_back(std::make_unique<raw_client>(
                    it.loop, it.settings_.caller_endpoint, "G"));
                it.run_for(millis(5));
            }
            it.run_for(millis(250));
        };
        open(20);
        CPPUNIT_ASSERT(!shows(it, it.settings_, evicted));
        open(10);
        CPPUNIT_ASSERT(shows(it, it.settings_, evicted));
        clients.clear();
        it.run_for(millis(250));
        const std::string before = metrics(it, it.settings_);
        host->settings.max_descriptors = 400;
        host->host->reload();
        open(40);
        const std::string now = metrics(it, it.settings_);
        const auto line_of = [&](const std::string& page)
        {
            const std::size_t at = page.find(evicted);
            return page.substr(at, page.find('\n', at) - at);
        };
        CPPUNIT_ASSERT_EQUAL(line_of(before), line_of(now));
    }

  private:
    class entry_fixture_of_one : public entry_fixture
    {
      public:
        entry_settings settings_ = settings("host-1");
    };
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_request_ended_for_memory);
CPPUNIT_TEST_SUITE_REGISTRATION(the_limits_of_a_host);

} // namespace
