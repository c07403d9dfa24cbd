#include "support/entry/told_peer.hpp"
#include "support/entry/versioned_pool.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace
{

using namespace medlar;
using namespace medlar::test;

/// a host, and three peers that come before it where keepers are chosen
class asking_host : public versioned_pool
{
  public:
    asking_host() : versioned_pool(1, {{"i-1", "v1"}})
    {
        std::vector<peer_host> hosts(1);
        hosts.front().id = all_settings.front().host;
        constexpr int name_count = 30;
        for (int i = 0; i < name_count; ++i)
        {
            hosts.emplace_back();
            hosts.back().id = host_id(absl::StrCat("peer-", i));
        }
        const std::vector<host_id> ranked =
            rank_owners({pool_id(keeper_group_name), {}}, hosts);
        for (std::size_t i = 0; i < peers.size(); ++i)
        {
            CPPUNIT_ASSERT(ranked[i] != all_settings.front().host);
            peers[i] = std::make_unique<told_peer>(loop, ranked[i].get());
            peers[i]->register_at(store);
        }
        run_for(change_time);
        // it has links to the keepers
        CPPUNIT_ASSERT_EQUAL(200, resume("v1"));
    }

    /// Resumes a stream that began at a version.
    int resume(const std::string& version)
    {
        const std::string attempt = absl::StrCat("begun-", ++resumptions_);
        began_at[attempt] = nlohmann::json(version).dump();
        return send(all_settings.front().caller_endpoint,
                    request_text("POST",
                                 "/a/x",
                                 "again-" + attempt,
                                 "b",
                                 "Last-Event-Id: 1\r\nResumes: " + attempt + "\r\n"))
            .status;
    }

    /// Ends the two keepers.
    void end_keepers()
    {
        peers[0]->end();
        peers[1]->end();
        run_for(link_time);
    }

    /// Ends the links to the two keepers, which live on.
    void end_links_to_keepers()
    {
        peers[0]->end_links();
        peers[1]->end_links();
        run_for(link_time);
    }

    static nlohmann::json unlisted_process()
    {
        return {{"pool", "plain"}, {"version", "unlisted start 6 i-9"}};
    }

    std::array<std::unique_ptr<told_peer>, 3> peers;

  private:
    // time for the host to learn of its peers
    static constexpr millis change_time{500};
    // time for the host to see that a link has ended
    static constexpr millis link_time{50};

    int resumptions_ = 0;
};

// time for a host to know that the store is away
constexpr millis outage_time{2500};

class a_resumed_stream_without_its_keepers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_resumed_stream_without_its_keepers);
    CPPUNIT_TEST(does_not_go_on_at_another_version_if_they_are_suspected);
    CPPUNIT_TEST(does_not_go_on_if_it_may_have_begun_at_an_engine_without_a_version);
    CPPUNIT_TEST(does_not_go_on_if_an_older_build_cannot_tell_of_such_an_engine);
    CPPUNIT_TEST(is_told_to_those_that_other_hosts_do_not_suspect);
    CPPUNIT_TEST(goes_on_if_no_host_knows_of_such_an_engine);
    CPPUNIT_TEST(goes_on_if_one_of_them_is_left);
    CPPUNIT_TEST(goes_on_at_an_older_build_while_the_store_is_there);
    CPPUNIT_TEST_SUITE_END();

  public:
    void does_not_go_on_at_another_version_if_they_are_suspected()
    {
        asking_host it;
        it.peers[0]->origin = asking_host::unlisted_process();
        it.peers[1]->origin = asking_host::unlisted_process();
        it.end_links_to_keepers();
        CPPUNIT_ASSERT_EQUAL(503, it.resume("v2"));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void does_not_go_on_if_it_may_have_begun_at_an_engine_without_a_version()
    {
        asking_host it;
        it.peers[2]->unlisted.push_back(asking_host::unlisted_process());
        it.end_keepers();
        CPPUNIT_ASSERT_EQUAL(503, it.resume("v2"));
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void does_not_go_on_if_an_older_build_cannot_tell_of_such_an_engine()
    {
        asking_host it;
        it.peers[2]->unlisted = nullptr;
        it.store.set_down(true);
        it.run_for(outage_time);
        it.end_keepers();
        CPPUNIT_ASSERT(it.resume("v2") != 200);
        CPPUNIT_ASSERT_EQUAL(0, it.joined);
    }

    void is_told_to_those_that_other_hosts_do_not_suspect()
    {
        asking_host it;
        it.end_links_to_keepers();
        it.peers[0]->messages.clear();
        it.restart_unlisted("i-1", "v2");
        it.begin_stream(0);
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                for (const nlohmann::json& each : it.peers[0]->messages)
                {
                    if (each.at("type") == "streams_begun" &&
                        !each.at("groups").front().at("streams").empty())
                    {
                        return true;
                    }
                }
                return false;
            }));
    }

    void goes_on_if_no_host_knows_of_such_an_engine()
    {
        asking_host it;
        it.end_keepers();
        CPPUNIT_ASSERT_EQUAL(200, it.resume("v1"));
    }

    void goes_on_if_one_of_them_is_left()
    {
        asking_host it;
        it.peers[1]->unlisted.push_back(asking_host::unlisted_process());
        it.peers[2]->unlisted.push_back(asking_host::unlisted_process());
        it.peers[0]->end();
        it.run_for(millis(50));
        CPPUNIT_ASSERT_EQUAL(200, it.resume("v1"));
    }

    void goes_on_at_an_older_build_while_the_store_is_there()
    {
        asking_host it;
        it.peers[2]->unlisted = nullptr;
        it.end_keepers();
        CPPUNIT_ASSERT_EQUAL(200, it.resume("v1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_resumed_stream_without_its_keepers);

} // namespace
