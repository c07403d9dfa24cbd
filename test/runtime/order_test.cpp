#include "standins/shared/engine_target.hpp"
#include "standins/shared/kv_server.hpp"
#include "support/fake_gateway.hpp"
#include "support/views.hpp"

#include <medlar/detail/config/json.hpp>
#include <medlar/detail/controller/order_controller.hpp>
#include <medlar/detail/controller/store_keys.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <thread>

namespace
{

using medlar::millis;
using medlar::testing::fake_gateway;
using nlohmann::json;

constexpr millis lease_time{15000};
const std::string orders_key = std::string(medlar::store_keys::orders_folder) + "llm";

medlar::target target_at(const standins::engine_target& engine)
{
    medlar::target made;
    made.name = medlar::target_id("llm-1");
    made.address = engine.where().address;
    made.port = engine.where().port;
    made.failure_domain = medlar::failure_domain_id("d1");
    return made;
}

/// @brief A store client that calls a function before it reads an entry.
class hooked_store : public medlar::store_client
{
  public:
    using hook = std::function<void(const std::string&)>;

    explicit hooked_store(const medlar::endpoint& where)
        : real_(medlar::store_client::create({where}, millis(2000)))
    {
    }

    void before_get(hook called)
    {
        hook_ = std::move(called);
    }

    absl::StatusOr<std::optional<medlar::store_entry>>
    get(const std::string& key) override
    {
        if (hook_)
        {
            hook_(key);
        }
        return real_->get(key);
    }

    absl::StatusOr<medlar::store_folder> list(const std::string& prefix) override
    {
        return real_->list(prefix);
    }

    absl::StatusOr<medlar::store_folder>
    watch(const std::string& prefix, medlar::store_index after, millis wait) override
    {
        return real_->watch(prefix, after, wait);
    }

    absl::StatusOr<bool> compare_and_swap(const std::string& key,
                                          const std::string& value,
                                          medlar::store_index expected) override
    {
        return real_->compare_and_swap(key, value, expected);
    }

    absl::StatusOr<medlar::store_lease> create_lease(millis time_to_live) override
    {
        return real_->create_lease(time_to_live);
    }

    absl::StatusOr<bool> renew_lease(const medlar::store_lease& lease) override
    {
        return real_->renew_lease(lease);
    }

    absl::StatusOr<bool> acquire(const std::string& key,
                                 const std::string& value,
                                 const medlar::store_lease& lease) override
    {
        return real_->acquire(key, value, lease);
    }

    absl::StatusOr<bool> release(const std::string& key,
                                 const std::string& value,
                                 const medlar::store_lease& lease) override
    {
        return real_->release(key, value, lease);
    }

  private:
    std::unique_ptr<medlar::store_client> real_;
    hook hook_;
};

/// @brief one host that may give orders, with a clock of its own
class ordering_host
{
  public:
    ordering_host(const medlar::endpoint& store, std::uint64_t process)
        : store_(std::make_unique<hooked_store>(store)),
          feed_(*links_, gateway_.where(), millis(20)),
          pushing_(
              [this]
              {
                  feed_.run();
              }),
          orders_(*store_, live_, feed_, time_, settings(process))
    {
        gateway_.set({{"process", process}, {"member", true}});
        gateway_.wait_for_pushes(2);
    }

    ~ordering_host()
    {
        feed_.stop();
        pushing_.join();
    }

    /// @brief One round after reading the live folder.
    void act()
    {
        const auto folder = store_->list(medlar::store_keys::live_folder);
        CPPUNIT_ASSERT(folder.ok());
        live_.take(*folder);
        orders_.act(stop_);
    }

    medlar::clock& time()
    {
        return time_;
    }

    hooked_store& store()
    {
        return *store_;
    }

  private:
    static medlar::order_settings settings(std::uint64_t process)
    {
        medlar::order_settings made;
        made.self = medlar::host_id("h" + std::to_string(process));
        made.lease = lease_time;
        made.verify = millis(1000);
        made.max_loads = 2;
        made.load_period = millis(60000);
        return made;
    }

    medlar::clock time_ =
        medlar::clock::manual(medlar::steady_time(0), medlar::wall_time(0));
    medlar::stop_signal stop_;
    fake_gateway gateway_;
    std::unique_ptr<medlar::link_client> links_ = medlar::link_client::create();
    std::unique_ptr<hooked_store> store_;
    medlar::live_state live_;
    medlar::gateway_feed feed_;
    std::thread pushing_;
    medlar::order_controller orders_;
};

class orders_to_engines : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(orders_to_engines);
    CPPUNIT_TEST(bring_an_engine_to_what_is_wanted);
    CPPUNIT_TEST(are_given_by_one_host_at_a_time);
    CPPUNIT_TEST(pass_to_another_host_when_the_lease_has_lapsed);
    CPPUNIT_TEST(are_not_given_by_a_holder_that_was_paused);
    CPPUNIT_TEST(are_not_given_after_a_pause_between_check_and_order);
    CPPUNIT_TEST(are_not_given_when_something_else_is_wanted_meanwhile);
    CPPUNIT_TEST(repair_what_a_late_order_has_changed);
    CPPUNIT_TEST(are_taken_up_with_a_higher_number_after_a_refusal);
    CPPUNIT_TEST(keep_the_rate_of_the_weight_store_across_hosts);
    CPPUNIT_TEST(are_not_given_for_a_malformed_entry);
    CPPUNIT_TEST(are_not_given_by_a_host_outside_the_candidates);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        store_ = std::make_unique<standins::kv_server>(medlar::endpoint{"127.0.0.1", 0},
                                                       std::chrono::milliseconds(10));
        start_engine(false);
        put(medlar::store_keys::view,
            write_view_record(medlar::testing::first_record({1, 2})));
        want("2");
    }

    void tearDown() override
    {
        store_.reset();
        engine_.reset();
    }

  private:
    void start_engine(bool checks_fencing)
    {
        standins::engine_settings settings;
        settings.checks_fencing = checks_fencing;
        settings.load_time = millis(1);
        engine_ = std::make_unique<standins::engine_target>(settings);
        medlar::accepted_document accepted;
        accepted.number = medlar::revision(1);
        accepted.change_id = "a";
        accepted.author = "tester";
        medlar::pool llm;
        llm.name = medlar::pool_id("llm");
        llm.targets.push_back(target_at(*engine_));
        accepted.content.pools.push_back(llm);
        put(medlar::store_keys::configuration, write_accepted_document(accepted));
    }

    void put(const std::string& key, const std::string& value)
    {
        store_->state().put(key, value, std::nullopt);
    }

    void want(const std::string& version)
    {
        want({{"load_model", "m", version}});
    }

    void want(const std::vector<medlar::model_order>& wanted)
    {
        medlar::pool_orders orders;
        orders.wanted = wanted;
        orders.change_id = "a";
        orders.author = "tester";
        put(orders_key, write_pool_orders(orders));
    }

    json engine_call(const std::string& method, const std::string& path, const json& body)
    {
        medlar::http_pool http(engine_->where());
        const auto answer =
            http.call({method, path, body.is_null() ? "" : body.dump(), millis(2000)});
        CPPUNIT_ASSERT_MESSAGE(answer.status().ToString(), answer.ok());
        return json::parse(answer->body);
    }

    std::string version()
    {
        return engine_call("GET", "/v1/state", json())["models"][0]["version"];
    }

    int orders()
    {
        return engine_call("GET", "/v1/state", json())["orders"];
    }

    int fencing()
    {
        return engine_call("GET", "/v1/state", json())["fencing"];
    }

    void order(const std::string& version, int fencing)
    {
        engine_call("POST",
                    "/v1/order",
                    {{"fencing", fencing},
                     {"order_id", "late"},
                     {"action", "load_model"},
                     {"model", "m"},
                     {"version", version}});
    }

    void bring_an_engine_to_what_is_wanted()
    {
        want({{"load_model", "n", "3"},
              {"unload_model", "m", ""},
              {"load_adapter", "a", ""},
              {"change_role", "rerank", ""}});
        ordering_host host(store_->where(), 1);
        host.act();
        const json state = engine_call("GET", "/v1/state", json());
        CPPUNIT_ASSERT_EQUAL(std::string(R"([{"model":"n","version":"3"}])"),
                             state["models"].dump());
        CPPUNIT_ASSERT_EQUAL(std::string(R"(["a"])"), state["adapters"].dump());
        CPPUNIT_ASSERT_EQUAL(std::string("rerank"), state["role"].get<std::string>());
        const int given = orders();
        host.act();
        CPPUNIT_ASSERT_EQUAL(given, orders());
    }

    void are_given_by_one_host_at_a_time()
    {
        ordering_host first(store_->where(), 1);
        ordering_host second(store_->where(), 2);
        first.act();
        want("3");
        second.act();
        CPPUNIT_ASSERT_EQUAL(std::string("2"), version());
        first.act();
        CPPUNIT_ASSERT_EQUAL(std::string("3"), version());
    }

    void pass_to_another_host_when_the_lease_has_lapsed()
    {
        ordering_host first(store_->where(), 1);
        ordering_host second(store_->where(), 2);
        first.act();
        const int before = fencing();
        lapse();
        want("3");
        second.act();
        CPPUNIT_ASSERT_EQUAL(std::string("3"), version());
        CPPUNIT_ASSERT(fencing() > before);
    }

    void are_not_given_by_a_holder_that_was_paused()
    {
        ordering_host first(store_->where(), 1);
        ordering_host second(store_->where(), 2);
        first.act();
        lapse();
        second.act();
        const int given = orders();
        want("3");
        first.time().advance(lease_time);
        first.act();
        CPPUNIT_ASSERT_EQUAL(given, orders());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), version());
    }

    void are_not_given_after_a_pause_between_check_and_order()
    {
        ordering_host host(store_->where(), 1);
        host.store().before_get(
            [&host](const std::string& key)
            {
                host.time().advance(key == orders_key ? lease_time : millis(0));
            });
        host.act();
        CPPUNIT_ASSERT_EQUAL(0, orders());
        host.store().before_get(nullptr);
        host.act();
        CPPUNIT_ASSERT_EQUAL(std::string("2"), version());
    }

    void are_not_given_when_something_else_is_wanted_meanwhile()
    {
        ordering_host host(store_->where(), 1);
        host.store().before_get(
            [this](const std::string& key)
            {
                if (key == orders_key)
                {
                    want("3");
                }
            });
        host.act();
        CPPUNIT_ASSERT_EQUAL(0, orders());
        host.store().before_get(nullptr);
        host.act();
        CPPUNIT_ASSERT_EQUAL(std::string("3"), version());
    }

    void repair_what_a_late_order_has_changed()
    {
        ordering_host host(store_->where(), 1);
        host.act();
        order("1", 0);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), version());
        host.time().advance(millis(1000));
        host.act();
        CPPUNIT_ASSERT_EQUAL(std::string("2"), version());
    }

    void are_taken_up_with_a_higher_number_after_a_refusal()
    {
        start_engine(true);
        order("1", 2);
        ordering_host host(store_->where(), 1);
        host.act();
        CPPUNIT_ASSERT_EQUAL(std::string("1"), version());
        host.act();
        CPPUNIT_ASSERT_EQUAL(std::string("2"), version());
        CPPUNIT_ASSERT_EQUAL(2, fencing());
    }

    void keep_the_rate_of_the_weight_store_across_hosts()
    {
        ordering_host first(store_->where(), 1);
        ordering_host second(store_->where(), 2);
        first.act();
        want("3");
        first.act();
        lapse();
        want("4");
        second.act();
        CPPUNIT_ASSERT_EQUAL(std::string("3"), version());
        second.time().advance(millis(60000));
        second.act();
        CPPUNIT_ASSERT_EQUAL(std::string("4"), version());
    }

    void are_not_given_for_a_malformed_entry()
    {
        put(orders_key, "{");
        ordering_host host(store_->where(), 1);
        host.act();
        CPPUNIT_ASSERT_EQUAL(0, orders());
        want("2");
        host.act();
        CPPUNIT_ASSERT_EQUAL(std::string("2"), version());
    }

    void are_not_given_by_a_host_outside_the_candidates()
    {
        put(medlar::store_keys::view,
            write_view_record(medlar::testing::first_record({1, 2, 3, 4})));
        ordering_host fourth(store_->where(), 4);
        fourth.act();
        CPPUNIT_ASSERT_EQUAL(0, orders());
    }

    /// @brief Ends all leases, and waits until the lock may be taken again.
    void lapse()
    {
        store_->state().end_sessions("");
        const std::string lock = medlar::store_keys::order_lock;
        while (store_->state().is_delayed(lock))
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }

    std::unique_ptr<standins::kv_server> store_;
    std::unique_ptr<standins::engine_target> engine_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(orders_to_engines);

} // namespace
