#include <medlar/detail/entry/serving_configuration.hpp>
#include <medlar/detail/entry/store_mirror.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace
{

using namespace medlar;

store_item item(const std::string& key, const std::string& value, std::int64_t revision)
{
    store_item result;
    result.key = key;
    result.value = value;
    result.revision = revision;
    return result;
}

store_item removal(const std::string& key, std::int64_t revision)
{
    store_item result = item(key, "", revision);
    result.is_deleted = true;
    return result;
}

store_page page(std::vector<store_item> items, std::int64_t revision)
{
    store_page result;
    result.items = std::move(items);
    result.revision = revision;
    return result;
}

/// a mirror and the changes it reported
struct observed_mirror
{
    std::map<std::string, std::string> items;
    std::map<std::string, steady_time> lapsed;
    store_mirror mirror{[this](const store_item& changed)
                        {
                            if (changed.is_deleted)
                            {
                                items.erase(changed.key);
                            }
                            else
                            {
                                items[changed.key] = changed.value;
                            }
                        },
                        [this](const std::string& key, steady_time until)
                        {
                            lapsed[key] = until;
                        }};
};

class the_mirror_of_the_store : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_mirror_of_the_store);
    CPPUNIT_TEST(applies_changes_and_ignores_older_revisions);
    CPPUNIT_TEST(removes_items_missing_in_a_complete_reading);
    CPPUNIT_TEST(reports_a_lapse_for_items_removed_after_an_outage);
    CPPUNIT_TEST(applies_the_changes_of_another_host);
    CPPUNIT_TEST_SUITE_END();

    const steady_time now_{1000000};
    observed_mirror observed_;

  public:
    void applies_changes_and_ignores_older_revisions()
    {
        observed_.mirror.apply(page({item("a", "2", 7)}, 7), now_);
        observed_.mirror.apply(page({item("a", "1", 5), removal("a", 6)}, 7), now_);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), observed_.items["a"]);
        observed_.mirror.apply(page({removal("a", 8)}, 8), now_);
        CPPUNIT_ASSERT(observed_.items.empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{8}, observed_.mirror.revision());
    }

    void removes_items_missing_in_a_complete_reading()
    {
        observed_.mirror.apply(
            page({item("s/a", "1", 2), item("s/b", "1", 3), item("t", "1", 4)}, 4), now_);
        observed_.mirror.replace("s/", page({item("s/b", "1", 3)}, 9), now_);
        CPPUNIT_ASSERT(observed_.items.count("s/a") == 0);
        CPPUNIT_ASSERT(observed_.items.count("s/b") == 1);
        CPPUNIT_ASSERT(observed_.items.count("t") == 1);
    }

    void reports_a_lapse_for_items_removed_after_an_outage()
    {
        observed_.mirror.apply(page({item("s/a", "1", 2)}, 2), now_);
        observed_.mirror.record_outage_end(now_);
        observed_.mirror.apply(page({removal("s/a", 3)}, 3), now_ + millis(500));
        CPPUNIT_ASSERT(observed_.items.count("s/a") == 1);
        CPPUNIT_ASSERT(observed_.lapsed.count("s/a") == 1);
        CPPUNIT_ASSERT(observed_.lapsed["s/a"] >= now_ + millis(2000));

        // outside the time after an outage a removal is applied at once
        observed_.mirror.apply(page({item("s/a", "1", 4)}, 4), now_ + millis(600));
        observed_.mirror.apply(page({removal("s/a", 5)}, 5), now_ + millis(5000));
        CPPUNIT_ASSERT(observed_.items.empty());
    }

    void applies_the_changes_of_another_host()
    {
        observed_mirror other;
        other.mirror.apply(page({item("a", "1", 2), item("b", "1", 3)}, 3), now_);
        observed_.mirror.apply_delta(other.mirror.delta_since(0), now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, observed_.items.size());

        other.mirror.apply(page({removal("a", 4), item("b", "2", 5)}, 5), now_);
        observed_.mirror.apply_delta(
            other.mirror.delta_since(observed_.mirror.revision()), now_);
        CPPUNIT_ASSERT(observed_.items.count("a") == 0);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), observed_.items["b"]);

        // an older delta changes nothing
        observed_mirror behind;
        behind.mirror.apply(page({item("c", "1", 1)}, 2), now_);
        observed_.mirror.apply_delta(behind.mirror.delta_since(0), now_);
        CPPUNIT_ASSERT(observed_.items.count("c") == 0);
    }
};

class the_configuration : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_configuration);
    CPPUNIT_TEST(finds_the_route_with_the_longest_prefix);
    CPPUNIT_TEST_SUITE_END();

  public:
    void finds_the_route_with_the_longest_prefix()
    {
        serving_configuration made;
        for (const char* prefix : {"/a/", "/a/b/", "/"})
        {
            route one;
            one.host = "h.example";
            one.prefix = prefix;
            made.routes.push_back(one);
        }
        made.index_routes();
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b/"),
                             made.find_route("H.example", "/a/b/c")->prefix);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/"),
                             made.find_route("h.example:80", "/a/c")->prefix);
        CPPUNIT_ASSERT_EQUAL(std::string("/"),
                             made.find_route("h.example", "/b")->prefix);
        CPPUNIT_ASSERT(made.find_route("other.example", "/a/") == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_mirror_of_the_store);
CPPUNIT_TEST_SUITE_REGISTRATION(the_configuration);

} // namespace
