#include "build_paths.hpp"
#include "harness/deployment.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <set>

namespace
{

using namespace medlar;
using namespace medlar::testing;

/// Three hosts that run with revision 1 of the document.
class a_change : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_change);
    CPPUNIT_TEST(reaches_hosts_without_controller_or_store);
    CPPUNIT_TEST(is_applied_once_when_its_reply_is_lost);
    CPPUNIT_TEST(that_is_unknown_is_settled_later);
    CPPUNIT_TEST(wins_or_is_told_of_the_conflict_when_operators_race);
    CPPUNIT_TEST(is_not_taken_back_by_a_store_with_an_older_state);
    CPPUNIT_TEST(is_learnt_by_a_host_that_starts_in_an_outage);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        system_ = std::make_unique<deployment>("configuration");
        system_->start_three_hosts();
    }

    void tearDown() override
    {
        system_.reset();
    }

  private:
    std::uint64_t revision_at(const std::string& name)
    {
        return system_->status(system_->at(name)).value("configuration", 0U);
    }

    void wait_for_revision(std::uint64_t number, const std::vector<std::string>& names)
    {
        wait_until("the revision in force",
                   [&]
                   {
                       for (const std::string& name : names)
                       {
                           if (revision_at(name) != number)
                           {
                               return false;
                           }
                       }
                       return true;
                   });
    }

    int drain(const std::string& through, const std::vector<std::string>& flags)
    {
        std::vector<std::string> arguments = flags;
        arguments.insert(arguments.end(), {"target", "drain", "ledger-1"});
        return system_->control(system_->at(through), arguments);
    }

    void reaches_hosts_without_controller_or_store()
    {
        host_options isolated;
        isolated.store = endpoint{"127.0.0.1", 1};
        isolated.seeds = {system_->at("h1").link};
        system_->start_host("h4", isolated);
        system_->wait_settled({"h1", "h2", "h3", "h4"});
        system_->at("h2").controller->kill();
        CPPUNIT_ASSERT_EQUAL(0, drain("h1", {}));
        wait_for_revision(2, {"h1", "h2", "h3", "h4"});
    }

    void is_applied_once_when_its_reply_is_lost()
    {
        system_->set_store({{"lose_next_writes", 1}});
        CPPUNIT_ASSERT_EQUAL(0, drain("h1", {"--change_id=c1"}));
        CPPUNIT_ASSERT_EQUAL(0, drain("h2", {"--change_id=c1"}));
        wait_for_revision(2, {"h1", "h2", "h3"});
        nlohmann::json history;
        CPPUNIT_ASSERT_EQUAL(0,
                             system_->control(system_->at("h3"), {"history"}, &history));
        const std::string text = history.dump();
        CPPUNIT_ASSERT(text.find("\"c1\"") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(text.find("\"c1\""), text.rfind("\"c1\""));
    }

    void that_is_unknown_is_settled_later()
    {
        system_->set_store({{"lose_replies", true}});
        const int first = drain("h1", {"--change_id=c2", "--expected_revision=1"});
        system_->set_store({{"lose_replies", false}});
        CPPUNIT_ASSERT(first == 4 || first == 5);
        nlohmann::json status;
        CPPUNIT_ASSERT_EQUAL(0, drain("h1", {"--change_id=c2"}));
        CPPUNIT_ASSERT_EQUAL(0,
                             system_->control(system_->at("h2"),
                                              {"--based_on=1", "change", "status", "c2"},
                                              &status));
        wait_for_revision(2, {"h1", "h2", "h3"});
    }

    void wins_or_is_told_of_the_conflict_when_operators_race()
    {
        nlohmann::json changed = system_->document();
        changed["organisations"].push_back({{"name", "office"}});
        const std::string path =
            std::string(MEDLAR_BINARY_DIR) + "/system-logs/configuration-race.json";
        std::ofstream(path) << changed.dump();
        const auto race = [&](const std::string& through)
        {
            return system_->control(system_->at(through),
                                    {"--expected_revision=1", "apply", path});
        };
        auto other = std::async(std::launch::async, race, "h2");
        const int one = race("h1");
        const std::multiset<int> codes = {one, other.get()};
        CPPUNIT_ASSERT(codes == (std::multiset<int>{0, 3}));
        wait_for_revision(2, {"h1", "h2", "h3"});
    }

    void is_not_taken_back_by_a_store_with_an_older_state()
    {
        const auto snapshot =
            http_post(system_->store_control, "/test/snapshot", nlohmann::json::object())
                .json();
        CPPUNIT_ASSERT_EQUAL(0, drain("h1", {}));
        wait_for_revision(2, {"h1", "h2", "h3"});
        const nlohmann::json restore_body = {{"snapshot", snapshot.value("snapshot", 0)}};
        CPPUNIT_ASSERT_EQUAL(
            200, http_post(system_->store_control, "/test/restore", restore_body).status);
        // the next change must be based on revision 2, however the store recovered it
        wait_until(
            "a change above the lost one",
            [this]
            {
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, revision_at("h1"));
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, revision_at("h2"));
                return system_->control(
                           system_->at("h3"),
                           {"--expected_revision=2", "target", "undrain", "ledger-1"}) ==
                       0;
            });
        wait_for_revision(3, {"h1", "h2", "h3"});
    }

    void is_learnt_by_a_host_that_starts_in_an_outage()
    {
        CPPUNIT_ASSERT_EQUAL(0, drain("h1", {}));
        wait_for_revision(2, {"h1", "h2", "h3"});
        system_->set_store({{"down", true}});
        host_options joining;
        joining.seeds = {system_->at("h2").link};
        host& joined = system_->start_host("h4", joining);
        wait_for_revision(2, {"h4"});
        const sent_request request = deployment::new_request("in-an-outage");
        CPPUNIT_ASSERT_EQUAL(std::string("answered"),
                             outcome_of(deployment::send(joined, request)));
        CPPUNIT_ASSERT_EQUAL(1, system_->executions(request.id));
    }

    std::unique_ptr<deployment> system_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(a_change, "configuration");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("configuration");

} // namespace
