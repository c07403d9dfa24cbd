#include "support/views.hpp"

#include <medlar/detail/base/error.hpp>
#include <medlar/detail/controller/control_message.hpp>
#include <medlar/detail/membership/exchange.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace
{

using medlar::control_push;
using nlohmann::json;

class the_control_call : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_control_call);
    CPPUNIT_TEST(is_an_empty_object_if_nothing_has_changed);
    CPPUNIT_TEST(holds_what_has_changed);
    CPPUNIT_TEST(is_answered_with_the_status_of_the_exchange);
    CPPUNIT_TEST(with_a_malformed_answer_is_an_error);
    CPPUNIT_TEST(with_a_malformed_newer_state_is_an_error);
    CPPUNIT_TEST_SUITE_END();

    void is_an_empty_object_if_nothing_has_changed()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("{}"), write_control_push(control_push()));
    }

    void holds_what_has_changed()
    {
        control_push push;
        push.view = R"({"v": 1})";
        push.configuration = R"({"c": 1})";
        push.confirmed = medlar::revision(7);
        push.leaving = {medlar::target_id("quoted \"name\"")};
        push.peers = {medlar::endpoint{"10.0.0.1", 7001}};
        const json expected = {{"view", {{"v", 1}}},
                               {"configuration", {{"c", 1}}},
                               {"confirmed", 7},
                               {"leaving", {"quoted \"name\""}},
                               {"peers", {"10.0.0.1:7001"}}};
        CPPUNIT_ASSERT(expected == json::parse(write_control_push(push)));
    }

    void is_answered_with_the_status_of_the_exchange()
    {
        medlar::exchange_status status;
        status.host = medlar::host_id("h1");
        status.process = medlar::incarnation(~std::uint64_t{0});
        status.configuration = medlar::revision(3);
        status.newest = medlar::view_epoch(2);
        status.may_propose = true;
        status.not_heard = {medlar::incarnation(5)};
        status.leaving = {medlar::incarnation(6)};
        status.waiting = medlar::testing::members({4});
        const auto report = medlar::parse_gateway_report(write_exchange_status(status));
        CPPUNIT_ASSERT_MESSAGE(report.status().ToString(), report.ok());
        CPPUNIT_ASSERT(report->process == status.process);
        CPPUNIT_ASSERT(report->configuration == status.configuration);
        CPPUNIT_ASSERT(report->newest == status.newest);
        CPPUNIT_ASSERT(report->may_propose);
        CPPUNIT_ASSERT(report->not_heard == status.not_heard);
        CPPUNIT_ASSERT(report->leaving == status.leaving);
        CPPUNIT_ASSERT(report->waiting.front().link == status.waiting.front().link);
    }

    void with_a_malformed_answer_is_an_error()
    {
        medlar::exchange_status status;
        status.waiting = medlar::testing::members({4});
        const json whole = json::parse(write_exchange_status(status));
        for (const char* name : {"host", "process", "newest", "not_heard", "waiting"})
        {
            json part = whole;
            part[name] = json::object({{"unexpected", -1}});
            assert_malformed(part.dump());
            part.erase(name);
            assert_malformed(part.dump());
        }
        json bad_address = whole;
        bad_address["waiting"][0]["link"] = "host:1";
        assert_malformed(bad_address.dump());
        assert_malformed("");
        assert_malformed("[]");
    }

    void with_a_malformed_newer_state_is_an_error()
    {
        CPPUNIT_ASSERT(medlar::parse_newer_state("{}").ok());
        CPPUNIT_ASSERT(!medlar::parse_newer_state("").ok());
        CPPUNIT_ASSERT(!medlar::parse_newer_state(R"({"view": {}})").ok());
    }

    void assert_malformed(const std::string& text)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            text,
            static_cast<int>(medlar::error_number::link_malformed),
            medlar::error_number_of(medlar::parse_gateway_report(text).status()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_control_call);

} // namespace
