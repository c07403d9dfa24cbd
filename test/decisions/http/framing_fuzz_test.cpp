#include <medlar/detail/http/body_decoder.hpp>
#include <medlar/detail/http/event_stream.hpp>
#include <medlar/detail/http/head_parser.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

namespace
{

using medlar::body_decoder;
using medlar::body_framing;
using medlar::body_kind;

/// number of cases unless MEDLAR_FUZZ_CASES is set
constexpr int default_cases = 20000;

constexpr unsigned seed = 20261203;

int cases()
{
    const char* const text = std::getenv("MEDLAR_FUZZ_CASES");
    return text == nullptr ? default_cases : std::atoi(text);
}

class random_input
{
  public:
    std::size_t number_below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(engine_);
    }

    std::string bytes(std::size_t max_size)
    {
        std::string text(number_below(max_size + 1), ' ');
        for (char& each : text)
        {
            each = static_cast<char>(number_below(256));
        }
        return text;
    }

    /// splits bytes at random offsets, as reads from a socket do
    std::vector<std::string> parts(const std::string& whole)
    {
        std::vector<std::string> split;
        std::size_t at = 0;
        while (at < whole.size())
        {
            const std::size_t size =
                1 + number_below(std::min<std::size_t>(whole.size() - at, 40));
            split.push_back(whole.substr(at, size));
            at += size;
        }
        return split;
    }

  private:
    std::mt19937 engine_{seed};
};

std::string chunked(random_input& random, const std::string& body)
{
    std::string out;
    std::size_t at = 0;
    while (at < body.size())
    {
        const std::size_t size = 1 + random.number_below(body.size() - at);
        medlar::append_chunk(out, body.substr(at, size));
        at += size;
    }
    return out + std::string(medlar::last_chunk);
}

/// decodes parts as a connection does: bytes that are not consumed stay in the buffer
std::string
decode(body_decoder& decoder, const std::vector<std::string>& parts, std::string& buffer)
{
    std::string out;
    for (const std::string& each : parts)
    {
        buffer += each;
        buffer.erase(0, decoder.decode(buffer, out));
    }
    return out;
}

class framing_under_seeded_input : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(framing_under_seeded_input);
    CPPUNIT_TEST(gives_back_each_body_and_leaves_what_follows);
    CPPUNIT_TEST(parses_the_same_requests_however_they_are_split);
    CPPUNIT_TEST(tolerates_corrupted_input);
    CPPUNIT_TEST(yields_complete_events_only);
    CPPUNIT_TEST_SUITE_END();

  public:
    void gives_back_each_body_and_leaves_what_follows()
    {
        random_input random;
        for (int i = 0; i < cases(); ++i)
        {
            const std::string body = random.bytes(300);
            const std::string next = random.bytes(20);
            const bool by_chunks = random.number_below(2) == 0;
            const std::string framed = by_chunks ? chunked(random, body) : body;
            body_decoder decoder(by_chunks
                                     ? body_framing{body_kind::chunked, 0}
                                     : body_framing{body_kind::length, body.size()});
            std::string rest;
            if (!by_chunks && body.empty())
            {
                decoder = body_decoder(body_framing{});
            }
            const std::string out = decode(decoder, random.parts(framed + next), rest);
            CPPUNIT_ASSERT_EQUAL(body, out);
            CPPUNIT_ASSERT(decoder.done());
            CPPUNIT_ASSERT_EQUAL(next, rest);
        }
    }

    void parses_the_same_requests_however_they_are_split()
    {
        random_input random;
        for (int i = 0; i < cases(); ++i)
        {
            const std::string body = random.bytes(60);
            const std::string first = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                                      std::to_string(body.size()) + "\r\n\r\n" + body;
            const std::string second = "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
            const std::string all = first + second;
            const auto head = medlar::parse_request_head(all, 1024);
            const auto* parsed =
                std::get_if<medlar::parsed_head<medlar::request_head>>(&head);
            CPPUNIT_ASSERT(parsed != nullptr);
            body_decoder decoder(parsed->head.framing);
            std::string rest;
            const std::string out =
                decode(decoder, random.parts(all.substr(parsed->consumed)), rest);
            CPPUNIT_ASSERT_EQUAL(body, out);
            CPPUNIT_ASSERT_EQUAL(second, rest);
        }
    }

    void tolerates_corrupted_input()
    {
        random_input random;
        std::string valid =
            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
        for (int i = 0; i < cases(); ++i)
        {
            std::string bytes = valid;
            for (std::size_t n = random.number_below(4); n > 0; --n)
            {
                bytes[random.number_below(bytes.size())] =
                    static_cast<char>(random.number_below(256));
            }
            const auto result = medlar::parse_request_head(bytes, 1024);
            const auto* parsed =
                std::get_if<medlar::parsed_head<medlar::request_head>>(&result);
            if (parsed != nullptr)
            {
                CPPUNIT_ASSERT(parsed->consumed <= bytes.size());
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, parsed->head.headers.count("host"));
            }
            body_decoder decoder(body_framing{body_kind::chunked, 0});
            std::string out;
            const std::string noise = random.bytes(60);
            CPPUNIT_ASSERT(decoder.decode(noise, out) <= noise.size());
        }
    }

    void yields_complete_events_only()
    {
        random_input random;
        for (int i = 0; i < cases() / 10; ++i)
        {
            std::string stream;
            const std::size_t count = random.number_below(8);
            for (std::size_t n = 1; n <= count; ++n)
            {
                stream += "id: " + std::to_string(n) + "\ndata: x" +
                          std::string(random.number_below(30), 'y') + "\n\n";
            }
            const std::string cut = "id: 99\nda";
            medlar::event_splitter splitter;
            std::string out;
            std::int64_t last = 0;
            for (const std::string& part : random.parts(stream + cut))
            {
                splitter.add(part,
                             [&](absl::string_view event, std::optional<std::int64_t> id)
                             {
                                 out.append(event.data(), event.size());
                                 CPPUNIT_ASSERT(id && *id == last + 1);
                                 last = *id;
                             });
            }
            CPPUNIT_ASSERT_EQUAL(stream, out);
            CPPUNIT_ASSERT_EQUAL(cut, std::string(splitter.incomplete_event()));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(framing_under_seeded_input);

} // namespace
