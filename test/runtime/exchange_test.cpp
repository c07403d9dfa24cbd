#include <cppunit/extensions/HelperMacros.h>
#include <support/gateway_group.hpp>

namespace
{

using namespace medlar;
using namespace medlar::testing;

constexpr millis no_wait{0};
constexpr millis long_wait{30000};

final_answer answer_with(const std::string& output)
{
    outcome result;
    result.kind = outcome_kind::answered;
    return {result, output, "{}"};
}

template <typename Kind>
bool is(const placement& placed)
{
    return std::holds_alternative<Kind>(placed);
}

outcome outcome_of(const placement& placed)
{
    CPPUNIT_ASSERT(is<answer_now>(placed));
    return std::get<answer_now>(placed).answer.result;
}

incarnation home_in(const placement& placed)
{
    CPPUNIT_ASSERT(is<run_elsewhere>(placed));
    return std::get<run_elsewhere>(placed).home.process;
}

/// @brief Three gateways with leases in their first view.
class three_exchanges : public CppUnit::TestFixture
{
  public:
    void setUp() override
    {
        group_ = std::make_unique<gateway_group>(short_timing());
        for (int i = 0; i < 3; ++i)
        {
            group_->add();
        }
        group_->propose({0, 1, 2});
        group_->wait_for_leases({0, 1, 2});
        // so that the tests' requests are issued after the takeover margin and count as
        // new
        std::this_thread::sleep_for(
            std::chrono::milliseconds(short_timing().takeover_margin().count() + 1));
    }

    void tearDown() override
    {
        group_.reset();
    }

  protected:
    exchange& peers(std::size_t at)
    {
        return group_->nodes[at]->peers();
    }

    placement place(std::size_t at, const std::string& id, millis wait = long_wait)
    {
        return peers(at).place(group_->nodes[at]->request(id, wait));
    }

    static request_key key(const std::string& id)
    {
        return {organisation_id("o"), request_id(id)};
    }

    incarnation process(std::size_t at) const
    {
        return group_->nodes[at]->self().process;
    }

    std::unique_ptr<gateway_group> group_;
};

class a_request_in_a_settled_view : public three_exchanges
{
    CPPUNIT_TEST_SUITE(a_request_in_a_settled_view);
    CPPUNIT_TEST(runs_at_its_home_only);
    CPPUNIT_TEST(that_is_sent_again_joins_the_run);
    CPPUNIT_TEST(that_is_sent_again_gets_the_finished_answer);
    CPPUNIT_TEST(of_a_withdrawn_run_may_run_later);
    CPPUNIT_TEST(with_the_id_of_another_is_refused);
    CPPUNIT_TEST_SUITE_END();

    void runs_at_its_home_only()
    {
        const std::string id = group_->id_homed_at(1, "a");
        CPPUNIT_ASSERT(home_in(place(0, id)) == process(1));
        CPPUNIT_ASSERT(home_in(place(2, id)) == process(1));
        CPPUNIT_ASSERT(is<run_here>(place(1, id)));
    }

    void that_is_sent_again_joins_the_run()
    {
        const std::string id = group_->id_homed_at(0, "a");
        CPPUNIT_ASSERT(is<run_here>(place(0, id)));
        CPPUNIT_ASSERT(is<join_here>(place(0, id)));
        std::optional<final_answer> joined;
        std::thread joining(
            [&]
            {
                joined = peers(0).wait_for_answer(
                    key(id), clock::system().steady_now() + long_wait);
            });
        peers(0).finish(key(id), answer_with("42"));
        joining.join();
        CPPUNIT_ASSERT(joined.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("42"), joined->output);
    }

    void that_is_sent_again_gets_the_finished_answer()
    {
        const std::string id = group_->id_homed_at(0, "a");
        CPPUNIT_ASSERT(is<run_here>(place(0, id)));
        peers(0).finish(key(id), answer_with("42"));
        const placement again = place(0, id);
        CPPUNIT_ASSERT(outcome_of(again).kind == outcome_kind::answered);
        CPPUNIT_ASSERT_EQUAL(std::string("42"),
                             std::get<answer_now>(again).answer.output);
    }

    void of_a_withdrawn_run_may_run_later()
    {
        const std::string id = group_->id_homed_at(0, "a");
        CPPUNIT_ASSERT(is<run_here>(place(0, id)));
        outcome refusal;
        refusal.kind = outcome_kind::not_run;
        refusal.why = reason::no_target;
        std::optional<final_answer> joined;
        std::thread joining(
            [&]
            {
                joined = peers(0).wait_for_answer(
                    key(id), clock::system().steady_now() + long_wait);
            });
        peers(0).withdraw(key(id), refusal);
        joining.join();
        CPPUNIT_ASSERT(joined->result.kind == outcome_kind::not_run);
        CPPUNIT_ASSERT(is<run_here>(place(0, id)));
    }

    void with_the_id_of_another_is_refused()
    {
        const std::string id = group_->id_homed_at(0, "a");
        CPPUNIT_ASSERT(is<run_here>(place(0, id)));
        owned_request other = group_->nodes[0]->request(id, no_wait);
        other.digest = digest_of("another body");
        const outcome refused = outcome_of(peers(0).place(other));
        CPPUNIT_ASSERT(refused.why == reason::id_reused);
        CPPUNIT_ASSERT(refused.kind == outcome_kind::not_run);
    }
};

class a_gateway_that_leaves : public three_exchanges
{
    CPPUNIT_TEST_SUITE(a_gateway_that_leaves);
    CPPUNIT_TEST(hands_over_its_finished_requests);
    CPPUNIT_TEST(waits_for_its_runs_and_sends_their_answers);
    CPPUNIT_TEST(leaves_its_requests_to_homes_that_accept_them);
    CPPUNIT_TEST(that_missed_a_view_still_sends_its_answers);
    CPPUNIT_TEST(stays_while_the_view_does_not_change);
    CPPUNIT_TEST_SUITE_END();

    /// @brief Starts the leave of the third gateway, and proposes the view without it
    /// once the first has been notified of the leave.
    std::thread start_leave(bool& left)
    {
        std::thread leaving(
            [this, &left]
            {
                left = peers(2).leave(clock::system().steady_now() + long_wait);
            });
        wait_until(
            [this]
            {
                const auto known = peers(0).status().leaving;
                return known == std::vector<incarnation>{process(2)};
            });
        group_->propose({0, 1});
        group_->wait_for_leases({0, 1});
        return leaving;
    }

    std::size_t new_home(const std::string& id) const
    {
        const auto home = home_of(group_->record.current, hash_of(key(id)))->process;
        return home == process(0) ? 0 : 1;
    }

    void hands_over_its_finished_requests()
    {
        const std::string id = group_->id_homed_at(2, "a");
        CPPUNIT_ASSERT(is<run_here>(place(2, id)));
        peers(2).finish(key(id), answer_with("42"));
        bool left = false;
        start_leave(left).join();
        CPPUNIT_ASSERT(left);
        const placement again = place(new_home(id), id);
        CPPUNIT_ASSERT_EQUAL(std::string("42"),
                             std::get<answer_now>(again).answer.output);
    }

    void waits_for_its_runs_and_sends_their_answers()
    {
        const std::string id = group_->id_homed_at(2, "a");
        CPPUNIT_ASSERT(is<run_here>(place(2, id)));
        bool left = false;
        std::thread leaving = start_leave(left);
        const std::size_t home = new_home(id);
        wait_until(
            [&]
            {
                return group_->nodes[home]->claims().find(key(id)).has_value();
            });
        // the runner still answers retries of the request
        CPPUNIT_ASSERT(home_in(place(home, id)) == process(2));
        CPPUNIT_ASSERT(is<join_here>(place(2, id)));
        peers(2).finish(key(id), answer_with("42"));
        leaving.join();
        CPPUNIT_ASSERT(left);
        const placement again = place(home, id);
        CPPUNIT_ASSERT_EQUAL(std::string("42"),
                             std::get<answer_now>(again).answer.output);
    }

    void leaves_its_requests_to_homes_that_accept_them()
    {
        const std::string id = group_->id_homed_at(2, "never sent before");
        owned_request issued_before = group_->nodes[0]->request(id, long_wait);
        bool left = false;
        start_leave(left).join();
        const std::size_t home = new_home(id);
        issued_before.wait_until = clock::system().steady_now() + long_wait;
        CPPUNIT_ASSERT(is<run_here>(peers(home).place(issued_before)));
    }

    void that_missed_a_view_still_sends_its_answers()
    {
        const std::string id = group_->id_homed_at(2, "a");
        CPPUNIT_ASSERT(is<run_here>(place(2, id)));
        peers(2).finish(key(id), answer_with("42"));
        std::vector<view_member> staying = group_->record.current.members;
        staying.pop_back();
        // no gateway receives this view
        group_->record = next_record(group_->record, staying);
        group_->propose({0, 1});
        group_->wait_for_leases({0, 1});
        wait_until(
            [&]
            {
                return group_->nodes[new_home(id)]->claims().find(key(id)).has_value();
            });
    }

    void stays_while_the_view_does_not_change()
    {
        const std::string id = group_->id_homed_at(2, "a");
        const bool left = peers(2).leave(clock::system().steady_now() + millis(300));
        CPPUNIT_ASSERT(!left);
        CPPUNIT_ASSERT(is<run_here>(place(2, id)));
    }
};

class a_gateway_that_crashes : public three_exchanges
{
    CPPUNIT_TEST_SUITE(a_gateway_that_crashes);
    CPPUNIT_TEST(is_reported_by_the_others);
    CPPUNIT_TEST(leaves_earlier_requests_unknown);
    CPPUNIT_TEST(with_another_leaves_the_third_without_lease);
    CPPUNIT_TEST(and_restarts_waits_to_be_a_member_and_relays);
    CPPUNIT_TEST(is_detected_as_stopped_by_its_successor);
    CPPUNIT_TEST_SUITE_END();

    void is_reported_by_the_others()
    {
        const incarnation crashed = process(2);
        group_->nodes.pop_back();
        wait_until(
            [&]
            {
                return peers(0).status().not_heard == std::vector<incarnation>{crashed};
            });
    }

    void leaves_earlier_requests_unknown()
    {
        const std::string id = group_->id_homed_at(2, "a");
        const owned_request before = group_->nodes[0]->request(id, long_wait);
        group_->nodes.pop_back();
        group_->propose({0, 1});
        group_->wait_for_leases({0, 1});
        const auto home = home_of(group_->record.current, hash_of(key(id)))->process;
        const std::size_t at = home == process(0) ? 0 : 1;
        const outcome refused = outcome_of(peers(at).place(before));
        CPPUNIT_ASSERT(refused.kind == outcome_kind::unknown);
        CPPUNIT_ASSERT(refused.why == reason::issued_before_ownership);
        wait_until(
            [&]
            {
                return is<run_here>(place(at, id));
            });
    }

    void with_another_leaves_the_third_without_lease()
    {
        const std::string id = group_->id_homed_at(0, "a");
        group_->nodes.pop_back();
        group_->nodes.pop_back();
        wait_until(
            [&]
            {
                return !peers(0).status().lease_valid;
            });
        const outcome refused = outcome_of(place(0, id, no_wait));
        CPPUNIT_ASSERT(refused.kind == outcome_kind::unknown);
        CPPUNIT_ASSERT(refused.why == reason::ownership_unproved);
        CPPUNIT_ASSERT(refused.retry_after.has_value());
    }

    void and_restarts_waits_to_be_a_member_and_relays()
    {
        accepted_document configuration;
        configuration.number = revision(7);
        configuration.change_id = "c7";
        configuration.author = "an operator";
        group_->nodes[1]->send_control(configuration);
        const std::string id = group_->id_homed_at(1, "a");
        group_->restart(2);
        wait_until(
            [&]
            {
                const exchange_status fresh = peers(2).status();
                return fresh.adopted == group_->record.current.epoch &&
                       fresh.configuration == revision(7);
            });
        CPPUNIT_ASSERT(!peers(2).status().member);
        CPPUNIT_ASSERT(home_in(place(2, id)) == process(1));
        wait_until(
            [&]
            {
                const auto waiting = peers(1).status().waiting;
                return waiting.size() == 1 && waiting[0].process == process(2);
            });
    }

    void is_detected_as_stopped_by_its_successor()
    {
        group_->restart(1);
        group_->restart(2);
        group_->propose({0, 1, 2});
        group_->wait_for_leases({0, 1, 2});
        // both old members have stopped: the first view is closed without them
        wait_until(
            [&]
            {
                return peers(0).status().may_propose;
            });
    }
};

class gossip_between_gateways : public three_exchanges
{
    CPPUNIT_TEST_SUITE(gossip_between_gateways);
    CPPUNIT_TEST(brings_a_configuration_to_all);
    CPPUNIT_TEST(brings_a_leaving_target_to_all);
    CPPUNIT_TEST(is_overruled_by_the_controller);
    CPPUNIT_TEST(that_is_malformed_changes_nothing);
    CPPUNIT_TEST_SUITE_END();

    void brings_a_configuration_to_all()
    {
        accepted_document configuration;
        configuration.number = revision(3);
        std::atomic<std::uint64_t> received{0};
        peers(1).on_configuration(
            [&received](const accepted_document& newest)
            {
                received = newest.number.get();
            });
        group_->nodes[2]->send_control(configuration);
        wait_until(
            [&]
            {
                return received.load() == 3 &&
                       peers(0).configuration()->number.get() == 3;
            });
        configuration.number = revision(2);
        group_->nodes[2]->send_control(configuration);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), peers(2).configuration()->number.get());
    }

    void brings_a_leaving_target_to_all()
    {
        std::atomic<int> leaving{0};
        peers(2).on_leaving(
            [&leaving](const std::vector<target_id>& targets)
            {
                leaving = static_cast<int>(targets.size());
            });
        peers(0).report_leaving_target(target_id("t1"));
        wait_until(
            [&leaving]
            {
                return leaving.load() == 1;
            });
    }

    void is_overruled_by_the_controller()
    {
        std::atomic<int> leaving{0};
        peers(0).on_leaving(
            [&leaving](const std::vector<target_id>& targets)
            {
                leaving = static_cast<int>(targets.size());
            });
        peers(0).report_leaving_target(target_id("t1"));
        CPPUNIT_ASSERT_EQUAL(1, leaving.load());
        group_->nodes[0]->call("/v1/control", R"({"leaving":["t1","t2"]})").IgnoreError();
        CPPUNIT_ASSERT_EQUAL(2, leaving.load());
        group_->nodes[0]->call("/v1/control", R"({"leaving":[]})").IgnoreError();
        CPPUNIT_ASSERT_EQUAL(0, leaving.load());
    }

    void that_is_malformed_changes_nothing()
    {
        const std::vector<std::string> paths{"/v1/grant",
                                             "/v1/handover",
                                             "/v1/claims",
                                             "/v1/lookup",
                                             "/v1/state",
                                             "/v1/control"};
        const std::vector<std::string> bodies{
            "",
            "nonsense",
            "[]",
            "\xff\xfe",
            R"({"from":"x"})",
            R"({"from":-1,"epoch":[],"claims":{},"notice":7,"view":3,"peers":["x"]})"};
        for (const std::string& path : paths)
        {
            for (const std::string& body : bodies)
            {
                const auto reply = group_->nodes[0]->call(path, body);
                CPPUNIT_ASSERT(reply.ok());
                const bool ignored = path == "/v1/control" && reply->status == 200;
                CPPUNIT_ASSERT_MESSAGE(path + body, reply->status == 400 || ignored);
            }
        }
        CPPUNIT_ASSERT_EQUAL(404, group_->nodes[0]->call("/v1/other", "")->status);
        CPPUNIT_ASSERT(peers(0).status().lease_valid);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_request_in_a_settled_view);
CPPUNIT_TEST_SUITE_REGISTRATION(a_gateway_that_leaves);
CPPUNIT_TEST_SUITE_REGISTRATION(a_gateway_that_crashes);
CPPUNIT_TEST_SUITE_REGISTRATION(gossip_between_gateways);

} // namespace
