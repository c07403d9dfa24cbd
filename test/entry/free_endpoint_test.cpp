#include "support/free_endpoint.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

/// an address that was chosen for a server which may start again later
class the_address_of_a_server : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_address_of_a_server);
    CPPUNIT_TEST(is_taken_by_no_outgoing_connection);
    CPPUNIT_TEST(is_given_to_no_other_server);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_taken_by_no_outgoing_connection()
    {
        const port_range outgoing = outgoing_ports();
        for (int i = 0; i < 20; ++i)
        {
            const std::uint16_t port = free_endpoint().port;
            CPPUNIT_ASSERT(port < outgoing.first || port > outgoing.last);
        }
    }

    void is_given_to_no_other_server()
    {
        std::set<std::uint16_t> given;
        for (int i = 0; i < 20; ++i)
        {
            const std::uint16_t first = free_endpoint_pair().port;
            CPPUNIT_ASSERT(given.insert(first).second);
            CPPUNIT_ASSERT(given.insert(static_cast<std::uint16_t>(first + 1)).second);
        }
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(the_address_of_a_server);
