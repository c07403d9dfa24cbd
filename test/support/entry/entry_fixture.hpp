#ifndef MEDLAR_TEST_SUPPORT_ENTRY_ENTRY_FIXTURE_HPP
#define MEDLAR_TEST_SUPPORT_ENTRY_ENTRY_FIXTURE_HPP

#include "platform/adapter.hpp"
#include "platform/names.hpp"
#include "support/entry/stand_in_store.hpp"
#include "support/free_endpoint.hpp"

#include <medlar/detail/entry/entry_host.hpp>
#include <medlar/detail/http/status.hpp>

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace medlar::test
{

/// @brief A request for the report of a target, and the report of one that is as its
/// entry says, for targets that send given bytes.
inline constexpr char report_request_begin[] = "GET /-/report ";
inline constexpr char report_answer[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"born\":5}";

/// @brief A target whose answers are given by the test. It refuses what is sent to
/// another target by its id.
class stand_in_target
{
  public:
    using behaviour = std::function<void(const std::shared_ptr<caller_exchange>&)>;

    stand_in_target(event_loop& loop, std::string id, std::string pool, behaviour handler)
        : loop_(loop),
          id_(std::move(id)),
          pool_(std::move(pool)),
          handler_(std::move(handler)),
          where_(free_endpoint())
    {
        listen();
    }

    const std::string& id() const
    {
        return id_;
    }

    std::string key() const
    {
        return "servers/" + id_;
    }

    std::string entry(const std::string& state = "ready", int sequence = 1) const
    {
        return nlohmann::json({{"service", pool_},
                               {"address", to_string(where_)},
                               {"zone", domain},
                               {"version", version},
                               {"slots", 6},
                               {"state", state},
                               {"cold_ms", 0},
                               {"sequence", sequence},
                               {"born", started_ms}})
            .dump();
    }

    const endpoint& where() const
    {
        return where_;
    }

    /// Ends its connections, and starts again at its address as the target @p id.
    void restart_as(std::string id)
    {
        id_ = std::move(id);
        server_.reset();
        listen();
    }

    /// Ends its connections; nothing listens at its address until it starts again.
    void stop()
    {
        server_.reset();
    }

    /// Ends its connections, and starts again under its id.
    void restart(std::int64_t when_started_ms)
    {
        started_ms = when_started_ms;
        restart_as(id_);
    }

    /// start time of its process, as its reports state it
    std::int64_t started_ms = 5;
    /// version of its software, as its entry states it
    nlohmann::json version = "v1";
    /// failure domain that its entry states
    std::string domain = "a";
    /// the heads and bodies of the requests received
    std::vector<request_head> requests;
    std::vector<std::string> bodies;
    /// requests that named another target
    int misdirected = 0;
    /// how often it was asked for a report
    int reports = 0;
    /// answers in place of its report; may be empty
    behaviour report_handler;

  private:
    void listen()
    {
        auto server =
            http_server::listen(loop_,
                                where_,
                                limits_,
                                [this](std::shared_ptr<caller_exchange> exchange)
                                {
                                    serve(exchange);
                                });
        CPPUNIT_ASSERT_MESSAGE(server.status().ToString(), server.ok());
        server_ = *std::move(server);
    }

    void serve(const std::shared_ptr<caller_exchange>& exchange)
    {
        if (exchange->head().path() == platform::report_path)
        {
            ++reports;
            report(exchange);
            return;
        }
        if (refuse_other_target(*exchange))
        {
            return;
        }
        requests.push_back(exchange->head());
        bodies.push_back(exchange->body());
        handler_(exchange);
    }

    void report(const std::shared_ptr<caller_exchange>& exchange)
    {
        if (report_handler)
        {
            report_handler(exchange);
            return;
        }
        const nlohmann::json said{{"busy", false}, {"sequence", 1}, {"born", started_ms}};
        exchange->answer(status_ok, {}, said.dump());
    }

    bool refuse_other_target(caller_exchange& exchange)
    {
        const header_list& asked = exchange.head().headers;
        const bool is_meant = asked.find("Expect-Instance") == nullptr ||
                              asked.get("Expect-Instance") == id_;
        if (!is_meant)
        {
            ++misdirected;
            header_list headers;
            headers.add("Attempt-Id", std::string(asked.get("Attempt-Id")));
            headers.add("Not-Executed", "1");
            exchange.answer(status_misdirected, headers, "");
        }
        return !is_meant;
    }

    event_loop& loop_;
    std::string id_;
    std::string pool_;
    behaviour handler_;
    endpoint where_;
    server_limits limits_;
    std::unique_ptr<http_server> server_;
};

/// @brief The answer that a caller received.
struct received_answer
{
    int status = 0;
    header_list headers;
    std::string body;
    bool ended = false;
    call_end end = call_end::not_sent;
};

/// @brief Entry hosts, each with its own loop, and a stand-in store on a shared loop.
class entry_fixture
{
  public:
    entry_fixture() : store_endpoint_(free_endpoint()), store(loop, store_endpoint_)
    {
    }

    entry_settings settings(const std::string& name)
    {
        entry_settings result;
        result.host = host_id(name);
        result.domain = failure_domain_id("a");
        result.caller_endpoint = free_endpoint();
        result.readiness_endpoint = free_endpoint();
        result.metrics_endpoint = free_endpoint();
        result.link_endpoint = free_endpoint();
        result.forward_endpoint = free_endpoint();
        result.store_endpoint = store_endpoint_;
        result.store_value_bytes = store.max_value_bytes;
        result.retry_rule = {0.2, 50, millis(10000)};
        result.shutdown_grace = shutdown_grace;
        result.evacuate_bound = evacuate_bound;
        return result;
    }

    /// a host with its own loop, so that it can be destroyed with all pending work
    struct running_host
    {
        explicit running_host(const medlar::clock& time) : loop(time)
        {
        }

        event_loop loop;
        /// what the host gets when it reads its settings again
        entry_settings settings;
        std::unique_ptr<entry_host> host;
    };

    std::shared_ptr<running_host> start(const entry_settings& host_settings)
    {
        auto running = std::make_shared<running_host>(time);
        running->settings = host_settings;
        auto host = entry_host::create(
            running->loop,
            protocol_of(host_settings.host),
            host_settings,
            [&read = running->settings]() -> absl::StatusOr<entry_settings>
            {
                return read;
            });
        CPPUNIT_ASSERT_MESSAGE(host.status().ToString(), host.ok());
        running->host = *std::move(host);
        running_.push_back(running);
        return running;
    }

    /// destroys a host without draining it, as if its process was killed
    void kill(const std::shared_ptr<running_host>& victim)
    {
        victim->host.reset();
        running_.erase(std::find(running_.begin(), running_.end(), victim));
    }

    /// stops running a host, as if its process was stopped: its connections stay open
    void freeze(const std::shared_ptr<running_host>& frozen)
    {
        running_.erase(std::find(running_.begin(), running_.end(), frozen));
        frozen_.push_back(frozen);
    }

    /// runs a stopped host again
    void thaw(const std::shared_ptr<running_host>& frozen)
    {
        frozen_.erase(std::find(frozen_.begin(), frozen_.end(), frozen));
        running_.push_back(frozen);
    }

    void run_once()
    {
        for (const std::shared_ptr<running_host>& each : running_)
        {
            each->loop.run_once(millis(0));
        }
        loop.run_once(millis(1));
    }

    /// runs all loops until @p condition holds, for at most ten seconds
    bool until(const std::function<bool()>& condition)
    {
        const steady_time end = time.steady_now() + millis(10000);
        while (!condition() && time.steady_now() < end)
        {
            run_once();
        }
        return condition();
    }

    void run_for(millis span)
    {
        const steady_time end = time.steady_now() + span;
        while (time.steady_now() < end)
        {
            run_once();
        }
    }

    bool is_ready(const entry_settings& host)
    {
        const received_answer answer =
            send(host.readiness_endpoint, "GET /-/readiness HTTP/1.1\r\nHost: h\r\n\r\n");
        return answer.status == 200;
    }

    /// sends a request and returns without waiting for the answer
    std::shared_ptr<received_answer> begin(const endpoint& to,
                                           const std::string& request,
                                           std::shared_ptr<client_call>* call = nullptr)
    {
        auto got = std::make_shared<received_answer>();
        call_callbacks events;
        events.on_head = [got](const answer_head& head)
        {
            got->status = head.status;
            got->headers = head.headers;
        };
        events.on_data = [got](absl::string_view data)
        {
            got->body.append(data.data(), data.size());
        };
        events.on_end = [got](call_end how)
        {
            got->ended = true;
            got->end = how;
        };
        const auto started = client.start(to, request, {}, events);
        if (call != nullptr)
        {
            *call = started;
        }
        return got;
    }

    received_answer send(const endpoint& to, const std::string& request)
    {
        const std::shared_ptr<received_answer> got = begin(to, request);
        CPPUNIT_ASSERT(until(
            [&]
            {
                return got->ended;
            }));
        return *got;
    }

    medlar::clock time = medlar::clock::system();
    event_loop loop{time};
    /// grace period of the hosts that are started from now on
    millis shutdown_grace{8000};
    /// bound on evacuations of the hosts that are started from now on
    std::optional<millis> evacuate_bound;
    platform::adapter protocol;
    http_client client{loop, 65536};

  protected:
    ~entry_fixture() = default;

    /// the protocol of a host
    virtual const entry_protocol& protocol_of(const host_id& /*host*/)
    {
        return protocol;
    }

  private:
    std::vector<std::shared_ptr<running_host>> running_;
    std::vector<std::shared_ptr<running_host>> frozen_;
    endpoint store_endpoint_;

  public:
    stand_in_store store;
};

/// @brief Returns the JSON of a route with default values for the tests.
inline nlohmann::json
route_json(const std::string& prefix, const std::string& kind, const std::string& pool)
{
    return {{"name", "r" + prefix},
            {"host", "h.example"},
            {"prefix", prefix},
            {"kind", kind},
            {"timeout_ms", 2000},
            {"target_latency_ms", 500},
            {"priority", 1},
            {"service", pool},
            {"max_attempts", 2},
            {"public", false},
            {"sticky", kind == "stream"},
            {"resumable", kind == "stream"},
            {"stages", nlohmann::json::array()}};
}

inline std::string configuration_json(int version,
                                      const std::vector<nlohmann::json>& routes)
{
    const nlohmann::json pieces{{"slots", 1},
                                {"queue", 2},
                                {"batch", 8},
                                {"call_ms", 5},
                                {"item_ms", 1},
                                {"headroom_mb", 36},
                                {"handle_s", 4}};
    const nlohmann::json services = nlohmann::json::array(
        {{{"name", "plain"}, {"health_path", "/health"}, {"max_conns", 100}},
         {{"name", "stage"},
          {"health_path", "/health"},
          {"max_conns", 100},
          {"pieces", pieces}}});
    return nlohmann::json({{"version", version},
                           {"routes", routes},
                           {"services", services},
                           {"tenants", {{{"name", "org-1"}, {"api_keys", {"key-1"}}}}},
                           {"limits",
                            {{"max_header_bytes", 8192},
                             {"max_body_bytes", 100000},
                             {"header_timeout_ms", 2000},
                             {"idle_timeout_ms", 20000}}}})
        .dump();
}

inline std::string request_text(const std::string& method,
                                const std::string& path,
                                const std::string& attempt,
                                const std::string& body = {},
                                const std::string& headers = {})
{
    return method + " " + path +
           " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + attempt +
           "\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\n" + headers +
           (body.empty() ? ""
                         : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
           "\r\n" + body;
}

/// @brief Returns the headers of a valid answer of a target.
inline header_list signed_headers(const caller_exchange& exchange)
{
    header_list headers;
    headers.add("Attempt-Id", std::string(exchange.head().headers.get("Attempt-Id")));
    headers.add("Response-Signature", "s.1");
    return headers;
}

} // namespace medlar::test

#endif // MEDLAR_TEST_SUPPORT_ENTRY_ENTRY_FIXTURE_HPP
