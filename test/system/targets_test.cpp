#include "harness/deployment.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::testing;

class three_hosts_with_targets : public CppUnit::TestFixture
{
  public:
    void setUp() override
    {
        system_ = std::make_unique<deployment>("targets");
        system_->start_three_hosts();
    }

    void tearDown() override
    {
        system_.reset();
    }

  protected:
    host& any_host(int number)
    {
        return system_->at("h" + std::to_string(1 + number % 3));
    }

    int executions_at(const target_process& target)
    {
        const auto counts = http_get(target.where, "/test/executions").json();
        int total = 0;
        for (const auto& [call, count] : counts["executions"].items())
        {
            total += count.get<int>();
        }
        return total;
    }

    sent_request new_request()
    {
        ++last_;
        return deployment::new_request("t" + std::to_string(last_));
    }

    std::unique_ptr<deployment> system_;
    int last_ = 0;
};

class a_target_that_is_leaving : public three_hosts_with_targets
{
    CPPUNIT_TEST_SUITE(a_target_that_is_leaving);
    CPPUNIT_TEST(gets_no_new_work_once_an_operator_drains_it);
    CPPUNIT_TEST(gets_no_new_work_once_the_host_list_shows_it);
    CPPUNIT_TEST_SUITE_END();

    /// documented limit after which no host sends new work to a leaving target
    static constexpr std::int64_t drain_limit_ms = 5000;

    void expect_no_new_work_after_the_limit()
    {
        const std::int64_t end = wall_now_ms() + drain_limit_ms;
        wait_until("the stated limit",
                   [end]
                   {
                       return wall_now_ms() > end;
                   });
        const int before = executions_at(system_->ledger[0]);
        for (int i = 0; i < 30; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(
                std::string("answered"),
                outcome_of(deployment::send(any_host(i), new_request())));
        }
        CPPUNIT_ASSERT_EQUAL(before, executions_at(system_->ledger[0]));
    }

    void gets_no_new_work_once_an_operator_drains_it()
    {
        CPPUNIT_ASSERT_EQUAL(
            0, system_->control(system_->at("h2"), {"target", "drain", "ledger-1"}));
        expect_no_new_work_after_the_limit();
    }

    void gets_no_new_work_once_the_host_list_shows_it()
    {
        const nlohmann::json leaving = {{"host", "t1"},
                                        {"address", "127.0.0.1"},
                                        {"state", "leaving"},
                                        {"kind", "target"},
                                        {"target", "ledger-1"}};
        http_post(system_->host_list, "/test/hosts", {{"hosts", {leaving}}});
        expect_no_new_work_after_the_limit();
    }
};

class a_call_that_may_not_be_repeated : public three_hosts_with_targets
{
    CPPUNIT_TEST_SUITE(a_call_that_may_not_be_repeated);
    CPPUNIT_TEST(is_unknown_for_good_when_its_reply_is_lost);
    CPPUNIT_TEST(goes_to_another_target_when_it_provably_did_not_run);
    CPPUNIT_TEST(goes_to_another_target_when_the_first_is_dead);
    CPPUNIT_TEST(is_failed_when_the_target_says_so);
    CPPUNIT_TEST_SUITE_END();

    void is_unknown_for_good_when_its_reply_is_lost()
    {
        system_->set_pool("ledger", {{"drop_after", true}});
        const sent_request request = new_request();
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                             outcome_of(deployment::send(any_host(0), request)));
        system_->set_pool("ledger", nlohmann::json::object());
        for (int i = 0; i < 3; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                                 outcome_of(deployment::send(any_host(i), request)));
        }
        CPPUNIT_ASSERT_EQUAL(1, system_->executions(request.id));
    }

    void goes_to_another_target_when_it_provably_did_not_run()
    {
        http_post(system_->ledger[0].where, "/test/switches", {{"refuse", true}});
        for (int i = 0; i < 6; ++i)
        {
            const sent_request request = new_request();
            CPPUNIT_ASSERT_EQUAL(std::string("answered"),
                                 outcome_of(deployment::send(any_host(i), request)));
            CPPUNIT_ASSERT_EQUAL(1, system_->executions(request.id));
        }
    }

    void goes_to_another_target_when_the_first_is_dead()
    {
        system_->ledger[1].running->kill();
        for (int i = 0; i < 6; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(
                std::string("answered"),
                outcome_of(deployment::send(any_host(i), new_request())));
        }
    }

    void is_failed_when_the_target_says_so()
    {
        system_->set_pool("ledger", {{"fail", 500}});
        const sent_request request = new_request();
        const http_reply reply = deployment::send(any_host(0), request);
        CPPUNIT_ASSERT_EQUAL(std::string("failed"), outcome_of(reply));
        CPPUNIT_ASSERT_EQUAL(std::string("failed"),
                             outcome_of(deployment::send(any_host(1), request)));
    }
};

class an_idempotent_request : public three_hosts_with_targets
{
    CPPUNIT_TEST_SUITE(an_idempotent_request);
    CPPUNIT_TEST(is_answered_whole_after_a_bad_answer_of_a_stage);
    CPPUNIT_TEST(is_answered_whole_when_an_engine_dies_in_its_stream);
    CPPUNIT_TEST_SUITE_END();

    sent_request draft()
    {
        sent_request request = new_request();
        request.pipeline = "draft";
        request.idempotent = true;
        return request;
    }

    /// Sends enough requests to allow one retry: retries are limited to a tenth of the
    /// first calls.
    void fill_retry_budget()
    {
        for (int i = 0; i < 6; ++i)
        {
            deployment::send(any_host(0), draft());
        }
    }

    void is_answered_whole_after_a_bad_answer_of_a_stage()
    {
        for (const char* fault : {"truncate",
                                  "wrong_request_id",
                                  "malformed",
                                  "oversized",
                                  "drop_before",
                                  "drop_after"})
        {
            fill_retry_budget();
            http_post(system_->encoders[0].where,
                      "/test/switches",
                      {{fault, true}, {"calls", 1}});
            const http_reply reply = deployment::send(any_host(0), draft());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(fault) + " " + reply.text,
                                         std::string("answered"),
                                         outcome_of(reply));
        }
    }

    void is_answered_whole_when_an_engine_dies_in_its_stream()
    {
        system_->set_pool("language", {{"straggle", 40}});
        sent_request request = draft();
        request.id = "stream";
        auto reply = deployment::send_async(any_host(0), request);
        wait_until("the stream",
                   [this]
                   {
                       return executions_at(system_->language[0]) +
                                  executions_at(system_->language[1]) >
                              0;
                   });
        const bool first = executions_at(system_->language[0]) > 0;
        system_->language[first ? 0 : 1].running->kill();
        http_post(system_->language[first ? 1 : 0].where,
                  "/test/switches",
                  nlohmann::json::object());
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), outcome_of(reply.get()));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(a_target_that_is_leaving, "targets");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(a_call_that_may_not_be_repeated, "targets");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(an_idempotent_request, "targets");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("targets");

} // namespace
