#include <medlar/detail/entry/serving_configuration.hpp>
#include <medlar/detail/entry/store_mirror.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace
{

using namespace medlar;

store_item item(const std::string& key, const std::string& value, std::int64_t revision)
{
    store_item made;
    made.key = key;
    made.value = value;
    made.revision = revision;
    return made;
}

store_item removal(const std::string& key, std::int64_t revision)
{
    store_item made = item(key, "", revision);
    made.is_deleted = true;
    return made;
}

store_page page(std::vector<store_item> items, std::int64_t revision)
{
    store_page made;
    made.items = std::move(items);
    made.revision = revision;
    return made;
}

/// a mirror and what it told
struct observed_mirror
{
    std::map<std::string, std::string> seen;
    std::map<std::string, steady_time> lapsed;
    store_mirror mirror{[this](const store_item& changed)
                        {
                            if (changed.is_deleted)
                            {
                                seen.erase(changed.key);
                            }
                            else
                            {
                                seen[changed.key] = changed.value;
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
    CPPUNIT_TEST(follows_changes_and_never_goes_back);
    CPPUNIT_TEST(drops_what_a_full_reading_does_not_have);
    CPPUNIT_TEST(holds_on_to_entries_that_lapsed_in_an_outage);
    CPPUNIT_TEST(learns_from_another_host);
    CPPUNIT_TEST_SUITE_END();

    const steady_time now_{1000000};
    observed_mirror one_;

  public:
    void follows_changes_and_never_goes_back()
    {
        one_.mirror.apply(page({item("a", "2", 7)}, 7), now_);
        one_.mirror.apply(page({item("a", "1", 5), removal("a", 6)}, 7), now_);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), one_.seen["a"]);
        one_.mirror.apply(page({removal("a", 8)}, 8), now_);
        CPPUNIT_ASSERT(one_.seen.empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{8}, one_.mirror.revision());
    }

    void drops_what_a_full_reading_does_not_have()
    {
        one_.mirror.apply(
            page({item("s/a", "1", 2), item("s/b", "1", 3), item("t", "1", 4)}, 4), now_);
        one_.mirror.replace("s/", page({item("s/b", "1", 3)}, 9), now_);
        CPPUNIT_ASSERT(one_.seen.count("s/a") == 0);
        CPPUNIT_ASSERT(one_.seen.count("s/b") == 1);
        CPPUNIT_ASSERT(one_.seen.count("t") == 1);
    }

    void holds_on_to_entries_that_lapsed_in_an_outage()
    {
        one_.mirror.apply(page({item("s/a", "1", 2)}, 2), now_);
        one_.mirror.note_outage_end(now_);
        one_.mirror.apply(page({removal("s/a", 3)}, 3), now_ + millis(500));
        CPPUNIT_ASSERT(one_.seen.count("s/a") == 1);
        CPPUNIT_ASSERT(one_.lapsed.count("s/a") == 1);
        CPPUNIT_ASSERT(one_.lapsed["s/a"] >= now_ + millis(2000));

        // a removal in quiet times is believed at once
        one_.mirror.apply(page({item("s/a", "1", 4)}, 4), now_ + millis(600));
        one_.mirror.apply(page({removal("s/a", 5)}, 5), now_ + millis(5000));
        CPPUNIT_ASSERT(one_.seen.empty());
    }

    void learns_from_another_host()
    {
        observed_mirror other;
        other.mirror.apply(page({item("a", "1", 2), item("b", "1", 3)}, 3), now_);
        one_.mirror.take_news(other.mirror.news_since(0), now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, one_.seen.size());

        other.mirror.apply(page({removal("a", 4), item("b", "2", 5)}, 5), now_);
        one_.mirror.take_news(other.mirror.news_since(one_.mirror.revision()), now_);
        CPPUNIT_ASSERT(one_.seen.count("a") == 0);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), one_.seen["b"]);

        // older news change nothing
        observed_mirror behind;
        behind.mirror.apply(page({item("c", "1", 1)}, 2), now_);
        one_.mirror.take_news(behind.mirror.news_since(0), now_);
        CPPUNIT_ASSERT(one_.seen.count("c") == 0);
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
