#include "support/entry/cold_pool.hpp"
#include "support/entry/partitioned_group.hpp"

#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace medlar;
using namespace medlar::test;

std::string post(const std::string& question)
{
    return "POST /explain HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(question.size()) + "\r\n\r\n" + question;
}

nlohmann::json question(const std::string& path,
                        const std::string& attempt,
                        const nlohmann::json& more = nlohmann::json::object())
{
    nlohmann::json headers{{"Host", "h.example"},
                           {"Attempt-Id", attempt},
                           {"Deadline-Ms", "1500"},
                           {"Authorization", "Bearer key-1"}};
    headers.update(more);
    return {{"method", "GET"}, {"path", path}, {"headers", headers}};
}

nlohmann::json
explain(entry_fixture& it, const entry_settings& host, const nlohmann::json& asked)
{
    const received_answer got = it.send(host.metrics_endpoint, post(asked.dump()));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(got.body, 200, got.status);
    return nlohmann::json::parse(got.body);
}

/// the metrics of a host but the memory of the connections that ask for them
std::string metrics_of(entry_fixture& it, const entry_settings& host)
{
    const std::string page =
        it.send(host.metrics_endpoint, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n").body;
    std::vector<absl::string_view> lines;
    for (const absl::string_view each : absl::StrSplit(page, '\n'))
    {
        if (!absl::StartsWith(each, "medlar_memory_used_bytes"))
        {
            lines.push_back(each);
        }
    }
    return absl::StrJoin(lines, "\n");
}

/// one host before four engines and four plain targets, of which one is near
class explained_host : public entry_group
{
  public:
    explained_host()
    {
        for (int i = 0; i < 8; ++i)
        {
            targets.push_back(std::make_unique<stand_in_target>(
                loop,
                absl::StrCat("i-", i),
                i < 4 ? "plain" : "engines",
                [](const std::shared_ptr<caller_exchange>& exchange)
                {
                    header_list headers = signed_headers(*exchange);
                    headers.add("Content-Type", "text/event-stream");
                    exchange->answer(200, headers, "id: 1\ndata: x\n\n");
                }));
            targets.back()->domain = i == 2 ? "a" : "b";
            store.put(targets.back()->key(), targets.back()->entry());
        }
        nlohmann::json configuration = nlohmann::json::parse(
            configuration_json(3,
                               {route_json("/a/", "idempotent", "plain"),
                                route_json("/e/", "stream", "engines")}));
        configuration["services"].push_back(
            {{"name", "engines"}, {"health_path", "/health"}, {"max_conns", 100}});
        store.put("op/config", configuration.dump());
        start_hosts(1);
    }

    nlohmann::json ask(const nlohmann::json& asked)
    {
        return explain(*this, all_settings[0], asked);
    }

    /// @return the target that has got the request with an attempt id
    std::string target_of(const std::string& attempt) const
    {
        for (const auto& each : targets)
        {
            for (const request_head& head : each->requests)
            {
                if (head.headers.get("Attempt-Id") == attempt)
                {
                    return each->id();
                }
            }
        }
        return "";
    }

    std::vector<std::unique_ptr<stand_in_target>> targets;
};

class an_explained_request : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_explained_request);
    CPPUNIT_TEST(goes_to_the_explained_target);
    CPPUNIT_TEST(is_refused_as_explained);
    CPPUNIT_TEST(leaves_no_trace);
    CPPUNIT_TEST(is_rejected_with_the_name_of_the_invalid_field);
    CPPUNIT_TEST(names_the_owners_of_its_stages_and_the_issuer_of_permits);
    CPPUNIT_TEST(names_the_host_to_which_it_is_forwarded);
    CPPUNIT_TEST_SUITE_END();

  public:
    void goes_to_the_explained_target()
    {
        explained_host it;
        const auto expect_next = [&](const std::string& path,
                                     const std::string& attempt,
                                     const std::string& prompt)
        {
            const nlohmann::json said =
                it.ask(question(path, attempt, {{"Prompt-Prefix", prompt}}));
            CPPUNIT_ASSERT_EQUAL(std::string("send"),
                                 said.at("result").at("action").get<std::string>());
            CPPUNIT_ASSERT_EQUAL(std::string(), it.target_of(attempt));
            const received_answer got = it.send(
                it.all_settings[0].caller_endpoint,
                request_text(
                    "GET", path, attempt, "", "Prompt-Prefix: " + prompt + "\r\n"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(got.body, 200, got.status);
            CPPUNIT_ASSERT_EQUAL(said.at("result").at("target").get<std::string>(),
                                 it.target_of(attempt));
        };
        for (int i = 0; i < 8; ++i)
        {
            expect_next("/e/x", absl::StrCat("e-", i), absl::StrCat("p", i, ":9,own:1"));
        }
        expect_next("/a/x", "a-1", "");
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), it.target_of("a-1"));
        // a retry leaves out what was tried
        nlohmann::json retry = question("/a/x", "a-2");
        retry["tried"] = {"i-2"};
        CPPUNIT_ASSERT(it.ask(retry).at("result").at("target") != "i-2");
    }

    void is_refused_as_explained()
    {
        explained_host it;
        const auto expect_refused = [&](const nlohmann::json& asked, int status)
        {
            const nlohmann::json said = it.ask(asked);
            const nlohmann::json& headers = asked.at("headers");
            std::string request = request_text(
                "GET", asked.at("path"), headers.at("Attempt-Id").get<std::string>());
            request.replace(request.find("Bearer key-1"),
                            12,
                            headers.at("Authorization").get<std::string>());
            const received_answer got =
                it.send(it.all_settings[0].caller_endpoint, request);
            CPPUNIT_ASSERT_EQUAL(status, got.status);
            CPPUNIT_ASSERT(said.at("result").at("status") == status);
            CPPUNIT_ASSERT_EQUAL(said.at("result").at("why").get<std::string>() + "\n",
                                 got.body);
            CPPUNIT_ASSERT_EQUAL(status == 503,
                                 said.at("result").contains("retry_after"));
        };
        expect_refused(question("/b", "1"), 404);
        expect_refused(question("/a/x", "1", {{"Authorization", "Bearer key-9"}}), 401);
        for (int i = 0; i < 4; ++i)
        {
            stand_in_target& each = *it.targets[static_cast<std::size_t>(i)];
            it.store.put(each.key(), each.entry("draining", 2));
        }
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return !it.ask(question("/a/x", "2")).at("result").contains("target");
            }));
        expect_refused(question("/a/x", "2"), 503);
        const nlohmann::json listed = it.ask(question("/a/x", "2")).at("targets");
        for (const nlohmann::json& each : listed.at("list"))
        {
            CPPUNIT_ASSERT(each.at("state") == "draining");
            CPPUNIT_ASSERT(each.at("taken") == false);
        }
    }

    void leaves_no_trace()
    {
        explained_host it;
        for (const std::string path : {"/a/x", "/e/x"})
        {
            CPPUNIT_ASSERT_EQUAL(200,
                                 it.send(it.all_settings[0].caller_endpoint,
                                         request_text("GET", path, "id" + path))
                                     .status);
        }
        const std::string before = metrics_of(it, it.all_settings[0]);
        const nlohmann::json said = it.ask(question("/a/x", "1"));
        for (int i = 0; i < 20; ++i)
        {
            it.ask(question("/e/x", absl::StrCat("e-", i)));
            it.ask(question("/b", "2"));
            // the same again, also where targets are drawn: no random number is used
            CPPUNIT_ASSERT_EQUAL(said.at("result").at("target").get<std::string>(),
                                 it.ask(question("/a/x", "1"))
                                     .at("result")
                                     .at("target")
                                     .get<std::string>());
        }
        CPPUNIT_ASSERT_EQUAL(before, metrics_of(it, it.all_settings[0]));
        CPPUNIT_ASSERT_EQUAL(said.at("targets").dump(),
                             it.ask(question("/a/x", "1")).at("targets").dump());
        std::size_t requests = 0;
        for (const auto& each : it.targets)
        {
            requests += each->requests.size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, requests);
    }

    void is_rejected_with_the_name_of_the_invalid_field()
    {
        explained_host it;
        const endpoint& page = it.all_settings[0].metrics_endpoint;
        const received_answer odd = it.send(page, post(R"({"method":"GET"})"));
        CPPUNIT_ASSERT_EQUAL(400, odd.status);
        CPPUNIT_ASSERT_EQUAL(std::string("path: is missing\n"), odd.body);
        CPPUNIT_ASSERT_EQUAL(
            400, it.send(page, "GET /explain HTTP/1.1\r\nHost: h\r\n\r\n").status);
        // callers cannot ask
        CPPUNIT_ASSERT_EQUAL(404,
                             it.send(it.all_settings[0].caller_endpoint,
                                     post(question("/a/x", "1").dump()))
                                 .status);
    }

    void names_the_owners_of_its_stages_and_the_issuer_of_permits()
    {
        cold_pool it(2, 1);
        it.put_cold(0, 60000);
        const nlohmann::json asked =
            question("/s/x", "1", {{"Pieces", "3"}, {"Piece-Key", "k"}});
        const auto has_permits = [&](const entry_settings& each)
        {
            return explain(it, each, asked)
                .at("targets")
                .at("list")
                .at(0)
                .contains("permits");
        };
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return has_permits(it.all_settings[0]) && has_permits(it.all_settings[1]);
            }));
        const nlohmann::json one = explain(it, it.all_settings[0], asked);
        const nlohmann::json other = explain(it, it.all_settings[1], asked);
        CPPUNIT_ASSERT(one.at("result").at("action") == "run stages");
        const nlohmann::json& stage = one.at("stages").at(0);
        CPPUNIT_ASSERT(stage.at("owner") == other.at("stages").at(0).at("owner"));
        CPPUNIT_ASSERT(stage.at("is_here") == (stage.at("owner") == "host-0"));
        CPPUNIT_ASSERT(stage.at("targets").at("list").size() == 1);
        CPPUNIT_ASSERT(one.at("targets").at("list").at(0).at("permits") ==
                       other.at("targets").at("list").at(0).at("permits"));
    }

    void names_the_host_to_which_it_is_forwarded()
    {
        partitioned_group it(2, 5, 0);
        it.served_in_turn("/i/x", 8);
        it.cut(0, path_cut::refused);
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                it.begin_at(0, "/i/x");
                it.run_for(millis(100));
                const nlohmann::json said =
                    explain(it, it.all_settings[0], question("/i/x", "1"));
                return said.at("result").at("action") == "forward" &&
                       said.at("result").at("host") == "host-1";
            }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(an_explained_request);

} // namespace
