#include <medlar/detail/hosts/store_mirror.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace
{

using namespace medlar;

constexpr char prefix[] = "e/";

struct watched_mirror
{
    explicit watched_mirror(bool mirrors_evacuations)
    {
        if (mirrors_evacuations)
        {
            mirror.set_evacuations(prefix, true);
        }
    }

    /// applies changes of the store; a deletion has a key that begins with "-"
    void watch(const std::vector<std::string>& keys, std::int64_t revision)
    {
        store_page events;
        events.revision = revision;
        for (const std::string& each : keys)
        {
            store_item changed;
            changed.is_deleted = each.front() == '-';
            changed.key = each.substr(changed.is_deleted ? 1 : 0);
            changed.revision = revision;
            events.items.push_back(changed);
        }
        mirror.apply(events, now);
    }

    void hear(const watched_mirror& from, store_version since)
    {
        mirror.apply_delta(from.mirror.delta_since(since, now), now);
    }

    const steady_time now{1000000};
    std::set<std::string> items;
    store_mirror mirror{[this](const store_item& changed)
                        {
                            if (changed.is_deleted)
                            {
                                items.erase(changed.key);
                            }
                            else
                            {
                                items.insert(changed.key);
                            }
                        },
                        [](const std::string&, steady_time) {},
                        [](const store_item&)
                        {
                            return std::optional<content_version>();
                        }};
};

/// Hosts of an older build do not read evacuations, but keep and pass on those that they
/// hear of.
class evacuations_among_hosts_of_two_builds : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(evacuations_among_hosts_of_two_builds);
    CPPUNIT_TEST(are_not_ended_by_one_that_does_not_know_them);
    CPPUNIT_TEST(are_not_begun_by_one_that_missed_their_end);
    CPPUNIT_TEST(are_learnt_again_from_one_that_mirrors_them);
    CPPUNIT_TEST(are_forgotten_when_they_are_mirrored_no_longer);
    CPPUNIT_TEST_SUITE_END();

    watched_mirror host_{true};
    watched_mirror older_{false};

  public:
    void setUp() override
    {
        host_.watch({"t/1", "e/a"}, 10);
        older_.watch({"t/1"}, 10);
    }

    void are_not_ended_by_one_that_does_not_know_them()
    {
        older_.watch({"t/2"}, 12);
        // with the keys of all that is left, and without
        host_.hear(older_, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host_.items.count("e/a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host_.items.count("t/2"));
        CPPUNIT_ASSERT(host_.mirror.lacks_evacuations());
        // what it passes on does not count as all evacuations either
        watched_mirror other(true);
        other.watch({"t/1", "e/a"}, 10);
        other.hear(host_, {0, 10});
        CPPUNIT_ASSERT(other.mirror.lacks_evacuations());
        store_page read;
        read.revision = 12;
        host_.mirror.replace(prefix, read, host_.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host_.items.count("e/a"));
        CPPUNIT_ASSERT(!host_.mirror.lacks_evacuations());
    }

    void are_not_begun_by_one_that_missed_their_end()
    {
        older_.hear(host_, {});
        older_.watch({"e/b", "t/2"}, 12);
        watched_mirror starting(true);
        starting.hear(older_, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starting.items.count("t/2"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, starting.items.count("e/a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, starting.items.count("e/b"));
    }

    void are_learnt_again_from_one_that_mirrors_them()
    {
        watched_mirror other(true);
        other.watch({"t/1", "e/a"}, 10);
        other.watch({"-e/a", "e/b", "t/2"}, 12);
        older_.watch({"t/2"}, 12);
        host_.hear(older_, {0, 10});
        host_.hear(other, host_.mirror.version());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host_.items.count("e/a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host_.items.count("e/b"));
        CPPUNIT_ASSERT(!host_.mirror.lacks_evacuations());
    }

    void are_forgotten_when_they_are_mirrored_no_longer()
    {
        host_.mirror.set_evacuations(prefix, false);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host_.items.count("e/a"));
        host_.mirror.set_evacuations(prefix, true);
        CPPUNIT_ASSERT(host_.mirror.lacks_evacuations());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuations_among_hosts_of_two_builds);

} // namespace
