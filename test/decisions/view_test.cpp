#include <cppunit/extensions/HelperMacros.h>
#include <support/views.hpp>

namespace
{

using namespace medlar;
using namespace medlar::testing;

class homes : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(homes);
    CPPUNIT_TEST(a_joining_host_moves_keys_only_to_itself);
    CPPUNIT_TEST(a_leaving_host_moves_only_its_own_keys);
    CPPUNIT_TEST(a_restarted_process_keeps_the_keys_of_its_host);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t keys = 2000;

    static view view_of(const std::vector<std::uint64_t>& numbers)
    {
        view result;
        result.epoch = view_epoch(1);
        result.members = members(numbers);
        return result;
    }

    void a_joining_host_moves_keys_only_to_itself()
    {
        const view old = view_of({1, 2, 3});
        const view joined = view_of({1, 2, 3, 4});
        std::size_t moved_keys = 0;
        for (std::uint64_t key = 0; key < keys; ++key)
        {
            const host_id before = home_of(old, key)->host;
            const host_id after = home_of(joined, key)->host;
            moved_keys += after == host_id("h4") ? 1 : 0;
            CPPUNIT_ASSERT(after == before || after == host_id("h4"));
        }
        CPPUNIT_ASSERT(moved_keys > keys / 5 && moved_keys < keys / 3);
    }

    void a_leaving_host_moves_only_its_own_keys()
    {
        const view old = view_of({1, 2, 3, 4});
        const view remaining = view_of({1, 2, 3});
        for (std::uint64_t key = 0; key < keys; ++key)
        {
            const host_id before = home_of(old, key)->host;
            CPPUNIT_ASSERT(before == host_id("h4") ||
                           home_of(remaining, key)->host == before);
        }
    }

    void a_restarted_process_keeps_the_keys_of_its_host()
    {
        const view old = view_of({1, 2});
        view restarted = old;
        restarted.members[1].process = incarnation(77);
        for (std::uint64_t key = 0; key < keys; ++key)
        {
            CPPUNIT_ASSERT(home_of(old, key)->host == home_of(restarted, key)->host);
        }
    }
};

class records : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(records);
    CPPUNIT_TEST(are_read_back_as_written);
    CPPUNIT_TEST(with_a_gap_are_refused);
    CPPUNIT_TEST(without_members_are_refused);
    CPPUNIT_TEST(that_are_not_json_are_refused);
    CPPUNIT_TEST(keep_a_bounded_history);
    CPPUNIT_TEST_SUITE_END();

    void are_read_back_as_written()
    {
        view_record record = next_record(first_record({1, 2}), members({1, 2, 3}));
        record.current.stated_stopped.emplace_back(9);
        const std::string text = write_view_record(record);
        const auto read = parse_view_record(text);
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT_EQUAL(text, write_view_record(*read));
    }

    void with_a_gap_are_refused()
    {
        view_record record = next_record(first_record({1}), members({1, 2}));
        record.current.epoch = view_epoch(5);
        CPPUNIT_ASSERT(!parse_view_record(write_view_record(record)).ok());
    }

    void without_members_are_refused()
    {
        CPPUNIT_ASSERT(!parse_view_record(write_view_record(first_record({}))).ok());
    }

    void that_are_not_json_are_refused()
    {
        CPPUNIT_ASSERT(!parse_view_record("{\"current\":").ok());
        CPPUNIT_ASSERT(!parse_view_record("[]").ok());
    }

    void keep_a_bounded_history()
    {
        view_record record = first_record({1});
        for (std::size_t i = 0; i < 3 * max_earlier_views; ++i)
        {
            record = next_record(record, members({1, 2}));
        }
        CPPUNIT_ASSERT_EQUAL(max_earlier_views, record.earlier.size());
        CPPUNIT_ASSERT(parse_view_record(write_view_record(record)).ok());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(homes, "view");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(records, "view");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("view");

} // namespace
