#include "runtime/gateway/gateway_fixture.hpp"
#include "support/cut_answer_server.hpp"

#include <medlar/detail/store/http_pool.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::gateway_testing;
using medlar::test::answer_end;
using medlar::test::answer_time;
using medlar::test::chunked_answer;
using medlar::test::cut_answer_server;

// more than the buffers of the connection to a server that does not read
constexpr std::size_t upload_bytes = 8000000;

const std::string whole_reply = R"({"request_id":"org/1","output":{"a":1}})";
const std::string informational_answers =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

std::string
sized_answer(const std::string& status, const std::string& body, std::size_t missing = 0)
{
    return "HTTP/1.1 " + status +
           "\r\nContent-Length: " + std::to_string(body.size() + missing) + "\r\n\r\n" +
           body;
}

std::vector<std::string> foreign_statuses()
{
    return {"000 X", "099 X", "600 X", "999 X", "1000 X", "2x0 X"};
}

/// the parts of an answer that a server sends while an upload is not in
std::vector<std::string> answer_parts()
{
    const std::string chunked = chunked_answer("200 OK", whole_reply);
    constexpr std::size_t last_chunk_size = 5;
    return {sized_answer("200 OK", whole_reply, 1),
            chunked.substr(0, chunked.size() - last_chunk_size),
            "HTTP/1.1 200 OK\r\n\r\n" + whole_reply};
}

/// the client of medlar-gateway for its targets
class stage_caller
{
  public:
    stage_reply call(const endpoint& remote,
                     const std::string& input = "{}",
                     millis time_limit = millis(60000))
    {
        call_attempt attempt;
        attempt.remote = remote;
        attempt.message.request_id = "org/1";
        attempt.message.call_id = "org/1/post";
        attempt.message.kind = stage_kind::call;
        attempt.message.input = input;
        attempt.idempotent = true;
        attempt.deadline = time_.steady_now() + time_limit;
        attempt.token = cancel_token::create();
        return client_->call(attempt);
    }

  private:
    const medlar::clock time_ = medlar::clock::system();
    std::unique_ptr<session_pool> sessions_ =
        session_pool::create(time_, millis(300), millis(4000));
    std::unique_ptr<stage_client> client_ =
        stage_client::create(time_, *sessions_, byte_count(100000));
};

// a call that reads from the store
const http_call store_read{"GET", "/v1/kv/a", "", millis(1000)};

std::string large_input()
{
    return "{\"a\":\"" + std::string(upload_bytes, 'x') + "\"}";
}

/// guards against MIXED: an answer that is not the whole answer of a target or store
class an_odd_answer : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_odd_answer);
    CPPUNIT_TEST(with_a_foreign_status_settles_no_call);
    CPPUNIT_TEST(with_a_foreign_status_is_none_of_the_store);
    CPPUNIT_TEST(with_a_status_above_those_of_poco_is_a_failure);
    CPPUNIT_TEST(that_is_informational_precedes_that_of_a_target);
    CPPUNIT_TEST(that_is_informational_precedes_that_of_the_store);
    CPPUNIT_TEST(without_a_length_is_no_success_of_a_call_if_it_is_cut);
    CPPUNIT_TEST(before_an_upload_is_in_is_no_success_of_a_call);
    CPPUNIT_TEST(before_an_upload_is_in_is_none_of_the_store);
    CPPUNIT_TEST(before_an_upload_is_in_ends_its_connection);
    CPPUNIT_TEST(that_closes_its_connection_is_the_last_one_on_it);
    CPPUNIT_TEST_SUITE_END();

  public:
    void with_a_foreign_status_settles_no_call()
    {
        for (const std::string& status : foreign_statuses())
        {
            const cut_answer_server target(sized_answer(status, whole_reply),
                                           answer_end::close);
            const stage_reply reply = stage_caller().call(target.where());
            CPPUNIT_ASSERT_MESSAGE(status, reply.result == call_result::broken);
            CPPUNIT_ASSERT_MESSAGE(status, reply.may_have_run && !reply.settled);
        }
    }

    void with_a_foreign_status_is_none_of_the_store()
    {
        for (const std::string& status : foreign_statuses())
        {
            const cut_answer_server store(sized_answer(status, "true"),
                                          answer_end::close);
            http_pool calls(store.where());
            CPPUNIT_ASSERT_MESSAGE(status, !calls.call(store_read).ok());
        }
    }

    /// POCO's enumeration ends at 511; reading a greater one from it is undefined
    void with_a_status_above_those_of_poco_is_a_failure()
    {
        const cut_answer_server target(sized_answer("520 X", whole_reply),
                                       answer_end::close);
        const stage_reply reply = stage_caller().call(target.where());
        CPPUNIT_ASSERT(reply.result == call_result::failed);
        CPPUNIT_ASSERT(reply.settled);
    }

    void that_is_informational_precedes_that_of_a_target()
    {
        const cut_answer_server target(informational_answers +
                                           sized_answer("200 OK", whole_reply),
                                       answer_end::close);
        CPPUNIT_ASSERT(stage_caller().call(target.where()).result ==
                       call_result::succeeded);
        const cut_answer_server cut(informational_answers, answer_end::close);
        CPPUNIT_ASSERT(stage_caller().call(cut.where()).result == call_result::broken);
    }

    void that_is_informational_precedes_that_of_the_store()
    {
        const cut_answer_server store(
            informational_answers + sized_answer("200 OK", "true"), answer_end::close);
        http_pool calls(store.where());
        const absl::StatusOr<http_answer> got = calls.call(store_read);
        CPPUNIT_ASSERT_MESSAGE(got.status().ToString(), got.ok());
        CPPUNIT_ASSERT_EQUAL(200, got->status);
        CPPUNIT_ASSERT_EQUAL(std::string("true"), got->body);
    }

    void without_a_length_is_no_success_of_a_call_if_it_is_cut()
    {
        const std::string answer = "HTTP/1.1 200 OK\r\n\r\n" + whole_reply;
        for (std::size_t size = 1; size < answer.size(); ++size)
        {
            const cut_answer_server target(answer.substr(0, size), answer_end::close);
            const stage_reply reply = stage_caller().call(target.where());
            CPPUNIT_ASSERT_MESSAGE(answer.substr(0, size),
                                   reply.result != call_result::succeeded);
            CPPUNIT_ASSERT(reply.may_have_run && !reply.settled);
        }
    }

    void before_an_upload_is_in_is_no_success_of_a_call()
    {
        for (const std::string& part : answer_parts())
        {
            for (const answer_end end : {answer_end::reset, answer_end::close})
            {
                const cut_answer_server target(part, end, answer_time::after_head);
                const stage_reply reply =
                    stage_caller().call(target.where(), large_input());
                CPPUNIT_ASSERT_MESSAGE(part, reply.result == call_result::broken);
                CPPUNIT_ASSERT_MESSAGE(part, reply.may_have_run && !reply.settled);
            }
        }
    }

    void before_an_upload_is_in_is_none_of_the_store()
    {
        for (const std::string& part : answer_parts())
        {
            for (const answer_end end : {answer_end::reset, answer_end::close})
            {
                const cut_answer_server store(part, end, answer_time::after_head);
                http_pool calls(store.where());
                const http_call write{
                    "PUT", "/v1/kv/a", std::string(upload_bytes, 'x'), millis(5000)};
                CPPUNIT_ASSERT_MESSAGE(part, !calls.call(write).ok());
            }
        }
    }

    void before_an_upload_is_in_ends_its_connection()
    {
        for (const std::string headers : {"", "Connection: close\r\n"})
        {
            const cut_answer_server target("HTTP/1.1 200 OK\r\n" + headers +
                                               "Content-Length: 39\r\n\r\n" + whole_reply,
                                           answer_end::silence,
                                           answer_time::after_head);
            stage_caller caller;
            for (int i = 1; i <= 2; ++i)
            {
                caller.call(target.where(), large_input(), millis(500));
                CPPUNIT_ASSERT_EQUAL(i, target.requests());
            }
        }
    }

    void that_closes_its_connection_is_the_last_one_on_it()
    {
        // the server does not close it at once, and reads no more from it
        const cut_answer_server server(
            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 39\r\n\r\n" +
                whole_reply,
            answer_end::silence);
        http_pool calls(server.where());
        stage_caller caller;
        for (int i = 0; i < 2; ++i)
        {
            CPPUNIT_ASSERT(calls.call(store_read).ok());
            CPPUNIT_ASSERT(caller.call(server.where(), "{}", millis(1000)).result ==
                           call_result::succeeded);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(an_odd_answer);

} // namespace
