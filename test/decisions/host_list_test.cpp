#include <medlar/detail/base/error.hpp>
#include <medlar/detail/cluster/host_list.hpp>
#include <medlar/detail/cluster/state_order.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using medlar::listed_host;
using medlar::state_order;
using medlar::target_id;

std::vector<listed_host> parse(const std::string& hosts)
{
    const auto parsed = medlar::parse_host_list(R"({"hosts": [)" + hosts + "]}");
    CPPUNIT_ASSERT_MESSAGE(parsed.status().ToString(), parsed.ok());
    return *parsed;
}

const std::string live =
    R"({"host": "t1", "address": "127.0.0.1", "state": "live", "kind": "target", "target": "a"})";
const std::string leaving =
    R"({"host": "t1", "address": "127.0.0.1", "state": "leaving", "kind": "target", "target": "a"})";
const std::string entry =
    R"({"host": "e1", "address": "127.0.0.1:7001", "state": "live", "kind": "entry"})";

class the_host_list : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_host_list);
    CPPUNIT_TEST(shows_leaving_targets_and_live_gateways);
    CPPUNIT_TEST(keeps_a_target_leaving_until_it_is_live_again);
    CPPUNIT_TEST(ignores_unknown_kinds_and_states);
    CPPUNIT_TEST(is_an_error_if_malformed);
    CPPUNIT_TEST_SUITE_END();

    void shows_leaving_targets_and_live_gateways()
    {
        const std::vector<listed_host> listed = parse(leaving + "," + entry);
        CPPUNIT_ASSERT(next_leaving_targets({}, listed) ==
                       std::set<target_id>{target_id("a")});
        CPPUNIT_ASSERT(gateway_addresses(listed) ==
                       std::vector<std::string>{"127.0.0.1:7001"});
    }

    void keeps_a_target_leaving_until_it_is_live_again()
    {
        const std::set<target_id> before{target_id("a")};
        CPPUNIT_ASSERT(next_leaving_targets(before, parse(entry)) == before);
        CPPUNIT_ASSERT(next_leaving_targets(before, parse(live)).empty());
        CPPUNIT_ASSERT(next_leaving_targets(before, parse(leaving + "," + live)) ==
                       before);
    }

    void ignores_unknown_kinds_and_states()
    {
        const std::string other =
            R"({"host": "x", "address": "", "state": "live", "kind": "disk"})";
        CPPUNIT_ASSERT(parse(other).empty());
    }

    void is_an_error_if_malformed()
    {
        for (const char* text : {"", "[]", R"({"hosts": 1})", R"({"hosts": [1]})", "{}"})
        {
            const auto parsed = medlar::parse_host_list(text);
            CPPUNIT_ASSERT_EQUAL(static_cast<int>(medlar::error_number::store_malformed),
                                 medlar::error_number_of(parsed.status()));
        }
    }
};

class a_state_that_was_read : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_state_that_was_read);
    CPPUNIT_TEST(is_ordered_by_number_then_compared_by_digest);
    CPPUNIT_TEST_SUITE_END();

    void is_ordered_by_number_then_compared_by_digest()
    {
        CPPUNIT_ASSERT(medlar::compare_versions({2, "a"}, {3, "b"}) ==
                       state_order::newer);
        CPPUNIT_ASSERT(medlar::compare_versions({2, "a"}, {1, "a"}) ==
                       state_order::older);
        CPPUNIT_ASSERT(medlar::compare_versions({2, "a"}, {2, "a"}) == state_order::same);
        CPPUNIT_ASSERT(medlar::compare_versions({2, "a"}, {2, "b"}) ==
                       state_order::conflicting);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_host_list);
CPPUNIT_TEST_SUITE_REGISTRATION(a_state_that_was_read);

} // namespace
