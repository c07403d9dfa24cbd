#include <medlar/detail/request/answer_text.hpp>
#include <medlar/detail/request/client_request.hpp>
#include <medlar/detail/request/json_fields.hpp>
#include <medlar/detail/request/json_text.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

const char* const complete_body =
    "{\"id\":\"1\",\"organisation\":\"org\",\"issued_at_ms\":5,"
    "\"deadline_ms\":900,\"input\":{\"a\":1,\"max_tokens\":7,"
    "\"prompt_prefix\":\"p\"}}";

read_request read(const std::string& body)
{
    body_limits limits;
    limits.max_bytes = 1000;
    limits.max_nesting = 8;
    return read_client_request(pipeline_id("draft"), body, limits, wall_time(77));
}

/// @brief Returns the reason of a refusal and checks that its message contains @p part.
reason refusal_reason(const std::string& body, const std::string& part)
{
    const read_request result = read(body);
    const auto* refused = std::get_if<outcome>(&result);
    if (refused == nullptr)
    {
        return reason::none;
    }
    CPPUNIT_ASSERT(refused->kind == outcome_kind::not_run);
    CPPUNIT_ASSERT_MESSAGE(refused->message,
                           refused->message.find(part) != std::string::npos);
    return refused->why;
}

class the_body_of_a_request : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_body_of_a_request);
    CPPUNIT_TEST(is_read_with_all_its_fields);
    CPPUNIT_TEST(is_refused_if_it_is_not_complete_json);
    CPPUNIT_TEST(is_refused_if_it_is_not_utf8);
    CPPUNIT_TEST(is_refused_if_it_is_too_large_or_nested_too_deeply);
    CPPUNIT_TEST(is_refused_with_the_name_of_a_bad_field);
    CPPUNIT_TEST(is_refused_for_a_negative_or_huge_deadline);
    CPPUNIT_TEST(needs_an_issue_time_unless_it_is_idempotent);
    CPPUNIT_TEST(is_relayed_unchanged);
    CPPUNIT_TEST(is_compared_by_what_is_to_run_only);
    CPPUNIT_TEST_SUITE_END();

    void is_read_with_all_its_fields()
    {
        const auto request = std::get<client_request>(read(complete_body));
        CPPUNIT_ASSERT(request.key ==
                       (request_key{organisation_id("org"), request_id("1")}));
        CPPUNIT_ASSERT(request.issued_at == wall_time(5));
        CPPUNIT_ASSERT(request.deadline == millis(900));
        CPPUNIT_ASSERT(request.max_tokens == token_count(7));
        CPPUNIT_ASSERT_EQUAL(std::string("p"), request.prompt_prefix);
        CPPUNIT_ASSERT(!request.idempotent && !request.first_attempt && !request.stream);
    }

    void is_refused_if_it_is_not_complete_json()
    {
        const std::string text = complete_body;
        for (std::size_t length = 0; length < text.size(); ++length)
        {
            CPPUNIT_ASSERT(refusal_reason(text.substr(0, length), "JSON object") ==
                           reason::malformed);
        }
        CPPUNIT_ASSERT(refusal_reason("[1]", "JSON object") == reason::malformed);
    }

    void is_refused_if_it_is_not_utf8()
    {
        for (const char* bytes :
             {"\xff", "\xc0\x80", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xe2\x82"})
        {
            const std::string body = "{\"id\":\"" + std::string(bytes) + "\"}";
            CPPUNIT_ASSERT(refusal_reason(body, "UTF-8") == reason::not_utf8);
        }
        CPPUNIT_ASSERT(is_utf8("ação \xf0\x9f\x8e\xb5"));
    }

    void is_refused_if_it_is_too_large_or_nested_too_deeply()
    {
        CPPUNIT_ASSERT(refusal_reason(std::string(1001, ' '), "bytes") ==
                       reason::too_large);
        const std::string deep(500, '[');
        CPPUNIT_ASSERT(refusal_reason(deep, "nested") == reason::malformed);
        CPPUNIT_ASSERT_EQUAL(2, nesting_depth("{\"[[[\\\"{\":[1]}"));
    }

    void is_refused_with_the_name_of_a_bad_field()
    {
        CPPUNIT_ASSERT(refusal_reason("{\"organisation\":\"o\"}", "'id'") ==
                       reason::malformed);
        CPPUNIT_ASSERT(refusal_reason("{\"organisation\":7,\"id\":\"1\"}",
                                      "'organisation'") == reason::malformed);
        const std::string start = "{\"organisation\":\"o\",\"id\":\"1\",";
        CPPUNIT_ASSERT(refusal_reason(start + "\"idempotent\":1}", "'idempotent'") ==
                       reason::malformed);
        CPPUNIT_ASSERT(refusal_reason(start + "\"issued_at_ms\":-1}", "'issued_at_ms'") ==
                       reason::malformed);
        CPPUNIT_ASSERT(refusal_reason(start + "\"issued_at_ms\":1}", "'input'") ==
                       reason::malformed);
    }

    void is_refused_for_a_negative_or_huge_deadline()
    {
        for (const char* value :
             {"-1", "0", "1.5", "\"9\"", "99999999999", "18446744073709551615", "1e300"})
        {
            const std::string body = "{\"id\":\"1\",\"organisation\":\"o\","
                                     "\"issued_at_ms\":5,\"input\":1,\"deadline_ms\":" +
                                     std::string(value) + "}";
            CPPUNIT_ASSERT(refusal_reason(body, "'deadline_ms'") == reason::bad_deadline);
        }
    }

    void needs_an_issue_time_unless_it_is_idempotent()
    {
        const std::string start = "{\"id\":\"1\",\"organisation\":\"o\",\"input\":1";
        CPPUNIT_ASSERT(refusal_reason(start + "}", "'issued_at_ms'") ==
                       reason::malformed);
        const auto request =
            std::get<client_request>(read(start + ",\"idempotent\":true}"));
        CPPUNIT_ASSERT(request.issued_at == wall_time(77));
    }

    void is_relayed_unchanged()
    {
        auto request = std::get<client_request>(read(complete_body));
        request.first_attempt = true;
        const auto relayed =
            read_relayed_request(write_relayed_request({request, millis(123)}));
        CPPUNIT_ASSERT(relayed.has_value());
        CPPUNIT_ASSERT(relayed->deadline_remaining == millis(123));
        CPPUNIT_ASSERT(relayed->request.first_attempt);
        CPPUNIT_ASSERT_EQUAL(identity_text(request), identity_text(relayed->request));
        CPPUNIT_ASSERT_EQUAL(request.prompt_prefix, relayed->request.prompt_prefix);
        CPPUNIT_ASSERT(!read_relayed_request("{\"id\":\"1\"").has_value());
    }

    void is_compared_by_what_is_to_run_only()
    {
        const auto request = std::get<client_request>(read(complete_body));
        client_request other = request;
        other.first_attempt = true;
        other.stream = true;
        other.deadline = millis(1);
        CPPUNIT_ASSERT_EQUAL(identity_text(request), identity_text(other));
        other.input = "2";
        CPPUNIT_ASSERT(identity_text(request) != identity_text(other));
    }
};

class the_answer_to_a_request : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_answer_to_a_request);
    CPPUNIT_TEST(is_relayed_unchanged);
    CPPUNIT_TEST(is_not_parsed_from_a_truncated_line);
    CPPUNIT_TEST_SUITE_END();

    void is_relayed_unchanged()
    {
        trace_entry call;
        call.stage = "draft";
        call.target_name = target_id("t");
        call.result = "succeeded";
        call.elapsed = millis(3);
        call.first_token = millis(1);
        call.tokens = token_count(7);
        const final_answer answered{{outcome_kind::answered, reason::none, "", {}},
                                    "{\"a\":1}",
                                    write_trace(host_id("h"), {call})};
        const std::string line = write_answer(request_id("1"), answered);
        const auto again = read_answer(line);
        CPPUNIT_ASSERT(again.has_value());
        CPPUNIT_ASSERT_EQUAL(answered.output, again->output);
        CPPUNIT_ASSERT(parse_json(line) ==
                       parse_json(write_answer(request_id("1"), *again)));
    }

    void is_not_parsed_from_a_truncated_line()
    {
        const final_answer refused{
            {outcome_kind::not_run, reason::host_full, "full", millis(5)}, "", ""};
        const std::string line = write_answer(request_id("1"), refused);
        for (std::size_t length = 0; length < line.size(); ++length)
        {
            CPPUNIT_ASSERT(!read_answer(line.substr(0, length)).has_value());
        }
        const auto again = read_answer(line);
        CPPUNIT_ASSERT(again->result.why == reason::host_full);
        CPPUNIT_ASSERT(again->result.retry_after == millis(5));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_body_of_a_request);
CPPUNIT_TEST_SUITE_REGISTRATION(the_answer_to_a_request);

} // namespace
