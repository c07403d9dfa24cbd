#include "standins/shared/host_list_server.hpp"
#include "standins/shared/kv_server.hpp"
#include "support/fake_gateway.hpp"
#include "support/views.hpp"

#include <medlar/detail/cluster/view.hpp>
#include <medlar/detail/config/json.hpp>
#include <medlar/detail/controller/controller_process.hpp>
#include <medlar/detail/controller/store_keys.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using medlar::millis;
using medlar::testing::fake_gateway;
using nlohmann::json;

std::string document_text(std::uint64_t number, const std::string& change_id)
{
    medlar::accepted_document accepted;
    accepted.number = medlar::revision(number);
    accepted.change_id = change_id;
    accepted.author = "tester";
    return medlar::write_accepted_document(accepted);
}

class a_controller : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_controller);
    CPPUNIT_TEST(pushes_the_configuration_and_each_change_of_it);
    CPPUNIT_TEST(proposes_the_first_view_and_adds_a_waiting_gateway);
    CPPUNIT_TEST(removes_a_silent_member);
    CPPUNIT_TEST(proposes_nothing_while_the_gateway_may_not_propose);
    CPPUNIT_TEST(detects_that_a_proposal_with_a_lost_reply_was_written);
    CPPUNIT_TEST(recovers_from_an_outage_of_the_store);
    CPPUNIT_TEST(keeps_newer_state_and_repairs_a_store_with_an_older_state);
    CPPUNIT_TEST(restores_lost_store_state_from_its_gateway);
    CPPUNIT_TEST(pushes_the_whole_state_to_a_restarted_gateway);
    CPPUNIT_TEST(keeps_its_state_when_an_entry_is_malformed);
    CPPUNIT_TEST(pushes_leaving_targets_and_peers_of_the_host_list);
    CPPUNIT_TEST(keeps_the_last_host_list_when_it_is_malformed);
    CPPUNIT_TEST(counts_its_calls);
    CPPUNIT_TEST(stops_during_a_watch);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        store_ = std::make_unique<standins::kv_server>(medlar::endpoint{"127.0.0.1", 0},
                                                       std::chrono::milliseconds(10));
        gateway_ = std::make_unique<fake_gateway>();
        hosts_ = std::make_unique<standins::host_list_server>(
            medlar::endpoint{"127.0.0.1", 0}, millis(0));
    }

    void tearDown() override
    {
        controller_.reset();
        hosts_.reset();
        gateway_.reset();
        store_.reset();
    }

  private:
    void start()
    {
        medlar::controller_settings settings;
        settings.self = medlar::host_id("h1");
        settings.store = {store_->where()};
        settings.store_timeout = millis(2000);
        settings.gateway = gateway_->where();
        settings.heartbeat = millis(50);
        settings.watch.max_wait = millis(1000);
        settings.watch.initial_backoff = millis(10);
        settings.watch.max_backoff = millis(50);
        settings.watch.repair_delay = millis(10);
        settings.view.gateway = gateway_->where();
        settings.view.failure_domain = medlar::failure_domain_id("d1");
        settings.view.eviction_delay = millis(100);
        settings.view.settle_time = millis(20);
        settings.view.stagger = millis(20);
        medlar::host_list_settings hosts;
        hosts.address = hosts_->where();
        hosts.poll_interval = millis(20);
        hosts.gateway = gateway_->where();
        settings.host_list = hosts;
        controller_ = medlar::controller_process::create(settings, time_);
    }

    void put(const std::string& key, const std::string& value)
    {
        store_->state().put(key, value, std::nullopt);
    }

    /// @brief Stores a first view of the gateways with the given numbers.
    void put_view(const std::vector<std::uint64_t>& numbers)
    {
        put(medlar::store_keys::view,
            write_view_record(medlar::testing::first_record(numbers)));
    }

    void wait_for_revision(int number)
    {
        gateway_->wait_until(
            [number](const json& pushed)
            {
                return pushed.contains("configuration") &&
                       pushed["configuration"]["revision"] == number;
            });
    }

    void wait_for_epoch(int epoch)
    {
        gateway_->wait_until(
            [epoch](const json& pushed)
            {
                return pushed.contains("view") &&
                       pushed["view"]["current"]["epoch"] == epoch;
            });
    }

    std::size_t pushed_member_count() const
    {
        return gateway_->pushed()["view"]["current"]["members"].size();
    }

    // configuration

    void pushes_the_configuration_and_each_change_of_it()
    {
        put(medlar::store_keys::configuration, document_text(1, "a"));
        start();
        wait_for_revision(1);
        put(medlar::store_keys::configuration, document_text(2, "b"));
        wait_for_revision(2);
        CPPUNIT_ASSERT_EQUAL(2, gateway_->pushed()["confirmed"].get<int>());
    }

    void keeps_its_state_when_an_entry_is_malformed()
    {
        put(medlar::store_keys::configuration, document_text(1, "a"));
        start();
        wait_for_revision(1);
        put(medlar::store_keys::configuration, "{");
        put(medlar::store_keys::view, "[]");
        gateway_->wait_for_pushes(5);
        CPPUNIT_ASSERT_EQUAL(std::string("{"), stored(medlar::store_keys::configuration));
        put(medlar::store_keys::configuration, document_text(2, "b"));
        wait_for_revision(2);
    }

    void pushes_the_whole_state_to_a_restarted_gateway()
    {
        put(medlar::store_keys::configuration, document_text(1, "a"));
        put_view({1});
        start();
        wait_for_epoch(1);
        wait_for_revision(1);
        put(medlar::store_keys::configuration, document_text(2, "b"));
        gateway_->set(
            {{"process", 2}, {"configuration", 0}, {"newest", 0}, {"member", false}});
        wait_for_revision(2);
        wait_for_epoch(2);
        const json member = gateway_->pushed()["view"]["current"]["members"][0];
        CPPUNIT_ASSERT_EQUAL(2, member["process"].get<int>());
    }

    // view

    void proposes_the_first_view_and_adds_a_waiting_gateway()
    {
        start();
        wait_for_epoch(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pushed_member_count());
        gateway_->set({{"member", true}, {"waiting", json::array({waiting_member(2)})}});
        wait_for_epoch(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, pushed_member_count());
    }

    void removes_a_silent_member()
    {
        put_view({1, 2, 3});
        gateway_->set({{"member", true}, {"not_heard", json::array({3})}});
        start();
        wait_for_epoch(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, pushed_member_count());
    }

    void proposes_nothing_while_the_gateway_may_not_propose()
    {
        put_view({1, 2, 3});
        gateway_->set({{"member", true},
                       {"may_propose", false},
                       {"waiting", json::array({waiting_member(4)})}});
        start();
        wait_for_epoch(1);
        gateway_->wait_for_pushes(20);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, store_->calls()["cas"]);
    }

    void detects_that_a_proposal_with_a_lost_reply_was_written()
    {
        put_view({1, 2, 3});
        gateway_->set({{"member", true}, {"waiting", json::array({waiting_member(4)})}});
        store_->set_switches({{"lose_next_writes", 1}});
        start();
        wait_for_epoch(2);
        gateway_->set({{"waiting", json::array()}});
        gateway_->wait_for_pushes(10);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, store_->calls()["cas"]);
    }

    // host list

    void pushes_leaving_targets_and_peers_of_the_host_list()
    {
        hosts_->set(json({{"hosts",
                           {listed_gateway(to_string(gateway_->where())),
                            listed_gateway("127.0.0.1:9"),
                            listed_target("leaving")}}})
                        .dump());
        start();
        // leaving targets and peers may come in two pushes
        wait_for_leaving(json::array({"t1"}));
        wait_for_pushed("peers", json::array({"127.0.0.1:9"}));
        hosts_->set(json({{"hosts", {listed_target("live")}}}).dump());
        wait_for_leaving(json::array());
        wait_for_pushed("peers", json::array());
    }

    void keeps_the_last_host_list_when_it_is_malformed()
    {
        hosts_->set(json({{"hosts", {listed_target("leaving")}}}).dump());
        start();
        wait_for_leaving(json::array({"t1"}));
        hosts_->set("[]");
        gateway_->wait_for_pushes(10);
        CPPUNIT_ASSERT(gateway_->pushed()["leaving"] == json::array({"t1"}));
    }

    void wait_for_leaving(const json& targets)
    {
        wait_for_pushed("leaving", targets);
    }

    void wait_for_pushed(const char* field, const json& expected)
    {
        gateway_->wait_until(
            [&](const json& pushed)
            {
                return pushed.contains(field) && pushed[field] == expected;
            });
    }

    static json listed_gateway(const std::string& address)
    {
        return {
            {"host", "e"}, {"address", address}, {"state", "live"}, {"kind", "entry"}};
    }

    static json listed_target(const std::string& state)
    {
        return {{"host", "t"},
                {"address", "127.0.0.1"},
                {"state", state},
                {"kind", "target"},
                {"target", "t1"}};
    }

    // store

    void recovers_from_an_outage_of_the_store()
    {
        put(medlar::store_keys::configuration, document_text(1, "a"));
        start();
        wait_for_revision(1);
        store_->set_switches({{"down", true}});
        gateway_->wait_for_pushes(5);
        put(medlar::store_keys::configuration, document_text(2, "b"));
        store_->set_switches({{"down", false}});
        wait_for_revision(2);
    }

    void keeps_newer_state_and_repairs_a_store_with_an_older_state()
    {
        put(medlar::store_keys::configuration, document_text(1, "a"));
        put_view({1});
        gateway_->set({{"member", true}});
        start();
        wait_for_epoch(1);
        const std::size_t older = store_->state().snapshot();
        put(medlar::store_keys::configuration, document_text(2, "b"));
        gateway_->set({{"waiting", json::array({waiting_member(2)})}});
        wait_for_revision(2);
        wait_for_epoch(2);
        store_->set_switches({{"down", true}});
        store_->state().restore(older);
        store_->set_switches({{"down", false}});
        while (stored(medlar::store_keys::configuration) != document_text(2, "b") ||
               stored_epoch() != 2)
        {
            gateway_->wait_for_pushes(1);
        }
        CPPUNIT_ASSERT_EQUAL(2,
                             gateway_->pushed()["configuration"]["revision"].get<int>());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, pushed_member_count());
    }

    void restores_lost_store_state_from_its_gateway()
    {
        const medlar::view_record second = next_record(medlar::testing::first_record({1}),
                                                       medlar::testing::members({1, 2}));
        gateway_->set_state({{"view", json::parse(write_view_record(second))},
                             {"document", json::parse(document_text(3, "c"))}});
        gateway_->set({{"member", true}, {"newest", 2}, {"configuration", 3}});
        start();
        while (stored_epoch() != 2 || stored(medlar::store_keys::configuration).empty())
        {
            gateway_->wait_for_pushes(1);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             store_->state().read("medlar/live/", true).entries.size());
    }

    void counts_its_calls()
    {
        put(medlar::store_keys::configuration, document_text(7, "a"));
        start();
        wait_for_revision(7);
        wait_for_epoch(1);
        const std::string text = controller_->metrics_text();
        for (const char* line :
             {"medlar_store_calls_total{call=\"compare_and_swap\",result=\"ok\"} 1",
              "medlar_configuration_revision 7",
              "medlar_view_epoch 1",
              "medlar_store_reachable 1",
              "medlar_gateway_reachable 1"})
        {
            CPPUNIT_ASSERT_MESSAGE(text, text.find(line) != std::string::npos);
        }
    }

    void stops_during_a_watch()
    {
        put(medlar::store_keys::configuration, document_text(1, "a"));
        start();
        wait_for_revision(1);
        while (store_->calls()["watch"] == 0)
        {
            gateway_->wait_for_pushes(1);
        }
        controller_.reset();
    }

    static json waiting_member(std::uint64_t number)
    {
        const medlar::view_member member = medlar::testing::member(number);
        return {{"host", member.host.get()},
                {"process", member.process.get()},
                {"link", to_string(member.link)},
                {"failure_domain", member.failure_domain.get()}};
    }

    std::string stored(const std::string& key)
    {
        return store_->state().read(key, false).entries[key].value;
    }

    std::uint64_t stored_epoch()
    {
        const auto record = medlar::parse_view_record(stored(medlar::store_keys::view));
        return record.ok() ? record->current.epoch.get() : 0;
    }

    medlar::clock time_ = medlar::clock::system();
    std::unique_ptr<standins::kv_server> store_;
    std::unique_ptr<fake_gateway> gateway_;
    std::unique_ptr<standins::host_list_server> hosts_;
    std::unique_ptr<medlar::controller_process> controller_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_controller);

} // namespace
