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
    medlar::target result;
    result.name = medlar::target_id("llm-1");
    result.address = engine.where().address;
    result.port = engine.where().port;
    result.failure_domain = medlar::failure_domain_id("d1");
    return result;
}

/// @brief Store client that calls a function before it reads an entry.
class hooked_store : public medlar::store_client
{
  public:
    using hook = std::function<void(const std::string&)>;

    explicit hooked_store(const medlar::endpoint& where)
        : wrapped_(medlar::store_client::create({where}, millis(2000)))
    {
    }

    void set_before_get(hook function)
    {
        hook_ = std::move(function);
    }

    absl::StatusOr<std::optional<medlar::store_entry>>
    get(const std::string& key) override
    {
        if (hook_)
        {
            hook_(key);
        }
        return wrapped_->get(key);
    }

    absl::StatusOr<medlar::store_folder> list(const std::string& prefix) override
    {
        return wrapped_->list(prefix);
    }

    absl::StatusOr<medlar::store_folder>
    watch(const std::string& prefix, medlar::store_index after, millis wait) override
    {
        return wrapped_->watch(prefix, after, wait);
    }

    absl::StatusOr<bool> compare_and_swap(const std::string& key,
                                          const std::string& value,
                                          medlar::store_index expected) override
    {
        return wrapped_->compare_and_swap(key, value, expected);
    }

    absl::StatusOr<medlar::store_lease> create_lease(millis time_to_live) override
    {
        return wrapped_->create_lease(time_to_live);
    }

    absl::StatusOr<bool> renew_lease(const medlar::store_lease& lease) override
    {
        return wrapped_->renew_lease(lease);
    }

    absl::StatusOr<bool> acquire(const std::string& key,
                                 const std::string& value,
                                 const medlar::store_lease& lease) override
    {
        return wrapped_->acquire(key, value, lease);
    }

    absl::StatusOr<bool> release(const std::string& key,
                                 const std::string& value,
                                 const medlar::store_lease& lease) override
    {
        return wrapped_->release(key, value, lease);
    }

  private:
    std::unique_ptr<medlar::store_client> wrapped_;
    hook hook_;
};

/// @brief A host that may send orders, with its own manual clock.
class controller_host
{
  public:
    controller_host(const medlar::endpoint& store, std::uint64_t process)
        : store_(std::make_unique<hooked_store>(store)),
          feed_(*links_, gateway_.where(), millis(20)),
          feed_thread_(
              [this]
              {
                  feed_.run();
              }),
          orders_(*store_, live_, feed_, time_, settings(process))
    {
        gateway_.set({{"process", process}, {"member", true}});
        gateway_.wait_for_pushes(2);
    }

    ~controller_host()
    {
        feed_.stop();
        feed_thread_.join();
    }

    /// @brief Reads the live folder and runs one round.
    void reconcile()
    {
        const auto folder = store_->list(medlar::store_keys::live_folder);
        CPPUNIT_ASSERT(folder.ok());
        live_.update(*folder);
        orders_.reconcile(stop_);
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
        medlar::order_settings result;
        result.self = medlar::host_id("h" + std::to_string(process));
        result.lease_duration = lease_time;
        result.verify_interval = millis(1000);
        result.max_loads = 2;
        result.load_period = millis(60000);
        return result;
    }

    medlar::clock time_ =
        medlar::clock::manual(medlar::steady_time(0), medlar::wall_time(0));
    medlar::stop_signal stop_;
    fake_gateway gateway_;
    std::unique_ptr<medlar::link_client> links_ = medlar::link_client::create();
    std::unique_ptr<hooked_store> store_;
    medlar::live_state live_;
    medlar::gateway_feed feed_;
    std::thread feed_thread_;
    medlar::order_controller orders_;
};

class orders_to_engines : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(orders_to_engines);
    CPPUNIT_TEST(reconcile_an_engine_with_the_desired_state);
    CPPUNIT_TEST(are_sent_by_one_host_at_a_time);
    CPPUNIT_TEST(are_sent_by_another_host_after_the_lease_has_expired);
    CPPUNIT_TEST(are_not_sent_by_a_paused_former_holder);
    CPPUNIT_TEST(are_not_sent_after_a_pause_between_check_and_order);
    CPPUNIT_TEST(are_not_sent_if_the_desired_state_has_changed);
    CPPUNIT_TEST(repair_the_changes_of_a_delayed_order);
    CPPUNIT_TEST(are_sent_with_a_higher_fencing_number_after_a_refusal);
    CPPUNIT_TEST(respect_the_load_rate_limit_across_hosts);
    CPPUNIT_TEST(are_not_sent_for_a_malformed_entry);
    CPPUNIT_TEST(are_not_sent_by_a_host_that_is_not_a_candidate);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        store_ = std::make_unique<standins::kv_server>(medlar::endpoint{"127.0.0.1", 0},
                                                       std::chrono::milliseconds(10));
        start_engine(false);
        put(medlar::store_keys::view,
            write_view_record(medlar::testing::first_record({1, 2})));
        set_desired("2");
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

    void set_desired(const std::string& version)
    {
        set_desired({{"load_model", "m", version}});
    }

    void set_desired(const std::vector<medlar::model_order>& desired)
    {
        medlar::pool_orders orders;
        orders.wanted = desired;
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

    int order_count()
    {
        return engine_call("GET", "/v1/state", json())["orders"];
    }

    int fencing()
    {
        return engine_call("GET", "/v1/state", json())["fencing"];
    }

    void send_order(const std::string& version, int fencing)
    {
        engine_call("POST",
                    "/v1/order",
                    {{"fencing", fencing},
                     {"order_id", "late"},
                     {"action", "load_model"},
                     {"model", "m"},
                     {"version", version}});
    }

    void reconcile_an_engine_with_the_desired_state()
    {
        set_desired({{"load_model", "n", "3"},
                     {"unload_model", "m", ""},
                     {"load_adapter", "a", ""},
                     {"change_role", "rerank", ""}});
        controller_host host(store_->where(), 1);
        host.reconcile();
        const json state = engine_call("GET", "/v1/state", json());
        CPPUNIT_ASSERT_EQUAL(std::string(R"([{"model":"n","version":"3"}])"),
                             state["models"].dump());
        CPPUNIT_ASSERT_EQUAL(std::string(R"(["a"])"), state["adapters"].dump());
        CPPUNIT_ASSERT_EQUAL(std::string("rerank"), state["role"].get<std::string>());
        const int sent = order_count();
        host.reconcile();
        CPPUNIT_ASSERT_EQUAL(sent, order_count());
    }

    void are_sent_by_one_host_at_a_time()
    {
        controller_host first(store_->where(), 1);
        controller_host second(store_->where(), 2);
        first.reconcile();
        set_desired("3");
        second.reconcile();
        CPPUNIT_ASSERT_EQUAL(std::string("2"), version());
        first.reconcile();
        CPPUNIT_ASSERT_EQUAL(std::string("3"), version());
    }

    void are_sent_by_another_host_after_the_lease_has_expired()
    {
        controller_host first(store_->where(), 1);
        controller_host second(store_->where(), 2);
        first.reconcile();
        const int before = fencing();
        expire_leases();
        set_desired("3");
        second.reconcile();
        CPPUNIT_ASSERT_EQUAL(std::string("3"), version());
        CPPUNIT_ASSERT(fencing() > before);
    }

    void are_not_sent_by_a_paused_former_holder()
    {
        controller_host first(store_->where(), 1);
        controller_host second(store_->where(), 2);
        first.reconcile();
        expire_leases();
        second.reconcile();
        const int sent = order_count();
        set_desired("3");
        first.time().advance(lease_time);
        first.reconcile();
        CPPUNIT_ASSERT_EQUAL(sent, order_count());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), version());
    }

    void are_not_sent_after_a_pause_between_check_and_order()
    {
        controller_host host(store_->where(), 1);
        host.store().set_before_get(
            [&host](const std::string& key)
            {
                host.time().advance(key == orders_key ? lease_time : millis(0));
            });
        host.reconcile();
        CPPUNIT_ASSERT_EQUAL(0, order_count());
        host.store().set_before_get(nullptr);
        host.reconcile();
        CPPUNIT_ASSERT_EQUAL(std::string("2"), version());
    }

    void are_not_sent_if_the_desired_state_has_changed()
    {
        controller_host host(store_->where(), 1);
        host.store().set_before_get(
            [this](const std::string& key)
            {
                if (key == orders_key)
                {
                    set_desired("3");
                }
            });
        host.reconcile();
        CPPUNIT_ASSERT_EQUAL(0, order_count());
        host.store().set_before_get(nullptr);
        host.reconcile();
        CPPUNIT_ASSERT_EQUAL(std::string("3"), version());
    }

    void repair_the_changes_of_a_delayed_order()
    {
        controller_host host(store_->where(), 1);
        host.reconcile();
        send_order("1", 0);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), version());
        host.time().advance(millis(1000));
        host.reconcile();
        CPPUNIT_ASSERT_EQUAL(std::string("2"), version());
    }

    void are_sent_with_a_higher_fencing_number_after_a_refusal()
    {
        start_engine(true);
        send_order("1", 2);
        controller_host host(store_->where(), 1);
        host.reconcile();
        CPPUNIT_ASSERT_EQUAL(std::string("1"), version());
        host.reconcile();
        CPPUNIT_ASSERT_EQUAL(std::string("2"), version());
        CPPUNIT_ASSERT_EQUAL(2, fencing());
    }

    void respect_the_load_rate_limit_across_hosts()
    {
        controller_host first(store_->where(), 1);
        controller_host second(store_->where(), 2);
        first.reconcile();
        set_desired("3");
        first.reconcile();
        expire_leases();
        set_desired("4");
        second.reconcile();
        CPPUNIT_ASSERT_EQUAL(std::string("3"), version());
        second.time().advance(millis(60000));
        second.reconcile();
        CPPUNIT_ASSERT_EQUAL(std::string("4"), version());
    }

    void are_not_sent_for_a_malformed_entry()
    {
        put(orders_key, "{");
        controller_host host(store_->where(), 1);
        host.reconcile();
        CPPUNIT_ASSERT_EQUAL(0, order_count());
        set_desired("2");
        host.reconcile();
        CPPUNIT_ASSERT_EQUAL(std::string("2"), version());
    }

    void are_not_sent_by_a_host_that_is_not_a_candidate()
    {
        put(medlar::store_keys::view,
            write_view_record(medlar::testing::first_record({1, 2, 3, 4})));
        controller_host fourth(store_->where(), 4);
        fourth.reconcile();
        CPPUNIT_ASSERT_EQUAL(0, order_count());
    }

    /// @brief Ends all leases and waits until the lock can be acquired again.
    void expire_leases()
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
