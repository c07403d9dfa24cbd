#include "build_paths.hpp"
#include "support/entry/versioned_pool.hpp"

#include <medlar/detail/loop/message_link.hpp>

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>
#include <xxhash.h>

#include <algorithm>
#include <fstream>

namespace
{

using namespace medlar;
using namespace medlar::test;

/// a message that a host of the older build sent
struct recorded_message
{
    bool is_request = false;
    std::string type;
    nlohmann::json content;
};

std::ifstream open_recorded(const std::string& name)
{
    std::ifstream file(std::string(MEDLAR_SOURCE_DIR) + "/test/entry/recorded/" + name);
    CPPUNIT_ASSERT(file.good());
    return file;
}

std::vector<recorded_message> recorded_messages()
{
    std::ifstream lines = open_recorded("messages_058f514.txt");
    std::vector<recorded_message> messages;
    std::string direction;
    std::string type;
    std::string bytes;
    while (lines >> direction >> type >> bytes)
    {
        messages.push_back({direction == "request",
                            type,
                            nlohmann::json::from_cbor(absl::HexStringToBytes(bytes))});
    }
    return messages;
}

nlohmann::json recorded_message_of(const std::string& type)
{
    for (const recorded_message& each : recorded_messages())
    {
        if (each.type == type)
        {
            return each.content;
        }
    }
    CPPUNIT_FAIL(type + " was not recorded");
    return {};
}

std::map<std::string, std::string> recorded_values(const std::string& prefix)
{
    std::map<std::string, std::string> values;
    std::ifstream file = open_recorded("values_058f514.json");
    const nlohmann::json recorded = nlohmann::json::parse(file);
    for (const auto& each : recorded.items())
    {
        if (absl::StartsWith(each.key(), prefix))
        {
            values[each.key()] = each.value().get<std::string>();
        }
    }
    CPPUNIT_ASSERT(!values.empty());
    return values;
}

/// a host and a link of a peer of the older build to it
class asked_host : public versioned_pool
{
  public:
    asked_host()
        : versioned_pool(1, {{"i-1", "v1"}, {"i-2", "v5"}}),
          link(message_link::create(
              connection::connect(loop, all_settings.front().link_endpoint, millis(1000)),
              [this](const nlohmann::json& message)
              {
                  answers.push_back(message);
              },
              [this](connection_end)
              {
                  has_ended = true;
              }))
    {
    }

    std::string metrics()
    {
        return send(all_settings.front().metrics_endpoint,
                    "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
            .body;
    }

    nlohmann::json answer_to(const nlohmann::json& question, const std::string& type)
    {
        answers.clear();
        link->send(question);
        nlohmann::json found;
        CPPUNIT_ASSERT(until(
            [&]
            {
                for (const nlohmann::json& each : answers)
                {
                    if (each.at("type") == type)
                    {
                        found = each;
                    }
                }
                return !found.is_null();
            }));
        return found;
    }

    nlohmann::json origin_of(const nlohmann::json& stream)
    {
        nlohmann::json question = recorded_message_of("origin?");
        question["stream"] = stream;
        return answer_to(question, "origin");
    }

    std::vector<nlohmann::json> answers;
    bool has_ended = false;
    std::shared_ptr<message_link> link;
};

/// Returns the attempt of the recorded soak whose stream has a key.
std::string attempt_of(const nlohmann::json& stream)
{
    constexpr int max_attempts = 100000;
    for (int i = 1; i <= max_attempts; ++i)
    {
        for (const char* seed : {"a1x", "ra1x", "c1x", "a2x", "ra2x", "c2x"})
        {
            const std::string attempt = absl::StrCat(seed, i);
            if (XXH3_64bits(attempt.data(), attempt.size()) ==
                stream.get<std::uint64_t>())
            {
                return attempt;
            }
        }
    }
    CPPUNIT_FAIL("no attempt has the key " + stream.dump());
    return {};
}

class messages_of_an_older_build : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(messages_of_an_older_build);
    CPPUNIT_TEST(are_read_when_it_asks);
    CPPUNIT_TEST(are_read_when_it_answers);
    CPPUNIT_TEST(tell_where_its_streams_began);
    CPPUNIT_TEST(have_streams_saved_before_they_begin);
    CPPUNIT_TEST(tell_which_target_is_full);
    CPPUNIT_TEST(end_the_block_of_a_harmless_suspect);
    CPPUNIT_TEST_SUITE_END();

  public:
    void are_read_when_it_asks()
    {
        asked_host it;
        for (const recorded_message& each : recorded_messages())
        {
            if (each.is_request)
            {
                it.link->send(each.content);
            }
        }
        CPPUNIT_ASSERT_EQUAL(recorded_message_of("origin?").at("number"),
                             it.origin_of(1).at("number"));
        CPPUNIT_ASSERT(!it.has_ended);
        CPPUNIT_ASSERT(!absl::StrContains(it.metrics(), "passed_over"));
    }

    void are_read_when_it_answers()
    {
        asked_host it;
        const endpoint where = free_endpoint();
        std::vector<std::shared_ptr<message_link>> links;
        int ended = 0;
        const auto opened = listener::open(
            it.loop,
            where,
            [&](const std::shared_ptr<connection>& accepted)
            {
                links.push_back(message_link::create(
                    accepted,
                    [](const nlohmann::json&) {},
                    [&ended](connection_end)
                    {
                        ++ended;
                    }));
                for (const recorded_message& each : recorded_messages())
                {
                    if (!each.is_request)
                    {
                        links.back()->send(each.content);
                    }
                }
            },
            [](const std::string&) {});
        CPPUNIT_ASSERT(opened.ok());
        for (const auto& each : recorded_values("medlar/hosts/"))
        {
            nlohmann::json registration = nlohmann::json::parse(each.second);
            registration["port"] = where.port;
            it.store.put(each.first, registration.dump());
        }
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return absl::StrContains(it.metrics(), "medlar_entry_hosts_live 2\n");
            }));
        // it asks its peer where the stream began
        it.send(
            it.all_settings.front().caller_endpoint,
            request_text(
                "POST", "/a/x", "id-r", "b", "Last-Event-Id: 1\r\nResumes: unknown\r\n"));
        CPPUNIT_ASSERT(!links.empty());
        it.run_for(millis(300));
        CPPUNIT_ASSERT_EQUAL(0, ended);
        CPPUNIT_ASSERT(!absl::StrContains(it.metrics(), "passed_over"));
        (*opened)->close();
    }

    void tell_where_its_streams_began()
    {
        asked_host it;
        const nlohmann::json begun = recorded_message_of("streams_begun");
        it.link->send(begun);
        const nlohmann::json& group = begun.at("groups").front();
        const nlohmann::json origin =
            it.origin_of(group.at("streams").front()).at("origin");
        CPPUNIT_ASSERT_EQUAL(group.at("pool"), origin.at("pool"));
        CPPUNIT_ASSERT_EQUAL(group.at("version"), origin.at("version"));
    }

    void have_streams_saved_before_they_begin()
    {
        asked_host it;
        const nlohmann::json request = recorded_message_of("save_stream");
        const nlohmann::json saved = it.answer_to(request, "stream_saved");
        CPPUNIT_ASSERT_EQUAL(request.at("number"), saved.at("number"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.recorded_streams());
    }

    void tell_which_target_is_full()
    {
        asked_host it;
        nlohmann::json full = recorded_message_of("full");
        full["started_ms"] = it.engines.at("i-1")->started_ms;
        const auto begins_at = [&](const std::string& version)
        {
            return std::count_if(it.began_at.begin(),
                                 it.began_at.end(),
                                 [&](const auto& each)
                                 {
                                     return each.second == '"' + version + '"';
                                 });
        };
        it.begin_streams(8);
        CPPUNIT_ASSERT(begins_at("v1") > 0);
        it.began_at.clear();
        for (int i = 0; i < 8; ++i)
        {
            it.link->send(full);
            // what was sent before is read by then
            it.origin_of(1);
            it.begin_stream(0);
        }
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{8}, begins_at("v5"));
    }

    void end_the_block_of_a_harmless_suspect()
    {
        asked_host it;
        const auto blocks = [&](int count)
        {
            return it.until(
                [&]
                {
                    return absl::StrContains(
                        it.metrics(),
                        absl::StrCat("medlar_blocked_suspects ", count, "\n"));
                });
        };
        nlohmann::json blocked = recorded_message_of("blocked");
        it.link->send(blocked);
        CPPUNIT_ASSERT(blocks(1));
        nlohmann::json harmless = recorded_message_of("harmless");
        harmless["suspect"] = blocked.at("suspect");
        it.link->send(harmless);
        CPPUNIT_ASSERT(blocks(0));
    }
};

class values_of_an_older_build : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(values_of_an_older_build);
    CPPUNIT_TEST(name_versions_and_blocked_suspects);
    CPPUNIT_TEST(tell_where_its_streams_began);
    CPPUNIT_TEST_SUITE_END();

    static void put_all(asked_host& it, const std::string& prefix)
    {
        for (const auto& each : recorded_values(prefix))
        {
            it.store.put(each.first, each.second);
        }
    }

  public:
    void name_versions_and_blocked_suspects()
    {
        asked_host it;
        put_all(it, "medlar/versions/");
        put_all(it, "medlar/blocked/");
        const std::string blocked = absl::StrCat(
            "medlar_blocked_suspects ", recorded_values("medlar/blocked/").size(), "\n");
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return absl::StrContains(it.metrics(), blocked);
            }));
        const nlohmann::json possible = it.origin_of(1).at("possible");
        for (const auto& each : recorded_values("medlar/versions/"))
        {
            std::string version;
            CPPUNIT_ASSERT(absl::WebSafeBase64Unescape(
                each.first.substr(each.first.rfind('/') + 1), &version));
            const nlohmann::json origin{{"pool", "plain"}, {"version", version}};
            CPPUNIT_ASSERT_MESSAGE(possible.dump(),
                                   std::find(possible.begin(), possible.end(), origin) !=
                                       possible.end());
        }
    }

    void tell_where_its_streams_began()
    {
        asked_host it;
        put_all(it, "medlar/shares/");
        put_all(it, "medlar/streams/");
        const nlohmann::json record =
            nlohmann::json::parse(recorded_values("medlar/streams/").begin()->second);
        int streams = 0;
        for (const nlohmann::json& group : record)
        {
            for (const nlohmann::json& stream : group.at("streams"))
            {
                const std::string attempt = attempt_of(stream);
                it.began_at[attempt] = group.at("version").dump();
                const received_answer answer = it.send(
                    it.all_settings.front().caller_endpoint,
                    request_text(
                        "POST",
                        "/a/x",
                        absl::StrCat("r", attempt),
                        "b",
                        absl::StrCat("Last-Event-Id: 1\r\nResumes: ", attempt, "\r\n")));
                CPPUNIT_ASSERT_EQUAL(200, answer.status);
                ++streams;
            }
        }
        CPPUNIT_ASSERT_EQUAL(streams, it.resumed);
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(messages_of_an_older_build);
CPPUNIT_TEST_SUITE_REGISTRATION(values_of_an_older_build);

} // namespace
