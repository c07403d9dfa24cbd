#include <medlar/detail/dispatch/path_evidence.hpp>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

steady_time at(std::int64_t ms)
{
    return steady_time() + millis(ms);
}

std::vector<target_id> targets(int count)
{
    std::vector<target_id> ids;
    for (int i = 0; i < count; ++i)
    {
        ids.emplace_back(absl::StrCat("i-", i));
    }
    return ids;
}

/// lets all probes of a round fail
void fail_probes(path_evidence& path, const std::vector<target_id>& probed)
{
    for (const target_id& each : probed)
    {
        path.record_failure(each);
        path.record_probe_end();
    }
}

class a_path_to_a_pool : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_path_to_a_pool);
    CPPUNIT_TEST(is_not_lost_while_one_target_answers);
    CPPUNIT_TEST(is_lost_once_no_target_of_a_silent_pool_can_be_connected_to);
    CPPUNIT_TEST(is_not_lost_because_half_of_the_targets_crash_at_once);
    CPPUNIT_TEST(is_present_while_old_connections_bring_bytes);
    CPPUNIT_TEST(is_probed_until_it_is_back);
    CPPUNIT_TEST(of_a_pool_with_one_target_is_lost_with_it);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_not_lost_while_one_target_answers()
    {
        path_evidence path;
        for (const target_id& each : targets(3))
        {
            path.record_failure(each);
        }
        path.start_probes(targets(9), 3, at(0));
        path.record_contact();
        path.record_probe_end();
        CPPUNIT_ASSERT(!path.update_lost(9));
    }

    void is_lost_once_no_target_of_a_silent_pool_can_be_connected_to()
    {
        path_evidence path;
        path.record_call(at(0));
        CPPUNIT_ASSERT(path.start_probes(targets(9), 0, at(400)).empty());
        const std::vector<target_id> probed = path.start_probes(targets(9), 0, at(600));
        CPPUNIT_ASSERT(probed.size() > 1);
        CPPUNIT_ASSERT(!path.update_lost(9));
        fail_probes(path, probed);
        CPPUNIT_ASSERT(path.update_lost(9));
    }

    void is_not_lost_because_half_of_the_targets_crash_at_once()
    {
        path_evidence path;
        for (const target_id& each : targets(5))
        {
            path.record_failure(each);
        }
        // the others have not been tried yet
        CPPUNIT_ASSERT(!path.update_lost(9));
        for (const target_id& each : path.start_probes(targets(9), 0, at(0)))
        {
            CPPUNIT_ASSERT(each.get() > "i-4");
        }
    }

    void is_present_while_old_connections_bring_bytes()
    {
        path_evidence path;
        for (int round = 0; round < 5; ++round)
        {
            path.record_failure(target_id("i-0"));
            path.record_failure(target_id("i-1"));
            path.record_contact();
            path.record_failure(target_id("i-2"));
            path.record_failure(target_id("i-3"));
            path.record_contact();
            CPPUNIT_ASSERT(!path.update_lost(4));
        }
    }

    void is_probed_until_it_is_back()
    {
        path_evidence path;
        for (const target_id& each : targets(4))
        {
            path.record_failure(each);
        }
        CPPUNIT_ASSERT(path.update_lost(4));
        fail_probes(path, path.start_probes(targets(4), 0, at(0)));
        for (std::int64_t ms = 1000; ms < 30000; ms += 1000)
        {
            const auto probed = path.start_probes(targets(4), 0, at(ms));
            CPPUNIT_ASSERT(!probed.empty());
            fail_probes(path, probed);
            CPPUNIT_ASSERT(path.update_lost(4));
        }
        path.record_contact();
        CPPUNIT_ASSERT(!path.update_lost(4));
    }

    void of_a_pool_with_one_target_is_lost_with_it()
    {
        path_evidence path;
        CPPUNIT_ASSERT(!path.update_lost(1));
        path.record_failure(target_id("i-0"));
        CPPUNIT_ASSERT(path.update_lost(1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_path_to_a_pool);

} // namespace
