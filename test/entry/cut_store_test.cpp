#include "support/entry/cutting_proxy.hpp"
#include "support/entry/entry_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace
{

using namespace medlar;
using namespace medlar::test;

using exchange_ptr = std::shared_ptr<caller_exchange>;

/// hosts that reach the store through proxies, each with a plan of its own
class store_fixture : public entry_fixture
{
  public:
    store_fixture()
        : target_(loop,
                  "i-1",
                  "plain",
                  [](const exchange_ptr& exchange)
                  {
                      exchange->answer(200, signed_headers(*exchange), "hello");
                  })
    {
        store.put(target_.key(), target_.entry());
        write_route("/a/");
        store.rewrite = [this](const std::string& key, const std::string& value)
        {
            ++writes[key];
            return value;
        };
    }

    struct proxied_host
    {
        entry_settings settings;
        cut_plan plan;
        std::unique_ptr<cutting_proxy> proxy;
        std::shared_ptr<running_host> host;
    };

    /// Starts a host one of whose answers of the store is cut, if given.
    proxied_host& start_host(const std::string& target_prefix = {},
                             std::optional<answer_cut> cut = std::nullopt)
    {
        hosts_.push_back(std::make_unique<proxied_host>());
        proxied_host& added = *hosts_.back();
        added.settings = settings(absl::StrCat("host-", hosts_.size()));
        added.plan.next = cut;
        added.plan.target_prefix = target_prefix;
        added.proxy = std::make_unique<cutting_proxy>(
            loop, added.settings.store_endpoint, added.plan);
        added.settings.store_endpoint = added.proxy->where();
        added.host = start(added.settings);
        return added;
    }

    /// Starts a host for each of some cuts.
    std::vector<proxied_host*> start_hosts(const std::string& target_prefix)
    {
        std::vector<proxied_host*> started;
        for (std::size_t i = 0; i < answer_cut::place_count; i += 2)
        {
            const auto number = i / 2;
            started.push_back(&start_host(
                target_prefix,
                answer_cut{framing_of(number), static_cast<cut_end>(number % 3), i}));
        }
        for (const std::size_t place : {10, 12, 15})
        {
            started.push_back(
                &start_host(target_prefix,
                            answer_cut{body_kind::until_close, cut_end::closed, place}));
        }
        return started;
    }

    static body_kind framing_of(std::size_t number)
    {
        const body_kind framings[] = {
            body_kind::until_close, body_kind::length, body_kind::chunked};
        return framings[number % 3];
    }

    /// Writes a configuration with one route.
    void write_route(const std::string& prefix)
    {
        store.put(
            "op/config",
            configuration_json(++version_, {route_json(prefix, "idempotent", "plain")}));
    }

    int status_at(const proxied_host& host, const std::string& path)
    {
        return send(host.settings.caller_endpoint,
                    request_text("GET", path, absl::StrCat("id-", ++sent_)))
            .status;
    }

    void expect_serving(const std::vector<proxied_host*>& hosts)
    {
        for (const proxied_host* each : hosts)
        {
            CPPUNIT_ASSERT_MESSAGE(each->settings.host.get(),
                                   until(
                                       [&]
                                       {
                                           return status_at(*each, "/a/x") == 200;
                                       }));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, each->plan.cuts);
        }
    }

    /// Brings about that a host that watches the store reads it again.
    void drop_history()
    {
        store.set_down(true);
        store.put("other/item", "x");
        store.compact();
        store.set_down(false);
    }

    /// how often the hosts have written each key
    std::map<std::string, int> writes;

  private:
    stand_in_target target_;
    std::vector<std::unique_ptr<proxied_host>> hosts_;
    int version_ = 1;
    int sent_ = 0;
};

class an_answer_of_the_store : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_answer_of_the_store);
    CPPUNIT_TEST(is_no_page_for_a_host_that_starts_if_it_was_cut);
    CPPUNIT_TEST(removes_nothing_if_it_was_cut);
    CPPUNIT_TEST(hides_no_change_if_it_was_cut);
    CPPUNIT_TEST(is_no_lease_if_it_was_cut);
    CPPUNIT_TEST(acknowledges_no_write_if_it_was_cut);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_no_page_for_a_host_that_starts_if_it_was_cut()
    {
        for (const char* prefix : {"/-/kv-range?prefix=op", "/-/kv-range?prefix=servers"})
        {
            store_fixture it;
            it.expect_serving(it.start_hosts(prefix));
        }
    }

    void removes_nothing_if_it_was_cut()
    {
        store_fixture it;
        auto& host = it.start_host();
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return it.status_at(host, "/a/x") == 200;
            }));
        const std::vector<answer_cut> cuts{
            {body_kind::until_close, cut_end::closed, 7},
            {body_kind::until_close, cut_end::closed, 10},
            {body_kind::until_close, cut_end::half_closed, 12},
            {body_kind::until_close, cut_end::closed, 15},
            {body_kind::length, cut_end::closed, 10},
            {body_kind::chunked, cut_end::half_closed, 13},
        };
        for (const answer_cut& cut : cuts)
        {
            for (const char* prefix : {"op", "servers"})
            {
                host.plan.target_prefix = absl::StrCat("/-/kv-range?prefix=", prefix);
                host.plan.next = cut;
                it.drop_history();
                CPPUNIT_ASSERT(it.until(
                    [&]
                    {
                        const int status = it.status_at(host, "/a/x");
                        CPPUNIT_ASSERT_EQUAL_MESSAGE(cut.text(), 200, status);
                        return !host.plan.next;
                    }));
                const steady_time end = it.time.steady_now() + millis(100);
                while (it.time.steady_now() < end)
                {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(
                        cut.text(), 200, it.status_at(host, "/a/x"));
                }
            }
        }
    }

    void hides_no_change_if_it_was_cut()
    {
        store_fixture it;
        auto& host = it.start_host();
        int number = 0;
        for (const answer_cut& cut : some_answer_cuts())
        {
            const bool is_sampled = cut.place % 3 == static_cast<std::size_t>(cut.how) ||
                                    cut.framing == body_kind::until_close;
            if (!is_sampled)
            {
                continue;
            }
            CPPUNIT_ASSERT(it.until(
                [&]
                {
                    return it.store.waiting_watches() > 0;
                }));
            host.plan.target_prefix = "/-/kv-watch";
            host.plan.next = cut;
            const std::string prefix = absl::StrCat("/", ++number, "/");
            it.write_route(prefix);
            CPPUNIT_ASSERT_MESSAGE(cut.text(),
                                   it.until(
                                       [&]
                                       {
                                           return it.status_at(host, prefix) == 200;
                                       }));
            CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(number), host.plan.cuts);
        }
    }

    void is_no_lease_if_it_was_cut()
    {
        store_fixture it;
        const auto hosts = it.start_hosts("/-/kv-lease");
        it.expect_serving(hosts);
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return it.store.count_with_prefix("medlar/hosts/") == hosts.size();
            }));
    }

    void acknowledges_no_write_if_it_was_cut()
    {
        store_fixture it;
        const auto hosts = it.start_hosts("/-/kv-txn");
        it.expect_serving(hosts);
        for (const auto* each : hosts)
        {
            const std::string key = "medlar/hosts/" + each->settings.host.get();
            CPPUNIT_ASSERT_MESSAGE(key,
                                   it.until(
                                       [&]
                                       {
                                           return it.writes[key] >= 2;
                                       }));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(an_answer_of_the_store);

} // namespace
