#include <medlar/detail/dispatch/explain_question.hpp>
#include <medlar/detail/dispatch/request_explanation.hpp>
#include <medlar/detail/dispatch/route_decision.hpp>

#include <absl/strings/match.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace
{

using namespace medlar;

const steady_time now{1000000};

class a_question : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_question);
    CPPUNIT_TEST(is_read);
    CPPUNIT_TEST(is_rejected_with_the_name_of_the_invalid_field);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_read()
    {
        const auto read = read_explain_question(
            R"({"method":"POST","path":"/a?b","headers":{"Host":"h","X":["1","2"]},
                "request":"00000000000000ff","tried":["i-1"]})");
        CPPUNIT_ASSERT_MESSAGE(read.status().ToString(), read.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("POST"), read->head.method);
        CPPUNIT_ASSERT_EQUAL(std::string("/a"), std::string(read->head.path()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read->head.headers.count("X"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{255}, read->key->get());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read->tried.size());
    }

    void is_rejected_with_the_name_of_the_invalid_field()
    {
        const std::map<std::string, std::string> cases{
            {"[1]", "question:"},
            {"{", "question:"},
            {std::string(max_question_bytes + 1, '['), "question:"},
            {R"({"path":"/"})", "method:"},
            {R"({"method":"GET"})", "path:"},
            {R"({"method":"GET","path":7})", "path:"},
            {R"({"method":"G T","path":"/"})", "method, path:"},
            {R"({"method":"GET","path":"a"})", "method, path:"},
            {R"({"method":"GET","path":"/\r\nA: b"})", "path:"},
            {R"({"method":"GET","path":"/","headers":[]})", "headers:"},
            {R"({"method":"GET","path":"/","headers":{"A":1}})", "headers.A:"},
            {R"({"method":"GET","path":"/","headers":{"A":"1\r\nB: 2"}})", "headers.A:"},
            {R"({"method":"GET","path":"/","headers":{"Host":"h","A b":"1"}})",
             "headers:"},
            {R"({"method":"GET","path":"/"})", "headers: the request has not one Host"},
            {R"({"method":"GET","path":"/","headers":{"Host":"h"},"body":1})", "body:"},
            {R"({"method":"GET","path":"/","headers":{"Host":"h"},"request":"ff"})",
             "request:"},
            {R"({"method":"GET","path":"/","headers":{"Host":"h"},"tried":"i-1"})",
             "tried:"},
            {R"({"method":"GET","path":"/","tired":[]})", "tired:"},
        };
        for (const auto& each : cases)
        {
            const auto read = read_explain_question(each.first);
            CPPUNIT_ASSERT(!read.ok());
            const std::string why(read.status().message());
            CPPUNIT_ASSERT_MESSAGE(why, absl::StartsWith(why, each.second));
        }
    }
};

class a_decision_on_a_route : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_decision_on_a_route);
    CPPUNIT_TEST(names_each_reason_for_none);
    CPPUNIT_TEST_SUITE_END();

  public:
    void names_each_reason_for_none()
    {
        serving_configuration configuration;
        configuration.version = 3;
        configuration.has_organisations = true;
        configuration.organisations_by_key["key"].name = organisation_id("org");
        configuration.routes.resize(1);
        configuration.routes[0].host = "h";
        configuration.routes[0].prefix = "/a/";
        configuration.index_routes();
        request_fields fields;
        route_input input{&configuration, "H:80", "/a/x", fields};
        input.lacks_path = [](const route&)
        {
            return true;
        };
        const auto expect = [&](int status, const std::string& why, bool is_not_taken)
        {
            const route_decision decided = decide_route(input);
            CPPUNIT_ASSERT_EQUAL(why, decided.why);
            CPPUNIT_ASSERT_EQUAL(status, decided.status);
            CPPUNIT_ASSERT_EQUAL(is_not_taken, decided.is_not_taken);
        };
        expect(503, "this host has not asked its peers yet", false);
        input.is_forwarded = true;
        expect(503, "not serving", true);
        input.has_started = true;
        input.version_of_sender = 4;
        expect(503, "older configuration", true);
        input.version_of_sender = 0;
        expect(503, "no path", true);
        input.is_forwarded = false;
        expect(401, "the access key is unknown", false);
        fields.access_key = "key";
        expect(400, "the attempt has no id", false);
        fields.attempt = attempt_id("1");
        expect(0, "", false);
        CPPUNIT_ASSERT(decide_route(input).matched == &configuration.routes[0]);
        // the host would allocate a record for each
        fields.pieces = {1, 2000000000};
        expect(400, "the request has too many pieces", false);
        fields.pieces = {10000};
        expect(0, "", false);
        input.path = "/b";
        expect(404, "no route matches", false);
        CPPUNIT_ASSERT_EQUAL(
            std::string(R"({"prefixes_of_host":["/a/"],"routes_of_host":1})"),
            explain_missing_route(configuration, input.host).dump());
        input.is_stopping = true;
        expect(503, "this host is stopping", false);
    }
};

class an_explanation : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_explanation);
    CPPUNIT_TEST(tells_the_states_of_a_target);
    CPPUNIT_TEST(stays_small_and_lists_the_chosen_target);
    CPPUNIT_TEST(can_be_printed_whatever_it_is);
    CPPUNIT_TEST_SUITE_END();

    static std::optional<permit_terms> no_permits(const target_state&)
    {
        return std::nullopt;
    }

  public:
    void tells_the_states_of_a_target()
    {
        target_state target;
        target.record.id = target_id("i-1");
        target.health = eject(target.health, now);
        target.paused_until = now + millis(70);
        target.cold.record_statement(millis(90), now);
        target.is_leaving = true;
        const nlohmann::json said = explain_target(
            target,
            [](const target_state&)
            {
                return permit_terms{5, host_id("host-2"), true};
            },
            now);
        CPPUNIT_ASSERT_EQUAL(std::string("leaving"), said.at("state").get<std::string>());
        CPPUNIT_ASSERT(said.at("ejected_for_ms") > 0);
        CPPUNIT_ASSERT(said.at("paused_for_ms") == 70);
        CPPUNIT_ASSERT(said.at("cold_for_ms") == 90);
        CPPUNIT_ASSERT(said.at("permits").at("issuer") == "host-2");
        CPPUNIT_ASSERT(!said.contains("full_for_ms"));
    }

    void stays_small_and_lists_the_chosen_target()
    {
        std::vector<target_state> all(max_explained_targets + 5);
        std::vector<const target_state*> targets;
        for (const target_state& each : all)
        {
            targets.push_back(&each);
        }
        all.back().record.id = target_id("last");
        const nlohmann::json said =
            explain_targets(targets, {}, &all.back(), no_permits, now);
        CPPUNIT_ASSERT_EQUAL(max_explained_targets, said.at("list").size());
        CPPUNIT_ASSERT(said.at("list").at(0).at("target") == "last");
        CPPUNIT_ASSERT(said.at("omitted") == 5);
    }

    void can_be_printed_whatever_it_is()
    {
        for (const char* each : {"null",
                                 "[1]",
                                 R"({"targets":7,"route":[],"stages":[3,{"pool":{}}]})",
                                 R"({"targets":{"list":[1,{}]},"result":"x"})"})
        {
            CPPUNIT_ASSERT(absl::StrContains(
                explanation_text(nlohmann::json::parse(each)), "result: "));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_question);
CPPUNIT_TEST_SUITE_REGISTRATION(a_decision_on_a_route);
CPPUNIT_TEST_SUITE_REGISTRATION(an_explanation);

} // namespace
