// Crowds of clients that hold memory or descriptors of medlar-entry. Each test checks
// only that the process lives within its bounds and answers an ordinary request
// afterwards.

#include "overload/entry_under_load.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

namespace
{

using namespace medlar;
using namespace medlar::test;

constexpr char chunked[] = "Transfer-Encoding: chunked";
constexpr std::size_t piece_bytes = 65536;

std::string length_of(std::size_t bytes)
{
    return absl::StrCat("Content-Length: ", bytes);
}

std::string chunk_of(std::size_t bytes)
{
    return absl::StrCat(absl::Hex(bytes), "\r\n", std::string(bytes, 'x'), "\r\n");
}

/// Guards against a process that grows with each body that never ends.
class bodies_that_stop_short_of_their_end : public entry_under_load
{
    CPPUNIT_TEST_SUITE(bodies_that_stop_short_of_their_end);
    CPPUNIT_TEST(stay_within_the_memory_of_the_host_in_large_chunks);
    CPPUNIT_TEST(stay_within_it_in_chunks_of_one_byte);
    CPPUNIT_TEST(stay_within_it_with_a_length);
    CPPUNIT_TEST(stay_within_it_with_a_length_in_pieces_of_1_kb);
    CPPUNIT_TEST(stay_within_it_while_the_store_is_away);
    CPPUNIT_TEST(stay_within_it_beside_reloads_of_the_settings);
    CPPUNIT_TEST_SUITE_END();

  public:
    void stay_within_the_memory_of_the_host_in_large_chunks()
    {
        host& under_load = start("large-chunks");
        run_crowd({under_load.callers, head("/n/a", chunked), chunk_of(piece_bytes), 15},
                  100);
        check(under_load, "large chunks");
    }

    void stay_within_it_in_chunks_of_one_byte()
    {
        constexpr std::size_t chunks_at_once = 1000;
        std::string chunks;
        for (std::size_t i = 0; i < chunks_at_once; ++i)
        {
            chunks += chunk_of(1);
        }
        host& under_load = start("one-byte-chunks");
        run_crowd({under_load.callers, head("/n/b", chunked), chunks, 800}, 150);
        check(under_load, "chunks of one byte");
    }

    void stay_within_it_with_a_length()
    {
        host& under_load = start("length");
        run_crowd({under_load.callers,
                   head("/n/c", length_of(max_body_bytes)),
                   std::string(piece_bytes, 'x'),
                   15,
                   std::string(piece_bytes - 1, 'x')},
                  100);
        check(under_load, "bodies with a length");
    }

    void stay_within_it_with_a_length_in_pieces_of_1_kb()
    {
        host& under_load = start("small-pieces");
        run_crowd({under_load.callers,
                   head("/n/d", length_of(max_body_bytes)),
                   std::string(1024, 'x'),
                   1023,
                   std::string(1023, 'x')},
                  100);
        check(under_load, "bodies with a length in pieces of 1 KB");
    }

    void stay_within_it_while_the_store_is_away()
    {
        host& under_load = start("store-away");
        store().set_down(true);
        run_crowd({under_load.callers,
                   head("/n/e", length_of(max_body_bytes)),
                   std::string(max_body_bytes - 1, 'x'),
                   1},
                  100);
        check(under_load, "a byte short, the store away");
    }

    void stay_within_it_beside_reloads_of_the_settings()
    {
        host& under_load = start("reloads");
        loop().after(millis(0),
                     [&]
                     {
                         reload(under_load);
                     });
        run_crowd({under_load.callers,
                   head("/n/f", length_of(max_body_bytes)),
                   std::string(max_body_bytes - 1, 'x'),
                   1},
                  100);
        check(under_load, "a byte short, beside reloads");
    }

  private:
    void reload(host& under_load)
    {
        under_load.process->signal(SIGHUP);
        loop().after(millis(200),
                     [this, &under_load]
                     {
                         reload(under_load);
                     });
    }
};

/// Guards against bodies that are kept although they can only be refused.
class bodies_far_over_the_limit : public entry_under_load
{
    CPPUNIT_TEST_SUITE(bodies_far_over_the_limit);
    CPPUNIT_TEST(stay_within_the_memory_of_the_host_if_just_sent);
    CPPUNIT_TEST(stay_within_it_if_announced);
    CPPUNIT_TEST_SUITE_END();

  public:
    void stay_within_the_memory_of_the_host_if_just_sent()
    {
        host& under_load = start("just-sent");
        run_crowd({under_load.callers, head("/n/e", chunked), chunk_of(piece_bytes), 320},
                  100);
        check(under_load, "chunked bodies far over the limit");
    }

    void stay_within_it_if_announced()
    {
        host& under_load = start("announced");
        run_crowd({under_load.callers,
                   head("/n/f", length_of(320 * piece_bytes)),
                   std::string(piece_bytes, 'x'),
                   320},
                  100);
        check(under_load, "announced bodies far over the limit");
    }
};

/// Guards against a process that grows with what others do not take from it.
class bytes_that_nobody_takes : public entry_under_load
{
    CPPUNIT_TEST_SUITE(bytes_that_nobody_takes);
    CPPUNIT_TEST(stay_within_the_memory_of_both_hosts_on_the_hop_to_a_peer);
    CPPUNIT_TEST(stay_within_it_before_a_target_that_reads_slowly);
    CPPUNIT_TEST(stay_within_it_for_readers_that_stop);
    CPPUNIT_TEST(stay_within_it_before_a_target_that_takes_some_bytes_now_and_then);
    CPPUNIT_TEST(stay_within_it_for_readers_that_take_some_bytes_now_and_then);
    CPPUNIT_TEST(stay_within_it_for_more_such_readers_than_it_has_room_for);
    CPPUNIT_TEST(leave_room_for_a_body_of_the_largest_size_among_such_readers);
    CPPUNIT_TEST(stay_within_it_for_such_readers_of_answers_over_the_hop);
    CPPUNIT_TEST_SUITE_END();

  public:
    void stay_within_the_memory_of_both_hosts_on_the_hop_to_a_peer()
    {
        answer_delay_ = millis(3000);
        host& peer = start("peer");
        host& under_load = start("without-path", false);
        run_crowd({under_load.callers,
                   head("/n/g", length_of(max_body_bytes)),
                   std::string(piece_bytes, 'x'),
                   16},
                  100);
        answer_delay_ = millis(0);
        check(under_load, "the host without a path");
        check(peer, "its peer");
    }

    void stay_within_it_before_a_target_that_reads_slowly()
    {
        const extreme_target unread(loop(), extreme_endpoint(), 0);
        host& under_load = start("slow-target");
        run_crowd({under_load.callers,
                   head("/x/h", length_of(max_body_bytes)),
                   std::string(piece_bytes, 'x'),
                   16},
                  100);
        check(under_load, "a target that reads slowly");
    }

    void stay_within_it_for_readers_that_stop()
    {
        // more than the socket buffers of the loopback interface take
        constexpr std::size_t answer_bytes = 8388608;
        const extreme_target endless(loop(), extreme_endpoint(), answer_bytes);
        host& under_load = start("stopped-readers");
        run_crowd({under_load.callers, head("/x/i", length_of(0)), "", 0, "", false},
                  250);
        check(under_load, "readers that stop");
    }

    void stay_within_it_before_a_target_that_takes_some_bytes_now_and_then()
    {
        const patient_target slow(loop(), extreme_endpoint(), 0);
        host& under_load = start("trickling-target");
        run_crowd({under_load.callers,
                   head("/x/l", length_of(max_body_bytes)),
                   std::string(piece_bytes, 'x'),
                   16},
                  100);
        check(under_load, "a target that takes some bytes now and then");
    }

    // guards against readers that hold the budget, so that other bodies are refused
    void stay_within_it_for_readers_that_take_some_bytes_now_and_then()
    {
        constexpr std::size_t ordinary_bytes = 65536;
        const patient_target endless(loop(), extreme_endpoint(), long_answer_bytes);
        host& under_load = start("trickling-readers");
        run_trickling_readers(under_load.callers, long_request(), 250, millis(8000));
        check(under_load, "readers that take some bytes now and then", ordinary_bytes);
    }

    // guards against a part of each answer that is kept although memory is short
    void stay_within_it_for_more_such_readers_than_it_has_room_for()
    {
        max_fds_ = 2000;
        const patient_target endless(loop(), extreme_endpoint(), long_answer_bytes);
        host& under_load = start("many-readers");
        run_trickling_readers(under_load.callers, long_request(), 700, millis(8000));
        check(under_load, "700 such readers");
    }

    // guards against readers that hold the budget for as long as they take a few bytes
    void leave_room_for_a_body_of_the_largest_size_among_such_readers()
    {
        max_fds_ = 2600;
        const patient_target endless(loop(), extreme_endpoint(), long_answer_bytes);
        host& under_load = start("body-among-readers");
        run_trickling_readers(under_load.callers, long_request(), 900, millis(8000));
        check(under_load, "a body of 1 MiB among 900 such readers", max_body_bytes);
    }

    void stay_within_it_for_such_readers_of_answers_over_the_hop()
    {
        const patient_target endless(loop(), extreme_endpoint(), long_answer_bytes);
        host& peer = start("peer-of-readers");
        host& under_load = start("readers-without-path", false);
        run_trickling_readers(under_load.callers, long_request(), 250, millis(8000));
        check(under_load, "such readers at the host without a path");
        check(peer, "its peer");
    }

  private:
    static constexpr std::size_t long_answer_bytes = 4194304;

    /// whose deadline ends none of the readers during a test
    static std::string long_request()
    {
        return head("/x/k", length_of(0), millis(120000));
    }
};

/// Guards against a host whose descriptors are all taken by connections without a
/// request.
class connections_with_half_a_head : public entry_under_load
{
    CPPUNIT_TEST_SUITE(connections_with_half_a_head);
    CPPUNIT_TEST(stay_within_the_memory_and_descriptors_of_the_host);
    CPPUNIT_TEST(leave_descriptors_for_the_store_when_it_returns);
    CPPUNIT_TEST_SUITE_END();

  public:
    void stay_within_the_memory_and_descriptors_of_the_host()
    {
        host& under_load = start("half-heads");
        run_crowd({under_load.callers,
                   "POST /n/j HTTP/1.1\r\nHost: h.example\r\nPadding: " +
                       std::string(4000, 'x')},
                  2000);
        check(under_load, "2,000 connections with half a head");
    }

    void leave_descriptors_for_the_store_when_it_returns()
    {
        host& under_load = start("half-heads-store");
        run_crowd({under_load.callers,
                   "POST /n/j HTTP/1.1\r\nHost: h.example\r\nPadding: " +
                       std::string(4000, 'x')},
                  2000);
        // its connections to the store end
        store().set_down(true);
        run_for(millis(3000));
        store().set_down(false);
        add_route("/later/");
        check(under_load, "2,000 connections with half a head, the store away");
        check_route(under_load, "/later/a");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(bodies_that_stop_short_of_their_end);
CPPUNIT_TEST_SUITE_REGISTRATION(bodies_far_over_the_limit);
CPPUNIT_TEST_SUITE_REGISTRATION(bytes_that_nobody_takes);
CPPUNIT_TEST_SUITE_REGISTRATION(connections_with_half_a_head);

} // namespace
