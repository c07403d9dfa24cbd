#include "support/entry/versioned_pool.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

/// hosts in front of targets of two versions, which have written what they know of them
class mixed_pool : public versioned_pool
{
  public:
    mixed_pool()
        : versioned_pool(3, {{"i-1", "v1"}, {"i-2", "v1"}, {"i-3", "v2"}, {"i-4", "v2"}})
    {
        // the last value that the hosts write unless targets come or go
        CPPUNIT_ASSERT(until(
            [this]
            {
                const std::vector<std::string> shares =
                    store.values_with_prefix(platform::share_prefix);
                return !shares.empty() &&
                       nlohmann::json::parse(shares.front()).at("before").empty();
            }));
        run_for(millis(1000));
    }

    /// lets the store return from a copy without the items below a prefix
    void lose(const std::string& prefix)
    {
        CPPUNIT_ASSERT(store.has_key_with_prefix(prefix));
        store.remove_prefix(prefix);
        store.save_copy();
        store.return_from_copy();
    }

    bool until_written(const std::string& prefix)
    {
        return until(
            [&]
            {
                return store.has_key_with_prefix(prefix);
            });
    }
};

class a_store_back_from_a_copy_without_it : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_store_back_from_a_copy_without_it);
    CPPUNIT_TEST(gets_the_versions_written_again);
    CPPUNIT_TEST(gets_the_shares_of_versions_written_again);
    CPPUNIT_TEST_SUITE_END();

  public:
    void gets_the_versions_written_again()
    {
        mixed_pool it;
        it.lose(platform::version_prefix);
        CPPUNIT_ASSERT(it.until_written(platform::version_prefix));
    }

    void gets_the_shares_of_versions_written_again()
    {
        mixed_pool it;
        it.lose(platform::share_prefix);
        CPPUNIT_ASSERT(it.until_written(platform::share_prefix));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_store_back_from_a_copy_without_it);

} // namespace
