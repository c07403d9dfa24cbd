#include "harness/deployment.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace
{

using namespace medlar;
using namespace medlar::testing;

/// Concurrent callers, each sending non-idempotent requests one after the other through
/// hosts that stay ready, as a load balancer would; counts the outcomes.
class steady_callers
{
  public:
    steady_callers(deployment& system, std::vector<std::string> through)
        : system_(system), entry_hosts_(std::move(through))
    {
        for (std::size_t i = 0; i < caller_count; ++i)
        {
            callers_.emplace_back(
                [this, i]
                {
                    run(i);
                });
        }
    }

    ~steady_callers()
    {
        stop();
    }

    void stop()
    {
        ended_ = true;
        for (std::thread& each : callers_)
        {
            if (each.joinable())
            {
                each.join();
            }
        }
    }

    int count(const std::string& outcome)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return outcomes_[outcome];
    }

    int count_not_answered()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        int others = 0;
        for (const auto& [outcome, number] : outcomes_)
        {
            others += outcome == "answered" ? 0 : number;
        }
        return others;
    }

    /// Each outcome with its reason and count, for assertion messages.
    std::string summary()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::string text;
        for (const auto& [what, number] : reasons_)
        {
            text += what + ": " + std::to_string(number) + " ";
        }
        return text;
    }

    void wait_for(int answers)
    {
        const int expected = count("answered") + answers;
        wait_until("further answers",
                   [&]
                   {
                       return count("answered") >= expected;
                   });
    }

  private:
    static constexpr std::size_t caller_count = 6;

    void run(std::size_t caller)
    {
        for (std::size_t number = 0; !ended_; ++number)
        {
            const std::string id =
                "c" + std::to_string(caller) + "-" + std::to_string(number);
            const host& through =
                system_.at(entry_hosts_[(caller + number) % entry_hosts_.size()]);
            const http_reply reply =
                deployment::send(through, deployment::new_request(id));
            const std::lock_guard<std::mutex> lock(mutex_);
            ++outcomes_[outcome_of(reply)];
            ++reasons_[outcome_of(reply) + "/" + reply.json().value("reason", "")];
        }
    }

    deployment& system_;
    std::vector<std::string> entry_hosts_;
    std::atomic<bool> ended_{false};
    std::mutex mutex_;
    std::map<std::string, int> outcomes_;
    std::map<std::string, int> reasons_;
    std::vector<std::thread> callers_;
};

class under_steady_load : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(under_steady_load);
    CPPUNIT_TEST(a_graceful_leave_refuses_no_request);
    CPPUNIT_TEST(a_joining_host_refuses_no_request);
    CPPUNIT_TEST(a_store_outage_refuses_no_request);
    CPPUNIT_TEST(a_crash_in_a_store_outage_doubles_nothing_and_heals);
    CPPUNIT_TEST(hosts_without_a_majority_refuse_until_it_is_back);
    CPPUNIT_TEST(a_terminated_host_answers_what_it_holds);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        system_ = std::make_unique<deployment>("replacement");
        system_->start_three_hosts();
    }

    void tearDown() override
    {
        system_.reset();
    }

  private:
    void expect_all_answered(steady_callers& callers)
    {
        callers.stop();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(callers.summary(), 0, callers.count_not_answered());
        CPPUNIT_ASSERT_EQUAL(1, system_->max_executions());
    }

    void a_graceful_leave_refuses_no_request()
    {
        steady_callers callers(*system_, {"h1", "h2"});
        callers.wait_for(20);
        system_->at("h3").gateway->terminate();
        CPPUNIT_ASSERT_EQUAL(0, system_->at("h3").gateway->wait());
        system_->wait_settled({"h1", "h2"});
        callers.wait_for(20);
        expect_all_answered(callers);
    }

    void a_joining_host_refuses_no_request()
    {
        steady_callers callers(*system_, {"h1", "h2"});
        callers.wait_for(20);
        host_options options;
        options.seeds = {system_->at("h1").link};
        system_->start_host("h4", options);
        system_->wait_settled({"h1", "h2", "h3", "h4"});
        callers.wait_for(50);
        expect_all_answered(callers);
    }

    void a_store_outage_refuses_no_request()
    {
        steady_callers callers(*system_, {"h1", "h2", "h3"});
        callers.wait_for(20);
        system_->set_store({{"down", true}});
        const std::int64_t end = wall_now_ms() + outage_ms;
        wait_until("the end of the outage",
                   [end]
                   {
                       return wall_now_ms() > end;
                   });
        callers.wait_for(20);
        system_->set_store({{"down", false}});
        callers.wait_for(20);
        expect_all_answered(callers);
    }

    void a_crash_in_a_store_outage_doubles_nothing_and_heals()
    {
        const std::string lost = system_->id_at_home("h3");
        const std::string kept = system_->id_at_home("h1");
        system_->set_store({{"down", true}});
        system_->at("h3").gateway->kill();
        system_->at("h3").controller->kill();
        sent_request request = deployment::new_request(lost);
        request.deadline_ms = 1500;
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                             outcome_of(deployment::send(system_->at("h1"), request)));
        CPPUNIT_ASSERT_EQUAL(std::string("answered"),
                             outcome_of(deployment::send(system_->at("h2"),
                                                         deployment::new_request(kept))));
        system_->set_store({{"down", false}});
        system_->wait_settled({"h1", "h2"});
        system_->wait_past_margin();
        const std::string next = system_->id_at_home("h1");
        CPPUNIT_ASSERT_EQUAL(std::string("answered"),
                             outcome_of(deployment::send(system_->at("h2"),
                                                         deployment::new_request(next))));
        CPPUNIT_ASSERT_EQUAL(0, system_->executions(lost));
        CPPUNIT_ASSERT_EQUAL(1, system_->max_executions());
    }

    void hosts_without_a_majority_refuse_until_it_is_back()
    {
        system_->at("h2").gateway->freeze();
        system_->at("h3").gateway->freeze();
        wait_until("the end of the lease",
                   [this]
                   {
                       return system_->status(system_->at("h1"))["lease_valid"] == false;
                   });
        sent_request request = deployment::new_request(system_->id_at_home("h1"));
        request.deadline_ms = 1000;
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                             outcome_of(deployment::send(system_->at("h1"), request)));
        request = deployment::new_request(system_->id_at_home("h1"));
        request.deadline_ms = 1000;
        request.first_attempt = true;
        const http_reply refused = deployment::send(system_->at("h1"), request);
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"), outcome_of(refused));
        CPPUNIT_ASSERT(refused.json().contains("retry_after_ms"));
        CPPUNIT_ASSERT_EQUAL(0, system_->executions(request.id));
        system_->at("h2").gateway->thaw();
        system_->at("h3").gateway->thaw();
        system_->wait_settled({"h1", "h2", "h3"});
        system_->wait_past_margin();
        CPPUNIT_ASSERT_EQUAL(
            std::string("answered"),
            outcome_of(deployment::send(
                system_->at("h2"), deployment::new_request(system_->id_at_home("h1")))));
    }

    void a_terminated_host_answers_what_it_holds()
    {
        system_->set_pool("ledger", {{"delay_ms", 800}});
        const sent_request own = deployment::new_request(system_->id_at_home("h1"));
        const sent_request relayed = deployment::new_request(system_->id_at_home("h1"));
        const sent_request away = deployment::new_request(system_->id_at_home("h2"));
        auto first = deployment::send_async(system_->at("h1"), own);
        auto second = deployment::send_async(system_->at("h2"), relayed);
        auto third = deployment::send_async(system_->at("h1"), away);
        wait_until("three calls at the ledger",
                   [&]
                   {
                       return system_->executions(own.id) == 1 &&
                              system_->executions(relayed.id) == 1 &&
                              system_->executions(away.id) == 1;
                   });
        system_->at("h1").gateway->terminate();
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), outcome_of(first.get()));
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), outcome_of(second.get()));
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), outcome_of(third.get()));
        CPPUNIT_ASSERT_EQUAL(0, system_->at("h1").gateway->wait());
        const http_reply again = deployment::send(system_->at("h3"), own);
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), outcome_of(again));
        CPPUNIT_ASSERT_EQUAL(1, system_->max_executions());
    }

    static constexpr std::int64_t outage_ms = 4000;

    std::unique_ptr<deployment> system_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(under_steady_load, "replacement");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("replacement");

} // namespace
