#include "runtime/gateway/gateway_fixture.hpp"

#include <medlar/detail/http/body_decoder.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace
{

using namespace medlar;
using namespace medlar::gateway_testing;
using nlohmann::json;

class a_gateway : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_gateway);
    CPPUNIT_TEST(answers_with_the_outputs_of_all_stages);
    CPPUNIT_TEST(streams_tokens_and_ends_with_the_answer);
    CPPUNIT_TEST(retries_at_another_target_when_one_refuses);
    CPPUNIT_TEST(sends_no_new_work_to_a_leaving_target);
    CPPUNIT_TEST(resumes_a_broken_stream_at_another_engine);
    CPPUNIT_TEST(ends_a_request_at_its_deadline_and_cancels_its_call);
    CPPUNIT_TEST(cancels_a_request_whose_caller_disconnects);
    CPPUNIT_TEST(refuses_bad_input_and_keeps_serving);
    CPPUNIT_TEST(serves_no_request_whose_head_was_cut);
    CPPUNIT_TEST(runs_no_request_whose_last_chunk_is_missing);
    CPPUNIT_TEST(runs_no_request_whose_body_ends_with_its_connection);
    CPPUNIT_TEST(says_nothing_of_a_request_whose_body_it_has_no_room_for);
    CPPUNIT_TEST(fails_readiness_when_it_drains);
    CPPUNIT_TEST_SUITE_END();

    targets targets_;
    running_gateway gateway_{targets_.configuration()};

    static json idempotent(const std::string& id)
    {
        json body = make_body(id);
        body["idempotent"] = true;
        return body;
    }

    void answers_with_the_outputs_of_all_stages()
    {
        const reply got = gateway_.submit("draft", idempotent("1"));
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        const json answer = got.json();
        CPPUNIT_ASSERT(answer["outcome"] == "answered");
        CPPUNIT_ASSERT(answer["output"]["encode"]["call_id"] == "org/1/encode");
        CPPUNIT_ASSERT(answer["output"]["generate"]["text"] == text_of("1", 8));
        CPPUNIT_ASSERT(answer["trace"].size() == 2);
    }

    void streams_tokens_and_ends_with_the_answer()
    {
        json body = idempotent("1");
        body["stream"] = true;
        const reply got = gateway_.submit("draft", body);
        std::string text;
        std::size_t start = 0;
        for (int i = 0; i < 8; ++i)
        {
            const std::size_t end = got.text.find('\n', start);
            const json token = json::parse(got.text.substr(start, end - start));
            CPPUNIT_ASSERT(token["index"] == i);
            text += token["token"].get<std::string>();
            start = end + 1;
        }
        CPPUNIT_ASSERT_EQUAL(text_of("1", 8), text);
        CPPUNIT_ASSERT(got.json()["outcome"] == "answered");
    }

    void retries_at_another_target_when_one_refuses()
    {
        standins::switches busy;
        busy.refuse = true;
        targets_.plain_a.board().set(busy);
        const reply got = gateway_.submit("post", make_body("1"));
        CPPUNIT_ASSERT(got.json()["outcome"] == "answered");
        CPPUNIT_ASSERT_EQUAL(1, targets_.executions("org/1/post"));
    }

    void sends_no_new_work_to_a_leaving_target()
    {
        standins::switches leaving_target;
        leaving_target.leaving = true;
        targets_.plain_a.board().set(leaving_target);
        for (const char* id : {"1", "2"})
        {
            CPPUNIT_ASSERT_EQUAL(200, gateway_.submit("post", make_body(id)).status);
        }
        targets_.plain_a.board().set({});
        for (const char* id : {"3", "4", "5", "6"})
        {
            CPPUNIT_ASSERT_EQUAL(200, gateway_.submit("post", make_body(id)).status);
        }
        CPPUNIT_ASSERT(targets_.plain_a.state().executions().empty());
    }

    void resumes_a_broken_stream_at_another_engine()
    {
        standins::switches cut;
        cut.truncate = true;
        cut.calls = 1;
        targets_.set_all_engines(cut);
        const reply got = gateway_.submit("draft", idempotent("1"));
        CPPUNIT_ASSERT(got.json()["output"]["generate"]["text"] == text_of("1", 8));
        CPPUNIT_ASSERT(targets_.executions("org/1/generate") > 1);
    }

    void ends_a_request_at_its_deadline_and_cancels_its_call()
    {
        standins::switches slow;
        slow.straggle = 1e6;
        targets_.set_all_engines(slow);
        json body = idempotent("1");
        body["deadline_ms"] = 200;
        const reply got = gateway_.submit("draft", body);
        CPPUNIT_ASSERT_EQUAL(504, got.status);
        CPPUNIT_ASSERT(got.json()["reason"] == "deadline_passed");
        wait_until(
            [this]
            {
                return targets_.engines_running() == 0;
            });
    }

    void cancels_a_request_whose_caller_disconnects()
    {
        standins::switches slow;
        slow.straggle = 1e6;
        targets_.set_all_engines(slow);
        Poco::Net::StreamSocket caller(
            Poco::Net::SocketAddress(gateway_.where().address, gateway_.where().port));
        const std::string body = idempotent("1").dump();
        const std::string message = "POST /v1/pipelines/draft/requests HTTP/1.1\r\n"
                                    "Host: h\r\nContent-Length: " +
                                    std::to_string(body.size()) + "\r\n\r\n" + body;
        caller.sendBytes(message.data(), static_cast<int>(message.size()));
        wait_until(
            [this]
            {
                return targets_.engines_running() == 1;
            });
        caller.close();
        wait_until(
            [this]
            {
                return targets_.engines_running() == 0 &&
                       gateway_.instance().callers_held() == 0;
            });
    }

    /// @brief Sends bytes and, if @p ends, the end of the caller's stream.
    /// @return all that the gateway sent until it closed the connection
    std::string answer_to(const std::string& bytes, bool ends = true)
    {
        Poco::Net::StreamSocket caller(
            Poco::Net::SocketAddress(gateway_.where().address, gateway_.where().port));
        caller.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        if (ends)
        {
            caller.shutdownSend();
        }
        std::string text;
        std::array<char, 4096> part{};
        for (int size = 1; size > 0;)
        {
            size = caller.receiveBytes(part.data(), part.size());
            text.append(part.data(), static_cast<std::size_t>(size));
        }
        return text;
    }

    static std::string chunked_request(const std::string& id)
    {
        std::string text = "POST /v1/pipelines/post/requests HTTP/1.1\r\nHost: h\r\n"
                           "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
        append_chunk(text, idempotent(id).dump());
        return text + std::string(last_chunk);
    }

    void serves_no_request_whose_head_was_cut()
    {
        const std::string page = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";
        for (const std::string& request : {chunked_request("1"), page})
        {
            const std::size_t end = request.find("\r\n\r\n") + 4;
            for (std::size_t size = request.find("\r\n"); size < end; ++size)
            {
                const std::string answer = answer_to(request.substr(0, size));
                CPPUNIT_ASSERT_MESSAGE(answer, answer.find(" 200 ") == std::string::npos);
            }
        }
        CPPUNIT_ASSERT_EQUAL(0, targets_.executions("org/1/post"));
    }

    void runs_no_request_whose_last_chunk_is_missing()
    {
        const std::string request = chunked_request("1");
        for (std::size_t size = request.size() - last_chunk.size() - 2;
             size < request.size();
             ++size)
        {
            const std::string answer = answer_to(request.substr(0, size));
            CPPUNIT_ASSERT_MESSAGE(answer, answer.find(" 400 ") != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(0, targets_.executions("org/1/post"));
        CPPUNIT_ASSERT(answer_to(request, false).find(" 200 ") != std::string::npos);
    }

    void runs_no_request_whose_body_ends_with_its_connection()
    {
        const std::string answer =
            answer_to("POST /v1/pipelines/post/requests HTTP/1.1\r\nHost: h\r\n\r\n" +
                      idempotent("1").dump());
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find(" 400 ") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, targets_.executions("org/1/post"));
    }

    void says_nothing_of_a_request_whose_body_it_has_no_room_for()
    {
        caller_server_settings settings;
        settings.max_bodies = byte_count(16384);
        const auto server = caller_server::create(settings, gateway_.instance());
        CPPUNIT_ASSERT(server.ok());
        const std::string path = "/v1/pipelines/post/requests";
        nlohmann::json large = make_body("1");
        large["input"] = std::string(50000, 'x');
        // its id was not read: an earlier message of it may have run
        CPPUNIT_ASSERT_THROW(send((*server)->where(), path, large.dump()),
                             Poco::Exception);
        const reply small = send((*server)->where(), path, make_body("2").dump());
        CPPUNIT_ASSERT_EQUAL(200, small.status);
        CPPUNIT_ASSERT_EQUAL(0, targets_.executions("org/1/post"));
    }

    void refuses_bad_input_and_keeps_serving()
    {
        const std::string path = "/v1/pipelines/draft/requests";
        const endpoint at = gateway_.where();
        const auto refused_as = [&](const std::string& body, int status, int number)
        {
            const reply got = send(at, path, body);
            CPPUNIT_ASSERT_EQUAL(status, got.status);
            CPPUNIT_ASSERT(got.json()["outcome"] == "not_run");
            CPPUNIT_ASSERT(got.json()["reason_number"] == number);
        };
        refused_as("not json", 400, 101);
        refused_as(std::string(50000, '['), 400, 101);
        refused_as("{\"id\":\"\xff\"}", 400, 103);
        refused_as(std::string(200000, ' '), 413, 102);
        json body = idempotent("1");
        body["deadline_ms"] = -5;
        refused_as(body.dump(), 400, 106);
        body["deadline_ms"] = 70000;
        refused_as(body.dump(), 400, 106);
        body = idempotent("1");
        body["organisation"] = "nobody";
        refused_as(body.dump(), 403, 105);
        CPPUNIT_ASSERT_EQUAL(404, gateway_.submit("no", idempotent("1")).status);
        CPPUNIT_ASSERT_EQUAL(404, send(at, "/v1/requests/org/none", "").status);
        CPPUNIT_ASSERT_EQUAL(404, send(at, "/nothing", "").status);
        CPPUNIT_ASSERT_EQUAL(200, gateway_.submit("draft", idempotent("1")).status);
    }

    void fails_readiness_when_it_drains()
    {
        CPPUNIT_ASSERT_EQUAL(200, send(gateway_.where(), "/readyz", "").status);
        gateway_.instance().begin_drain();
        CPPUNIT_ASSERT_EQUAL(503, send(gateway_.where(), "/readyz", "").status);
        CPPUNIT_ASSERT_EQUAL(200, gateway_.submit("draft", idempotent("1")).status);
    }
};

class a_non_idempotent_request : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_non_idempotent_request);
    CPPUNIT_TEST(runs_once_however_often_it_is_sent);
    CPPUNIT_TEST(is_joined_while_it_runs);
    CPPUNIT_TEST(stays_unknown_when_its_reply_was_lost);
    CPPUNIT_TEST(stays_failed_when_its_call_failed);
    CPPUNIT_TEST(may_run_again_when_no_call_ran);
    CPPUNIT_TEST(is_refused_when_its_id_was_used_for_another_request);
    CPPUNIT_TEST(can_be_looked_up);
    CPPUNIT_TEST_SUITE_END();

    targets targets_;
    running_gateway gateway_{targets_.configuration()};
    const json body_ = make_body("1");

    void runs_once_however_often_it_is_sent()
    {
        const reply first = gateway_.submit("post", body_);
        const reply second = gateway_.submit("post", body_);
        CPPUNIT_ASSERT_EQUAL(200, first.status);
        CPPUNIT_ASSERT_EQUAL(first.text, second.text);
        CPPUNIT_ASSERT_EQUAL(1, targets_.executions("org/1/post"));
    }

    void is_joined_while_it_runs()
    {
        standins::switches paused;
        paused.pause = true;
        targets_.set_all_plain(paused);
        reply first;
        reply second;
        std::thread one(
            [&]
            {
                first = gateway_.submit("post", body_);
            });
        std::thread two(
            [&]
            {
                second = gateway_.submit("post", body_);
            });
        wait_until(
            [this]
            {
                return gateway_.instance().callers_held() == 2;
            });
        targets_.set_all_plain({});
        one.join();
        two.join();
        CPPUNIT_ASSERT_EQUAL(200, first.status);
        CPPUNIT_ASSERT(first.json()["output"] == second.json()["output"]);
        CPPUNIT_ASSERT_EQUAL(1, targets_.executions("org/1/post"));
    }

    /// @brief Sends the request once with a fault at the target of the non-idempotent
    /// call and twice without. Checks that the outcome stays and the call ran once.
    void assert_outcome_stays(const std::string& outcome, const standins::switches& fault)
    {
        accepted_document configuration = targets_.configuration();
        pool& separate_pool = configuration.content.pools.emplace_back();
        separate_pool.name = pool_id("apart");
        separate_pool.targets = {configuration.content.pools[1].targets[1]};
        configuration.content.pools[1].targets.pop_back();
        configuration.content.pipelines[1].stages[1].pool = separate_pool.name;
        const running_gateway isolated(configuration);
        targets_.plain_b.board().set(fault);
        for (int i = 0; i < 3; ++i)
        {
            CPPUNIT_ASSERT(isolated.submit("post", body_).json()["outcome"] == outcome);
            targets_.plain_b.board().set({});
        }
        CPPUNIT_ASSERT_EQUAL(1, targets_.executions("org/1/post"));
    }

    void stays_unknown_when_its_reply_was_lost()
    {
        standins::switches losing;
        losing.drop_after = true;
        assert_outcome_stays("unknown", losing);
    }

    void stays_failed_when_its_call_failed()
    {
        standins::switches failing;
        failing.fail = 500;
        assert_outcome_stays("failed", failing);
    }

    void may_run_again_when_no_call_ran()
    {
        standins::switches busy;
        busy.refuse = true;
        targets_.set_all_plain(busy);
        const reply got = gateway_.submit("post", body_);
        CPPUNIT_ASSERT_EQUAL(502, got.status);
        CPPUNIT_ASSERT(got.json()["outcome"] == "not_run");
        CPPUNIT_ASSERT(got.json()["retry_after_ms"] >= 0);
        targets_.set_all_plain({});
        CPPUNIT_ASSERT_EQUAL(200, gateway_.submit("post", body_).status);
    }

    void is_refused_when_its_id_was_used_for_another_request()
    {
        CPPUNIT_ASSERT_EQUAL(200, gateway_.submit("post", body_).status);
        json other = body_;
        other["input"] = "another";
        const reply got = gateway_.submit("post", other);
        CPPUNIT_ASSERT_EQUAL(409, got.status);
        CPPUNIT_ASSERT(got.json()["reason"] == "id_reused");
    }

    void can_be_looked_up()
    {
        gateway_.submit("post", body_);
        const reply got = send(gateway_.where(), "/v1/requests/org/1", "");
        CPPUNIT_ASSERT(got.json()["state"] == "finished");
        CPPUNIT_ASSERT(got.json()["answer"]["outcome"] == "answered");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_gateway);
CPPUNIT_TEST_SUITE_REGISTRATION(a_non_idempotent_request);

} // namespace
