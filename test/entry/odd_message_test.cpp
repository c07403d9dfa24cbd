#include "support/entry/entry_group.hpp"

#include <medlar/detail/dispatch/piece_owner.hpp>
#include <medlar/detail/loop/message_link.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

using exchange_ptr = std::shared_ptr<caller_exchange>;

constexpr char stage_pool[] = "stage";

/// a host that starts streams with a stage, and a peer of another build that owns its
/// pieces
class host_beside_another_build : public entry_group
{
  public:
    host_beside_another_build()
        : engine_(loop, "i-1", "plain", answer_stream),
          stage_(loop,
                 "i-2",
                 stage_pool,
                 [this](const exchange_ptr& exchange)
                 {
                     execute_pieces(exchange);
                 }),
          where_(free_endpoint())
    {
        nlohmann::json route = route_json("/s/", "stream", "plain");
        route["stages"] = {
            {{"service", stage_pool}, {"after", nlohmann::json::array()}, {"bytes", 9}}};
        store.put("op/config", configuration_json(3, {route}));
        store.put(engine_.key(), engine_.entry());
        store.put(stage_.key(), stage_.entry());
        auto opened = listener::open(
            loop,
            where_,
            [this](const std::shared_ptr<connection>& accepted)
            {
                accept(accepted);
            },
            [](const std::string&) {});
        CPPUNIT_ASSERT(opened.ok());
        listener_ = *std::move(opened);
    }

    ~host_beside_another_build()
    {
        listener_->close();
    }

    /// Starts the host, and registers the peer under a name by which it owns the pieces.
    void start_both()
    {
        start_hosts(1);
        host_id owner;
        for (int i = 0; owner != owner_beside(owner); ++i)
        {
            owner = host_id(absl::StrCat("another-build-", i));
        }
        store.put("medlar/hosts/" + owner.get(),
                  nlohmann::json({{"address", where_.address},
                                  {"port", where_.port},
                                  {"domain", "a"},
                                  {"share", 1.0}})
                      .dump());
        CPPUNIT_ASSERT(until(
            [this]
            {
                return absl::StrContains(metrics(), "medlar_entry_hosts_live 2\n");
            }));
    }

    std::string metrics()
    {
        return send(all_settings.front().metrics_endpoint,
                    "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
            .body;
    }

    received_answer send_request(const std::string& headers)
    {
        const std::string number = std::to_string(++sent_);
        return send(
            all_settings.front().caller_endpoint,
            request_text("POST",
                         "/s/x",
                         "id-" + number,
                         "b",
                         "Pieces: 2\r\nPiece-Key: k-" + number + "\r\n" + headers));
    }

    /// what the peer answers to each question of a type, with the question's number
    std::map<std::string, std::vector<nlohmann::json>> answers;
    /// questions and other messages of the host, by type
    std::map<std::string, int> received;
    int ended = 0;

  private:
    static void answer_stream(const exchange_ptr& exchange)
    {
        exchange->begin(200, "OK", signed_headers(*exchange), {body_kind::chunked, 0});
        exchange->write("id: 1\ndata: x\n\n");
        exchange->finish();
    }

    void execute_pieces(const exchange_ptr& exchange)
    {
        const nlohmann::json body = nlohmann::json::parse(exchange->body());
        nlohmann::json items = nlohmann::json::array();
        for (std::size_t i = 0; body.contains("items") && i < body["items"].size(); ++i)
        {
            items.push_back({{"handle", absl::StrCat("127.0.0.1:1/h", ++result_count_)}});
        }
        exchange->answer(200, {}, nlohmann::json({{"items", items}}).dump());
    }

    host_id owner_beside(const host_id& owner) const
    {
        const entry_settings& own = all_settings.front();
        peer_host self;
        self.id = own.host;
        self.domain = own.domain;
        self.cpu_share = own.core_share;
        peer_host other;
        other.id = owner;
        other.domain = own.domain;
        return owner.get().empty()
                   ? own.host
                   : rank_owners({pool_id(stage_pool), {}}, {self, other}).front();
    }

    void accept(const std::shared_ptr<connection>& accepted)
    {
        const std::size_t number = links_.size();
        links_.push_back(message_link::create(
            accepted,
            [this, number](const nlohmann::json& message)
            {
                answer(*links_[number], message);
            },
            [this](connection_end)
            {
                ++ended;
            }));
    }

    void answer(message_link& link, const nlohmann::json& question)
    {
        const auto type = question.at("type").get<std::string>();
        ++received[type];
        for (nlohmann::json each : answers[type])
        {
            each["number"] = question.at("number");
            link.send(each);
        }
    }

    stand_in_target engine_;
    stand_in_target stage_;
    endpoint where_;
    std::shared_ptr<listener> listener_;
    std::vector<std::shared_ptr<message_link>> links_;
    int sent_ = 0;
    int result_count_ = 0;
};

class a_host_of_another_build : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_host_of_another_build);
    CPPUNIT_TEST(whose_answers_cannot_be_read_loses_its_jobs_and_no_link);
    CPPUNIT_TEST(whose_answer_about_a_stream_cannot_be_read_is_not_waited_for);
    CPPUNIT_TEST(whose_question_lacks_a_field_follows_nothing);
    CPPUNIT_TEST(that_sends_nothing_readable_keeps_nobody_from_being_served);
    CPPUNIT_TEST_SUITE_END();

  public:
    void whose_answers_cannot_be_read_loses_its_jobs_and_no_link()
    {
        const nlohmann::json verdict{{"type", "verdict"},
                                     {"accepted", true},
                                     {"late", false},
                                     {"expected_ms", 5},
                                     {"retry_ms", 0},
                                     {"waited_ms", 0}};
        std::vector<std::vector<nlohmann::json>> unreadable{
            {{{"type", "no_path"}}},
            {verdict, {{"type", "piece"}, {"piece", 0}}},
            {verdict, {{"type", "piece"}, {"handle", "127.0.0.1:1/x"}}}};
        for (const char* field : {"accepted", "late", "expected_ms", "retry_ms"})
        {
            nlohmann::json changed = verdict;
            changed.erase(field);
            unreadable.push_back({changed});
        }
        for (const char* field : {"accepted", "late", "expected_ms", "waited_ms"})
        {
            nlohmann::json changed = verdict;
            changed[field] = "text";
            unreadable.push_back({changed});
        }
        host_beside_another_build it;
        it.start_both();
        for (const std::vector<nlohmann::json>& each : unreadable)
        {
            it.answers["job"] = each;
            it.received.clear();
            const steady_time begin = it.time.steady_now();
            const received_answer got = it.send_request("");
            const std::string what = nlohmann::json(each).dump();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 200, got.status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                what, std::string("id: 1\ndata: x\n\n"), got.body);
            // shorter than a silent owner is waited for
            CPPUNIT_ASSERT_MESSAGE(what, it.time.steady_now() - begin < millis(300));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 0, it.ended);
            // it was asked, and executes nothing that another one does, too
            CPPUNIT_ASSERT_MESSAGE(what, it.received["job"] > 0);
            CPPUNIT_ASSERT(it.until(
                [&]
                {
                    return it.received["cancel"] == it.received["job"];
                }));
        }
        CPPUNIT_ASSERT(absl::StrContains(
            it.metrics(), "medlar_messages_passed_over_total{why=\"unreadable\"}"));
    }

    void whose_answer_about_a_stream_cannot_be_read_is_not_waited_for()
    {
        host_beside_another_build it;
        it.start_both();
        const nlohmann::json origin{{"pool", "plain"}, {"version", "v9"}};
        int streams = 0;
        // a host that does not answer to a job is not asked for a while
        it.answers["job"] = {{{"type", "no_path"}, {"accepted", false}}};
        for (const nlohmann::json& answer :
             {nlohmann::json({{"type", "origin"}}),
              nlohmann::json({{"type", "origin"},
                              {"origin", origin},
                              {"possible", {origin, 7}},
                              {"unlisted", nlohmann::json::array()}}),
              nlohmann::json({{"type", "origin"},
                              {"origin", origin},
                              {"possible", {origin}},
                              {"unlisted", {7}}})})
        {
            it.answers["origin?"] = {answer};
            it.received.clear();
            // of the only version: nothing of the answer was taken
            const received_answer got = it.send_request(
                absl::StrCat("Last-Event-Id: 0\r\nResumes: unknown-", ++streams, "\r\n"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.dump(), 200, got.status);
            CPPUNIT_ASSERT_MESSAGE(answer.dump(), it.received["origin?"] > 0);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.dump(), 0, it.ended);
        }
    }

    void whose_question_lacks_a_field_follows_nothing()
    {
        host_beside_another_build it;
        it.start_hosts(1);
        std::vector<nlohmann::json> answered;
        bool has_ended = false;
        const auto link = message_link::create(
            connection::connect(it.loop, it.all_settings[0].link_endpoint, millis(1000)),
            [&](const nlohmann::json& message)
            {
                answered.push_back(message);
            },
            [&](connection_end)
            {
                has_ended = true;
            });
        nlohmann::json follow{{"type", "follow"}, {"era", 1}, {"revision", 1}};
        link->send(follow);
        it.run_for(millis(50));
        it.store.put("servers/i-9", "x");
        it.run_for(millis(300));
        CPPUNIT_ASSERT(!has_ended);
        CPPUNIT_ASSERT(answered.empty());
        follow["asked_at"] = 1;
        link->send(follow);
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return answered.size() == 2;
            }));
        CPPUNIT_ASSERT_EQUAL(std::string("news"),
                             answered[0].at("type").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("current"),
                             answered[1].at("type").get<std::string>());
    }

    void that_sends_nothing_readable_keeps_nobody_from_being_served()
    {
        host_beside_another_build it;
        it.start_both();
        it.answers["job"] = {{{"type", "no_path"}, {"accepted", false}}};
        bool has_ended = false;
        const auto link = message_link::create(
            connection::connect(it.loop, it.all_settings[0].link_endpoint, millis(1000)),
            [](const nlohmann::json&) {},
            [&](connection_end)
            {
                has_ended = true;
            });
        constexpr int of_each_kind = 1000;
        const std::string long_type(4096, '\xff');
        for (int i = 0; i < of_each_kind; ++i)
        {
            link->send({{"type", long_type}});
            link->send({{"type", "job"}, {"number", long_type}});
        }
        const received_answer got = it.send_request("");
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: x\n\n"), got.body);
        const auto passed_over = [&](const std::string& why)
        {
            return absl::StrContains(
                it.metrics(),
                absl::StrCat("medlar_messages_passed_over_total{why=\"",
                             why,
                             "\"} ",
                             of_each_kind,
                             "\n"));
        };
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return passed_over("unreadable") && passed_over("unknown");
            }));
        CPPUNIT_ASSERT(!has_ended);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_host_of_another_build);

} // namespace
