#include <medlar/detail/base/error.hpp>
#include <medlar/detail/link/link.hpp>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

namespace
{

using medlar::endpoint;
using medlar::link_call;
using medlar::link_client;
using medlar::link_reply;
using medlar::link_request;
using medlar::link_responder;
using medlar::link_server;
using medlar::millis;

const endpoint any_port{"127.0.0.1", 0};
constexpr millis long_timeout{20000};

void wait_until(const std::function<bool()>& condition)
{
    while (!condition())
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
}

int echo(const link_request& request, link_responder& responder)
{
    responder.send(request.body);
    return 200;
}

std::unique_ptr<link_server> serve(medlar::link_handler handler, int max_streams = 64)
{
    auto created = link_server::create(any_port, std::move(handler), max_streams);
    CPPUNIT_ASSERT(created.ok());
    return std::move(*created);
}

link_call call_to(const endpoint& peer, std::string body)
{
    link_call outgoing;
    outgoing.to = peer;
    outgoing.path = "/v1/test";
    outgoing.body = std::move(body);
    outgoing.timeout = long_timeout;
    return outgoing;
}

int error_of(const absl::StatusOr<link_reply>& reply)
{
    return medlar::error_number_of(reply.status());
}

/// opens a listening socket whose peer behaviour the test implements itself
Poco::Net::ServerSocket open_raw_listener()
{
    return Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0));
}

endpoint where(const Poco::Net::ServerSocket& listening)
{
    return {"127.0.0.1", listening.address().port()};
}

class a_call_over_a_link : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_call_over_a_link);
    CPPUNIT_TEST(returns_status_and_body);
    CPPUNIT_TEST(carries_a_body_of_megabytes_both_ways);
    CPPUNIT_TEST(runs_concurrently_with_many_others);
    CPPUNIT_TEST(delivers_each_part_on_arrival);
    CPPUNIT_TEST(of_a_body_over_the_bound_is_not_sent);
    CPPUNIT_TEST(beyond_the_bound_of_streams_is_refused_with_503);
    CPPUNIT_TEST(on_another_path_is_served_while_one_path_is_full);
    CPPUNIT_TEST(whose_handler_throws_gets_status_500);
    CPPUNIT_TEST_SUITE_END();

    void returns_status_and_body()
    {
        const auto server = serve(
            [](const link_request& request, link_responder& responder)
            {
                responder.send(request.path + "|" + request.body);
                return 200;
            });
        const auto client = link_client::create();
        const auto reply = client->call(call_to(server->where(), "hello"));
        CPPUNIT_ASSERT(reply.ok());
        CPPUNIT_ASSERT_EQUAL(200, reply->status);
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/test|hello"), reply->body);
        CPPUNIT_ASSERT(client->traffic().get() > 20);
    }

    void carries_a_body_of_megabytes_both_ways()
    {
        const auto server = serve(echo);
        const auto client = link_client::create();
        const std::string body(6UL * 1024 * 1024, 'x');
        const auto reply = client->call(call_to(server->where(), body));
        CPPUNIT_ASSERT(reply.ok());
        CPPUNIT_ASSERT(reply->body == body);
    }

    void runs_concurrently_with_many_others()
    {
        constexpr int callers = 32;
        constexpr int calls_each = 20;
        const auto server = serve(echo);
        const auto client = link_client::create();
        std::atomic<int> successes{0};
        std::vector<std::thread> threads;
        for (int caller = 0; caller < callers; caller++)
        {
            threads.emplace_back(
                [&, caller]
                {
                    for (int i = 0; i < calls_each; i++)
                    {
                        const std::string body =
                            std::to_string(caller) + "/" + std::to_string(i);
                        const auto reply = client->call(call_to(server->where(), body));
                        successes += reply.ok() && reply->body == body ? 1 : 0;
                    }
                });
        }
        for (std::thread& each : threads)
        {
            each.join();
        }
        CPPUNIT_ASSERT_EQUAL(callers * calls_each, successes.load());
    }

    void delivers_each_part_on_arrival()
    {
        std::atomic<int> received_parts{0};
        const auto server = serve(
            [&received_parts](const link_request&, link_responder& responder)
            {
                for (int i = 0; i < 3; i++)
                {
                    responder.send(std::to_string(i));
                    wait_until(
                        [&received_parts, i]
                        {
                            return received_parts.load() > i;
                        });
                }
                return 200;
            });
        const auto client = link_client::create();
        link_call outgoing = call_to(server->where(), "");
        std::string seen;
        outgoing.on_part = [&](absl::string_view part)
        {
            seen += std::string(part);
            received_parts++;
            return true;
        };
        const auto reply = client->call(outgoing);
        CPPUNIT_ASSERT(reply.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("012"), seen);
        CPPUNIT_ASSERT_EQUAL(std::string(), reply->body);
    }

    void of_a_body_over_the_bound_is_not_sent()
    {
        const auto server = serve(echo);
        const auto client = link_client::create();
        const std::string too_large(8UL * 1024 * 1024 + 1, 'x');
        const auto reply = client->call(call_to(server->where(), too_large));
        CPPUNIT_ASSERT_EQUAL(801, error_of(reply));
        CPPUNIT_ASSERT(client->call(call_to(server->where(), "x")).ok());
    }

    void beyond_the_bound_of_streams_is_refused_with_503()
    {
        std::atomic<bool> release{false};
        std::atomic<int> running{0};
        const auto server = serve(
            [&](const link_request&, link_responder&)
            {
                running++;
                wait_until(
                    [&release]
                    {
                        return release.load();
                    });
                return 200;
            },
            2);
        const auto client = link_client::create();
        std::vector<std::thread> threads;
        for (int i = 0; i < 2; i++)
        {
            threads.emplace_back(
                [&]
                {
                    client->call(call_to(server->where(), "")).IgnoreError();
                });
        }
        wait_until(
            [&running]
            {
                return running.load() == 2;
            });
        const auto reply = client->call(call_to(server->where(), ""));
        release = true;
        for (std::thread& each : threads)
        {
            each.join();
        }
        CPPUNIT_ASSERT(reply.ok());
        CPPUNIT_ASSERT_EQUAL(503, reply->status);
    }

    void on_another_path_is_served_while_one_path_is_full()
    {
        std::atomic<bool> release{false};
        std::atomic<int> running{0};
        const auto server = serve(
            [&](const link_request& request, link_responder&)
            {
                running++;
                wait_until(
                    [&]
                    {
                        return release.load() || request.path == "/v1/other";
                    });
                return 200;
            },
            1);
        const auto client = link_client::create();
        std::thread long_call(
            [&]
            {
                client->call(call_to(server->where(), "")).IgnoreError();
            });
        wait_until(
            [&running]
            {
                return running.load() == 1;
            });
        link_call other = call_to(server->where(), "");
        other.path = "/v1/other";
        const auto reply = client->call(other);
        release = true;
        long_call.join();
        CPPUNIT_ASSERT(reply.ok());
        CPPUNIT_ASSERT_EQUAL(200, reply->status);
    }

    void whose_handler_throws_gets_status_500()
    {
        const auto server = serve(
            [](const link_request&, link_responder&) -> int
            {
                throw std::runtime_error("a fault");
            });
        const auto client = link_client::create();
        const auto reply = client->call(call_to(server->where(), ""));
        CPPUNIT_ASSERT(reply.ok());
        CPPUNIT_ASSERT_EQUAL(500, reply->status);
    }
};

class a_cancelled_call : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_cancelled_call);
    CPPUNIT_TEST(is_visible_to_its_handler);
    CPPUNIT_TEST(ends_when_a_part_is_declined);
    CPPUNIT_TEST(is_visible_to_a_handler_blocked_by_a_slow_reader);
    CPPUNIT_TEST_SUITE_END();

    std::atomic<bool> cancellation_observed_{false};

    std::unique_ptr<link_server> serve_until_cancelled()
    {
        return serve(
            [this](const link_request&, link_responder& responder)
            {
                responder.send("first");
                wait_until(
                    [&responder]
                    {
                        return responder.cancelled();
                    });
                cancellation_observed_ = !responder.send("more");
                return 200;
            });
    }

    void expect_cancellation_observed()
    {
        wait_until(
            [this]
            {
                return cancellation_observed_.load();
            });
    }

    void is_visible_to_its_handler()
    {
        const auto server = serve_until_cancelled();
        const auto client = link_client::create();
        link_call outgoing = call_to(server->where(), "");
        std::atomic<bool> started{false};
        outgoing.on_part = [&started](absl::string_view)
        {
            started = true;
            return true;
        };
        outgoing.cancelled = [&started]
        {
            return started.load();
        };
        const auto reply = client->call(outgoing);
        CPPUNIT_ASSERT(absl::IsCancelled(reply.status()));
        expect_cancellation_observed();
    }

    void ends_when_a_part_is_declined()
    {
        const auto server = serve_until_cancelled();
        const auto client = link_client::create();
        link_call outgoing = call_to(server->where(), "");
        outgoing.on_part = [](absl::string_view)
        {
            return false;
        };
        CPPUNIT_ASSERT(absl::IsCancelled(client->call(outgoing).status()));
        expect_cancellation_observed();
    }

    void is_visible_to_a_handler_blocked_by_a_slow_reader()
    {
        const auto server = serve(
            [this](const link_request&, link_responder& responder)
            {
                const std::string part(64UL * 1024, 'x');
                while (responder.send(part))
                {
                }
                cancellation_observed_ = true;
                return 200;
            });
        const auto client = link_client::create();
        link_call outgoing = call_to(server->where(), "");
        outgoing.on_part = [](absl::string_view)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            return false;
        };
        CPPUNIT_ASSERT(absl::IsCancelled(client->call(outgoing).status()));
        expect_cancellation_observed();
    }
};

class a_slow_reader : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_slow_reader);
    CPPUNIT_TEST(blocks_its_sender_but_no_other_call);
    CPPUNIT_TEST_SUITE_END();

    void blocks_its_sender_but_no_other_call()
    {
        constexpr int parts = 128;
        constexpr std::size_t part_bytes = 64UL * 1024;
        constexpr std::size_t max_buffered_bytes = 4UL * 1024 * 1024;
        std::atomic<std::size_t> sent{0};
        const auto server = serve(
            [&sent](const link_request& request, link_responder& responder)
            {
                for (int i = 0; request.body == "long" && i < parts; i++)
                {
                    responder.send(std::string(part_bytes, 'x'));
                    sent += part_bytes;
                }
                return 200;
            });
        const auto client = link_client::create();
        link_call outgoing = call_to(server->where(), "long");
        std::size_t seen = 0;
        std::size_t max_buffered = 0;
        outgoing.on_part = [&](absl::string_view part)
        {
            if (seen == 0)
            {
                // other calls succeed while this reader does not read
                for (int i = 0; i < 50; i++)
                {
                    CPPUNIT_ASSERT(client->call(call_to(server->where(), "short")).ok());
                }
            }
            max_buffered =
                std::max(max_buffered, sent.load() - std::min(sent.load(), seen));
            seen += part.size();
            return true;
        };
        CPPUNIT_ASSERT(client->call(outgoing).ok());
        CPPUNIT_ASSERT_EQUAL(parts * part_bytes, seen);
        CPPUNIT_ASSERT(max_buffered < max_buffered_bytes);
    }
};

class a_failing_peer : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_failing_peer);
    CPPUNIT_TEST(that_refuses_the_connection_is_sent_nothing);
    CPPUNIT_TEST(that_never_sends_settings_is_sent_nothing);
    CPPUNIT_TEST(that_is_killed_in_the_middle_of_an_answer_breaks_the_call);
    CPPUNIT_TEST(that_freezes_may_have_read_the_call);
    CPPUNIT_TEST(that_stays_silent_is_noticed_before_the_call_times_out);
    CPPUNIT_TEST(that_freezes_delays_no_call_to_others);
    CPPUNIT_TEST(that_speaks_another_protocol_is_an_error);
    CPPUNIT_TEST(is_called_again_after_its_restart);
    CPPUNIT_TEST_SUITE_END();

    /// sends an empty HTTP/2 SETTINGS frame and then @p rest
    static void send_settings(Poco::Net::StreamSocket& accepted, const std::string& rest)
    {
        const std::string empty_settings("\0\0\0\4\0\0\0\0\0", 9);
        const std::string text = empty_settings + rest;
        accepted.sendBytes(text.data(), static_cast<int>(text.size()));
    }

    void that_refuses_the_connection_is_sent_nothing()
    {
        endpoint unused_address;
        {
            const auto listening = open_raw_listener();
            unused_address = where(listening);
        }
        const auto client = link_client::create();
        CPPUNIT_ASSERT_EQUAL(801, error_of(client->call(call_to(unused_address, "x"))));
        CPPUNIT_ASSERT_EQUAL(801, error_of(client->call(call_to(unused_address, "x"))));
    }

    void that_never_sends_settings_is_sent_nothing()
    {
        const auto listening = open_raw_listener();
        const auto client = link_client::create();
        link_call outgoing = call_to(where(listening), "x");
        outgoing.timeout = millis(100);
        CPPUNIT_ASSERT_EQUAL(801, error_of(client->call(outgoing)));
    }

    void that_is_killed_in_the_middle_of_an_answer_breaks_the_call()
    {
        std::atomic<bool> started{false};
        auto server = serve(
            [&started](const link_request&, link_responder& responder)
            {
                responder.send("first");
                started = true;
                wait_until(
                    [&responder]
                    {
                        return responder.cancelled();
                    });
                return 200;
            });
        const auto client = link_client::create();
        const link_call outgoing = call_to(server->where(), "");
        std::thread killer(
            [&]
            {
                wait_until(
                    [&started]
                    {
                        return started.load();
                    });
                server.reset();
            });
        const auto reply = client->call(outgoing);
        killer.join();
        CPPUNIT_ASSERT_EQUAL(802, error_of(reply));
    }

    void that_freezes_may_have_read_the_call()
    {
        auto listening = open_raw_listener();
        const auto client = link_client::create();
        link_call outgoing = call_to(where(listening), "x");
        outgoing.timeout = millis(1000);
        // outlives both calls, since closing it would end the other one as broken
        Poco::Net::StreamSocket accepted;
        int second_error = 0;
        std::thread peer(
            [&]
            {
                accepted = listening.acceptConnection();
                send_settings(accepted, "");
                second_error = error_of(client->call(outgoing));
            });
        const int first_error = error_of(client->call(outgoing));
        peer.join();
        CPPUNIT_ASSERT_EQUAL(803, first_error);
        CPPUNIT_ASSERT_EQUAL(803, second_error);
    }

    void that_stays_silent_is_noticed_before_the_call_times_out()
    {
        auto listening = open_raw_listener();
        const auto client = link_client::create();
        const link_call outgoing = call_to(where(listening), "x");
        std::thread peer(
            [&listening]
            {
                Poco::Net::StreamSocket accepted = listening.acceptConnection();
                send_settings(accepted, "");
                std::array<char, 4096> buffer{};
                // reads until the client has closed the connection
                while (accepted.receiveBytes(buffer.data(), buffer.size()) > 0)
                {
                }
            });
        CPPUNIT_ASSERT_EQUAL(802, error_of(client->call(outgoing)));
        peer.join();
    }

    void that_freezes_delays_no_call_to_others()
    {
        const auto frozen = open_raw_listener();
        const auto server = serve(echo);
        const auto client = link_client::create();
        std::atomic<bool> waiting{false};
        std::thread stuck(
            [&]
            {
                link_call outgoing = call_to(where(frozen), "x");
                outgoing.cancelled = [&waiting]
                {
                    return !waiting.exchange(true) && false;
                };
                outgoing.timeout = millis(800);
                client->call(outgoing).IgnoreError();
            });
        wait_until(
            [&waiting]
            {
                return waiting.load();
            });
        for (int i = 0; i < 20; i++)
        {
            CPPUNIT_ASSERT(client->call(call_to(server->where(), "y")).ok());
        }
        stuck.join();
    }

    void that_speaks_another_protocol_is_an_error()
    {
        auto listening = open_raw_listener();
        const auto client = link_client::create();
        std::thread peer(
            [&listening]
            {
                Poco::Net::StreamSocket first = listening.acceptConnection();
                const std::string text = "HTTP/1.1 400 Bad Request\r\n\r\n";
                first.sendBytes(text.data(), static_cast<int>(text.size()));
                Poco::Net::StreamSocket second = listening.acceptConnection();
                send_settings(second, text);
            });
        const int before_settings = error_of(client->call(call_to(where(listening), "")));
        const int after_settings = error_of(client->call(call_to(where(listening), "")));
        peer.join();
        CPPUNIT_ASSERT_EQUAL(801, before_settings);
        CPPUNIT_ASSERT(after_settings == 804 || after_settings == 801);
    }

    void is_called_again_after_its_restart()
    {
        auto server = serve(echo);
        const endpoint server_address = server->where();
        const auto client = link_client::create();
        CPPUNIT_ASSERT(client->call(call_to(server_address, "x")).ok());
        server.reset();
        auto restarted = link_server::create(server_address, echo, 8);
        CPPUNIT_ASSERT(restarted.ok());
        wait_until(
            [&]
            {
                return client->call(call_to(server_address, "x")).ok();
            });
    }
};

class a_server_of_links : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_server_of_links);
    CPPUNIT_TEST(closes_a_connection_that_sends_garbage);
    CPPUNIT_TEST(refuses_a_port_in_use);
    CPPUNIT_TEST(cancels_the_calls_of_a_disconnected_client);
    CPPUNIT_TEST_SUITE_END();

    void closes_a_connection_that_sends_garbage()
    {
        const auto server = serve(echo);
        const std::vector<std::string> garbage{
            "GET / HTTP/1.1\r\n\r\n",
            std::string(100000, '\0'),
            std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n") + std::string(5000, '\xff')};
        for (const std::string& text : garbage)
        {
            Poco::Net::StreamSocket socket(
                Poco::Net::SocketAddress("127.0.0.1", server->where().port));
            socket.sendBytes(text.data(), static_cast<int>(text.size()));
            std::array<char, 4096> buffer{};
            try
            {
                while (socket.receiveBytes(buffer.data(), buffer.size()) > 0)
                {
                }
            }
            catch (const Poco::Exception&)
            {
                // reset by the server
            }
        }
        const auto client = link_client::create();
        CPPUNIT_ASSERT(client->call(call_to(server->where(), "x")).ok());
    }

    void refuses_a_port_in_use()
    {
        const auto server = serve(echo);
        const auto second = link_server::create(server->where(), echo, 8);
        CPPUNIT_ASSERT_EQUAL(901, medlar::error_number_of(second.status()));
    }

    void cancels_the_calls_of_a_disconnected_client()
    {
        std::atomic<bool> started{false};
        std::atomic<bool> seen{false};
        const auto server = serve(
            [&](const link_request&, link_responder& responder)
            {
                started = true;
                wait_until(
                    [&responder]
                    {
                        return responder.cancelled();
                    });
                seen = true;
                return 200;
            });
        auto client = link_client::create();
        link_call outgoing = call_to(server->where(), "");
        outgoing.cancelled = [&started]
        {
            return started.load();
        };
        CPPUNIT_ASSERT(absl::IsCancelled(client->call(outgoing).status()));
        client.reset();
        wait_until(
            [&seen]
            {
                return seen.load();
            });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_call_over_a_link);
CPPUNIT_TEST_SUITE_REGISTRATION(a_cancelled_call);
CPPUNIT_TEST_SUITE_REGISTRATION(a_slow_reader);
CPPUNIT_TEST_SUITE_REGISTRATION(a_failing_peer);
CPPUNIT_TEST_SUITE_REGISTRATION(a_server_of_links);

} // namespace
