#include <medlar/detail/base/error.hpp>
#include <medlar/detail/cluster/order_plan.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using medlar::desired_engine_state;
using medlar::engine_order;
using medlar::engine_state;
using medlar::fencing_number;
using medlar::lease_tracker;
using medlar::load_rate_limiter;
using medlar::millis;
using medlar::steady_time;
using medlar::wall_time;

using medlar::model_order;

desired_engine_state desired(const std::vector<model_order>& orders)
{
    return medlar::merge_orders(orders);
}

engine_state actual(const std::string& models)
{
    const auto read = medlar::parse_engine_state(
        R"({"models": [)" + models + R"(], "adapters": ["a"], "role": "generate"})");
    CPPUNIT_ASSERT_MESSAGE(read.status().ToString(), read.ok());
    return *read;
}

std::string next(const desired_engine_state& desired_state, const engine_state& current)
{
    const std::optional<engine_order> order = medlar::next_order(desired_state, current);
    return order ? medlar::write_order(*order, fencing_number(7), "id") : "";
}

class the_next_order : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_next_order);
    CPPUNIT_TEST(is_none_in_the_desired_state);
    CPPUNIT_TEST(ignores_models_that_are_not_named);
    CPPUNIT_TEST(loads_a_missing_model_or_another_version);
    CPPUNIT_TEST(follows_the_last_order_for_a_model);
    CPPUNIT_TEST(unloads_other_models_last);
    CPPUNIT_TEST(loads_a_missing_adapter);
    CPPUNIT_TEST(changes_the_role_first);
    CPPUNIT_TEST(is_not_planned_from_a_malformed_state);
    CPPUNIT_TEST_SUITE_END();

    const std::string m1_ = R"({"model": "m", "version": "1"})";
    const std::string n1_ = R"({"model": "n", "version": "1"})";
    const model_order load_m1_{"load_model", "m", "1"};
    const model_order load_m2_{"load_model", "m", "2"};
    const model_order unload_n_{"unload_model", "n", ""};
    const model_order adapter_a_{"load_adapter", "a", ""};
    const model_order adapter_b_{"load_adapter", "b", "4"};
    const model_order rerank_{"change_role", "rerank", ""};

    void check(const std::string& expected,
               const std::vector<model_order>& orders,
               const std::string& models)
    {
        CPPUNIT_ASSERT_EQUAL(expected, next(desired(orders), actual(models)));
    }

    void is_none_in_the_desired_state()
    {
        check(
            "", {load_m1_, unload_n_, adapter_a_, {"change_role", "generate", ""}}, m1_);
    }

    void ignores_models_that_are_not_named()
    {
        check("", {}, m1_ + "," + n1_);
    }

    void loads_a_missing_model_or_another_version()
    {
        const std::string load =
            R"({"action":"load_model","fencing":7,"model":"m","order_id":"id","version":"2"})";
        check(load, {load_m2_}, m1_);
        check(load, {load_m2_}, "");
    }

    void follows_the_last_order_for_a_model()
    {
        check("", {load_m2_, load_m1_}, m1_);
        check("", {{"unload_model", "m", ""}, load_m1_}, m1_);
        check("", {{"load_model", "n", "1"}, unload_n_}, m1_);
    }

    void unloads_other_models_last()
    {
        const std::string unload =
            R"({"action":"unload_model","fencing":7,"model":"n","order_id":"id","version":"1"})";
        check(unload, {unload_n_, load_m1_, adapter_a_}, m1_ + "," + n1_);
        const auto order =
            medlar::next_order(desired({unload_n_, adapter_b_}), actual(m1_ + "," + n1_));
        CPPUNIT_ASSERT(order->action == medlar::order_action::load_adapter);
    }

    void loads_a_missing_adapter()
    {
        check(
            R"({"action":"load_adapter","adapter":"b","fencing":7,"order_id":"id","version":"4"})",
            {adapter_a_, adapter_b_},
            m1_);
    }

    void changes_the_role_first()
    {
        check(R"({"action":"change_role","fencing":7,"order_id":"id","role":"rerank"})",
              {load_m2_, rerank_},
              m1_);
    }

    void is_not_planned_from_a_malformed_state()
    {
        for (const char* text : {"", "[]", R"({"models": 1})", R"({"models": [{}]})"})
        {
            CPPUNIT_ASSERT_EQUAL(
                static_cast<int>(medlar::error_number::store_malformed),
                medlar::error_number_of(medlar::parse_engine_state(text).status()));
        }
        for (const char* text : {"",
                                 "[1]",
                                 R"({"wanted": {}, "change_id": "a", "author": "b"})",
                                 R"({"wanted": [{"action": "explode", "model": "m"}],
                  "change_id": "a", "author": "b"})"})
        {
            CPPUNIT_ASSERT_MESSAGE(text, !medlar::parse_desired_state(text).ok());
        }
    }
};

class loads_of_weights : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(loads_of_weights);
    CPPUNIT_TEST(are_limited_within_a_period);
    CPPUNIT_TEST(are_counted_over_all_hosts_by_the_stored_form);
    CPPUNIT_TEST_SUITE_END();

    void are_limited_within_a_period()
    {
        load_rate_limiter limiter(2, millis(100));
        CPPUNIT_ASSERT(limiter.try_add(wall_time(0)));
        CPPUNIT_ASSERT(limiter.try_add(wall_time(50)));
        CPPUNIT_ASSERT(!limiter.try_add(wall_time(99)));
        CPPUNIT_ASSERT(limiter.try_add(wall_time(100)));
        CPPUNIT_ASSERT(!limiter.try_add(wall_time(149)));
    }

    void are_counted_over_all_hosts_by_the_stored_form()
    {
        load_rate_limiter first(1, millis(100));
        first.try_add(wall_time(50));
        load_rate_limiter second(1, millis(100));
        second.read(first.write());
        CPPUNIT_ASSERT(!second.try_add(wall_time(100)));
        CPPUNIT_ASSERT(second.try_add(wall_time(150)));
        second.read("not JSON");
        CPPUNIT_ASSERT(second.try_add(wall_time(150)));
    }
};

class a_tracked_lease : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_tracked_lease);
    CPPUNIT_TEST(ends_before_it_can_expire_in_the_store);
    CPPUNIT_TEST(is_renewed_from_the_time_of_the_request);
    CPPUNIT_TEST(ends_immediately_when_it_is_lost);
    CPPUNIT_TEST_SUITE_END();

    void ends_before_it_can_expire_in_the_store()
    {
        lease_tracker lease(millis(1000));
        CPPUNIT_ASSERT(!lease.is_held(steady_time(0)));
        lease.on_renewed(steady_time(0));
        CPPUNIT_ASSERT(lease.is_held(steady_time(979)));
        CPPUNIT_ASSERT(!lease.is_held(steady_time(980)));
    }

    void is_renewed_from_the_time_of_the_request()
    {
        lease_tracker lease(millis(900));
        lease.on_renewed(steady_time(0));
        CPPUNIT_ASSERT(!lease.renewal_due(steady_time(299)));
        CPPUNIT_ASSERT(lease.renewal_due(steady_time(300)));
        lease.on_renewed(steady_time(300));
        CPPUNIT_ASSERT(lease.is_held(steady_time(1100)));
        CPPUNIT_ASSERT(!lease.is_held(steady_time(1200)));
    }

    void ends_immediately_when_it_is_lost()
    {
        lease_tracker lease(millis(1000));
        lease.on_renewed(steady_time(0));
        lease.on_lost();
        CPPUNIT_ASSERT(!lease.is_held(steady_time(1)));
        CPPUNIT_ASSERT(lease.renewal_due(steady_time(1)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_next_order);
CPPUNIT_TEST_SUITE_REGISTRATION(loads_of_weights);
CPPUNIT_TEST_SUITE_REGISTRATION(a_tracked_lease);

} // namespace
