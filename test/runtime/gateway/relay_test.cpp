#include "runtime/gateway/gateway_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>

namespace
{

using namespace medlar;
using namespace medlar::gateway_testing;
using nlohmann::json;

class a_relayed_request : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_relayed_request);
    CPPUNIT_TEST(is_answered_by_its_home);
    CPPUNIT_TEST(streams_its_tokens_through);
    CPPUNIT_TEST(is_placed_again_when_its_home_has_changed);
    CPPUNIT_TEST(is_sent_again_after_a_broken_relay_and_runs_once);
    CPPUNIT_TEST(is_not_run_only_if_first_and_kept);
    CPPUNIT_TEST(is_unknown_once_a_byte_of_it_was_handed_over);
    CPPUNIT_TEST_SUITE_END();

    targets targets_;
    running_gateway entry_{targets_.configuration()};
    running_gateway home_{targets_.configuration()};
    const json body_ = make_body("1");

    void place_at(const view_member& home)
    {
        entry_.peers->place_override = [home](const owned_request& /*request*/)
        {
            return run_elsewhere{home};
        };
    }

    /// @brief a link server that answers relays as it is told
    static std::unique_ptr<link_server> make_scripted_home(link_handler handler)
    {
        return std::move(*link_server::create({"127.0.0.1", 0}, std::move(handler), 8));
    }

    static view_member at(const endpoint& where)
    {
        return {host_id("x"), incarnation(2), where, failure_domain_id("b")};
    }

    void is_answered_by_its_home()
    {
        place_at(home_.self());
        const reply first = entry_.submit("post", body_);
        CPPUNIT_ASSERT_EQUAL(200, first.status);
        const reply second = home_.submit("post", body_);
        CPPUNIT_ASSERT(first.json() == second.json());
        CPPUNIT_ASSERT_EQUAL(1, targets_.executions("org/1/post"));
    }

    void streams_its_tokens_through()
    {
        place_at(home_.self());
        json body = body_;
        body["stream"] = true;
        const reply got = entry_.submit("draft", body);
        CPPUNIT_ASSERT(got.json()["output"]["generate"]["text"] == text_of("1", 8));
        CPPUNIT_ASSERT(std::count(got.text.begin(), got.text.end(), '\n') == 9);
    }

    void is_placed_again_when_its_home_has_changed()
    {
        std::atomic<int> placements{0};
        home_.peers->place_override =
            [this, &placements](const owned_request& /*request*/)
        {
            return run_elsewhere{entry_.self()};
        };
        entry_.peers->place_override =
            [this, &placements](const owned_request& /*request*/) -> placement
        {
            if (++placements == 1)
            {
                return run_elsewhere{home_.self()};
            }
            return run_here{};
        };
        CPPUNIT_ASSERT_EQUAL(200, entry_.submit("post", body_).status);
        CPPUNIT_ASSERT_EQUAL(2, placements.load());
    }

    void is_sent_again_after_a_broken_relay_and_runs_once()
    {
        std::atomic<bool> cut{false};
        const auto cutting = make_scripted_home(
            [&](const link_request& request, link_responder& responder)
            {
                if (!cut.exchange(true))
                {
                    // it runs, and the answer is lost
                    class swallow : public link_responder
                    {
                        bool send(absl::string_view /*part*/) override
                        {
                            return true;
                        }
                        bool cancelled() const override
                        {
                            return false;
                        }
                    } nobody;
                    home_.instance().handle_link(request, nobody);
                    responder.send("{\"id\":\"1\",\"outc");
                    return 200;
                }
                CPPUNIT_ASSERT(!json::parse(request.body)["first_attempt"]);
                return home_.instance().handle_link(request, responder);
            });
        place_at(at(cutting->where()));
        json body = body_;
        body["first_attempt"] = true;
        const reply got = entry_.submit("post", body);
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT_EQUAL(1, targets_.executions("org/1/post"));
    }

    void is_not_run_only_if_first_and_kept()
    {
        Poco::Net::ServerSocket closed;
        closed.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
        place_at(at({"127.0.0.1", closed.address().port()}));
        json body = body_;
        body["deadline_ms"] = 100;
        const json unsure = entry_.submit("post", body).json();
        CPPUNIT_ASSERT(unsure["outcome"] == "unknown");
        CPPUNIT_ASSERT(unsure["reason"] == "home_unreachable");
        body["first_attempt"] = true;
        CPPUNIT_ASSERT(entry_.submit("post", body).json()["outcome"] == "not_run");
    }

    void is_unknown_once_a_byte_of_it_was_handed_over()
    {
        const auto silent = make_scripted_home(
            [](const link_request& /*request*/, link_responder& responder)
            {
                responder.send("half a li");
                return 200;
            });
        place_at(at(silent->where()));
        json body = body_;
        body["deadline_ms"] = 100;
        body["first_attempt"] = true;
        CPPUNIT_ASSERT(entry_.submit("post", body).json()["outcome"] == "unknown");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_relayed_request);

} // namespace
