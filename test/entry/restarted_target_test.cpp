#include "support/entry/entry_group.hpp"
#include "support/entry/recorded_links.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace medlar;
using namespace medlar::test;

using exchange_ptr = std::shared_ptr<caller_exchange>;
using answer_ptr = std::shared_ptr<received_answer>;

/// two hosts before two targets, whose answers wait until the test gives them
class held_pool : public entry_group
{
  public:
    held_pool() : links(*this), held(2)
    {
        for (std::size_t i = 0; i < held.size(); ++i)
        {
            targets.push_back(
                std::make_unique<stand_in_target>(loop,
                                                  absl::StrCat("i-", i),
                                                  "plain",
                                                  [this, i](const exchange_ptr& exchange)
                                                  {
                                                      held[i].push_back(exchange);
                                                  }));
            store.put(targets.back()->key(), targets.back()->entry());
        }
        store.put("op/config",
                  configuration_json(3,
                                     {route_json("/n/", "non_idempotent", "plain"),
                                      route_json("/s/", "stream", "plain")}));
        start_hosts(2);
    }

    /// Leaves only the first target.
    void remove_second_target()
    {
        store.remove(targets[1]->key());
        targets.pop_back();
        run_for(millis(200));
    }

    /// Writes the entry of the next process of the first target; the one before still
    /// holds its requests.
    void list_next_process()
    {
        ++targets[0]->started_ms;
        list();
    }

    /// Writes the entry of the first target, and waits until the first host has it.
    void list()
    {
        targets[0]->version = "v2";
        store.put(targets[0]->key(), targets[0]->entry());
        CPPUNIT_ASSERT(until(
            [&]
            {
                return explain_first().at("version") == "v2";
            }));
    }

    /// Ends the process of the first target, and starts the next one; its entry stays.
    void restart(std::int64_t started_ms)
    {
        targets[0]->restart(started_ms);
        run_for(millis(50));
    }

    /// Sends a request to the first host, and waits until the first target holds it.
    answer_ptr begin_at_first(const std::string& path)
    {
        const std::size_t before = held[0].size();
        const answer_ptr got = begin_request(path);
        CPPUNIT_ASSERT(until(
            [&]
            {
                return held[0].size() > before;
            }));
        return got;
    }

    answer_ptr begin_request(const std::string& path)
    {
        return begin(all_settings[0].caller_endpoint,
                     request_text("POST", path, absl::StrCat("id-", ++sent_), "b"));
    }

    /// Answers a request that the first target holds.
    void answer(std::size_t which, bool is_leaving = false)
    {
        const exchange_ptr& exchange = held[0].at(which);
        header_list headers = signed_headers(*exchange);
        if (is_leaving)
        {
            headers.add("Server-Leaving", "1");
        }
        headers.add("Content-Type", "text/event-stream");
        exchange->answer(200, headers, "id: 1\ndata: x\n\n");
        run_for(millis(50));
    }

    /// What the first host says of the first target.
    nlohmann::json explain_first()
    {
        const nlohmann::json asked{{"method", "POST"},
                                   {"path", "/n/x"},
                                   {"headers",
                                    {{"Host", "h.example"},
                                     {"Attempt-Id", "id-asked"},
                                     {"Deadline-Ms", "1500"},
                                     {"Authorization", "Bearer key-1"}}}};
        const std::string body = asked.dump();
        const received_answer got =
            send(all_settings[0].metrics_endpoint,
                 absl::StrCat("POST /explain HTTP/1.1\r\nHost: h\r\nContent-Length: ",
                              body.size(),
                              "\r\n\r\n",
                              body));
        const nlohmann::json said = nlohmann::json::parse(got.body);
        for (const nlohmann::json& each : said.at("targets").at("list"))
        {
            if (each.at("target") == "i-0")
            {
                return each;
            }
        }
        CPPUNIT_FAIL("i-0 is missing in " + got.body);
        return {};
    }

    std::string state_of_first()
    {
        return explain_first().at("state").get<std::string>();
    }

    /// Ends the first target with all of its requests.
    void crash_first()
    {
        targets[0]->stop();
    }

    /// The start that a report of the crash of the first target names.
    std::int64_t reported_start()
    {
        nlohmann::json report;
        CPPUNIT_ASSERT(until(
            [&]
            {
                for (const nlohmann::json& each : links.messages)
                {
                    if (each.at("type") == "crashes")
                    {
                        report = each.at("crashes").front();
                    }
                }
                return !report.is_null();
            }));
        return report.at("started_ms").get<std::int64_t>();
    }

    recorded_links links;
    std::vector<std::unique_ptr<stand_in_target>> targets;
    std::vector<std::vector<exchange_ptr>> held;

  private:
    int sent_ = 0;
};

/// Guards against crashes of two processes that count once, since they have one start.
class a_crash : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_crash);
    CPPUNIT_TEST(is_of_the_process_that_has_stated_its_start);
    CPPUNIT_TEST(is_of_the_process_that_was_known_when_the_request_was_sent);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_of_the_process_that_has_stated_its_start()
    {
        held_pool it;
        it.remove_second_target();
        it.restart(6);
        it.begin_at_first("/s/x");
        it.crash_first();
        CPPUNIT_ASSERT_EQUAL(std::int64_t{6}, it.reported_start());
    }

    void is_of_the_process_that_was_known_when_the_request_was_sent()
    {
        held_pool it;
        it.remove_second_target();
        it.begin_at_first("/n/x");
        it.list_next_process();
        it.crash_first();
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, it.reported_start());
    }
};

/// Guards against a new process that gets less work, more work or none for what the
/// process before it does.
class a_target_that_started_again : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_target_that_started_again);
    CPPUNIT_TEST(is_not_leaving_since_the_process_before_says_so_late);
    CPPUNIT_TEST(is_leaving_if_a_late_entry_hides_which_process_says_so);
    CPPUNIT_TEST(counts_its_own_calls_only);
    CPPUNIT_TEST(counts_its_calls_if_its_clock_was_set_back);
    CPPUNIT_TEST(is_not_blamed_for_the_calls_of_the_process_before);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_not_leaving_since_the_process_before_says_so_late()
    {
        for (const std::string path : {"/n/x", "/s/x"})
        {
            held_pool it;
            it.remove_second_target();
            const answer_ptr late = it.begin_at_first(path);
            it.list_next_process();
            it.answer(0, true);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path + late->body, 200, late->status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, std::string("live"), it.state_of_first());
            // its own statement counts, on a connection of its own
            it.restart(6);
            it.begin_at_first(path);
            it.answer(1, true);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                path, std::string("leaving"), it.state_of_first());
        }
    }

    /// Guards against requests to a process that has said that it leaves (DRAIN).
    void is_leaving_if_a_late_entry_hides_which_process_says_so()
    {
        held_pool it;
        it.remove_second_target();
        it.restart(6);
        it.begin_at_first("/n/x");
        // the host learns of the process while it has the call
        it.begin_at_first("/s/x");
        it.answer(0, true);
        CPPUNIT_ASSERT_EQUAL(std::string("leaving"), it.state_of_first());
        it.list();
        CPPUNIT_ASSERT_EQUAL(std::string("leaving"), it.state_of_first());
    }

    void counts_its_own_calls_only()
    {
        held_pool it;
        it.remove_second_target();
        const auto begin_three = [&]
        {
            for (int i = 0; i < 3; ++i)
            {
                it.begin_at_first("/n/x");
            }
        };
        begin_three();
        it.list_next_process();
        CPPUNIT_ASSERT_EQUAL(0, it.explain_first().at("in_flight").get<int>());
        begin_three();
        for (std::size_t i = 0; i < 3; ++i)
        {
            it.answer(i);
        }
        CPPUNIT_ASSERT_EQUAL(3, it.explain_first().at("in_flight").get<int>());
        it.answer(3);
        CPPUNIT_ASSERT_EQUAL(2, it.explain_first().at("in_flight").get<int>());
    }

    /// Guards against a target that gets all requests since its calls count nowhere.
    void counts_its_calls_if_its_clock_was_set_back()
    {
        held_pool it;
        it.remove_second_target();
        it.restart(4);
        it.begin_at_first("/s/x");
        it.begin_at_first("/s/x");
        CPPUNIT_ASSERT_EQUAL(2, it.explain_first().at("in_flight").get<int>());
        it.answer(0);
        CPPUNIT_ASSERT_EQUAL(1, it.explain_first().at("in_flight").get<int>());
    }

    void is_not_blamed_for_the_calls_of_the_process_before()
    {
        held_pool it;
        while (it.held[0].size() < 4)
        {
            it.begin_request("/n/x");
            it.run_for(millis(10));
        }
        it.list_next_process();
        for (const exchange_ptr& each : it.held[0])
        {
            each->abort();
        }
        it.run_for(millis(100));
        const nlohmann::json said = it.explain_first();
        CPPUNIT_ASSERT_MESSAGE(said.dump(), !said.contains("ejected"));
        CPPUNIT_ASSERT_MESSAGE(said.dump(), !said.contains("failures_in_a_row"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_crash);
CPPUNIT_TEST_SUITE_REGISTRATION(a_target_that_started_again);

} // namespace
