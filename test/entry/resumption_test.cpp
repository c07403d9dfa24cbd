#include "support/entry/versioned_pool.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

const std::map<std::string, nlohmann::json> two_versions{
    {"i-1", "v1"}, {"i-2", "v1"}, {"i-3", "v2"}, {"i-4", "v2"}};

// time for the hosts to learn of a change
constexpr millis change_time{1000};

// time for the hosts to make known which streams they have begun
constexpr millis record_time{2000};

// time for the hosts to agree how streams are divided among the versions
constexpr millis share_time{9000};

class a_resumed_stream : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_resumed_stream);
    CPPUNIT_TEST(does_not_go_on_at_another_version_within_its_answer);
    CPPUNIT_TEST(goes_on_at_the_version_that_began_it_at_another_host);
    CPPUNIT_TEST(goes_on_at_the_version_that_began_it_after_all_hosts_were_killed);
    CPPUNIT_TEST(is_refused_if_the_version_that_began_it_has_left);
    CPPUNIT_TEST(goes_on_if_it_began_before_the_second_version_came);
    CPPUNIT_TEST(goes_on_twice);
    CPPUNIT_TEST(goes_on_while_the_store_is_down_and_a_host_was_killed);
    CPPUNIT_TEST(goes_on_after_all_hosts_were_killed_while_the_store_was_away);
    CPPUNIT_TEST(goes_on_where_it_began_if_no_target_of_its_version_could_be_called);
    CPPUNIT_TEST(goes_on_if_the_store_answers_again_while_its_caller_waits);
    CPPUNIT_TEST(is_not_joined_by_new_shares_if_only_their_writer_survived);
    CPPUNIT_TEST(goes_on_without_a_named_attempt_only_if_there_is_one_version);
    CPPUNIT_TEST(does_not_go_on_at_an_engine_that_started_again_at_another_version);
    CPPUNIT_TEST(does_not_go_on_at_a_newer_engine_whose_entry_the_host_cannot_read);
    CPPUNIT_TEST(does_not_go_on_at_a_newer_engine_whose_entry_comes_late);
    CPPUNIT_TEST(does_not_go_on_elsewhere_if_it_began_before_the_entry_of_its_engine);
    CPPUNIT_TEST(goes_on_at_its_version_once_the_entry_of_its_engine_has_come);
    CPPUNIT_TEST(goes_on_at_another_host_while_an_engine_is_not_listed);
    CPPUNIT_TEST(goes_on_at_another_host_at_a_live_engine_that_is_not_listed);
    CPPUNIT_TEST(is_not_refused_when_an_engine_has_started_again_at_its_version);
    CPPUNIT_TEST(does_not_go_on_where_no_keeper_can_tell_where_it_began);
    CPPUNIT_TEST(does_not_go_on_at_a_newer_engine_that_took_over_an_address);
    CPPUNIT_TEST(does_not_begin_at_an_engine_without_a_version);
    CPPUNIT_TEST(does_not_go_on_at_another_version_at_hosts_that_stood_still);
    CPPUNIT_TEST_SUITE_END();

  public:
    void does_not_go_on_at_another_version_within_its_answer()
    {
        versioned_pool it(1, {{"i-1", "v1"}});
        const versioned_pool::caller_stream stream = it.begin_stream(0);
        it.start_engine("i-2", "v2");
        it.run_for(change_time);
        it.stop_engine("i-1");
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return stream.answer->ended;
            }));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
        CPPUNIT_ASSERT(stream.answer->end != call_end::complete);
    }

    void goes_on_at_the_version_that_began_it_at_another_host()
    {
        versioned_pool it(3, two_versions);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(12);
        CPPUNIT_ASSERT_EQUAL(12, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void goes_on_at_the_version_that_began_it_after_all_hosts_were_killed()
    {
        versioned_pool it(3, two_versions);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(12);
        it.run_for(record_time);
        it.restart_all_hosts();
        CPPUNIT_ASSERT_EQUAL(12, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void is_refused_if_the_version_that_began_it_has_left()
    {
        versioned_pool it(3);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(6);
        it.start_engine("i-3", "v2");
        it.start_engine("i-4", "v2");
        it.run_for(change_time);
        it.stop_version("v1");
        it.restart_all_hosts();
        CPPUNIT_ASSERT_EQUAL(0, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void goes_on_if_it_began_before_the_second_version_came()
    {
        versioned_pool it(3);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(6);
        it.start_engine("i-3", "v2");
        it.start_engine("i-4", "v2");
        it.run_for(change_time);
        CPPUNIT_ASSERT_EQUAL(6, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void goes_on_twice()
    {
        versioned_pool it(3, two_versions);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(6);
        CPPUNIT_ASSERT_EQUAL(6, it.take_up_all(streams));
        it.kill_host(0);
        CPPUNIT_ASSERT_EQUAL(6, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void goes_on_while_the_store_is_down_and_a_host_was_killed()
    {
        versioned_pool it(4, two_versions);
        it.store.set_down(true);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(12);
        it.run_for(change_time);
        it.kill_host(0);
        it.run_for(change_time);
        const int resumed = it.take_up_all(streams);
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
        // what a keeper had not saved yet is reported again by the hosts that are left
        CPPUNIT_ASSERT(resumed >= 6);
    }

    void goes_on_after_all_hosts_were_killed_while_the_store_was_away()
    {
        versioned_pool it(3, two_versions);
        it.run_for(share_time);
        it.store.set_down(true);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(12);
        it.kill_all_hosts();
        it.store.set_down(false);
        it.start_killed_hosts();
        CPPUNIT_ASSERT_EQUAL(12, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void goes_on_where_it_began_if_no_target_of_its_version_could_be_called()
    {
        versioned_pool it(3, two_versions);
        it.run_for(share_time);
        for (const char* id : {"i-3", "i-4"})
        {
            // its entry stays in the store
            it.engines.erase(id);
        }
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(8);
        it.kill_all_hosts();
        it.start_engine("i-3", "v2", 6);
        it.start_engine("i-4", "v2", 6);
        it.start_killed_hosts();
        CPPUNIT_ASSERT_EQUAL(8, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void goes_on_if_the_store_answers_again_while_its_caller_waits()
    {
        versioned_pool it(3, two_versions);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(6);
        it.run_for(record_time);
        it.restart_all_hosts();
        it.store.set_down(true);
        std::vector<std::shared_ptr<received_answer>> answers;
        for (std::size_t i = 0; i < streams.size(); ++i)
        {
            answers.push_back(it.begin_take_up(i % 3, streams[i]));
        }
        it.run_for(millis(600));
        it.store.set_down(false);
        for (const auto& each : answers)
        {
            CPPUNIT_ASSERT(it.until(
                [&]
                {
                    return each->ended;
                }));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each->body, 200, each->status);
        }
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void is_not_joined_by_new_shares_if_only_their_writer_survived()
    {
        constexpr millis timeout{9000};
        versioned_pool it(3,
                          {{"i-1", "v1"}, {"i-2", "v1"}, {"i-3", "v2"}},
                          default_store_value_bytes,
                          timeout);
        it.run_for(millis(4500));
        const std::size_t writer = it.writer_of_shares();
        std::vector<versioned_pool::caller_stream> streams;
        for (std::size_t i = 0; i < 12; ++i)
        {
            streams.push_back(it.begin_stream((writer + 1 + i % 2) % 3));
        }
        const std::vector<entry_settings> settings = it.all_settings;
        // their keeper has not saved what it got yet
        it.kill_host(std::max((writer + 1) % 3, (writer + 2) % 3));
        it.kill_host(std::min((writer + 1) % 3, (writer + 2) % 3));
        it.stop_version("v1");
        for (std::size_t i = 1; i <= 2; ++i)
        {
            it.all_settings.push_back(settings[(writer + i) % 3]);
            it.hosts.push_back(it.start(it.all_settings.back()));
        }
        it.run_for(millis(6000));
        it.take_up_all(streams);
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void goes_on_without_a_named_attempt_only_if_there_is_one_version()
    {
        versioned_pool it(2);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(2);
        CPPUNIT_ASSERT_EQUAL(200, it.take_up(1, streams[0], false).status);
        it.start_engine("i-3", "v2");
        it.run_for(change_time);
        CPPUNIT_ASSERT_EQUAL(503, it.take_up(0, streams[1], false).status);
    }

    void does_not_go_on_at_an_engine_that_started_again_at_another_version()
    {
        versioned_pool it(3);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(6);
        it.stop_engine("i-1");
        it.start_engine("i-1", "v2", 6);
        it.run_for(change_time);
        CPPUNIT_ASSERT_EQUAL(6, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void does_not_go_on_at_a_newer_engine_whose_entry_the_host_cannot_read()
    {
        versioned_pool it(1, {{"i-1", "v1"}});
        const versioned_pool::caller_stream stream = it.begin_stream(0);
        it.start_engine("i-2", "v1");
        it.run_for(change_time);
        it.store.set_down(true);
        it.restart_unlisted("i-2", "v2");
        it.engines.erase("i-1");
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return stream.answer->ended;
            }));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void does_not_go_on_at_a_newer_engine_whose_entry_comes_late()
    {
        versioned_pool it(3);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(12);
        it.restart_unlisted("i-1", "v2");
        it.take_up_all(streams);
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
        it.list("i-1");
        it.run_for(change_time);
        it.take_up_all(streams);
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void does_not_go_on_elsewhere_if_it_began_before_the_entry_of_its_engine()
    {
        versioned_pool it(3);
        it.restart_unlisted("i-1", "v2");
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(12);
        it.stop_engine("i-1");
        it.take_up_all(streams);
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void goes_on_at_its_version_once_the_entry_of_its_engine_has_come()
    {
        versioned_pool it(3);
        it.restart_unlisted("i-1", "v2");
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(12);
        it.list("i-1");
        it.start_engine("i-3", "v2");
        it.run_for(change_time);
        it.engines.erase("i-1");
        CPPUNIT_ASSERT_EQUAL(12, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void goes_on_at_another_host_while_an_engine_is_not_listed()
    {
        versioned_pool it(3, {{"i-1", "v1"}, {"i-2", "v1"}, {"i-3", "v1"}});
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(12);
        it.restart_unlisted("i-1", "v2");
        // one host has learned of the new start
        it.begin_stream(0);
        it.begin_stream(0);
        it.begin_stream(0);
        CPPUNIT_ASSERT_EQUAL(12, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void goes_on_at_another_host_at_a_live_engine_that_is_not_listed()
    {
        versioned_pool it(3, {{"i-1", "v1"}});
        it.restart_unlisted("i-1", "v2");
        std::vector<versioned_pool::caller_stream> streams;
        for (int i = 0; i < 6; ++i)
        {
            streams.push_back(it.begin_stream(0));
        }
        CPPUNIT_ASSERT_EQUAL(6, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void is_not_refused_when_an_engine_has_started_again_at_its_version()
    {
        versioned_pool it(3);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(6);
        it.restart_unlisted("i-1", "v1");
        std::vector<versioned_pool::caller_stream> later = it.begin_streams(6);
        it.list("i-1");
        it.run_for(change_time);
        CPPUNIT_ASSERT_EQUAL(6, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(6, it.take_up_all(later));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void does_not_go_on_where_no_keeper_can_tell_where_it_began()
    {
        versioned_pool it(3);
        it.restart_unlisted("i-1", "v2");
        std::vector<versioned_pool::caller_stream> streams;
        for (int i = 0; i < 12; ++i)
        {
            streams.push_back(it.begin_stream(0));
        }
        it.freeze(it.hosts[0]);
        it.freeze(it.hosts[1]);
        it.stop_engine("i-1");
        for (versioned_pool::caller_stream& each : streams)
        {
            it.take_up(2, each);
        }
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void does_not_go_on_at_a_newer_engine_that_took_over_an_address()
    {
        versioned_pool it(2);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(6);
        it.store.set_down(true);
        it.restart_engine("i-1", "i-3", "v2");
        it.restart_engine("i-2", "i-4", "v2");
        CPPUNIT_ASSERT_EQUAL(0, it.take_up_all(streams));
        const received_answer fresh = it.send(it.all_settings[0].caller_endpoint,
                                              request_text("POST", "/a/x", "new", "b"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fresh.body, 503, fresh.status);
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
        it.store.set_down(false);
        it.run_for(change_time);
        CPPUNIT_ASSERT_EQUAL(0, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void does_not_go_on_at_another_version_at_hosts_that_stood_still()
    {
        for (const millis pause : {millis(600), millis(3000)})
        {
            versioned_pool it(3);
            it.run_for(share_time);
            it.freeze(it.hosts[1]);
            it.freeze(it.hosts[2]);
            it.start_engine("i-3", "v2");
            it.start_engine("i-4", "v2");
            it.run_for(pause);
            std::vector<versioned_pool::caller_stream> streams;
            for (int i = 0; i < 16; ++i)
            {
                streams.push_back(it.begin_stream(0));
            }
            // the keepers may be among those that have missed the version
            it.freeze(it.hosts[0]);
            it.thaw(it.hosts[1]);
            it.thaw(it.hosts[2]);
            std::vector<std::shared_ptr<received_answer>> answers;
            for (std::size_t i = 0; i < streams.size(); ++i)
            {
                answers.push_back(it.begin_take_up(1 + i % 2, streams[i]));
            }
            it.run_for(millis(1500));
            CPPUNIT_ASSERT_EQUAL(0, it.joined);
        }
    }

    void does_not_begin_at_an_engine_without_a_version()
    {
        versioned_pool it(1, {{"i-1", "v1"}, {"i-2", nullptr}, {"i-3", 2}});
        it.begin_streams(6);
        CPPUNIT_ASSERT(it.engines.at("i-2")->requests.empty());
        CPPUNIT_ASSERT(it.engines.at("i-3")->requests.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_resumed_stream);

class the_records_of_streams : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_records_of_streams);
    CPPUNIT_TEST(are_not_written_again_by_all_hosts_when_a_third_version_comes);
    CPPUNIT_TEST(are_written_by_the_host_that_began_them_when_a_second_version_comes);
    CPPUNIT_TEST(are_written_in_parts_if_they_are_larger_than_the_store_takes);
    CPPUNIT_TEST(are_found_among_more_than_a_host_remembers);
    CPPUNIT_TEST(are_written_by_hosts_that_remember_as_many_as_they_can);
    CPPUNIT_TEST_SUITE_END();

    /// Begins six streams, and takes them up at new hosts, which read more records than
    /// they can remember.
    /// @return how many went on
    static int take_up_six_among_many_records(versioned_pool& it)
    {
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(6);
        it.run_for(record_time);
        it.add_records(3, 30000);
        it.restart_all_hosts();
        return it.take_up_all(streams);
    }

  public:
    void are_not_written_again_by_all_hosts_when_a_third_version_comes()
    {
        versioned_pool it(3, two_versions);
        it.begin_streams(12);
        it.run_for(record_time);
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, it.recorded_streams());
        it.start_engine("i-5", "v3");
        it.run_for(record_time);
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, it.recorded_streams());
    }

    void are_written_by_the_host_that_began_them_when_a_second_version_comes()
    {
        versioned_pool it(3);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(6);
        // hosts that resume a stream learn where it began
        CPPUNIT_ASSERT_EQUAL(6, it.take_up_all(streams));
        it.start_engine("i-3", "v2");
        it.run_for(record_time);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, it.recorded_streams());
    }

    void are_written_in_parts_if_they_are_larger_than_the_store_takes()
    {
        constexpr std::size_t value_bytes = 400;
        versioned_pool it(3, two_versions, value_bytes);
        it.store.set_down(true);
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(60);
        it.store.set_down(false);
        it.run_for(record_time);
        CPPUNIT_ASSERT_EQUAL(std::size_t{60}, it.recorded_streams());
        it.restart_all_hosts();
        CPPUNIT_ASSERT_EQUAL(60, it.take_up_all(streams));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void are_found_among_more_than_a_host_remembers()
    {
        versioned_pool it(2, two_versions);
        CPPUNIT_ASSERT_EQUAL(6, take_up_six_among_many_records(it));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void are_written_by_hosts_that_remember_as_many_as_they_can()
    {
        versioned_pool it(2, two_versions);
        CPPUNIT_ASSERT_EQUAL(6, take_up_six_among_many_records(it));
        it.begin_streams(6);
        it.run_for(record_time);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3 * 30000 + 12}, it.recorded_streams());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_records_of_streams);

} // namespace
