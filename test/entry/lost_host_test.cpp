#include "support/entry/versioned_pool.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <vector>

namespace
{

using namespace medlar;
using namespace medlar::test;

// time for the hosts to learn of a change
constexpr millis change_time{1000};

// time for a host to make known where its streams have begun
constexpr millis report_time{500};

constexpr std::size_t stream_count = 18;

/// Streams that are taken up after their host was lost.
class lost_host_group : public versioned_pool
{
  public:
    using versioned_pool::versioned_pool;

    std::vector<caller_stream> begin_streams_at(std::size_t host)
    {
        std::vector<caller_stream> streams;
        for (std::size_t i = 0; i < stream_count; ++i)
        {
            streams.push_back(begin_stream(host));
        }
        return streams;
    }

    /// Divides the route between pools, by their weights.
    void set_pools_of_route(const std::map<std::string, int>& weights)
    {
        nlohmann::json route = route_json("/a/", "stream", "plain");
        route["timeout_ms"] = 3000;
        route.erase("service");
        nlohmann::json& pools = route["backends"] = nlohmann::json::array();
        for (const auto& each : weights)
        {
            pools.push_back({{"service", each.first}, {"weight", each.second}});
        }
        nlohmann::json configuration =
            nlohmann::json::parse(configuration_json(++version_, {route}));
        configuration["services"].push_back(
            {{"name", "other"}, {"health_path", "/health"}, {"max_conns", 100}});
        store.put("op/config", configuration.dump());
    }

    void start_other_pool()
    {
        start_engine("o-1", "v1", 5, "other");
        start_engine("o-2", "v1", 5, "other");
    }

  private:
    int version_ = 3;
};

class a_stream_whose_host_was_lost : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_stream_whose_host_was_lost);
    CPPUNIT_TEST(goes_on_if_another_version_registers_afterwards);
    CPPUNIT_TEST(goes_on_if_another_version_registers_while_the_host_is_frozen);
    CPPUNIT_TEST(goes_on_if_its_keepers_were_restarted_before);
    CPPUNIT_TEST(goes_on_once_more_if_the_next_host_is_lost_too);
    CPPUNIT_TEST(goes_on_after_all_hosts_were_killed_beside_another_version);
    CPPUNIT_TEST_SUITE_END();

  public:
    // review/10: a host told nobody of its streams while it knew of one version
    void goes_on_if_another_version_registers_afterwards()
    {
        for (const std::size_t lost : {0U, 1U, 2U, 3U})
        {
            lost_host_group it(4);
            std::vector<versioned_pool::caller_stream> streams =
                it.begin_streams_at(lost);
            it.run_for(report_time);
            it.kill_host(lost);
            it.start_engine("i-3", "v2");
            it.run_for(change_time);
            CPPUNIT_ASSERT_EQUAL(int{stream_count}, it.take_up_all(streams));
            CPPUNIT_ASSERT_EQUAL(0, it.joined);
        }
    }

    void goes_on_if_another_version_registers_while_the_host_is_frozen()
    {
        lost_host_group it(4);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams_at(3);
        it.run_for(report_time);
        it.freeze(it.hosts[3]);
        it.start_engine("i-3", "v2");
        it.run_for(change_time);
        int resumed = 0;
        for (std::size_t i = 0; i < streams.size(); ++i)
        {
            resumed += it.take_up(i % 3, streams[i]).status == 200 ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(int{stream_count}, resumed);
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void goes_on_if_its_keepers_were_restarted_before()
    {
        lost_host_group it(4);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams_at(0);
        it.run_for(report_time);
        for (int i = 0; i < 3; ++i)
        {
            // the second host each time, since those after it move up
            const entry_settings settings = it.all_settings[1];
            it.kill_host(1);
            it.all_settings.push_back(settings);
            it.hosts.push_back(it.start(settings));
            CPPUNIT_ASSERT(it.until(
                [&]
                {
                    return it.is_ready(settings);
                }));
            it.run_for(change_time);
        }
        it.kill_host(0);
        it.start_engine("i-3", "v2");
        it.run_for(change_time);
        CPPUNIT_ASSERT_EQUAL(int{stream_count}, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void goes_on_once_more_if_the_next_host_is_lost_too()
    {
        lost_host_group it(5);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams_at(0);
        it.run_for(report_time);
        it.kill_host(0);
        CPPUNIT_ASSERT_EQUAL(int{stream_count}, it.take_up_all(streams));
        it.run_for(report_time);
        it.kill_host(0);
        it.start_engine("i-3", "v2");
        it.run_for(change_time);
        CPPUNIT_ASSERT_EQUAL(int{stream_count}, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void goes_on_after_all_hosts_were_killed_beside_another_version()
    {
        lost_host_group it(4);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams_at(0);
        it.run_for(report_time);
        it.start_engine("i-3", "v2");
        it.run_for(change_time);
        it.restart_all_hosts();
        CPPUNIT_ASSERT_EQUAL(int{stream_count}, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_stream_whose_host_was_lost);

class a_stream_of_a_split_route : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_stream_of_a_split_route);
    CPPUNIT_TEST(goes_on_after_its_host_was_lost);
    CPPUNIT_TEST(goes_on_after_all_hosts_were_killed);
    CPPUNIT_TEST(goes_on_if_the_route_is_split_after_its_host_was_lost);
    CPPUNIT_TEST(goes_on_after_all_hosts_were_killed_if_the_route_was_split_meanwhile);
    CPPUNIT_TEST(goes_on_if_the_other_pool_has_no_weight);
    CPPUNIT_TEST(is_refused_if_its_pool_has_left_the_route);
    CPPUNIT_TEST_SUITE_END();

  public:
    // review/8: streams were reported by the versions of their pool, and looked for by
    // those of their route
    void goes_on_after_its_host_was_lost()
    {
        lost_host_group it(4);
        it.start_other_pool();
        it.set_pools_of_route({{"plain", 90}, {"other", 10}});
        it.run_for(change_time);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams_at(0);
        it.kill_host(0);
        CPPUNIT_ASSERT_EQUAL(int{stream_count}, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void goes_on_after_all_hosts_were_killed()
    {
        lost_host_group it(4);
        it.start_other_pool();
        it.set_pools_of_route({{"plain", 50}, {"other", 50}});
        it.run_for(change_time);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams_at(0);
        it.run_for(report_time);
        it.restart_all_hosts();
        CPPUNIT_ASSERT_EQUAL(int{stream_count}, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void goes_on_if_the_route_is_split_after_its_host_was_lost()
    {
        lost_host_group it(4);
        it.start_other_pool();
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams_at(0);
        it.run_for(report_time);
        it.kill_host(0);
        it.set_pools_of_route({{"plain", 10}, {"other", 90}});
        it.run_for(change_time);
        CPPUNIT_ASSERT_EQUAL(int{stream_count}, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void goes_on_after_all_hosts_were_killed_if_the_route_was_split_meanwhile()
    {
        lost_host_group it(4);
        it.start_other_pool();
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams_at(0);
        it.run_for(report_time);
        it.set_pools_of_route({{"plain", 10}, {"other", 90}});
        it.run_for(millis(2000));
        it.restart_all_hosts();
        CPPUNIT_ASSERT_EQUAL(int{stream_count}, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void goes_on_if_the_other_pool_has_no_weight()
    {
        lost_host_group it(4);
        it.start_other_pool();
        it.set_pools_of_route({{"plain", 100}, {"other", 0}});
        it.run_for(change_time);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams_at(0);
        it.run_for(report_time);
        it.restart_all_hosts();
        CPPUNIT_ASSERT_EQUAL(int{stream_count}, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void is_refused_if_its_pool_has_left_the_route()
    {
        lost_host_group it(4);
        it.start_other_pool();
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams_at(0);
        it.run_for(report_time);
        it.kill_host(0);
        it.set_pools_of_route({{"other", 100}});
        it.run_for(change_time);
        CPPUNIT_ASSERT_EQUAL(0, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_stream_of_a_split_route);

} // namespace
