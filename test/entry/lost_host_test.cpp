#include "support/entry/versioned_pool.hpp"

#include <cppunit/extensions/HelperMacros.h>

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

} // namespace
