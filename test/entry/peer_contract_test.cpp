#include "support/entry/entry_fixture.hpp"
#include "support/entry/raw_target.hpp"

#include <medlar/detail/loop/message_link.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace
{

using namespace medlar;
using namespace medlar::test;

using exchange_ptr = std::shared_ptr<caller_exchange>;

/// one entry host in front of one target
class one_host : public entry_fixture
{
  public:
    one_host()
        : host_settings(settings("host-1")),
          target_(loop,
                  "i-1",
                  "plain",
                  [](const exchange_ptr& exchange)
                  {
                      exchange->answer(200, signed_headers(*exchange), "hello");
                  })
    {
        store.put(target_.key(), target_.entry());
        store.put("op/config",
                  configuration_json(3, {route_json("/a/", "idempotent", "plain")}));
    }

    /// registers another host whose links are accepted at @p where
    void register_peer(const std::string& name, const endpoint& where)
    {
        store.put("medlar/hosts/" + name,
                  nlohmann::json({{"address", where.address},
                                  {"port", where.port},
                                  {"domain", "a"},
                                  {"share", 1.0}})
                      .dump());
    }

    void start_host()
    {
        host_ = start(host_settings);
    }

    void kill_host()
    {
        kill(host_);
        host_.reset();
    }

    bool serves()
    {
        return until(
            [this]
            {
                return send(host_settings.caller_endpoint,
                            request_text("GET", "/a/x", "id-1"))
                           .status == 200;
            });
    }

    entry_settings host_settings;

  private:
    stand_in_target target_;
    std::shared_ptr<running_host> host_;
};

class endless_bytes : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endless_bytes);
    CPPUNIT_TEST(in_a_head_of_the_store_are_no_answer);
    CPPUNIT_TEST(in_a_body_of_the_store_are_no_answer);
    CPPUNIT_TEST(of_a_peer_are_no_message);
    CPPUNIT_TEST(in_one_message_of_a_peer_are_no_message);
    CPPUNIT_TEST_SUITE_END();

    /// the largest answer of the store is 8 MB; the rest is in buffers of the connection
    static constexpr std::size_t max_read_bytes = 24000000;

    static void expect_closed(one_host& it, const raw_target& endless)
    {
        it.start_host();
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return endless.is_closed;
            }));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(endless.sent_bytes),
                               endless.sent_bytes < max_read_bytes);
    }

    static void expect_closed_store(const std::string& begin, const std::string& repeated)
    {
        one_host it;
        const raw_target endless(it.loop, begin, repeated);
        it.host_settings.store_endpoint = endless.where();
        expect_closed(it, endless);
        // it goes on without the store
        CPPUNIT_ASSERT_EQUAL(
            503,
            it.send(it.host_settings.caller_endpoint, request_text("GET", "/a/x", "id-1"))
                .status);
    }

    static void expect_closed_peer(const std::string& begin, const std::string& repeated)
    {
        one_host it;
        const raw_target endless(it.loop, begin, repeated);
        it.register_peer("host-2", endless.where());
        expect_closed(it, endless);
        CPPUNIT_ASSERT(it.serves());
    }

  public:
    void in_a_head_of_the_store_are_no_answer()
    {
        expect_closed_store("HTTP/1.1 200 OK\r\n", "X-More: yyyyyyyyyyyyyyyyyyyyyy\r\n");
    }

    void in_a_body_of_the_store_are_no_answer()
    {
        expect_closed_store("HTTP/1.1 200 OK\r\nStore-Era: 1\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n",
                            "1000\r\n" + std::string(4096, 'x') + "\r\n");
    }

    void of_a_peer_are_no_message()
    {
        expect_closed_peer("", std::string(4096, 'x'));
    }

    void in_one_message_of_a_peer_are_no_message()
    {
        // the longest message that is read, which is not one at its end
        expect_closed_peer(std::string("\x00\x3f\xff\xff", 4), std::string(4096, 'x'));
    }
};

class news_of_peers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(news_of_peers);
    CPPUNIT_TEST(with_a_revision_that_the_store_has_not_reached_is_forgotten);
    CPPUNIT_TEST_SUITE_END();

  public:
    void with_a_revision_that_the_store_has_not_reached_is_forgotten()
    {
        for (const std::int64_t revision : {std::int64_t{1000000}, INT64_MAX})
        {
            one_host it;
            std::vector<std::shared_ptr<message_link>> links;
            const endpoint where = free_endpoint();
            const auto opened = listener::open(
                it.loop,
                where,
                [&](const std::shared_ptr<connection>& accepted)
                {
                    links.push_back(message_link::create(
                        accepted, [](const nlohmann::json&) {}, [](connection_end) {}));
                    links.back()->send({{"type", "news"},
                                        {"era", 1},
                                        {"revision", revision},
                                        {"base", {{"era", 0}, {"revision", 0}}},
                                        {"changed", nlohmann::json::array()},
                                        {"removed", nlohmann::json::array()},
                                        {"keys", nlohmann::json::array()},
                                        {"lapse_ms", 0}});
                },
                [](const std::string&) {});
            CPPUNIT_ASSERT(opened.ok());
            it.register_peer("host-2", where);
            it.start_host();
            CPPUNIT_ASSERT(it.until(
                [&]
                {
                    return !links.empty();
                }));
            it.run_for(millis(100));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(revision), it.serves());
            // and it still follows the store
            it.store.put(
                "op/config",
                configuration_json(9, {route_json("/b/", "idempotent", "plain")}));
            CPPUNIT_ASSERT(it.until(
                [&]
                {
                    return it.send(it.host_settings.caller_endpoint,
                                   request_text("GET", "/b/x", "id-2"))
                               .status == 200;
                }));
            (*opened)->close();
        }
    }
};

class answers_of_peers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(answers_of_peers);
    CPPUNIT_TEST(end_no_process_with_any_field_replaced);
    CPPUNIT_TEST_SUITE_END();

    /// each valid answer with each of its fields replaced by each of some values
    static std::vector<nlohmann::json> malformed_answers()
    {
        const std::vector<nlohmann::json> valid{
            {{"type", "verdict"},
             {"number", 1},
             {"accepted", true},
             {"late", false},
             {"expected_ms", 5},
             {"growth_ms", 5},
             {"retry_ms", 5},
             {"waited_ms", 5}},
            {{"type", "piece"}, {"number", 1}, {"piece", 0}, {"handle", "127.0.0.1:9/1"}},
            {{"type", "piece"}, {"number", 1}, {"piece", 0}, {"failure", 1}},
            {{"type", "current"},
             {"era", 1},
             {"revision", 1},
             {"age_ms", 1},
             {"asked_at", 1}},
            {{"type", "news"},
             {"era", 1},
             {"revision", 1},
             {"base", {{"era", 0}, {"revision", 0}}},
             {"changed",
              {{{"era", 1},
                {"revision", 1},
                {"key", "servers/i-9"},
                {"held", false},
                {"value", nlohmann::json::binary({1})}}}},
             {"removed",
              {{{"era", 1},
                {"revision", 1},
                {"key", "servers/i-8"},
                {"generation", 1},
                {"sequence", 1}}}},
             {"keys", {"servers/i-9"}},
             {"lapse_ms", 0}}};
        const std::vector<nlohmann::json> values{nullptr,
                                                 -1,
                                                 INT64_MAX,
                                                 INT64_MIN,
                                                 1e300,
                                                 "text",
                                                 nlohmann::json::array({1, "x"}),
                                                 nlohmann::json::object(),
                                                 nlohmann::json::binary({1, 2})};
        std::vector<nlohmann::json> malformed;
        const auto replace_fields =
            [&](const nlohmann::json& message, const nlohmann::json::json_pointer& object)
        {
            for (const auto& field : message[object].items())
            {
                for (const nlohmann::json& value : values)
                {
                    malformed.push_back(message);
                    malformed.back()[object][field.key()] = value;
                }
            }
        };
        for (const nlohmann::json& message : valid)
        {
            replace_fields(message, nlohmann::json::json_pointer());
        }
        for (const char* object : {"/base", "/changed/0", "/removed/0"})
        {
            replace_fields(valid.back(), nlohmann::json::json_pointer(object));
        }
        return malformed;
    }

  public:
    void end_no_process_with_any_field_replaced()
    {
        one_host it;
        const std::vector<nlohmann::json> answers = malformed_answers();
        // a step that meets all kinds of messages, also in a short time
        constexpr std::size_t stride = 37;
        std::size_t next = 0;
        std::set<std::shared_ptr<message_link>> links;
        const endpoint where = free_endpoint();
        const auto opened = listener::open(
            it.loop,
            where,
            [&](const std::shared_ptr<connection>& accepted)
            {
                const auto link = message_link::create(
                    accepted, [](const nlohmann::json&) {}, [](connection_end) {});
                links.insert(link);
                // most of them end the link, so that each one carries a few
                for (int i = 0; i < 4; ++i)
                {
                    link->send(answers[next++ * stride % answers.size()]);
                }
            },
            [](const std::string&) {});
        CPPUNIT_ASSERT(opened.ok());
        for (int i = 0; i < 20; ++i)
        {
            it.register_peer("peer-" + std::to_string(i), where);
        }
        // each start asks several peers
        constexpr std::size_t enough_answers = 400;
        while (next < enough_answers)
        {
            it.start_host();
            it.run_for(millis(200));
            it.kill_host();
        }
        it.start_host();
        CPPUNIT_ASSERT(it.serves());
        (*opened)->close();
    }
};

class messages_of_another_build : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(messages_of_another_build);
    CPPUNIT_TEST(change_nothing_when_only_a_part_can_be_read);
    CPPUNIT_TEST_SUITE_END();

  public:
    void change_nothing_when_only_a_part_can_be_read()
    {
        store_mirror mirror([](const store_item&) {},
                            [](const std::string&, steady_time) {},
                            [](const store_item&) -> std::optional<content_version>
                            {
                                return std::nullopt;
                            });
        const nlohmann::json item{{"era", 2},
                                  {"revision", 5},
                                  {"key", "servers/i-9"},
                                  {"held", false},
                                  {"value", nlohmann::json::binary({1})}};
        nlohmann::json odd = item;
        odd.erase("held");
        nlohmann::json news{{"era", 2},
                            {"revision", 5},
                            {"base", {{"era", 0}, {"revision", 0}}},
                            {"changed", {item, odd}},
                            {"removed", nlohmann::json::array()},
                            {"lapse_ms", 0}};
        const steady_time now = medlar::clock::system().steady_now();
        CPPUNIT_ASSERT_THROW(mirror.apply_delta(news, now), nlohmann::json::exception);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, mirror.version().era);
        news["changed"] = {item};
        CPPUNIT_ASSERT(mirror.apply_delta(news, now) == delta_result::applied);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endless_bytes);
CPPUNIT_TEST_SUITE_REGISTRATION(news_of_peers);
CPPUNIT_TEST_SUITE_REGISTRATION(messages_of_another_build);
CPPUNIT_TEST_SUITE_REGISTRATION(answers_of_peers);

} // namespace
