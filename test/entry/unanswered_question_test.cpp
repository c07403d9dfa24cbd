#include "support/entry/versioned_pool.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

const std::map<std::string, nlohmann::json> two_versions{
    {"i-1", "v1"}, {"i-2", "v1"}, {"i-3", "v2"}, {"i-4", "v2"}};

// time for the hosts to agree how streams are divided among the versions
constexpr millis share_time{9000};

// time after which a host asks an engine again that has not answered once
constexpr millis ask_again_time{1500};

/// engines whose reports hang until they are told to answer
class hanging_pool : public versioned_pool
{
  public:
    using versioned_pool::versioned_pool;

    void hang_reports()
    {
        for (const auto& each : engines)
        {
            each.second->report_handler = [this](const exchange_ptr& exchange)
            {
                hanging_.push_back(exchange);
            };
        }
    }

    void answer_reports()
    {
        for (const auto& each : engines)
        {
            each.second->report_handler = nullptr;
        }
    }

    int reports() const
    {
        int sum = 0;
        for (const auto& each : engines)
        {
            sum += each.second->reports;
        }
        return sum;
    }

  private:
    std::vector<exchange_ptr> hanging_;
};

class a_stream_at_engines_whose_reports_hang : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_stream_at_engines_whose_reports_hang);
    CPPUNIT_TEST(begins);
    CPPUNIT_TEST(begins_where_there_are_two_versions);
    CPPUNIT_TEST(begins_at_an_engine_that_answers);
    CPPUNIT_TEST(goes_on_while_its_connections_live);
    CPPUNIT_TEST(goes_on_once_they_answer);
    CPPUNIT_TEST(does_not_go_on_at_a_newer_engine);
    CPPUNIT_TEST(does_not_go_on_elsewhere_if_it_began_at_a_newer_engine);
    CPPUNIT_TEST_SUITE_END();

  public:
    void begins()
    {
        hanging_pool it(1);
        it.hang_reports();
        it.begin_streams(12);
        // not once for each connection
        CPPUNIT_ASSERT(it.reports() <= 6);
    }

    void begins_where_there_are_two_versions()
    {
        hanging_pool it(3, two_versions);
        it.run_for(share_time);
        it.hang_reports();
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(12);
        it.take_up_all(streams);
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void goes_on_while_its_connections_live()
    {
        hanging_pool it(1);
        it.begin_streams(4);
        it.hang_reports();
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(12);
        it.store.set_down(true);
        CPPUNIT_ASSERT_EQUAL(12, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void begins_at_an_engine_that_answers()
    {
        hanging_pool it(1);
        it.hang_reports();
        stand_in_target& sound = *it.engines.at("i-2");
        sound.report_handler = nullptr;
        it.begin_stream(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sound.requests.size());
    }

    void goes_on_once_they_answer()
    {
        hanging_pool it(1);
        it.hang_reports();
        it.begin_streams(4);
        it.answer_reports();
        it.run_for(ask_again_time);
        const int asked_before = it.reports();
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(6);
        CPPUNIT_ASSERT(it.reports() >= asked_before + 2);
        CPPUNIT_ASSERT_EQUAL(200, it.take_up(0, streams.back()).status);
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void does_not_go_on_at_a_newer_engine()
    {
        hanging_pool it(3);
        it.hang_reports();
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(12);
        it.store.set_down(true);
        it.restart_unlisted("i-1", "v2");
        it.run_for(millis(500));
        it.engines.erase("i-2");
        it.take_up_all(streams);
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void does_not_go_on_elsewhere_if_it_began_at_a_newer_engine()
    {
        hanging_pool it(3);
        it.hang_reports();
        it.begin_streams(12);
        it.store.set_down(true);
        it.restart_unlisted("i-1", "v2");
        it.run_for(millis(500));
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(12);
        it.engines.erase("i-1");
        it.take_up_all(streams);
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_stream_at_engines_whose_reports_hang);

} // namespace
