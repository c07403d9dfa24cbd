#include "support/entry/partitioned_group.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

constexpr char staged_headers[] = "Pieces: 2\r\nPiece-Key: k\r\n";

// time for the hosts to notice a cut and to tell each other
constexpr millis contact_time{3000};

/// lets some hosts lose their paths, and waits until they have to know it
void cut_some(partitioned_group& group,
              const std::vector<std::size_t>& hosts,
              path_cut how,
              const std::string& path,
              const std::string& headers = {})
{
    group.served_in_turn(path, 8, headers);
    for (const std::size_t each : hosts)
    {
        group.cut(each, how);
    }
    const steady_time end = group.time.steady_now() + contact_time;
    while (group.time.steady_now() < end)
    {
        for (std::size_t host = 0; host < group.hosts.size(); ++host)
        {
            group.begin_at(host, path, headers);
        }
        group.run_for(millis(250));
    }
}

class hosts_without_a_path : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(hosts_without_a_path);
    CPPUNIT_TEST(are_served_by_others_if_their_connections_are_refused);
    CPPUNIT_TEST(are_served_by_others_if_their_connections_hang);
    CPPUNIT_TEST(are_served_by_the_only_host_with_a_path);
    CPPUNIT_TEST(leave_the_pieces_of_others_to_hosts_with_a_path);
    CPPUNIT_TEST_SUITE_END();

  public:
    void are_served_by_others_if_their_connections_are_refused()
    {
        partitioned_group it(4, 5, 0);
        cut_some(it, {0, 1}, path_cut::refused, "/i/x");
        CPPUNIT_ASSERT_EQUAL(20, it.served_in_turn("/i/x", 20));
        CPPUNIT_ASSERT_EQUAL(20, it.served_in_turn("/n/x", 20));
        CPPUNIT_ASSERT_EQUAL(20, it.served_in_turn("/e/x", 20));
    }

    void are_served_by_others_if_their_connections_hang()
    {
        partitioned_group it(4, 5, 0);
        cut_some(it, {2, 3}, path_cut::hanging, "/i/x");
        CPPUNIT_ASSERT_EQUAL(20, it.served_in_turn("/n/x", 20));
        CPPUNIT_ASSERT_EQUAL(20, it.served_in_turn("/e/x", 20));
    }

    void are_served_by_the_only_host_with_a_path()
    {
        partitioned_group it(4, 5, 3);
        cut_some(it, {0, 1, 3}, path_cut::hanging, "/s/x", staged_headers);
        CPPUNIT_ASSERT_EQUAL(20, it.served_in_turn("/s/x", 20, staged_headers));
    }

    void leave_the_pieces_of_others_to_hosts_with_a_path()
    {
        for (const path_cut how : {path_cut::refused, path_cut::hanging})
        {
            // one of them owns the pieces
            for (std::size_t host = 0; host < 2; ++host)
            {
                partitioned_group it(2, 5, 3);
                cut_some(it, {host}, how, "/s/x", staged_headers);
                CPPUNIT_ASSERT_EQUAL(12, it.served_in_turn("/s/x", 12, staged_headers));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hosts_without_a_path);

class a_target_that_one_host_cannot_reach : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_target_that_one_host_cannot_reach);
    CPPUNIT_TEST(has_not_crashed_under_its_requests);
    CPPUNIT_TEST_SUITE_END();

  public:
    void has_not_crashed_under_its_requests()
    {
        partitioned_group it(3, 5, 0);
        it.is_holding = true;
        for (int i = 0; i < 10; ++i)
        {
            it.begin_at(0, "/e/x", "Prompt-Prefix: shared:100,own:10\r\n");
            it.run_for(millis(20));
        }
        it.cut(0, path_cut::refused);
        it.is_holding = false;
        for (int i = 0; i < 20; ++i)
        {
            it.begin_at(0, "/e/x", "Prompt-Prefix: shared:100,own:10\r\n");
            it.run_for(millis(50));
        }
        for (std::size_t host = 0; host < it.hosts.size(); ++host)
        {
            const received_answer got =
                it.send_at(host, "/e/y", "Prompt-Prefix: shared:100,more:10\r\n");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(got.body, 200, got.status);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_target_that_one_host_cannot_reach);

} // namespace
