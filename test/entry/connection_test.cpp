#include "support/entry/stalling_peer.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

/// a connection to a peer on a real socket
class connected_fixture : public connection_handler
{
  public:
    connected_fixture()
    {
        stream = connection::connect(loop, peer.where(), millis(1000));
        stream->set_handler(this);
        CPPUNIT_ASSERT(until(
            [&]
            {
                return peer.accept() && stream->is_established();
            }));
    }

    ~connected_fixture() override
    {
        stream->close();
    }

    void on_input() override
    {
        received.append(stream->input().data(), stream->input().size());
        stream->consume(stream->input().size());
    }

    void on_end(connection_end reason) override
    {
        ended = reason;
    }

    bool until(const std::function<bool()>& condition)
    {
        const steady_time end = time.steady_now() + millis(10000);
        while (!condition() && time.steady_now() < end)
        {
            loop.run_once(millis(10));
        }
        return condition();
    }

    bool until_ended()
    {
        return until(
            [&]
            {
                return ended.has_value();
            });
    }

    medlar::clock time = medlar::clock::system();
    event_loop loop{time};
    stalling_peer peer;
    std::shared_ptr<connection> stream;
    std::string received;
    std::optional<connection_end> ended;
};

class a_connection : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_connection);
    CPPUNIT_TEST(is_closed_by_the_end_of_its_peer_only);
    CPPUNIT_TEST(is_not_closed_by_its_peer_when_tcp_has_given_it_up);
    CPPUNIT_TEST(is_not_closed_by_its_peer_when_a_write_finds_it_reset);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_closed_by_the_end_of_its_peer_only()
    {
        connected_fixture it;
        it.peer.write("whole");
        it.peer.finish();
        CPPUNIT_ASSERT(it.until_ended());
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), it.received);
        CPPUNIT_ASSERT(it.ended == connection_end::closed);
    }

    // guards against MIXED of review/2: a time-out of TCP taken for the regular end
    void is_not_closed_by_its_peer_when_tcp_has_given_it_up()
    {
        connected_fixture it;
        it.peer.write("a part");
        // more than the peer's window, which stays full
        it.stream->send(std::string(40000, 'x'));
        CPPUNIT_ASSERT(it.until_ended());
        CPPUNIT_ASSERT_EQUAL(std::string("a part"), it.received);
        CPPUNIT_ASSERT(it.ended == connection_end::reset);
    }

    // guards against MIXED: a write takes the error, and reading then finds a regular end
    void is_not_closed_by_its_peer_when_a_write_finds_it_reset()
    {
        connected_fixture it;
        it.peer.write("a part");
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return it.received == "a part";
            }));
        it.peer.reset();
        it.stream->send("x");
        CPPUNIT_ASSERT(it.until_ended());
        CPPUNIT_ASSERT(it.ended == connection_end::reset);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_connection);

} // namespace
