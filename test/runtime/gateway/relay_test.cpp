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
    CPPUNIT_TEST(streams_its_tokens_to_the_caller);
    CPPUNIT_TEST(is_placed_again_when_its_home_has_changed);
    CPPUNIT_TEST(is_sent_again_after_a_broken_relay_and_runs_once);
    CPPUNIT_TEST(is_not_run_only_if_it_was_not_sent_and_is_the_first_attempt);
    CPPUNIT_TEST(is_unknown_once_it_was_sent);
    CPPUNIT_TEST_SUITE_END();

    targets targets_;
    running_gateway entry_{targets_.configuration()};
    running_gateway home_{targets_.configuration()};
    const json body_ = make_body("1");

    void set_home(const view_member& home)
    {
        entry_.peers->place_override = [home](const owned_request& /*request*/)
        {
            return run_elsewhere{home};
        };
    }

    /// @brief Returns a link server with a handler set by the test.
    static std::unique_ptr<link_server> make_scripted_home(link_handler handler)
    {
        return std::move(*link_server::create({"127.0.0.1", 0}, std::move(handler), 8));
    }

    static view_member make_member(const endpoint& where)
    {
        return {host_id("x"), incarnation(2), where, failure_domain_id("b")};
    }

    void is_answered_by_its_home()
    {
        set_home(home_.self());
        const reply first = entry_.submit("post", body_);
        CPPUNIT_ASSERT_EQUAL(200, first.status);
        const reply second = home_.submit("post", body_);
        CPPUNIT_ASSERT(first.json() == second.json());
        CPPUNIT_ASSERT_EQUAL(1, targets_.executions("org/1/post"));
    }

    void streams_its_tokens_to_the_caller()
    {
        set_home(home_.self());
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
        const auto truncating_home = make_scripted_home(
            [&](const link_request& request, link_responder& responder)
            {
                if (!cut.exchange(true))
                {
                    // the request runs, but its answer is lost
                    class discarding_responder : public link_responder
                    {
                        bool send(absl::string_view /*part*/) override
                        {
                            return true;
                        }
                        bool cancelled() const override
                        {
                            return false;
                        }
                    } discarded;
                    home_.instance().handle_link(request, discarded);
                    responder.send("{\"id\":\"1\",\"outc");
                    return 200;
                }
                CPPUNIT_ASSERT(!json::parse(request.body)["first_attempt"]);
                return home_.instance().handle_link(request, responder);
            });
        set_home(make_member(truncating_home->where()));
        json body = body_;
        body["first_attempt"] = true;
        const reply got = entry_.submit("post", body);
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT_EQUAL(1, targets_.executions("org/1/post"));
    }

    void is_not_run_only_if_it_was_not_sent_and_is_the_first_attempt()
    {
        Poco::Net::ServerSocket closed;
        closed.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
        set_home(make_member({"127.0.0.1", closed.address().port()}));
        json body = body_;
        body["deadline_ms"] = 100;
        const json retried = entry_.submit("post", body).json();
        CPPUNIT_ASSERT(retried["outcome"] == "unknown");
        CPPUNIT_ASSERT(retried["reason"] == "home_unreachable");
        body["first_attempt"] = true;
        CPPUNIT_ASSERT(entry_.submit("post", body).json()["outcome"] == "not_run");
    }

    void is_unknown_once_it_was_sent()
    {
        const auto truncating_home = make_scripted_home(
            [](const link_request& /*request*/, link_responder& responder)
            {
                responder.send("half a li");
                return 200;
            });
        set_home(make_member(truncating_home->where()));
        json body = body_;
        body["deadline_ms"] = 100;
        body["first_attempt"] = true;
        CPPUNIT_ASSERT(entry_.submit("post", body).json()["outcome"] == "unknown");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_relayed_request);

} // namespace
