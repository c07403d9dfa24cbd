#include "runtime/gateway/gateway_fixture.hpp"

#include <medlar/detail/controller/metrics_page.hpp>

#include <Poco/Net/StreamSocket.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace
{

using namespace medlar;
using namespace medlar::gateway_testing;

/// Returns how many answers come to some bytes.
int count_answers(const endpoint& to, const std::string& bytes)
{
    Poco::Net::StreamSocket stream(Poco::Net::SocketAddress(to.address, to.port));
    constexpr long wait_us = 500000;
    stream.setReceiveTimeout(Poco::Timespan(wait_us));
    std::string received;
    std::array<char, 4096> part{};
    try
    {
        stream.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        for (int size = 1; size > 0;)
        {
            size = stream.receiveBytes(part.data(), static_cast<int>(part.size()));
            received.append(part.data(), static_cast<std::size_t>(std::max(0, size)));
        }
    }
    catch (const Poco::Exception&)
    {
        // it was reset, or stays open
    }
    int count = 0;
    const std::string begin = "HTTP/1.1 ";
    for (std::size_t at = received.find(begin); at != std::string::npos;
         at = received.find(begin, at + 1))
    {
        ++count;
    }
    return count;
}

/// guards against bytes of a body that a server does not read being served as a request
class the_body_of_a_request_that_is_answered_without_it : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_body_of_a_request_that_is_answered_without_it);
    CPPUNIT_TEST(is_no_request_to_a_gateway);
    CPPUNIT_TEST(is_no_request_to_a_metrics_page);
    CPPUNIT_TEST_SUITE_END();

    static void expect_one_answer(const endpoint& where, const std::string& first)
    {
        const std::string hidden = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
        CPPUNIT_ASSERT_EQUAL(2, count_answers(where, hidden + hidden));
        const std::string sized =
            absl::StrCat("Content-Length: ", hidden.size(), "\r\n\r\n", hidden);
        const std::string chunked = absl::StrCat("Transfer-Encoding: chunked\r\n\r\n",
                                                 absl::Hex(hidden.size()),
                                                 "\r\n",
                                                 hidden,
                                                 "\r\n0\r\n\r\n");
        for (const std::string& rest : {sized, chunked})
        {
            const std::string request = first + " HTTP/1.1\r\nHost: h\r\n" + rest;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(request, 1, count_answers(where, request));
        }
    }

  public:
    void is_no_request_to_a_gateway()
    {
        const targets all;
        const running_gateway gateway(all.configuration());
        for (const std::string first : {"GET /healthz",
                                        "GET /readyz",
                                        "GET /metrics",
                                        "GET /v1/requests/org/x",
                                        "GET /v1/requests/nobody/x",
                                        "PUT /unknown"})
        {
            expect_one_answer(gateway.where(), first);
        }
        std::string large;
        while (large.size() < 200000)
        {
            large += "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
        }
        CPPUNIT_ASSERT_EQUAL(
            1,
            count_answers(gateway.where(),
                          absl::StrCat("POST /v1/pipelines/post/requests HTTP/1.1\r\n"
                                       "Host: h\r\nContent-Length: ",
                                       large.size(),
                                       "\r\n\r\n",
                                       large)));
    }

    void is_no_request_to_a_metrics_page()
    {
        const auto page = metrics_page::create({"127.0.0.1", 0},
                                               []
                                               {
                                                   return std::string("a 1\n");
                                               });
        CPPUNIT_ASSERT(page.ok());
        expect_one_answer((*page)->where(), "GET /metrics");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_body_of_a_request_that_is_answered_without_it);

} // namespace
