#include <medlar/detail/http/head_parser.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace
{

using medlar::body_kind;
using medlar::head_error;
using medlar::head_incomplete;
using medlar::parse_answer_head;
using medlar::parse_request_head;
using medlar::parsed_head;
using medlar::request_head;

constexpr std::size_t limit = 1024;

request_head accepted(const std::string& text)
{
    const auto result = parse_request_head(text, limit);
    const auto* parsed = std::get_if<parsed_head<request_head>>(&result);
    CPPUNIT_ASSERT_MESSAGE(text, parsed != nullptr);
    return parsed->head;
}

int rejected(const std::string& text)
{
    const auto result = parse_request_head(text, limit);
    const auto* error = std::get_if<head_error>(&result);
    CPPUNIT_ASSERT_MESSAGE(text, error != nullptr);
    return error->status;
}

medlar::answer_head answer(const std::string& text)
{
    const auto result = parse_answer_head(text, limit, false);
    const auto* parsed = std::get_if<parsed_head<medlar::answer_head>>(&result);
    CPPUNIT_ASSERT_MESSAGE(text, parsed != nullptr);
    return parsed->head;
}

class the_head_of_a_request : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_head_of_a_request);
    CPPUNIT_TEST(is_read_with_its_headers);
    CPPUNIT_TEST(is_incomplete_until_its_empty_line);
    CPPUNIT_TEST(states_one_length_only);
    CPPUNIT_TEST(ends_its_lines_with_cr_lf);
    CPPUNIT_TEST(has_no_folded_lines);
    CPPUNIT_TEST(is_bounded);
    CPPUNIT_TEST(has_one_host);
    CPPUNIT_TEST(says_whether_the_connection_is_kept);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_read_with_its_headers()
    {
        const request_head head = accepted("POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\n"
                                           "X-One:  two \r\nContent-Length: 12\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string("POST"), head.method);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b"), std::string(head.path()));
        CPPUNIT_ASSERT_EQUAL(std::string("two"), std::string(head.headers.get("x-one")));
        CPPUNIT_ASSERT(head.framing.kind == body_kind::length);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, head.framing.length);
    }

    void is_incomplete_until_its_empty_line()
    {
        const std::string whole = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        for (std::size_t i = 0; i < whole.size(); ++i)
        {
            const auto result = parse_request_head(whole.substr(0, i), limit);
            CPPUNIT_ASSERT(std::holds_alternative<head_incomplete>(result));
        }
    }

    void states_one_length_only()
    {
        const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
        CPPUNIT_ASSERT_EQUAL(
            400, rejected(start + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(
            400,
            rejected(start + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(400, rejected(start + "Content-Length: +1\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(400, rejected(start + "Content-Length: 1,1\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(400, rejected(start + "Content-Length: \r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(501, rejected(start + "Transfer-Encoding: gzip\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(
            400,
            rejected("POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"));
    }

    void ends_its_lines_with_cr_lf()
    {
        CPPUNIT_ASSERT_EQUAL(400, rejected("GET / HTTP/1.1\nHost: h\n\n"));
        CPPUNIT_ASSERT_EQUAL(400, rejected("GET / HTTP/1.1\r\nHost: h\nX: y\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(400, rejected("GET / HTTP/1.1\r\nHost: h\rX: y\r\n\r\n"));
    }

    void has_no_folded_lines()
    {
        CPPUNIT_ASSERT_EQUAL(400,
                             rejected("GET / HTTP/1.1\r\nHost: h\r\nX: y\r\n z\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(400, rejected("GET / HTTP/1.1\r\nHost: h\r\nX : y\r\n\r\n"));
    }

    void is_bounded()
    {
        const std::string large(2 * limit, 'a');
        CPPUNIT_ASSERT_EQUAL(431, rejected("GET / HTTP/1.1\r\nHost: h\r\nX: " + large));
    }

    void has_one_host()
    {
        CPPUNIT_ASSERT_EQUAL(400, rejected("GET / HTTP/1.1\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(400,
                             rejected("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"));
    }

    void says_whether_the_connection_is_kept()
    {
        CPPUNIT_ASSERT(accepted("GET / HTTP/1.1\r\nHost: h\r\n\r\n").keeps_connection());
        CPPUNIT_ASSERT(
            !accepted("GET / HTTP/1.1\r\nHost: h\r\nConnection: a, Close\r\n\r\n")
                 .keeps_connection());
        CPPUNIT_ASSERT(!accepted("GET / HTTP/1.0\r\nHost: h\r\n\r\n").keeps_connection());
    }
};

class the_head_of_an_answer : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_head_of_an_answer);
    CPPUNIT_TEST(may_end_with_the_connection);
    CPPUNIT_TEST(has_no_body_by_its_status);
    CPPUNIT_TEST(is_not_read_from_other_bytes);
    CPPUNIT_TEST(has_a_status_code_of_the_protocol);
    CPPUNIT_TEST_SUITE_END();

  public:
    void may_end_with_the_connection()
    {
        const medlar::answer_head head = answer("HTTP/1.1 200 OK\r\n\r\n");
        CPPUNIT_ASSERT(head.framing.kind == body_kind::until_close);
        CPPUNIT_ASSERT(!head.keeps_connection());
    }

    void has_no_body_by_its_status()
    {
        CPPUNIT_ASSERT(answer("HTTP/1.1 204 No Content\r\n\r\n").framing.kind ==
                       body_kind::none);
        CPPUNIT_ASSERT(
            answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").framing.kind ==
            body_kind::none);
    }

    void is_not_read_from_other_bytes()
    {
        const auto result = parse_answer_head("garbage\r\n\r\n", limit, false);
        CPPUNIT_ASSERT(std::holds_alternative<head_error>(result));
    }

    // guards against MIXED: an answer with status 600 was passed on
    void has_a_status_code_of_the_protocol()
    {
        for (const std::string status : {"100", "103", "200", "599"})
        {
            const medlar::answer_head head =
                answer("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n");
            CPPUNIT_ASSERT_EQUAL(status, std::to_string(head.status));
        }
        for (const std::string status :
             {"000", "099", "600", "999", "1000", "2x0", "-20", "+200", " 20", "20", ""})
        {
            const auto result = parse_answer_head(
                "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n", limit, false);
            CPPUNIT_ASSERT_MESSAGE(status, std::holds_alternative<head_error>(result));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_head_of_a_request);
CPPUNIT_TEST_SUITE_REGISTRATION(the_head_of_an_answer);

} // namespace
