#include "support/entry/entry_group.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

namespace
{

using namespace medlar;
using namespace medlar::test;

using exchange_ptr = std::shared_ptr<caller_exchange>;

/// answers a request, or a stream with the next event
void answer(const exchange_ptr& exchange, const std::string& limit)
{
    header_list headers = signed_headers(*exchange);
    if (!limit.empty())
    {
        headers.add("Server-Limit", limit);
    }
    if (!absl::StartsWith(exchange->head().path(), "/s/"))
    {
        exchange->answer(200, headers, "hello");
        return;
    }
    const bool is_resumed = exchange->head().headers.find("Last-Event-Id") != nullptr;
    exchange->begin(200, "OK", headers, {body_kind::chunked, 0});
    exchange->write(is_resumed ? "id: 2\ndata: y\n\n" : "id: 1\ndata: x\n\n");
    exchange->finish();
}

/// entry hosts in failure domain "a", in front of a target in each of some domains; a
/// host prefers idle targets of its own domain
class domains_fixture : public entry_group
{
  public:
    explicit domains_fixture(const std::vector<std::string>& domains)
    {
        evacuate_bound = millis(5000);
        for (const std::string& each : domains)
        {
            targets.emplace_back(loop,
                                 "i-" + each,
                                 "plain",
                                 [this](const exchange_ptr& exchange)
                                 {
                                     answer(exchange, limit);
                                 });
            targets.back().domain = each;
            store.put(targets.back().key(), targets.back().entry());
        }
        nlohmann::json plain = route_json("/a/", "idempotent", "plain");
        plain["timeout_ms"] = 20000;
        store.put("op/config",
                  configuration_json(3, {plain, route_json("/s/", "stream", "plain")}));
    }

    void evacuate(const std::string& domain, const std::string& value = "{}")
    {
        store.put("op/evacuate/" + domain, value);
    }

    void take_back(const std::string& domain)
    {
        store.remove("op/evacuate/" + domain);
    }

    received_answer fetch(const endpoint& from,
                          const std::string& path = "/a/x",
                          const std::string& headers = {})
    {
        const std::string id = absl::StrCat("id-", ++sent_);
        return send(from, request_text("GET", path, id, {}, headers));
    }

    /// Has all hosts serve requests, and returns whether a target got one of them.
    bool is_used(std::size_t target, const std::string& path = "/a/x")
    {
        const std::size_t before = targets.at(target).requests.size();
        for (const entry_settings& each : all_settings)
        {
            for (int i = 0; i < 6; ++i)
            {
                CPPUNIT_ASSERT_EQUAL(200, fetch(each.caller_endpoint, path).status);
            }
        }
        return targets.at(target).requests.size() > before;
    }

    /// Runs until a change is in force; half of the bound leaves room for a busy machine.
    void settle()
    {
        run_for(millis(2500));
    }

    bool has_metric(std::size_t host, const std::string& line)
    {
        const std::string text = send(all_settings.at(host).metrics_endpoint,
                                      "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
                                     .body;
        return absl::StrContains(text, line + "\n");
    }

    void reload(const std::optional<millis>& bound)
    {
        for (const auto& each : hosts)
        {
            each->settings.evacuate_bound = bound;
            each->host->reload();
        }
    }

    std::deque<stand_in_target> targets;
    /// requests a second that targets state to take; may be empty
    std::string limit;

  private:
    int sent_ = 0;
};

class an_evacuated_domain : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_evacuated_domain);
    CPPUNIT_TEST(gets_no_request_until_it_is_taken_back);
    CPPUNIT_TEST(gets_no_permitted_request);
    CPPUNIT_TEST(gets_no_forwarded_or_resumed_request);
    CPPUNIT_TEST(is_one_of_several_until_all_are_evacuated);
    CPPUNIT_TEST(counts_by_its_key_alone);
    CPPUNIT_TEST(is_as_the_settings_say_that_were_read_last);
    CPPUNIT_TEST_SUITE_END();

  public:
    void gets_no_request_until_it_is_taken_back()
    {
        domains_fixture it({"a", "b"});
        it.start_hosts(2);
        CPPUNIT_ASSERT(it.is_used(0));
        it.evacuate("a");
        it.settle();
        CPPUNIT_ASSERT(!it.is_used(0));
        it.take_back("a");
        it.settle();
        CPPUNIT_ASSERT(it.is_used(0));
        // withdrawn before some hosts have heard of it
        it.evacuate("a");
        it.run_for(millis(100));
        it.take_back("a");
        it.settle();
        CPPUNIT_ASSERT(it.is_used(0));
    }

    void gets_no_permitted_request()
    {
        domains_fixture it({"a", "b"});
        it.limit = "20";
        it.start_hosts(2);
        const auto send_paced = [&]
        {
            for (int i = 0; i < 10; ++i)
            {
                it.fetch(it.all_settings[0].caller_endpoint);
                it.run_for(millis(100));
            }
        };
        send_paced();
        const std::size_t before = it.targets[0].requests.size();
        CPPUNIT_ASSERT(before > 0);
        it.evacuate("a");
        it.settle();
        send_paced();
        CPPUNIT_ASSERT_EQUAL(before, it.targets[0].requests.size());
        CPPUNIT_ASSERT(!it.targets[1].requests.empty());
    }

    void gets_no_forwarded_or_resumed_request()
    {
        domains_fixture it({"a", "b"});
        it.start_hosts(2);
        const endpoint& caller = it.all_settings[0].caller_endpoint;
        CPPUNIT_ASSERT_EQUAL(200, it.fetch(caller, "/s/x").status);
        const std::string begun(it.targets[0].requests.back().headers.get("Attempt-Id"));
        it.evacuate("a");
        it.settle();
        CPPUNIT_ASSERT_EQUAL(200, it.fetch(it.all_settings[0].forward_endpoint).status);
        const received_answer resumed =
            it.fetch(caller, "/s/x", "Last-Event-Id: 1\r\nResumes: " + begun + "\r\n");
        CPPUNIT_ASSERT_EQUAL(200, resumed.status);
        CPPUNIT_ASSERT(absl::StrContains(resumed.body, "id: 2"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.targets[0].requests.size());
    }

    void is_one_of_several_until_all_are_evacuated()
    {
        domains_fixture it({"a", "b", "c"});
        it.start_hosts(2);
        it.evacuate("a");
        it.settle();
        CPPUNIT_ASSERT(!it.is_used(0));
        it.take_back("a");
        it.evacuate("b");
        it.settle();
        CPPUNIT_ASSERT(it.is_used(0));
        it.evacuate("a");
        it.settle();
        CPPUNIT_ASSERT(!it.is_used(0));
        CPPUNIT_ASSERT(!it.is_used(1));
        it.evacuate("c");
        it.settle();
        const steady_time asked_at = it.time.steady_now();
        std::string patient = request_text("GET", "/a/x", "id-patient");
        patient.replace(patient.find("1500"), 4, "15000");
        const received_answer refused =
            it.send(it.all_settings[0].caller_endpoint, patient);
        CPPUNIT_ASSERT(it.time.steady_now() - asked_at < millis(1000));
        CPPUNIT_ASSERT_EQUAL(503, refused.status);
        // the bound on evacuations with the jitter of all refusals
        const double delay_s = std::stod(std::string(refused.headers.get("Retry-After")));
        CPPUNIT_ASSERT(3.7 < delay_s && delay_s < 6.3);
        CPPUNIT_ASSERT(it.has_metric(0, "medlar_evacuated_domains 3"));
        CPPUNIT_ASSERT(it.has_metric(0, "medlar_evacuated_targets 3"));
        it.take_back("c");
        it.settle();
        CPPUNIT_ASSERT(it.is_used(2));
    }

    void counts_by_its_key_alone()
    {
        domains_fixture it({"a", "b"});
        it.start_hosts(2);
        it.evacuate("nowhere");
        it.evacuate("a", "\xff{");
        it.evacuate("");
        it.settle();
        CPPUNIT_ASSERT(!it.is_used(0));
        CPPUNIT_ASSERT(it.has_metric(0, "medlar_evacuated_domains 2"));
        CPPUNIT_ASSERT(it.has_metric(0, "medlar_evacuated_targets 1"));
        it.evacuate("a", "");
        it.settle();
        CPPUNIT_ASSERT(!it.is_used(0));
    }

    void is_as_the_settings_say_that_were_read_last()
    {
        domains_fixture it({"a", "b"});
        it.evacuate_bound.reset();
        it.evacuate("a");
        it.start_hosts(2);
        CPPUNIT_ASSERT(it.is_used(0));
        it.reload(millis(5000));
        it.settle();
        CPPUNIT_ASSERT(!it.is_used(0));
        it.reload(std::nullopt);
        CPPUNIT_ASSERT(it.is_used(0));
    }
};

class an_evacuation : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_evacuation);
    CPPUNIT_TEST(reaches_hosts_that_start_during_it);
    CPPUNIT_TEST(is_awaited_by_hosts_that_start_beside_others_without_it);
    CPPUNIT_TEST(reaches_the_followers_of_relays);
    CPPUNIT_TEST(is_not_expected_of_relays_that_do_not_mirror_it);
    CPPUNIT_TEST(goes_on_while_the_store_is_away);
    CPPUNIT_TEST(goes_on_until_it_is_written_to_a_store_that_lost_it);
    CPPUNIT_TEST(ends_if_it_is_not_written_to_a_store_that_lost_it);
    CPPUNIT_TEST_SUITE_END();

  public:
    void reaches_hosts_that_start_during_it()
    {
        domains_fixture it({"a", "b"});
        it.evacuate("a");
        it.start_hosts(2);
        CPPUNIT_ASSERT(!it.is_used(0));
        // one that the store does not answer
        const endpoint second = free_endpoint();
        it.store.add_address(second);
        it.store.set_second_cut(true);
        entry_settings cut_off = it.settings("host-cut");
        cut_off.store_endpoint = second;
        cut_off.seeds = {it.all_settings[0].link_endpoint};
        const auto started = it.start(cut_off);
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return it.is_ready(cut_off);
            }));
        CPPUNIT_ASSERT_EQUAL(200, it.fetch(cut_off.caller_endpoint).status);
        CPPUNIT_ASSERT(!it.is_used(0));
        CPPUNIT_ASSERT(it.targets[0].requests.empty());
    }

    void is_awaited_by_hosts_that_start_beside_others_without_it()
    {
        domains_fixture it({"a", "b"});
        it.evacuate("a");
        it.evacuate_bound.reset();
        it.start_hosts(1);
        it.evacuate_bound = millis(5000);
        const endpoint second = free_endpoint();
        it.store.add_address(second);
        it.store.refused_prefix = "op/evacuate/";
        entry_settings starting = it.settings("host-starting");
        starting.store_endpoint = second;
        starting.seeds = {it.all_settings[0].link_endpoint};
        const auto started = it.start(starting);
        it.run_for(millis(1500));
        CPPUNIT_ASSERT_EQUAL(503, it.fetch(starting.caller_endpoint).status);
        it.store.refused_prefix.reset();
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return it.is_ready(starting);
            }));
        CPPUNIT_ASSERT_EQUAL(200, it.fetch(starting.caller_endpoint).status);
        CPPUNIT_ASSERT(it.targets[0].requests.empty());
    }

    void reaches_the_followers_of_relays()
    {
        domains_fixture it({"a", "b"});
        it.start_hosts(6);
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return it.store.waiting_watches() == 2;
            }));
        it.evacuate("a");
        it.settle();
        CPPUNIT_ASSERT(!it.is_used(0));
    }

    void is_not_expected_of_relays_that_do_not_mirror_it()
    {
        domains_fixture it({"a", "b"});
        // the registrations of hosts of an older build
        it.store.rewrite = [](const std::string& key, const std::string& value)
        {
            nlohmann::json entry = nlohmann::json::parse(value, nullptr, false);
            if (absl::StartsWith(key, "medlar/hosts/") && entry.is_object())
            {
                entry.erase("evacuations");
                return entry.dump();
            }
            return value;
        };
        it.start_hosts(5);
        it.settle();
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return it.store.waiting_watches() == 5;
            }));
        it.evacuate("a");
        it.settle();
        CPPUNIT_ASSERT(!it.is_used(0));
    }

    void goes_on_while_the_store_is_away()
    {
        domains_fixture it({"a", "b"});
        it.start_hosts(2);
        it.evacuate("a");
        it.settle();
        it.store.set_down(true);
        it.settle();
        CPPUNIT_ASSERT(!it.is_used(0));
        it.store.set_down(false);
        it.settle();
        CPPUNIT_ASSERT(!it.is_used(0));
    }

    void goes_on_until_it_is_written_to_a_store_that_lost_it()
    {
        domains_fixture it({"a", "b"});
        it.start_hosts(2);
        it.store.save_copy();
        it.evacuate("a");
        it.settle();
        it.store.return_from_copy();
        it.run_for(millis(1500));
        CPPUNIT_ASSERT(!it.is_used(0));
        it.evacuate("a");
        it.settle();
        it.settle();
        CPPUNIT_ASSERT(!it.is_used(0));
    }

    void ends_if_it_is_not_written_to_a_store_that_lost_it()
    {
        domains_fixture it({"a", "b"});
        it.start_hosts(2);
        it.store.save_copy();
        it.evacuate("a");
        it.settle();
        it.store.return_from_copy();
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return it.is_used(0);
            }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(an_evacuated_domain);
CPPUNIT_TEST_SUITE_REGISTRATION(an_evacuation);

} // namespace
