#include <medlar/detail/dispatch/target_starts.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class the_starts_of_targets : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_starts_of_targets);
    CPPUNIT_TEST(have_a_version_once_an_entry_names_it);
    CPPUNIT_TEST(have_versions_of_their_own_before);
    CPPUNIT_TEST(are_unlisted_until_an_entry_names_them);
    CPPUNIT_TEST(are_forgotten_when_no_stream_is_left);
    CPPUNIT_TEST_SUITE_END();

    const steady_time now_{1000000};
    const pool_id pool_{"p"};
    const process_start first_{target_id("i-1"), 5};
    const process_start second_{target_id("i-1"), 6};
    target_starts starts_;

    static target_record record(std::int64_t started_ms, const std::string& version)
    {
        target_record made;
        made.id = target_id("i-1");
        made.pool = pool_id("p");
        made.address = {"127.0.0.1", 80};
        made.started_ms = started_ms;
        made.version = software_version(version);
        return made;
    }

  public:
    void have_a_version_once_an_entry_names_it()
    {
        starts_.record_listed(record(5, "v1"), now_);
        CPPUNIT_ASSERT_EQUAL(software_version("v1"), starts_.version_of(first_));
        const stream_origin unlisted{pool_, unlisted_version(second_)};
        CPPUNIT_ASSERT(starts_.resolve(unlisted) == unlisted);
        starts_.record_listed(record(6, "v2"), now_);
        CPPUNIT_ASSERT_EQUAL(software_version("v2"), starts_.resolve(unlisted).version);
        // the earlier one keeps its version
        CPPUNIT_ASSERT_EQUAL(software_version("v1"), starts_.version_of(first_));
    }

    void have_versions_of_their_own_before()
    {
        CPPUNIT_ASSERT(unlisted_version(first_) != unlisted_version(second_));
        const auto read = read_unlisted_version(unlisted_version(second_));
        CPPUNIT_ASSERT(read && *read == second_);
        CPPUNIT_ASSERT(!read_unlisted_version(software_version("v1")));
        CPPUNIT_ASSERT(!read_unlisted_version(software_version("unlisted start x i-1")));

        target_table table;
        table.put(record(5, "v1"));
        starts_.record_listed(record(5, "v1"), now_);
        const target_state& target = *table.find(target_id("i-1"));
        CPPUNIT_ASSERT_EQUAL(software_version("v1"), starts_.version_of(target));
        table.record_start(target_id("i-1"), 6);
        CPPUNIT_ASSERT_EQUAL(unlisted_version(second_), starts_.version_of(target));
    }

    void are_unlisted_until_an_entry_names_them()
    {
        const stream_origin unlisted{pool_, unlisted_version(second_)};
        CPPUNIT_ASSERT(!starts_.record_unlisted({pool_, software_version("v1")}, now_));
        CPPUNIT_ASSERT(starts_.record_unlisted(unlisted, now_));
        CPPUNIT_ASSERT(!starts_.record_unlisted(unlisted, now_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts_.unlisted_in({pool_}).size());
        CPPUNIT_ASSERT(starts_.unlisted_in({pool_id("q")}).empty());
        starts_.record_listed(record(6, "v2"), now_);
        CPPUNIT_ASSERT(starts_.unlisted_in({pool_}).empty());
        CPPUNIT_ASSERT(!starts_.record_unlisted(unlisted, now_));
    }

    void are_forgotten_when_no_stream_is_left()
    {
        starts_.record_listed(record(5, "v1"), now_);
        starts_.record_unlisted({pool_, unlisted_version(second_)}, now_);
        starts_.forget_old(now_ + max_stream_age);
        CPPUNIT_ASSERT_EQUAL(software_version("v1"), starts_.version_of(first_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts_.unlisted_in({pool_}).size());
        starts_.forget_old(now_ + max_stream_age + millis(1));
        CPPUNIT_ASSERT_EQUAL(unlisted_version(first_), starts_.version_of(first_));
        CPPUNIT_ASSERT(starts_.unlisted_in({pool_}).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_starts_of_targets);

} // namespace
