#include "support/entry/entry_group.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

namespace
{

using namespace medlar;
using namespace medlar::test;

using exchange_ptr = std::shared_ptr<caller_exchange>;

/// Hosts in front of engines and of a stage in three failure domains. The pool of the
/// stage has so many targets that each domain has an owner.
class staged_fixture : public entry_group
{
  public:
    staged_fixture()
    {
        evacuate_bound = millis(5000);
        for (const char* each : {"a", "b", "c"})
        {
            add_target("plain", each);
        }
        add_target("stage", "a");
        for (int i = 0; i < 5; ++i)
        {
            add_target("stage", "b");
            add_target("stage", "c");
        }
        nlohmann::json route = route_json("/p/", "idempotent", "plain");
        route["timeout_ms"] = 8000;
        route["target_latency_ms"] = 8000;
        route["stages"] = {
            {{"service", "stage"}, {"after", nlohmann::json::array()}, {"bytes", 100}}};
        store.put("op/config", configuration_json(3, {route}));
        for (int i = 0; i < 2; ++i)
        {
            all_settings.push_back(settings(absl::StrCat("host-", i)));
            // an owner with this link serves no more than eight targets
            all_settings.back().link_mbps = 10;
            hosts.push_back(start(all_settings.back()));
        }
        for (const entry_settings& each : all_settings)
        {
            CPPUNIT_ASSERT(until(
                [&]
                {
                    return is_ready(each);
                }));
        }
        run_for(millis(1000));
    }

    std::shared_ptr<received_answer> begin_request(std::size_t host)
    {
        const std::string id = absl::StrCat("id-", ++sent_);
        return begin(all_settings[host].caller_endpoint,
                     absl::StrCat("POST /p/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: ",
                                  id,
                                  "\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer key-1"
                                  "\r\nPieces: 8\r\nPiece-Key: ",
                                  id,
                                  "\r\nContent-Length: 1\r\n\r\nb"));
    }

    void expect_answers(const std::vector<std::shared_ptr<received_answer>>& begun)
    {
        for (const auto& each : begun)
        {
            CPPUNIT_ASSERT(until(
                [&]
                {
                    return each->ended;
                }));
            CPPUNIT_ASSERT_EQUAL(200, each->status);
        }
    }

    /// calls and requests that the targets of domain "a" have received; those that free
    /// results are left out
    std::size_t work_in_a() const
    {
        std::size_t count = 0;
        for (const stand_in_target& each : targets_)
        {
            for (const request_head& got : each.requests)
            {
                count += each.domain == "a" && got.path() != platform::free_call_path;
            }
        }
        return count;
    }

    /// the stage's target in domain "a" does not answer
    bool is_silent = false;

  private:
    void add_target(const std::string& pool, const std::string& domain)
    {
        const std::size_t number = targets_.size();
        targets_.emplace_back(loop,
                              absl::StrCat("i-", number),
                              pool,
                              [this, number](const exchange_ptr& exchange)
                              {
                                  answer(number, exchange);
                              });
        targets_.back().domain = domain;
        store.put(targets_.back().key(), targets_.back().entry());
    }

    void answer(std::size_t number, const exchange_ptr& exchange)
    {
        const nlohmann::json body =
            nlohmann::json::parse(exchange->body(), nullptr, false);
        if (!body.is_object() || !body.contains("items"))
        {
            exchange->answer(200, signed_headers(*exchange), "{}");
            return;
        }
        if (is_silent && targets_[number].domain == "a")
        {
            silent_.push_back(exchange);
            return;
        }
        nlohmann::json items = nlohmann::json::array();
        for (std::size_t i = 0; i < body["items"].size(); ++i)
        {
            items.push_back(
                {{"handle",
                  absl::StrCat(
                      to_string(targets_[number].where()), "/", ++result_count_)}});
        }
        exchange->answer(200, {}, nlohmann::json({{"items", items}}).dump());
    }

    int sent_ = 0;
    int result_count_ = 0;
    std::deque<stand_in_target> targets_;
    std::vector<exchange_ptr> silent_;
};

class the_stages_of_requests_in_an_evacuated_domain : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_stages_of_requests_in_an_evacuated_domain);
    CPPUNIT_TEST(are_executed_in_the_others_also_if_they_waited_there);
    CPPUNIT_TEST_SUITE_END();

  public:
    void are_executed_in_the_others_also_if_they_waited_there()
    {
        staged_fixture it;
        it.expect_answers({it.begin_request(0), it.begin_request(1)});
        CPPUNIT_ASSERT(it.work_in_a() > 0);
        // more than the one target of the group takes at once: the rest waits
        it.is_silent = true;
        std::vector<std::shared_ptr<received_answer>> waiting;
        for (int i = 0; i < 6; ++i)
        {
            waiting.push_back(it.begin_request(i % 2));
        }
        it.run_for(millis(50));
        it.store.put("op/evacuate/a", "{}");
        it.run_for(millis(2500));
        const std::size_t before = it.work_in_a();
        it.expect_answers(waiting);
        for (int i = 0; i < 4; ++i)
        {
            it.expect_answers({it.begin_request(0), it.begin_request(1)});
        }
        CPPUNIT_ASSERT_EQUAL(before, it.work_in_a());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_stages_of_requests_in_an_evacuated_domain);

} // namespace
