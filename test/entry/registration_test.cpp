#include "support/entry/entry_group.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

class the_registration_of_a_host : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_registration_of_a_host);
    CPPUNIT_TEST(is_written_again_when_the_store_has_dropped_it);
    CPPUNIT_TEST_SUITE_END();

  public:
    // guards against LIMIT of review/5: a host that its peers no longer know went on
    void is_written_again_when_the_store_has_dropped_it()
    {
        entry_group it;
        it.store.put("op/config",
                     configuration_json(3, {route_json("/a/", "idempotent", "plain")}));
        stand_in_target target(it.loop, "i-1", "plain", [](const auto&) {});
        it.store.put(target.key(), target.entry());
        it.start_hosts(2);
        const std::string key = it.protocol.host_prefix() + "host-0";
        CPPUNIT_ASSERT(it.store.has_key_with_prefix(key));
        it.store.remove(key);
        CPPUNIT_ASSERT(!it.store.has_key_with_prefix(key));
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return it.store.has_key_with_prefix(key);
            }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_registration_of_a_host);

} // namespace
