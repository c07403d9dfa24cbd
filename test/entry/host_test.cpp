#include "support/entry/entry_fixture.hpp"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace
{

using namespace medlar;
using namespace medlar::test;

using exchange_ptr = std::shared_ptr<caller_exchange>;

void answer_signed(const exchange_ptr& exchange)
{
    exchange->answer(200, signed_headers(*exchange), "hello");
}

/// several entry hosts in front of one target
class host_fixture : public entry_fixture
{
  public:
    host_fixture() : target(loop, "i-1", "plain", answer_signed)
    {
        store.put(target.key(), target.entry());
        store.put("op/config",
                  configuration_json(3, {route_json("/a/", "idempotent", "plain")}));
    }

    void add_host(const std::string& name)
    {
        all_settings.push_back(settings(name));
        hosts.push_back(start(all_settings.back()));
    }

    bool until_ready(std::size_t which)
    {
        return until(
            [&]
            {
                return is_ready(all_settings[which]);
            });
    }

    int fetch_status(std::size_t which, const std::string& path)
    {
        return send(all_settings[which].caller_endpoint,
                    request_text("GET", path, "id-1"))
            .status;
    }

    bool until_status(std::size_t which, const std::string& path, int status)
    {
        return until(
            [&]
            {
                return fetch_status(which, path) == status;
            });
    }

    stand_in_target target;
    std::vector<entry_settings> all_settings;
    std::vector<std::shared_ptr<running_host>> hosts;
};

class an_entry_host : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_entry_host);
    CPPUNIT_TEST(is_not_ready_and_answers_503_without_a_configuration);
    CPPUNIT_TEST(follows_new_versions_and_not_older_ones);
    CPPUNIT_TEST(keeps_what_it_knows_while_the_store_is_down);
    CPPUNIT_TEST(learns_from_another_host_what_the_store_does_not_tell_it);
    CPPUNIT_TEST(starts_from_another_host_while_the_store_is_down);
    CPPUNIT_TEST(reads_all_items_again_when_the_store_was_compacted);
    CPPUNIT_TEST(sends_nothing_to_a_target_that_drains);
    CPPUNIT_TEST(ignores_entries_that_cannot_be_read);
    CPPUNIT_TEST(finishes_what_runs_before_it_ends);
    CPPUNIT_TEST(rejects_invalid_requests);
    CPPUNIT_TEST(serves_its_metrics);
    CPPUNIT_TEST(outlives_messages_that_cannot_be_read);
    CPPUNIT_TEST(ends_links_that_bring_no_messages);
    CPPUNIT_TEST(outlives_messages_with_any_field_replaced);
    CPPUNIT_TEST(serves_requests_that_arrive_just_after_it_was_told_to_stop);
    CPPUNIT_TEST(does_not_start_at_an_address_that_another_one_uses);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_not_ready_and_answers_503_without_a_configuration()
    {
        host_fixture it;
        it.store.set_down(true);
        it.add_host("host-1");
        it.run_for(millis(50));
        CPPUNIT_ASSERT(!it.is_ready(it.all_settings[0]));
        CPPUNIT_ASSERT_EQUAL(503, it.fetch_status(0, "/a/x"));
        it.store.set_down(false);
        CPPUNIT_ASSERT(it.until_ready(0));
        CPPUNIT_ASSERT_EQUAL(200, it.fetch_status(0, "/a/x"));
    }

    void follows_new_versions_and_not_older_ones()
    {
        host_fixture it;
        it.add_host("host-1");
        CPPUNIT_ASSERT(it.until_ready(0));
        CPPUNIT_ASSERT_EQUAL(404, it.fetch_status(0, "/b/x"));
        it.store.put("op/config",
                     configuration_json(9, {route_json("/b/", "idempotent", "plain")}));
        CPPUNIT_ASSERT(it.until_status(0, "/b/x", 200));
        CPPUNIT_ASSERT_EQUAL(404, it.fetch_status(0, "/a/x"));
        it.store.put("op/config",
                     configuration_json(4, {route_json("/a/", "idempotent", "plain")}));
        it.run_for(millis(400));
        CPPUNIT_ASSERT_EQUAL(200, it.fetch_status(0, "/b/x"));
    }

    void does_not_start_at_an_address_that_another_one_uses()
    {
        host_fixture it;
        it.add_host("host-1");
        entry_settings second = it.settings("host-2");
        second.caller_endpoint = it.all_settings[0].caller_endpoint;
        const auto host = entry_host::create(it.loop,
                                             it.protocol,
                                             second,
                                             [second]() -> absl::StatusOr<entry_settings>
                                             {
                                                 return second;
                                             });
        CPPUNIT_ASSERT(!host.ok());
        CPPUNIT_ASSERT(
            absl::StrContains(host.status().message(),
                              "cannot listen at " + to_string(second.caller_endpoint)));
    }

    void keeps_what_it_knows_while_the_store_is_down()
    {
        host_fixture it;
        it.add_host("host-1");
        CPPUNIT_ASSERT(it.until_ready(0));
        it.store.set_down(true);
        it.store.remove(it.target.key());
        it.run_for(millis(1500));
        CPPUNIT_ASSERT_EQUAL(200, it.fetch_status(0, "/a/x"));

        // the entry returns shortly after the store: the target stayed in use all the
        // time
        it.store.set_down(false);
        it.run_for(millis(1200));
        CPPUNIT_ASSERT_EQUAL(200, it.fetch_status(0, "/a/x"));
        it.store.put(it.target.key(), it.target.entry());
        it.run_for(millis(2500));
        CPPUNIT_ASSERT_EQUAL(200, it.fetch_status(0, "/a/x"));

        // a target whose entry does not return in time is removed
        it.store.set_down(true);
        it.store.remove(it.target.key());
        it.run_for(millis(1500));
        it.store.set_down(false);
        CPPUNIT_ASSERT(it.until_status(0, "/a/x", 503));
    }

    void learns_from_another_host_what_the_store_does_not_tell_it()
    {
        host_fixture it;
        it.add_host("host-1");
        it.add_host("host-2");
        CPPUNIT_ASSERT(it.until_ready(0) && it.until_ready(1));
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return it.store.has_key_with_prefix("medlar/hosts/host-2");
            }));
        it.run_for(millis(500));

        // the second host restarts with no access to the store
        entry_settings cut = it.settings("host-2");
        cut.store_endpoint = free_endpoint();
        cut.seeds = {it.all_settings[0].link_endpoint};
        it.kill(it.hosts[1]);
        it.all_settings[1] = cut;
        it.hosts[1] = it.start(cut);
        CPPUNIT_ASSERT(it.until_ready(1));
        it.store.put("op/config",
                     configuration_json(9, {route_json("/b/", "idempotent", "plain")}));
        CPPUNIT_ASSERT(it.until_status(1, "/b/x", 200));
    }

    void starts_from_another_host_while_the_store_is_down()
    {
        host_fixture it;
        it.add_host("host-1");
        CPPUNIT_ASSERT(it.until_ready(0));
        it.store.set_down(true);
        entry_settings second = it.settings("host-2");
        second.seeds = {it.all_settings[0].link_endpoint};
        it.all_settings.push_back(second);
        it.hosts.push_back(it.start(second));
        CPPUNIT_ASSERT(it.until_ready(1));
        CPPUNIT_ASSERT_EQUAL(200, it.fetch_status(1, "/a/x"));
    }

    void reads_all_items_again_when_the_store_was_compacted()
    {
        host_fixture it;
        it.add_host("host-1");
        CPPUNIT_ASSERT(it.until_ready(0));
        it.store.set_down(true);
        it.store.put("op/config",
                     configuration_json(9, {route_json("/b/", "idempotent", "plain")}));
        it.store.compact();
        it.store.set_down(false);
        CPPUNIT_ASSERT(it.until_status(0, "/b/x", 200));
    }

    void sends_nothing_to_a_target_that_drains()
    {
        host_fixture it;
        it.add_host("host-1");
        CPPUNIT_ASSERT(it.until_ready(0));
        it.store.put(it.target.key(), it.target.entry("draining"));
        CPPUNIT_ASSERT(it.until_status(0, "/a/x", 503));
        const std::size_t before = it.target.requests.size();
        CPPUNIT_ASSERT_EQUAL(503, it.fetch_status(0, "/a/x"));
        CPPUNIT_ASSERT_EQUAL(before, it.target.requests.size());
    }

    void ignores_entries_that_cannot_be_read()
    {
        host_fixture it;
        it.store.put("servers/i-8", "\x01\x02");
        it.store.put("servers/i-9", R"({"service": 5, "address": "127.0.0.1:1"})");
        it.add_host("host-1");
        CPPUNIT_ASSERT(it.until_ready(0));
        for (int i = 0; i < 10; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(200, it.fetch_status(0, "/a/x"));
        }
    }

    void finishes_what_runs_before_it_ends()
    {
        host_fixture it;
        exchange_ptr held;
        stand_in_target slow(it.loop,
                             "i-2",
                             "slow",
                             [&held](const exchange_ptr& exchange)
                             {
                                 held = exchange;
                             });
        it.store.put(slow.key(), slow.entry());
        it.store.put(
            "op/config",
            configuration_json(4, {route_json("/s/", "non_idempotent", "slow")}));
        it.add_host("host-1");
        CPPUNIT_ASSERT(it.until_ready(0));
        const auto got = it.begin(it.all_settings[0].caller_endpoint,
                                  request_text("POST", "/s/x", "id-1", "b"));
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return held != nullptr;
            }));
        it.hosts[0]->host->drain();
        CPPUNIT_ASSERT(!it.is_ready(it.all_settings[0]));
        CPPUNIT_ASSERT(!it.hosts[0]->host->is_finished());
        answer_signed(held);
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return got->ended;
            }));
        CPPUNIT_ASSERT_EQUAL(200, got->status);
        CPPUNIT_ASSERT(got->headers.has_token("Connection", "close"));
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return it.hosts[0]->host->is_finished();
            }));
    }

    void rejects_invalid_requests()
    {
        host_fixture it;
        it.add_host("host-1");
        CPPUNIT_ASSERT(it.until_ready(0));
        const endpoint at = it.all_settings[0].caller_endpoint;
        CPPUNIT_ASSERT_EQUAL(
            400,
            it.send(at,
                    "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n")
                .status);
        CPPUNIT_ASSERT_EQUAL(
            413,
            it.send(at,
                    "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 10000000\r\n\r\n")
                .status);
        CPPUNIT_ASSERT_EQUAL(
            431, it.send(at, "GET / HTTP/1.1\r\nX: " + std::string(20000, 'x')).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.target.requests.size());
    }

    void outlives_messages_that_cannot_be_read()
    {
        host_fixture it;
        it.add_host("host-1");
        CPPUNIT_ASSERT(it.until_ready(0));
        std::vector<nlohmann::json> unreadable{
            {{"no", "type"}}, {{"type", 7}}, {{"type", nullptr}}, 7, "job", nullptr};
        for (const char* type : {"job",
                                 "cancel",
                                 "refused",
                                 "free",
                                 "paths",
                                 "crashes",
                                 "reached?",
                                 "harmless?",
                                 "blocked",
                                 "harmless",
                                 "full",
                                 "limit",
                                 "limit_ended",
                                 "permit?",
                                 "streams_begun",
                                 "save_stream",
                                 "origin?",
                                 "follow"})
        {
            unreadable.push_back({{"type", type}});
        }
        unreadable.push_back({{"type", "news?"}, {"era", "text"}});
        const std::vector<nlohmann::json> unknown{
            {{"type", "of a later build"}}, {{"type", ""}}, {{"type", "\xff"}}};
        std::vector<nlohmann::json> messages = unreadable;
        messages.insert(messages.end(), unknown.begin(), unknown.end());
        std::vector<nlohmann::json> answers;
        bool ended = false;
        const auto link = message_link::create(
            connection::connect(it.loop, it.all_settings[0].link_endpoint, millis(1000)),
            [&answers](const nlohmann::json& message)
            {
                answers.push_back(message);
            },
            [&ended](connection_end)
            {
                ended = true;
            });
        for (std::size_t i = 0; i < messages.size(); ++i)
        {
            link->send(messages[i]);
            link->send({{"type", "origin?"},
                        {"number", i},
                        {"stream", 1},
                        {"pools", nlohmann::json::array()}});
            CPPUNIT_ASSERT(it.until(
                [&]
                {
                    return ended || answers.size() == i + 1;
                }));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(i), !ended);
            CPPUNIT_ASSERT_EQUAL(std::string("origin"),
                                 answers.back().at("type").get<std::string>());
            CPPUNIT_ASSERT_EQUAL(i, answers.back().at("number").get<std::size_t>());
        }
        const std::string metrics = it.send(it.all_settings[0].metrics_endpoint,
                                            "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
                                        .body;
        for (const auto& [why, count] : {std::make_pair("unreadable", unreadable.size()),
                                         std::make_pair("unknown", unknown.size())})
        {
            CPPUNIT_ASSERT_MESSAGE(
                metrics,
                absl::StrContains(metrics,
                                  absl::StrCat("medlar_messages_passed_over_total{why=\"",
                                               why,
                                               "\"} ",
                                               count,
                                               "\n")));
        }
        CPPUNIT_ASSERT_EQUAL(200, it.fetch_status(0, "/a/x"));
    }

    void ends_links_that_bring_no_messages()
    {
        host_fixture it;
        it.add_host("host-1");
        CPPUNIT_ASSERT(it.until_ready(0));
        const std::string question{"\0\0\0\1\xa0", 5};
        for (const std::string& bytes : {std::string("\0\0\0\1\xff", 5),
                                         std::string("\0\0\0\0", 4),
                                         std::string("\0\0\0\2\xa0\xa0", 6),
                                         std::string("\x7f\0\0\0", 4)})
        {
            bool ended = false;
            const auto stream = connection::connect(
                it.loop, it.all_settings[0].link_endpoint, millis(1000));
            const auto link = message_link::create(
                stream,
                [](const nlohmann::json&) {},
                [&ended](connection_end)
                {
                    ended = true;
                });
            stream->send(question + bytes + question);
            CPPUNIT_ASSERT(it.until(
                [&]
                {
                    return ended;
                }));
        }
        CPPUNIT_ASSERT_EQUAL(200, it.fetch_status(0, "/a/x"));
    }

    void outlives_messages_with_any_field_replaced()
    {
        host_fixture it;
        it.add_host("host-1");
        CPPUNIT_ASSERT(it.until_ready(0));
        const std::vector<nlohmann::json> valid{
            {{"type", "job"},
             {"number", 1},
             {"pool", "plain"},
             {"group", ""},
             {"attempt", "a"},
             {"stage", 0},
             {"pieces", {0, 1}},
             {"key", "k"},
             {"inputs", {"h/1"}},
             {"priority", 1},
             {"aim_ms", 500},
             {"left_ms", 900},
             {"domain", "a"},
             {"bytes", 9},
             {"moved", 9},
             {"first", true},
             {"background", false}},
            {{"type", "cancel"}, {"number", 1}},
            {{"type", "refused"}, {"pool", "plain"}, {"group", ""}, {"key", "k"}},
            {{"type", "free"}, {"handles", {"127.0.0.1:9/1"}}},
            {{"type", "news?"}, {"era", 1}, {"revision", 1}, {"known_era", 1}},
            {{"type", "follow"}, {"era", 1}, {"revision", 1}, {"asked_at", 1}},
            {{"type", "unfollow"}}};
        const std::vector<nlohmann::json> values{nullptr,
                                                 -1,
                                                 INT64_MAX,
                                                 INT64_MIN,
                                                 1e300,
                                                 "text",
                                                 nlohmann::json::array({1, "x"}),
                                                 nlohmann::json::object(),
                                                 nlohmann::json::binary({1, 2})};
        for (const nlohmann::json& message : valid)
        {
            for (const auto& field : message.items())
            {
                for (const nlohmann::json& value : values)
                {
                    nlohmann::json changed = message;
                    changed[field.key()] = value;
                    const auto link = message_link::create(
                        connection::connect(
                            it.loop, it.all_settings[0].link_endpoint, millis(1000)),
                        [](const nlohmann::json&) {},
                        [](connection_end) {});
                    link->send(changed);
                    it.run_for(millis(2));
                    link->close();
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(200, it.fetch_status(0, "/a/x"));
        // and it still follows the store
        it.store.put("op/config",
                     configuration_json(9, {route_json("/b/", "idempotent", "plain")}));
        CPPUNIT_ASSERT(it.until_status(0, "/b/x", 200));
    }

    void serves_requests_that_arrive_just_after_it_was_told_to_stop()
    {
        host_fixture it;
        it.add_host("host-1");
        CPPUNIT_ASSERT(it.until_ready(0));
        it.hosts[0]->host->drain();
        const steady_time begin = it.time.steady_now();
        int served = 0;
        while (it.time.steady_now() - begin < millis(1500))
        {
            CPPUNIT_ASSERT_EQUAL(200, it.fetch_status(0, "/a/x"));
            ++served;
        }
        CPPUNIT_ASSERT(served > 10);
        CPPUNIT_ASSERT(!it.is_ready(it.all_settings[0]));
    }

    void serves_its_metrics()
    {
        host_fixture it;
        it.add_host("host-1");
        CPPUNIT_ASSERT(it.until_ready(0));
        it.fetch_status(0, "/a/x");
        const received_answer got = it.send(it.all_settings[0].metrics_endpoint,
                                            "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(got.body.find("medlar_requests_total{status=\"200\"} 1") !=
                       std::string::npos);
    }
};

class several_entry_hosts : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(several_entry_hosts);
    CPPUNIT_TEST(batch_pieces_of_all_hosts_into_calls);
    CPPUNIT_TEST(continue_when_a_piece_owner_is_lost);
    CPPUNIT_TEST(take_no_second_copy_of_results_for_those_of_the_next_call);
    CPPUNIT_TEST_SUITE_END();

  public:
    void batch_pieces_of_all_hosts_into_calls()
    {
        staged_hosts it(4);
        const auto answers = it.send_to_each_host();
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return std::all_of(answers.begin(),
                                   answers.end(),
                                   [](const auto& each)
                                   {
                                       return each->ended;
                                   });
            }));
        for (const auto& each : answers)
        {
            CPPUNIT_ASSERT_EQUAL(200, each->status);
        }
        // four requests of two pieces: the first call takes some, the next ones the rest
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, it.pieces);
        CPPUNIT_ASSERT(it.calls <= 3);
    }

    void continue_when_a_piece_owner_is_lost()
    {
        staged_hosts it(3);
        it.hold_calls = true;
        const auto answers = it.send_to_each_host();
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return it.calls > 0;
            }));
        const std::string owner =
            rank_owners({pool_id("stage"), ""}, it.peers()).front().get();
        std::size_t lost = 0;
        for (std::size_t i = 0; i < it.all_settings.size(); ++i)
        {
            if (it.all_settings[i].host.get() == owner)
            {
                lost = i;
            }
        }
        it.hold_calls = false;
        it.kill(it.hosts[lost]);
        for (std::size_t i = 0; i < answers.size(); ++i)
        {
            if (i == lost)
            {
                continue;
            }
            CPPUNIT_ASSERT(it.until(
                [&]
                {
                    return answers[i]->ended;
                }));
            CPPUNIT_ASSERT_EQUAL(200, answers[i]->status);
        }
    }

    void take_no_second_copy_of_results_for_those_of_the_next_call()
    {
        staged_hosts it(1);
        for (int i = 0; i < 3; ++i)
        {
            // the target sends the answer before once more, in place of the right one
            it.repeat_last_answer = i > 0;
            const auto answers = it.send_to_each_host();
            CPPUNIT_ASSERT(it.until(
                [&]
                {
                    return answers[0]->ended;
                }));
            CPPUNIT_ASSERT_EQUAL(200, answers[0]->status);
        }
        std::set<std::string> inputs;
        for (const request_head& each : it.engine.requests)
        {
            CPPUNIT_ASSERT(inputs.insert(std::string(each.headers.get("Inputs"))).second);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, inputs.size());
    }

  private:
    /// hosts in front of one target that executes pieces and one engine
    class staged_hosts : public host_fixture
    {
      public:
        explicit staged_hosts(int count)
            : stage_target(loop,
                           "i-3",
                           "stage",
                           [this](const exchange_ptr& exchange)
                           {
                               execute_pieces(exchange);
                           }),
              engine(loop,
                     "i-4",
                     "engines",
                     [](const exchange_ptr& exchange)
                     {
                         exchange->begin(200,
                                         "OK",
                                         signed_headers(*exchange),
                                         {body_kind::chunked, 0});
                         exchange->write("id: 1\ndata: x\n\n");
                         exchange->finish();
                     })
        {
            nlohmann::json route = route_json("/p/", "stream", "engines");
            route["stages"] = {
                {{"service", "stage"}, {"after", nlohmann::json::array()}, {"bytes", 9}}};
            store.put(stage_target.key(), stage_target.entry());
            store.put(engine.key(), engine.entry());
            store.put("op/config", configuration_json(5, {route}));
            for (int i = 0; i < count; ++i)
            {
                add_host("host-" + std::to_string(i));
                CPPUNIT_ASSERT(until_ready(static_cast<std::size_t>(i)));
            }
            // time for all hosts to learn of each other
            run_for(millis(600));
        }

        std::vector<std::shared_ptr<received_answer>> send_to_each_host()
        {
            std::vector<std::shared_ptr<received_answer>> answers;
            for (const entry_settings& each : all_settings)
            {
                answers.push_back(begin(each.caller_endpoint,
                                        request_text("POST",
                                                     "/p/x",
                                                     "id-" + each.host.get(),
                                                     "b",
                                                     "Pieces: 2\r\nPiece-Key: k\r\n")));
            }
            return answers;
        }

        std::vector<peer_host> peers() const
        {
            std::vector<peer_host> known;
            for (const entry_settings& each : all_settings)
            {
                known.push_back(
                    {each.host, each.domain, each.link_endpoint, each.core_share});
            }
            return known;
        }

        void execute_pieces(const exchange_ptr& exchange)
        {
            const nlohmann::json body = nlohmann::json::parse(exchange->body());
            if (!body.contains("items"))
            {
                exchange->answer(200, {}, "{}");
                return;
            }
            ++calls;
            pieces += body["items"].size();
            if (hold_calls)
            {
                held.push_back(exchange);
                return;
            }
            nlohmann::json items = nlohmann::json::array();
            for (std::size_t i = 0; i < body["items"].size(); ++i)
            {
                items.push_back({{"handle",
                                  to_string(stage_target.where()) + "/" +
                                      std::to_string(++result_count)}});
            }
            std::string text = nlohmann::json({{"items", items}}).dump();
            if (repeat_last_answer)
            {
                text = last_answer;
                repeat_last_answer = false;
            }
            last_answer = text;
            loop.after(millis(30),
                       [exchange, text]
                       {
                           exchange->answer(200, {}, text);
                       });
        }

        std::size_t calls = 0;
        std::size_t pieces = 0;
        int result_count = 0;
        bool hold_calls = false;
        bool repeat_last_answer = false;
        std::string last_answer;
        std::vector<exchange_ptr> held;
        stand_in_target stage_target;
        stand_in_target engine;
    };
};

CPPUNIT_TEST_SUITE_REGISTRATION(an_entry_host);
CPPUNIT_TEST_SUITE_REGISTRATION(several_entry_hosts);

} // namespace
