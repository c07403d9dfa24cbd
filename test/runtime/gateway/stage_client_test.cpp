#include "runtime/gateway/gateway_fixture.hpp"
#include "support/cut_answer_server.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::gateway_testing;
using medlar::test::answer_end;
using medlar::test::chunked_answer;
using medlar::test::cut_answer_server;
using medlar::test::cut_before_the_last_chunk;
using medlar::test::cut_heads;

/// @brief Returns an answer whose length is in its second header line.
std::string sized_answer(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n" +
           "Content-Length: " + std::to_string(body.size()) + "\r\nX-Last: 1\r\n\r\n" +
           body;
}

const std::string whole_reply = R"({"request_id":"org/1","output":{"a":1}})";
const std::string whole_refusal = R"({"not_run":true,"retry_after_ms":50})";

class a_call_to_a_target : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_call_to_a_target);
    CPPUNIT_TEST(did_not_run_if_there_was_no_connection);
    CPPUNIT_TEST(did_not_run_if_it_was_refused);
    CPPUNIT_TEST(is_settled_if_it_failed);
    CPPUNIT_TEST(is_not_settled_if_its_reply_was_lost);
    CPPUNIT_TEST(is_not_settled_if_the_head_of_its_reply_was_cut);
    CPPUNIT_TEST(is_not_settled_if_its_reply_stopped_in_its_head);
    CPPUNIT_TEST(is_not_settled_if_its_last_chunk_is_missing);
    CPPUNIT_TEST(is_not_settled_if_a_reply_without_length_ended_by_a_reset);
    CPPUNIT_TEST(is_complete_if_its_stream_was_cut_after_its_last_line);
    CPPUNIT_TEST(is_never_retried_by_the_client);
    CPPUNIT_TEST(has_the_reason_why_its_answer_is_unusable);
    CPPUNIT_TEST(ends_at_once_when_it_is_cancelled);
    CPPUNIT_TEST(is_not_settled_by_a_part_of_a_reply_when_it_is_cancelled);
    CPPUNIT_TEST_SUITE_END();

    const medlar::clock time_ = medlar::clock::system();
    std::unique_ptr<session_pool> sessions_ =
        session_pool::create(time_, millis(300), millis(4000));
    std::unique_ptr<stage_client> client_ =
        stage_client::create(time_, *sessions_, byte_count(100000));
    standins::plain_target plain_{{}};
    std::shared_ptr<cancel_token> token_ = cancel_token::create();

    stage_reply call(const endpoint& remote,
                     bool idempotent,
                     millis time_limit = millis(60000),
                     stage_kind kind = stage_kind::call)
    {
        call_attempt attempt;
        attempt.remote = remote;
        attempt.message.request_id = "org/1";
        attempt.message.call_id = "org/1/post";
        attempt.message.kind = kind;
        attempt.message.input = "{}";
        attempt.idempotent = idempotent;
        attempt.deadline = time_.steady_now() + time_limit;
        attempt.token = token_;
        return client_->call(attempt);
    }

    stage_reply call_with(const standins::switches& faults)
    {
        plain_.board().set(faults);
        return call(plain_.where(), true);
    }

    void did_not_run_if_there_was_no_connection()
    {
        const Poco::Net::ServerSocket closed = []
        {
            Poco::Net::ServerSocket socket;
            socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
            return socket;
        }();
        const stage_reply reply = call({"127.0.0.1", closed.address().port()}, false);
        CPPUNIT_ASSERT(reply.result == call_result::unreachable);
        CPPUNIT_ASSERT(!reply.may_have_run);
    }

    void did_not_run_if_it_was_refused()
    {
        standins::switches busy;
        busy.refuse = true;
        const stage_reply refused = call_with(busy);
        CPPUNIT_ASSERT(refused.result == call_result::refused);
        CPPUNIT_ASSERT(!refused.may_have_run && !refused.leaving);
        CPPUNIT_ASSERT(refused.retry_after == millis(50));
        standins::switches leaving_target;
        leaving_target.leaving = true;
        CPPUNIT_ASSERT(call_with(leaving_target).leaving);
    }

    void is_settled_if_it_failed()
    {
        standins::switches failing;
        failing.fail = 500;
        const stage_reply reply = call_with(failing);
        CPPUNIT_ASSERT(reply.result == call_result::failed);
        CPPUNIT_ASSERT(reply.may_have_run && reply.settled);
    }

    void is_not_settled_if_its_reply_was_lost()
    {
        standins::switches losing;
        losing.drop_after = true;
        const stage_reply reply = call_with(losing);
        CPPUNIT_ASSERT(reply.result == call_result::broken);
        CPPUNIT_ASSERT(reply.may_have_run && !reply.settled);
        CPPUNIT_ASSERT_EQUAL(1, plain_.state().executions()["org/1/post"]);
    }

    void is_not_settled_if_the_head_of_its_reply_was_cut()
    {
        for (const std::string& answer : {sized_answer("200 OK", whole_reply),
                                          sized_answer("503 Unavailable", whole_refusal),
                                          sized_answer("429 Too Many", "{}"),
                                          sized_answer("500 Error", "{}")})
        {
            for (const std::string& cut : cut_heads(answer))
            {
                for (const answer_end end : {answer_end::close, answer_end::reset})
                {
                    const cut_answer_server target(cut, end);
                    const stage_reply reply = call(target.where(), true);
                    CPPUNIT_ASSERT_MESSAGE(cut, reply.result == call_result::broken);
                    CPPUNIT_ASSERT_MESSAGE(cut, reply.may_have_run && !reply.settled);
                }
            }
        }
    }

    void is_not_settled_if_its_reply_stopped_in_its_head()
    {
        for (const char* cut :
             {"HTTP/1.1 503 Unavailable\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2"})
        {
            const cut_answer_server target(cut, answer_end::silence);
            const stage_reply reply = call(target.where(), true, millis(30));
            CPPUNIT_ASSERT_MESSAGE(cut, reply.result == call_result::timed_out);
            CPPUNIT_ASSERT_MESSAGE(cut, reply.may_have_run && !reply.settled);
        }
    }

    void is_not_settled_if_its_last_chunk_is_missing()
    {
        for (const std::string& answer : {chunked_answer("200 OK", whole_reply),
                                          chunked_answer("503 Busy", whole_refusal),
                                          chunked_answer("500 Error", "{}")})
        {
            for (const std::string& cut : cut_before_the_last_chunk(answer))
            {
                for (const answer_end end : {answer_end::close, answer_end::reset})
                {
                    const cut_answer_server target(cut, end);
                    const stage_reply reply = call(target.where(), true);
                    CPPUNIT_ASSERT_MESSAGE(cut, reply.result == call_result::broken);
                    CPPUNIT_ASSERT_MESSAGE(cut, reply.may_have_run && !reply.settled);
                }
            }
        }
    }

    void is_not_settled_if_a_reply_without_length_ended_by_a_reset()
    {
        const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
        const cut_answer_server closing(head + whole_reply, answer_end::close);
        CPPUNIT_ASSERT(call(closing.where(), true).result == call_result::succeeded);
        const cut_answer_server resetting(head + whole_reply, answer_end::reset);
        const stage_reply reply = call(resetting.where(), true);
        CPPUNIT_ASSERT(reply.result == call_result::broken);
        CPPUNIT_ASSERT(reply.may_have_run && !reply.settled);
    }

    void is_complete_if_its_stream_was_cut_after_its_last_line()
    {
        const std::string answer =
            chunked_answer("200 OK",
                           "{\"request_id\":\"org/1\",\"index\":0,\"text\":\"a\"}\n"
                           "{\"request_id\":\"org/1\",\"done\":true,\"tokens\":1}\n");
        for (const std::string& cut : cut_before_the_last_chunk(answer))
        {
            const cut_answer_server target(cut, answer_end::close);
            const stage_reply reply =
                call(target.where(), true, millis(60000), stage_kind::generate);
            CPPUNIT_ASSERT_MESSAGE(cut, reply.result == call_result::succeeded);
            CPPUNIT_ASSERT_EQUAL(std::string("a"), reply.tokens_text);
        }
    }

    void is_never_retried_by_the_client()
    {
        CPPUNIT_ASSERT(call(plain_.where(), true).result == call_result::succeeded);
        for (const bool idempotent : {true, false})
        {
            standins::switches once;
            once.drop_before = true;
            once.calls = 1;
            plain_.board().set(once);
            const stage_reply reply = call(plain_.where(), idempotent);
            CPPUNIT_ASSERT(reply.result == call_result::broken);
            CPPUNIT_ASSERT(reply.may_have_run && !reply.settled);
        }
        CPPUNIT_ASSERT_EQUAL(1, plain_.state().executions()["org/1/post"]);
    }

    void has_the_reason_why_its_answer_is_unusable()
    {
        standins::switches cut;
        cut.truncate = true;
        CPPUNIT_ASSERT(call_with(cut).result == call_result::broken);
        standins::switches malformed;
        malformed.malformed = true;
        CPPUNIT_ASSERT(call_with(malformed).why == reason::target_answer_malformed);
        standins::switches other;
        other.wrong_request_id = true;
        CPPUNIT_ASSERT(call_with(other).why == reason::target_answer_mismatched);
        standins::switches huge;
        huge.oversized = true;
        const stage_reply reply = call_with(huge);
        CPPUNIT_ASSERT(reply.why == reason::target_answer_too_large);
        CPPUNIT_ASSERT(reply.may_have_run && !reply.settled);
    }

    void is_not_settled_by_a_part_of_a_reply_when_it_is_cancelled()
    {
        constexpr std::chrono::milliseconds time_to_read_the_head(50);
        const cut_answer_server target("HTTP/1.1 500 Error\r\n\r\n{",
                                       answer_end::silence);
        std::thread canceller(
            [&]
            {
                std::this_thread::sleep_for(time_to_read_the_head);
                token_->cancel(cancel_cause::caller_gone);
            });
        const stage_reply reply = call(target.where(), true);
        canceller.join();
        CPPUNIT_ASSERT(reply.result == call_result::cancelled);
        CPPUNIT_ASSERT(reply.may_have_run && !reply.settled);
    }

    void ends_at_once_when_it_is_cancelled()
    {
        standins::switches slow;
        slow.delay_ms = 60000;
        plain_.board().set(slow);
        std::thread canceller(
            [this]
            {
                wait_until(
                    [this]
                    {
                        return plain_.state().running() == 1;
                    });
                token_->cancel(cancel_cause::caller_gone);
            });
        const stage_reply reply = call(plain_.where(), true);
        canceller.join();
        CPPUNIT_ASSERT(reply.result == call_result::cancelled);
        client_->cancel(plain_.where(), "org/1/post", millis(60000));
        wait_until(
            [this]
            {
                return plain_.state().running() == 0;
            });
    }
};

class a_page_of_a_target : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_page_of_a_target);
    CPPUNIT_TEST(is_not_read_if_its_head_was_cut);
    CPPUNIT_TEST(is_not_read_if_its_last_chunk_is_missing);
    CPPUNIT_TEST_SUITE_END();

    const medlar::clock time_ = medlar::clock::system();
    std::unique_ptr<session_pool> sessions_ =
        session_pool::create(time_, millis(300), millis(4000));
    std::unique_ptr<stage_client> client_ =
        stage_client::create(time_, *sessions_, byte_count(100000));

    std::optional<target_answer> read(const std::string& answer, answer_end end)
    {
        const cut_answer_server target(answer, end);
        return client_->get(target.where(), "/v1/load", millis(2000));
    }

    void is_not_read_if_its_head_was_cut()
    {
        const std::string answer = sized_answer("200 OK", whole_reply);
        for (const std::string& cut : cut_heads(answer))
        {
            CPPUNIT_ASSERT_MESSAGE(cut, !read(cut, answer_end::close));
            CPPUNIT_ASSERT_MESSAGE(cut, !read(cut, answer_end::reset));
        }
        CPPUNIT_ASSERT_EQUAL(whole_reply, read(answer, answer_end::close)->body);
    }

    void is_not_read_if_its_last_chunk_is_missing()
    {
        const std::string answer = chunked_answer("200 OK", whole_reply);
        for (const std::string& cut : cut_before_the_last_chunk(answer))
        {
            CPPUNIT_ASSERT_MESSAGE(cut, !read(cut, answer_end::close));
            CPPUNIT_ASSERT_MESSAGE(cut, !read(cut, answer_end::reset));
        }
        CPPUNIT_ASSERT_EQUAL(whole_reply, read(answer, answer_end::close)->body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_call_to_a_target);
CPPUNIT_TEST_SUITE_REGISTRATION(a_page_of_a_target);

} // namespace
