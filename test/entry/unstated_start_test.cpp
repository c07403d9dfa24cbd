#include "support/entry/versioned_pool.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

// time for the hosts to see that the connections to an engine have ended
constexpr millis break_time{500};

// pause between two writes of an entry
constexpr millis heartbeat{2000};

/// engines whose reports say nothing of their start
class silent_pool : public versioned_pool
{
  public:
    explicit silent_pool(int host_count) : versioned_pool(host_count)
    {
        for (const auto& each : engines)
        {
            each.second->report_handler = [](const exchange_ptr& exchange)
            {
                exchange->answer(
                    status_ok, {}, R"({"busy": false, "sequence": 1, "waiting": 0})");
            };
        }
    }

    /// Ends an engine, and starts it again under its id once the hosts have seen that.
    void replace(const std::string& id, const nlohmann::json& version)
    {
        restart_unlisted(id, version);
        run_for(break_time);
    }

    /// Ends an engine, and starts it again under its id after a time without anything at
    /// its address.
    void replace_later(const std::string& id, const nlohmann::json& version)
    {
        engines.at(id)->stop();
        run_for(break_time);
        restart_unlisted(id, version);
        run_for(break_time);
    }

    std::vector<caller_stream> begin_streams_at(std::size_t host, std::size_t count)
    {
        std::vector<caller_stream> streams;
        for (std::size_t i = 0; i < count; ++i)
        {
            streams.push_back(begin_stream(host));
        }
        return streams;
    }

    /// Ends the connections of a sound engine.
    void reset_connections(const std::string& id)
    {
        engines.at(id)->restart(engines.at(id)->started_ms);
        run_for(break_time);
    }

    /// Writes the entries of all engines, as at a heartbeat.
    void write_entries(int sequence)
    {
        for (const auto& each : engines)
        {
            store.put(each.second->key(), each.second->entry("ready", sequence));
        }
        run_for(heartbeat);
    }
};

class a_stream_at_engines_that_state_no_start : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_stream_at_engines_that_state_no_start);
    CPPUNIT_TEST(goes_on);
    CPPUNIT_TEST(does_not_go_on_at_a_newer_engine_while_the_store_is_down);
    CPPUNIT_TEST(does_not_go_on_at_a_newer_engine_within_its_answer);
    CPPUNIT_TEST(does_not_go_on_elsewhere_if_it_began_at_a_newer_engine);
    CPPUNIT_TEST(does_not_go_on_after_an_entry_that_an_earlier_process_wrote);
    CPPUNIT_TEST(does_not_go_on_at_a_newer_engine_that_only_another_host_saw_end);
    CPPUNIT_TEST(does_not_begin_for_good_at_an_engine_that_only_another_host_saw_end);
    CPPUNIT_TEST(goes_on_at_hosts_that_were_not_cut_from_a_sound_engine);
    CPPUNIT_TEST(goes_on_at_a_version_once_its_entry_is_there);
    CPPUNIT_TEST(goes_on_at_a_sound_engine_whose_connections_have_ended);
    CPPUNIT_TEST(goes_on_while_the_store_is_down_where_one_connection_has_ended);
    CPPUNIT_TEST(begins_while_the_store_is_down_where_all_connections_have_ended);
    CPPUNIT_TEST_SUITE_END();

  public:
    void goes_on()
    {
        silent_pool it(3);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(12);
        it.store.set_down(true);
        CPPUNIT_ASSERT_EQUAL(12, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void does_not_go_on_at_a_newer_engine_while_the_store_is_down()
    {
        silent_pool it(3);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(12);
        it.store.set_down(true);
        it.replace("i-1", "v2");
        it.engines.erase("i-2");
        it.take_up_all(streams);
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void does_not_go_on_at_a_newer_engine_within_its_answer()
    {
        silent_pool it(1);
        const std::vector<versioned_pool::caller_stream> streams = it.begin_streams(2);
        it.store.set_down(true);
        it.replace("i-1", "v2");
        it.engines.erase("i-2");
        for (const versioned_pool::caller_stream& each : streams)
        {
            CPPUNIT_ASSERT(it.until(
                [&]
                {
                    return each.answer->ended;
                }));
        }
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void does_not_go_on_elsewhere_if_it_began_at_a_newer_engine()
    {
        silent_pool it(3);
        it.begin_streams(12);
        it.store.set_down(true);
        it.replace("i-1", "v2");
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(12);
        it.engines.erase("i-1");
        it.take_up_all(streams);
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void does_not_go_on_after_an_entry_that_an_earlier_process_wrote()
    {
        silent_pool it(3);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(12);
        const std::string late = it.engines.at("i-1")->entry("ready", 2);
        it.replace("i-1", "v2");
        it.store.put("servers/i-1", late);
        it.run_for(heartbeat);
        it.engines.erase("i-2");
        it.take_up_all(streams);
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void does_not_go_on_at_a_newer_engine_that_only_another_host_saw_end()
    {
        silent_pool it(3);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams_at(0, 12);
        it.store.set_down(true);
        it.replace_later("i-1", "v2");
        it.engines.erase("i-2");
        for (std::size_t i = 0; i < streams.size(); ++i)
        {
            it.take_up(1 + i % 2, streams[i]);
        }
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void does_not_begin_for_good_at_an_engine_that_only_another_host_saw_end()
    {
        silent_pool it(3);
        it.begin_streams_at(0, 4);
        it.store.set_down(true);
        it.replace_later("i-1", "v2");
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams_at(1, 12);
        it.engines.erase("i-1");
        for (versioned_pool::caller_stream& each : streams)
        {
            it.take_up(2, each);
        }
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void goes_on_at_hosts_that_were_not_cut_from_a_sound_engine()
    {
        silent_pool it(3);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams_at(0, 12);
        it.store.set_down(true);
        it.reset_connections("i-1");
        it.engines.erase("i-2");
        int resumed = 0;
        for (versioned_pool::caller_stream& each : streams)
        {
            resumed += it.take_up(1, each).status == 200 ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(12, resumed);
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void goes_on_at_a_version_once_its_entry_is_there()
    {
        silent_pool it(3);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(12);
        it.replace("i-1", "v1");
        it.list("i-1");
        it.run_for(break_time);
        it.engines.erase("i-2");
        CPPUNIT_ASSERT_EQUAL(12, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void goes_on_at_a_sound_engine_whose_connections_have_ended()
    {
        silent_pool it(3);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(12);
        it.reset_connections("i-1");
        it.write_entries(2);
        it.write_entries(3);
        it.engines.erase("i-2");
        CPPUNIT_ASSERT_EQUAL(12, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void goes_on_while_the_store_is_down_where_one_connection_has_ended()
    {
        silent_pool it(1);
        it.store.set_down(true);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(12);
        it.end_one_stream("i-1");
        it.end_one_stream("i-2");
        it.run_for(break_time);
        CPPUNIT_ASSERT_EQUAL(200, it.take_up(0, streams.front()).status);
        CPPUNIT_ASSERT_EQUAL(200, it.take_up(0, streams.back()).status);
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void begins_while_the_store_is_down_where_all_connections_have_ended()
    {
        silent_pool it(1);
        it.begin_streams(6);
        it.store.set_down(true);
        it.reset_connections("i-1");
        it.reset_connections("i-2");
        it.begin_streams(6);
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_stream_at_engines_that_state_no_start);

} // namespace
