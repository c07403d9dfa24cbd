#include "support/entry/entry_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace
{

using namespace medlar;
using namespace medlar::test;

using exchange_ptr = std::shared_ptr<caller_exchange>;

void answer_signed(const exchange_ptr& exchange)
{
    exchange->answer(200, signed_headers(*exchange), "hello");
}

/// entry hosts of one failure domain in front of one target
class changing_fixture : public entry_fixture
{
  public:
    explicit changing_fixture(int count, millis change_bound = millis(2000))
        : target(loop, "i-1", "plain", answer_signed), change_bound_(change_bound)
    {
        store.put(target.key(), target.entry());
        put_configuration(3, {"/a/", "/old/"});
        for (int i = 0; i < count; ++i)
        {
            add_host("host-" + std::to_string(i));
        }
        for (std::size_t i = 0; i < all_settings.size(); ++i)
        {
            CPPUNIT_ASSERT(until_ready(i));
        }
    }

    void add_host(const std::string& name,
                  std::vector<endpoint> seeds = {},
                  const std::optional<endpoint>& store_address = std::nullopt)
    {
        all_settings.push_back(settings(name));
        all_settings.back().seeds = std::move(seeds);
        all_settings.back().change_bound = change_bound_;
        all_settings.back().store_endpoint =
            store_address.value_or(all_settings.back().store_endpoint);
        hosts.push_back(start(all_settings.back()));
    }

    void put_configuration(int version, const std::vector<std::string>& prefixes)
    {
        std::vector<nlohmann::json> routes;
        for (const std::string& each : prefixes)
        {
            routes.push_back(route_json(each, "idempotent", "plain"));
        }
        store.put("op/config", configuration_json(version, routes));
    }

    bool until_ready(std::size_t which)
    {
        return until(
            [&]
            {
                return is_ready(all_settings[which]);
            });
    }

    int fetch_status(std::size_t which, const std::string& path)
    {
        return send(all_settings[which].caller_endpoint,
                    request_text("GET", path, "id-1"))
            .status;
    }

    bool until_status(std::size_t which, const std::string& path, int status)
    {
        return until(
            [&]
            {
                return fetch_status(which, path) == status;
            });
    }

    /// time until all hosts answer 200 to a path
    millis time_until_all_serve(const std::string& path)
    {
        const steady_time begin = time.steady_now();
        for (std::size_t i = 0; i < hosts.size(); ++i)
        {
            CPPUNIT_ASSERT(!hosts[i] || until_status(i, path, 200));
        }
        return time.steady_now() - begin;
    }

    /// runs until no more than some hosts have watched the store for a second
    bool until_watches(std::size_t count)
    {
        steady_time since = time.steady_now();
        return until(
            [&]
            {
                if (store.waiting_watches() > count)
                {
                    since = time.steady_now();
                }
                return time.steady_now() - since > millis(1000);
            });
    }

    stand_in_target target;
    std::vector<entry_settings> all_settings;
    std::vector<std::shared_ptr<running_host>> hosts;

  private:
    millis change_bound_;
};

class hosts_of_one_failure_domain : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(hosts_of_one_failure_domain);
    CPPUNIT_TEST(watch_the_store_by_two_of_them);
    CPPUNIT_TEST(learn_of_changes_when_a_relay_is_killed);
    CPPUNIT_TEST(learn_of_changes_when_both_relays_are_frozen);
    CPPUNIT_TEST(learn_of_changes_within_the_bound_that_was_read_last);
    CPPUNIT_TEST_SUITE_END();

    /// changes have to be in force within this time
    static constexpr millis max_delay{2000};

    static std::size_t relay(const changing_fixture& it, std::size_t rank)
    {
        std::vector<peer_host> peers;
        for (const entry_settings& each : it.all_settings)
        {
            peer_host peer;
            peer.id = each.host;
            peer.domain = each.domain;
            peers.push_back(peer);
        }
        const host_id id = relays_of(failure_domain_id("a"), peers).at(rank);
        std::size_t at = 0;
        while (it.all_settings[at].host != id)
        {
            ++at;
        }
        return at;
    }

  public:
    void watch_the_store_by_two_of_them()
    {
        changing_fixture it(7);
        CPPUNIT_ASSERT(it.until_watches(2));
        const std::size_t calls = it.store.calls;
        it.put_configuration(4, {"/a/", "/b/"});
        CPPUNIT_ASSERT(it.time_until_all_serve("/b/x") < max_delay);
        it.store.put(it.target.key(), it.target.entry("draining"));
        for (std::size_t i = 0; i < it.hosts.size(); ++i)
        {
            CPPUNIT_ASSERT(it.until_status(i, "/b/x", 503));
        }
        // two changes and some empty watches of two hosts
        CPPUNIT_ASSERT(it.store.calls - calls < 40);
    }

    void learn_of_changes_when_a_relay_is_killed()
    {
        changing_fixture it(6);
        CPPUNIT_ASSERT(it.until_watches(2));
        const std::size_t killed = relay(it, 0);
        it.kill(it.hosts[killed]);
        it.hosts[killed].reset();
        it.put_configuration(4, {"/a/", "/b/"});
        CPPUNIT_ASSERT(it.time_until_all_serve("/b/x") < max_delay);
    }

    void learn_of_changes_when_both_relays_are_frozen()
    {
        changing_fixture it(6);
        CPPUNIT_ASSERT(it.until_watches(2));
        for (const std::size_t rank : {std::size_t{0}, std::size_t{1}})
        {
            const std::size_t frozen = relay(it, rank);
            it.freeze(it.hosts[frozen]);
            it.hosts[frozen].reset();
        }
        it.put_configuration(4, {"/a/", "/b/"});
        CPPUNIT_ASSERT(it.time_until_all_serve("/b/x") < max_delay);
    }

    void learn_of_changes_within_the_bound_that_was_read_last()
    {
        changing_fixture it(6, max_delay * 5);
        CPPUNIT_ASSERT(it.until_watches(2));
        for (const auto& each : it.hosts)
        {
            each->settings.change_bound = max_delay;
            each->host->reload();
        }
        it.run_for(max_delay);
        for (const std::size_t rank : {std::size_t{0}, std::size_t{1}})
        {
            const std::size_t frozen = relay(it, rank);
            it.freeze(it.hosts[frozen]);
            it.hosts[frozen].reset();
        }
        it.put_configuration(4, {"/a/", "/b/"});
        const millis delay = it.time_until_all_serve("/b/x");
        CPPUNIT_ASSERT_MESSAGE(std::to_string(delay.count()), delay < max_delay);
    }
};

class a_host_that_the_store_turned_away : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_host_that_the_store_turned_away);
    CPPUNIT_TEST(sends_nothing_to_a_target_that_leaves_just_after);
    CPPUNIT_TEST(sends_nothing_to_a_target_that_leaves_after_one_failed_call);
    CPPUNIT_TEST(keeps_a_target_whose_entry_lapsed_in_an_outage);
    CPPUNIT_TEST_SUITE_END();

  public:
    void sends_nothing_to_a_target_that_leaves_just_after()
    {
        changing_fixture it(2);
        const endpoint second = free_endpoint();
        it.store.add_address(second);
        it.add_host("host-2", {}, second);
        CPPUNIT_ASSERT(it.until_ready(2));
        stand_in_target leaving(it.loop, "i-2", "plain", answer_signed);
        it.store.put(leaving.key(), leaving.entry());
        it.run_for(millis(1000));
        it.store.set_second_cut(true);
        for (int version = 4; version < 12; ++version)
        {
            // the store serves the others all the while
            it.run_for(millis(500));
            it.put_configuration(version, {"/a/"});
        }
        it.store.set_second_cut(false);
        it.run_for(millis(1100));
        it.store.remove(leaving.key());
        // within the 2 s that hosts have to stop sending to it
        it.run_for(millis(1000));
        const std::size_t before = leaving.requests.size();
        for (int i = 0; i < 12; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(200, it.fetch_status(2, "/a/x"));
        }
        CPPUNIT_ASSERT_EQUAL(before, leaving.requests.size());
    }

    void sends_nothing_to_a_target_that_leaves_after_one_failed_call()
    {
        changing_fixture it(2);
        const endpoint second = free_endpoint();
        it.store.add_address(second);
        it.add_host("host-2", {}, second);
        CPPUNIT_ASSERT(it.until_ready(2));
        stand_in_target leaving(it.loop, "i-2", "plain", answer_signed);
        it.store.put(leaving.key(), leaving.entry());
        it.run_for(millis(1500));
        it.store.set_second_cut(true);
        it.run_for(millis(20));
        it.store.set_second_cut(false);
        // the host tries again after 250 ms
        it.run_for(millis(500));
        it.store.remove(leaving.key());
        it.run_for(millis(1000));
        const std::size_t before = leaving.requests.size();
        for (int i = 0; i < 12; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(200, it.fetch_status(2, "/a/x"));
        }
        CPPUNIT_ASSERT_EQUAL(before, leaving.requests.size());
    }

    void keeps_a_target_whose_entry_lapsed_in_an_outage()
    {
        changing_fixture it(1);
        it.run_for(millis(1500));
        it.store.set_down(true);
        it.run_for(millis(3000));
        it.store.remove(it.target.key());
        it.store.set_down(false);
        const steady_time returned = it.time.steady_now();
        while (it.time.steady_now() - returned < millis(2000))
        {
            CPPUNIT_ASSERT_EQUAL(200, it.fetch_status(0, "/a/x"));
            it.run_for(millis(50));
        }
        CPPUNIT_ASSERT(it.until_status(0, "/a/x", 503));
    }
};

class a_store_back_from_an_old_copy : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_store_back_from_an_old_copy);
    CPPUNIT_TEST(brings_back_no_dropped_route);
    CPPUNIT_TEST(brings_back_no_target_that_left);
    CPPUNIT_TEST(has_all_hosts_registered_again);
    CPPUNIT_TEST(is_followed_in_its_new_revisions);
    CPPUNIT_TEST(is_known_to_a_host_that_starts_afterwards);
    CPPUNIT_TEST(states_no_era_or_an_older_one);
    CPPUNIT_TEST(brings_nothing_back_on_hosts_that_were_cut_off);
    CPPUNIT_TEST(hides_no_removal_from_a_host_that_was_reading_it);
    CPPUNIT_TEST_SUITE_END();

    /// the name of one more host that is none of the relays
    static std::string name_of_no_relay(const changing_fixture& it)
    {
        std::vector<peer_host> peers(it.all_settings.size() + 1);
        for (std::size_t i = 0; i < it.all_settings.size(); ++i)
        {
            peers[i].id = it.all_settings[i].host;
            peers[i].domain = it.all_settings[i].domain;
        }
        peers.back().domain = it.all_settings[0].domain;
        std::string name = "host-x";
        std::vector<host_id> relays;
        do
        {
            name += "x";
            peers.back().id = host_id(name);
            relays = relays_of(peers.back().domain, peers);
        } while (std::count(relays.begin(), relays.end(), host_id(name)) > 0);
        return name;
    }

  public:
    void brings_back_no_dropped_route()
    {
        changing_fixture it(2);
        it.store.save_copy();
        it.put_configuration(4, {"/a/"});
        CPPUNIT_ASSERT(it.until_status(0, "/old/x", 404));
        CPPUNIT_ASSERT(it.until_status(1, "/old/x", 404));
        it.store.return_from_copy();
        it.run_for(millis(1500));
        CPPUNIT_ASSERT_EQUAL(404, it.fetch_status(0, "/old/x"));
        CPPUNIT_ASSERT_EQUAL(404, it.fetch_status(1, "/old/x"));
        CPPUNIT_ASSERT_EQUAL(200, it.fetch_status(0, "/a/x"));
    }

    void brings_back_no_target_that_left()
    {
        changing_fixture it(2);
        it.store.save_copy();
        it.store.remove(it.target.key());
        CPPUNIT_ASSERT(it.until_status(0, "/a/x", 503));
        CPPUNIT_ASSERT(it.until_status(1, "/a/x", 503));
        const std::size_t requests = it.target.requests.size();
        it.store.return_from_copy();
        it.run_for(millis(1500));
        CPPUNIT_ASSERT_EQUAL(503, it.fetch_status(0, "/a/x"));
        CPPUNIT_ASSERT_EQUAL(503, it.fetch_status(1, "/a/x"));
        CPPUNIT_ASSERT_EQUAL(requests, it.target.requests.size());

        // it is alive after all: it writes its entry again
        it.store.put(it.target.key(), it.target.entry("ready", 9));
        CPPUNIT_ASSERT(it.until_status(0, "/a/x", 200));
    }

    void has_all_hosts_registered_again()
    {
        changing_fixture it(6);
        CPPUNIT_ASSERT(it.until_watches(2));
        it.store.remove_prefix("medlar/hosts/");
        it.store.save_copy();
        it.store.return_from_copy();
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return it.store.count_with_prefix("medlar/hosts/") == 6;
            }));
        it.put_configuration(4, {"/a/", "/b/"});
        it.time_until_all_serve("/b/x");
        CPPUNIT_ASSERT(it.until_watches(2));
    }

    void is_followed_in_its_new_revisions()
    {
        changing_fixture it(2);
        it.store.save_copy();
        // revisions of the old era run far ahead of those that are given out again
        for (int i = 0; i < 20; ++i)
        {
            it.store.put("servers/other-" + std::to_string(i), "{}");
        }
        it.run_for(millis(600));
        it.store.return_from_copy();
        it.run_for(millis(700));
        it.put_configuration(4, {"/a/", "/b/"});
        CPPUNIT_ASSERT(it.time_until_all_serve("/b/x") < millis(2000));
    }

    void is_known_to_a_host_that_starts_afterwards()
    {
        changing_fixture it(2);
        it.store.save_copy();
        it.put_configuration(4, {"/a/"});
        CPPUNIT_ASSERT(it.until_status(0, "/old/x", 404));
        CPPUNIT_ASSERT(it.until_status(1, "/old/x", 404));
        it.store.return_from_copy();
        it.run_for(millis(300));
        // the hosts may not have registered again yet
        it.add_host("host-late", {it.all_settings[0].link_endpoint});
        int served = 0;
        for (int i = 0; i < 40; ++i)
        {
            served += it.fetch_status(2, "/old/x") == 200 ? 1 : 0;
            it.run_for(millis(20));
        }
        CPPUNIT_ASSERT_EQUAL(0, served);
        CPPUNIT_ASSERT(it.until_status(2, "/a/x", 200));
        CPPUNIT_ASSERT_EQUAL(404, it.fetch_status(2, "/old/x"));
    }

    void brings_nothing_back_on_hosts_that_were_cut_off()
    {
        changing_fixture it(2);
        const endpoint second = free_endpoint();
        it.store.add_address(second);
        it.add_host("host-2", {}, second);
        it.add_host("host-3", {}, second);
        CPPUNIT_ASSERT(it.until_ready(2) && it.until_ready(3));
        it.store.save_copy();
        it.put_configuration(4, {"/a/"});
        for (std::size_t i = 0; i < 4; ++i)
        {
            CPPUNIT_ASSERT(it.until_status(i, "/old/x", 404));
        }
        it.store.set_second_cut(true);
        it.store.return_from_copy();
        it.run_for(millis(1500));
        it.store.set_second_cut(false);
        it.run_for(millis(1500));
        for (std::size_t i = 0; i < 4; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(404, it.fetch_status(i, "/old/x"));
            CPPUNIT_ASSERT_EQUAL(200, it.fetch_status(i, "/a/x"));
        }
        it.put_configuration(5, {"/a/", "/b/"});
        it.time_until_all_serve("/b/x");
    }

    void hides_no_removal_from_a_host_that_was_reading_it()
    {
        changing_fixture it(5);
        const endpoint second = free_endpoint();
        it.store.add_address(second);
        stand_in_target leaving(it.loop, "i-2", "plain", answer_signed);
        it.store.put(leaving.key(), leaving.entry());
        it.store.save_copy();
        // revisions of the old era run ahead of those that are given out again
        for (int i = 0; i < 40; ++i)
        {
            it.store.put("servers/other-" + std::to_string(i), "{}");
        }
        it.run_for(millis(600));
        it.store.refused_prefix = "medlar/hosts/";
        it.add_host(name_of_no_relay(it), {it.all_settings[0].link_endpoint}, second);
        CPPUNIT_ASSERT(it.until_ready(5));
        it.run_for(millis(2500));
        it.store.return_from_copy();
        it.put_configuration(4, {"/a/", "/b/"});
        CPPUNIT_ASSERT(it.until_status(5, "/b/x", 200));
        it.run_for(millis(1000));

        // nobody but the store tells it of the removal
        for (std::size_t i = 0; i < 5; ++i)
        {
            it.freeze(it.hosts[i]);
        }
        it.store.remove(leaving.key());
        it.store.refused_prefix.reset();
        // a new era permits more time than an outage of a call
        it.run_for(millis(6000));
        const std::size_t before = leaving.requests.size();
        for (int i = 0; i < 12; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(200, it.fetch_status(5, "/b/x"));
        }
        CPPUNIT_ASSERT_EQUAL(before, leaving.requests.size());
    }

    void states_no_era_or_an_older_one()
    {
        changing_fixture it(2);
        it.store.save_copy();
        it.store.return_from_copy();
        it.put_configuration(4, {"/a/", "/b/"});
        it.time_until_all_serve("/b/x");
        for (const std::string stated : {"", "x", "-3"})
        {
            it.store.state_era(stated);
            it.run_for(millis(300));
            CPPUNIT_ASSERT_EQUAL(200, it.fetch_status(0, "/b/x"));
        }
        // an answer of the era before is not used
        it.store.state_era("1");
        it.put_configuration(5, {"/c/"});
        it.run_for(millis(1500));
        CPPUNIT_ASSERT_EQUAL(200, it.fetch_status(0, "/b/x"));
        it.store.state_era("2");
        it.time_until_all_serve("/c/x");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hosts_of_one_failure_domain);
CPPUNIT_TEST_SUITE_REGISTRATION(a_host_that_the_store_turned_away);
CPPUNIT_TEST_SUITE_REGISTRATION(a_store_back_from_an_old_copy);

} // namespace
