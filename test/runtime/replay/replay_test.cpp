#include "build_paths.hpp"
#include "support/cut_answer_server.hpp"

#include <medlar/detail/replay/answer_check.hpp>
#include <medlar/detail/replay/caller.hpp>
#include <medlar/detail/replay/executions.hpp>
#include <medlar/detail/replay/report.hpp>
#include <medlar/detail/replay/trace.hpp>
#include <medlar/detail/replay/trace_writer.hpp>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>
#include <thread>

namespace
{

using namespace medlar;

const char* const header_line = "{\"trace\":\"t\",\"unrepeatable_stages\":[\"post\"]}\n";

trace_request request_named(const char* id)
{
    trace_request request;
    request.id = request_id(id);
    request.organisation = organisation_id("org");
    request.pipeline = pipeline_id("notes");
    request.deadline = millis(1000);
    request.max_tokens = token_count(3);
    return request;
}

std::string complete_answer(const char* id)
{
    return std::string("{\"id\":\"") + id +
           "\",\"outcome\":\"answered\",\"output\":{\"post\":{\"call_id\":\"org/" + id +
           "/post\"},\"draft\":{\"text\":\"a b \",\"tokens\":2}},\"ran_on\":\"h\","
           "\"trace\":[{\"stage\":\"draft\",\"target\":\"t\",\"attempt\":1,"
           "\"result\":\"succeeded\",\"elapsed_ms\":40,\"first_token_ms\":9,"
           "\"tokens\":2,\"cached_tokens\":5}]}";
}

class a_trace : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_trace);
    CPPUNIT_TEST(is_read_as_it_was_written);
    CPPUNIT_TEST(is_the_same_for_the_same_seed);
    CPPUNIT_TEST(in_the_repository_matches_its_seed);
    CPPUNIT_TEST(with_a_bad_line_is_refused_naming_line_and_field);
    CPPUNIT_TEST_SUITE_END();

    static std::string text_of(const trace& content)
    {
        std::ostringstream out;
        write_trace(out, content);
        return out.str();
    }

    static std::string error_of(const std::string& text)
    {
        std::istringstream in(text);
        return std::string(read_trace(in).status().message());
    }

    void is_read_as_it_was_written()
    {
        const std::string text = text_of(generate_trace("straggling_stage", 3).value());
        std::istringstream in(text);
        CPPUNIT_ASSERT_EQUAL(text, text_of(read_trace(in).value()));
    }

    void is_the_same_for_the_same_seed()
    {
        const std::string first = text_of(generate_trace("normal_day", 3).value());
        CPPUNIT_ASSERT_EQUAL(first, text_of(generate_trace("normal_day", 3).value()));
        CPPUNIT_ASSERT(first != text_of(generate_trace("normal_day", 4).value()));
        CPPUNIT_ASSERT(!generate_trace("no_such_day", 3).ok());
    }

    void in_the_repository_matches_its_seed()
    {
        for (const std::string& kind : trace_kinds())
        {
            std::ifstream file(MEDLAR_SOURCE_DIR "/traces/" + kind + ".jsonl");
            std::ostringstream text;
            text << file.rdbuf();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                kind, text_of(generate_trace(kind, 1).value()), text.str());
        }
    }

    void with_a_bad_line_is_refused_naming_line_and_field()
    {
        const std::string header(header_line);
        CPPUNIT_ASSERT_EQUAL(std::string("[medlar.501] line 2 is not a JSON object"),
                             error_of(header + "nonsense\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("[medlar.502] line 2: 'at_ms' is missing"),
                             error_of(header + "{}\n"));
        CPPUNIT_ASSERT_EQUAL(
            std::string("[medlar.503] line 2: 'at_ms' is not a whole number from 0"),
            error_of(header + "{\"at_ms\":-1,\"id\":\"1\",\"pipeline\":\"p\","
                              "\"organisation\":\"o\",\"deadline_ms\":1}\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("[medlar.502] line 1: the header is missing"),
                             error_of(""));
    }
};

class an_answer : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_answer);
    CPPUNIT_TEST(that_is_complete_has_no_fault);
    CPPUNIT_TEST(for_another_request_has_a_fault);
    CPPUNIT_TEST(with_truncated_text_has_a_fault);
    CPPUNIT_TEST(that_is_truncated_is_not_parsed);
    CPPUNIT_TEST(in_a_stream_has_every_token_in_order);
    CPPUNIT_TEST_SUITE_END();

    void that_is_complete_has_no_fault()
    {
        const auto checked = check_answer(request_named("1"), complete_answer("1"));
        CPPUNIT_ASSERT_EQUAL(std::string(), checked.value().fault);
        CPPUNIT_ASSERT(checked->calls.front().elapsed == millis(40));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, checked->calls.front().cached_tokens);
    }

    void for_another_request_has_a_fault()
    {
        CPPUNIT_ASSERT(
            !check_answer(request_named("2"), complete_answer("1"))->fault.empty());
        trace_request other = request_named("1");
        other.organisation = organisation_id("other");
        CPPUNIT_ASSERT(!check_answer(other, complete_answer("1"))->fault.empty());
    }

    void with_truncated_text_has_a_fault()
    {
        std::string text = complete_answer("1");
        text.replace(text.find("a b "), 4, "a ");
        CPPUNIT_ASSERT(!check_answer(request_named("1"), text)->fault.empty());
    }

    void that_is_truncated_is_not_parsed()
    {
        const std::string text = complete_answer("1");
        const std::string half = text.substr(0, text.size() / 2);
        CPPUNIT_ASSERT(!check_answer(request_named("1"), half));
        CPPUNIT_ASSERT(!check_stream(request_named("1"), ""));
    }

    void in_a_stream_has_every_token_in_order()
    {
        const std::string first = "{\"token\":\"a \",\"index\":0}\n";
        const std::string second = "{\"token\":\"b \",\"index\":1}\n";
        const trace_request request = request_named("1");
        const std::string answer = complete_answer("1");
        CPPUNIT_ASSERT(check_stream(request, first + second + answer)->fault.empty());
        CPPUNIT_ASSERT(!check_stream(request, second + answer)->fault.empty());
        CPPUNIT_ASSERT(!check_stream(request, second + first + answer)->fault.empty());
    }
};

class a_report : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_report);
    CPPUNIT_TEST(counts_requests_by_result);
    CPPUNIT_TEST(counts_work_for_late_answers_as_wasted);
    CPPUNIT_TEST(counts_duplicates_only_of_calls_that_must_run_once);
    CPPUNIT_TEST(lists_unmet_expectations);
    CPPUNIT_TEST_SUITE_END();

    static replayed_request answered(const char* id, millis elapsed)
    {
        replayed_request result;
        result.request = request_named(id);
        result.answer = check_answer(result.request, complete_answer(id));
        result.elapsed = elapsed;
        result.sent = 1;
        return result;
    }

    static std::vector<replayed_request> one_result_of_each_kind()
    {
        std::vector<replayed_request> all = {answered("1", millis(100)),
                                             answered("2", millis(1001)),
                                             answered("3", millis(10)),
                                             answered("4", millis(10)),
                                             answered("5", millis(10))};
        all[2].answer->kind = outcome_kind::not_run;
        all[3].answer->kind = outcome_kind::unknown;
        all[4].answer.reset();
        return all;
    }

    void counts_requests_by_result()
    {
        const replay_report report = make_report({}, one_result_of_each_kind(), {});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, report.all.answered);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, report.all.in_time);
        CPPUNIT_ASSERT_EQUAL(
            std::string("replay: 5 sent, 2 answered, 2 refused, 1 lost, 0 doubled"),
            summary_line(report));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.2, report.all.attainment(), 0.001);
        CPPUNIT_ASSERT(nlohmann::json::accept(write_json(report)));
    }

    void counts_work_for_late_answers_as_wasted()
    {
        const std::vector<replayed_request> results = {answered("1", millis(100)),
                                                       answered("2", millis(1001))};
        const replay_report report = make_report({}, results, {});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            0.5, report.by_stage.at("draft").wasted_share(), 0.001);
    }

    void counts_duplicates_only_of_calls_that_must_run_once()
    {
        trace_header header;
        header.unrepeatable_stages = {"post"};
        std::vector<replayed_request> results = {answered("1", millis(1)),
                                                 answered("2", millis(1))};
        results[0].request.idempotent = false;
        const execution_counts executions = {
            {"org/1/post", 2}, {"org/1/draft", 2}, {"org/2/post", 2}, {"org/3/post", 2}};
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                             make_report(header, results, executions).doubled);
    }

    void lists_unmet_expectations()
    {
        trace_header header;
        header.expect.attainment_at_least = 0.5;
        const replay_report report = make_report(header, one_result_of_each_kind(), {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, report.unmet.size());
        const std::vector<replayed_request> met = {answered("1", millis(1))};
        CPPUNIT_ASSERT(make_report(header, met, {}).unmet.empty());
    }
};

class a_request_whose_connection_breaks : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_request_whose_connection_breaks);
    CPPUNIT_TEST(is_sent_again_through_another_gateway);
    CPPUNIT_TEST(has_no_answer_if_the_last_chunk_is_missing);
    CPPUNIT_TEST(has_no_answer_if_one_without_length_ended_by_a_reset);
    CPPUNIT_TEST_SUITE_END();

    /// @brief Accepts a connection, reads the whole request, and answers with @p text,
    /// or closes the connection if @p text is empty.
    /// @return the body of the request
    static nlohmann::json serve_once(Poco::Net::ServerSocket& socket,
                                     const std::string& text)
    {
        Poco::Net::StreamSocket connection = socket.acceptConnection();
        std::string received;
        nlohmann::json body;
        while (!body.is_object())
        {
            char buffer[4096];
            const int count = connection.receiveBytes(buffer, sizeof buffer);
            received.append(buffer, static_cast<std::size_t>(std::max(0, count)));
            const std::size_t start = received.find("\r\n\r\n");
            if (start != std::string::npos)
            {
                body = nlohmann::json::parse(received.substr(start + 4), nullptr, false);
            }
        }
        if (!text.empty())
        {
            const std::string head =
                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) +
                "\r\nConnection: close\r\n\r\n" + text;
            connection.sendBytes(head.data(), static_cast<int>(head.size()));
        }
        connection.close();
        return body;
    }

    void is_sent_again_through_another_gateway()
    {
        const Poco::Net::SocketAddress any("127.0.0.1", 0);
        Poco::Net::ServerSocket breaking(any);
        Poco::Net::ServerSocket answering(any);
        caller_settings settings;
        settings.gateways = {{"127.0.0.1", breaking.address().port()},
                             {"127.0.0.1", answering.address().port()}};
        nlohmann::json first;
        nlohmann::json second;
        std::thread gateways(
            [&]
            {
                first = serve_once(breaking, "");
                second = serve_once(answering, complete_answer("1"));
            });
        const medlar::clock time = clock::system();
        caller sender(settings, time);
        const replayed_request result =
            sender.send(request_named("1"), time.steady_now());
        gateways.join();
        CPPUNIT_ASSERT_EQUAL(2, result.sent);
        CPPUNIT_ASSERT(result.answer && result.answer->fault.empty());
        CPPUNIT_ASSERT(first["id"] == second["id"]);
        CPPUNIT_ASSERT(first["issued_at_ms"] == second["issued_at_ms"]);
        CPPUNIT_ASSERT(first["first_attempt"] == true);
        CPPUNIT_ASSERT(second["first_attempt"] == false);
    }

    static replayed_request
    replay_once(const std::string& answer, test::answer_end end, bool stream)
    {
        const test::cut_answer_server gateway(answer, end);
        const medlar::clock time = clock::system();
        caller_settings settings;
        settings.gateways = {gateway.where()};
        settings.max_sends = 1;
        trace_request request = request_named("1");
        request.stream = stream;
        return caller(settings, time).send(request, time.steady_now());
    }

    void has_no_answer_if_the_last_chunk_is_missing()
    {
        const std::string answer =
            test::chunked_answer("200 OK", complete_answer("1") + "\n");
        for (const bool stream : {false, true})
        {
            for (const std::string& cut : test::cut_before_the_last_chunk(answer))
            {
                for (const auto end : {test::answer_end::close, test::answer_end::reset})
                {
                    CPPUNIT_ASSERT_MESSAGE(cut, !replay_once(cut, end, stream).answer);
                }
            }
            CPPUNIT_ASSERT(replay_once(answer, test::answer_end::close, stream).answer);
        }
    }

    void has_no_answer_if_one_without_length_ended_by_a_reset()
    {
        const std::string answer =
            "HTTP/1.1 200 OK\r\n\r\n" + complete_answer("1") + "\n";
        CPPUNIT_ASSERT(replay_once(answer, test::answer_end::close, false).answer);
        CPPUNIT_ASSERT(!replay_once(answer, test::answer_end::reset, false).answer);
    }
};

class counts_of_executions : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(counts_of_executions);
    CPPUNIT_TEST(are_not_read_if_the_last_chunk_is_missing);
    CPPUNIT_TEST_SUITE_END();

    static bool are_read(const std::string& answer, test::answer_end end)
    {
        const test::cut_answer_server target(answer, end);
        return fetch_executions({target.where()}).ok();
    }

    void are_not_read_if_the_last_chunk_is_missing()
    {
        const std::string answer =
            test::chunked_answer("200 OK", R"({"executions":{"a":1}})");
        for (const std::string& cut : test::cut_before_the_last_chunk(answer))
        {
            CPPUNIT_ASSERT_MESSAGE(cut, !are_read(cut, test::answer_end::close));
            CPPUNIT_ASSERT_MESSAGE(cut, !are_read(cut, test::answer_end::reset));
        }
        CPPUNIT_ASSERT(are_read(answer, test::answer_end::close));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_trace);
CPPUNIT_TEST_SUITE_REGISTRATION(an_answer);
CPPUNIT_TEST_SUITE_REGISTRATION(a_report);
CPPUNIT_TEST_SUITE_REGISTRATION(a_request_whose_connection_breaks);
CPPUNIT_TEST_SUITE_REGISTRATION(counts_of_executions);

} // namespace
