#include <medlar/detail/entry/serving_configuration.hpp>
#include <medlar/detail/hosts/store_mirror.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>

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
    /// the versions of items' contents by their values
    std::map<std::string, content_version> contents;
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
                        },
                        [this](const store_item& read) -> std::optional<content_version>
                        {
                            const auto found = contents.find(read.value);
                            return found == contents.end()
                                       ? std::optional<content_version>()
                                       : found->second;
                        }};
};

/// mirrors of a changing store that read stale pages of it, watch it and exchange news;
/// answers and news may come late and in another order
class exchanging_mirrors
{
  public:
    explicit exchanging_mirrors(std::uint32_t seed) : random_(seed), hosts_(5)
    {
        for (int i = 0; i < 8; ++i)
        {
            change_store();
        }
    }

    void step()
    {
        const std::size_t chosen = below(hosts_.size());
        switch (below(16))
        {
            case 0:
                restart(chosen);
                break;
            case 1:
            case 2:
            case 3:
                change_store();
                break;
            case 4:
            case 5:
                begin_watch(chosen);
                break;
            case 6:
            case 7:
            case 8:
                ask(chosen, below(hosts_.size()));
                break;
            case 9:
            case 10:
            case 11:
                deliver();
                break;
            default:
                read_page(hosts_[chosen]);
        }
    }

    /// @return what differs once all hosts have heard of all changes; empty if nothing
    std::string first_difference()
    {
        const std::map<std::string, std::string> expected = values(content("", head()));
        for (std::size_t i = 0; i < hosts_.size(); ++i)
        {
            host& each = hosts_[i];
            store_mirror& mirror = each.known->mirror;
            if (!mirror.is_filled())
            {
                continue;
            }
            mirror.apply(events(mirror.version().revision, head()), now_);
            if (each.known->items != expected)
            {
                return "host " + std::to_string(i);
            }
        }
        return "";
    }

  private:
    struct host
    {
        std::unique_ptr<observed_mirror> known = std::make_unique<observed_mirror>();
        std::size_t next_prefix = 0;
        std::int64_t read_revision = 0;
        bool is_watching = false;
    };

    struct answer
    {
        std::size_t to = 0;
        store_page events;
        /// of another host; null if it is the store's answer to a watch
        nlohmann::json news;
    };

    std::size_t below(std::size_t end)
    {
        return random_() % end;
    }

    std::int64_t head() const
    {
        return static_cast<std::int64_t>(history_.size());
    }

    void change_store()
    {
        const std::string key =
            prefixes_.at(below(prefixes_.size())) + std::to_string(below(4));
        const std::int64_t revision = head() + 1;
        const bool is_present = values(content(key, head())).count(key) > 0;
        history_.push_back(is_present && below(3) > 0
                               ? removal(key, revision)
                               : item(key, std::to_string(revision), revision));
    }

    std::vector<store_item> content(const std::string& prefix, std::int64_t at) const
    {
        std::map<std::string, store_item> present;
        for (std::int64_t i = 0; i < at; ++i)
        {
            const store_item& each = history_[static_cast<std::size_t>(i)];
            present.erase(each.key);
            if (!each.is_deleted && each.key.compare(0, prefix.size(), prefix) == 0)
            {
                present[each.key] = each;
            }
        }
        std::vector<store_item> result;
        for (const auto& each : present)
        {
            result.push_back(each.second);
        }
        return result;
    }

    static std::map<std::string, std::string> values(const std::vector<store_item>& items)
    {
        std::map<std::string, std::string> result;
        for (const store_item& each : items)
        {
            result[each.key] = each.value;
        }
        return result;
    }

    store_page events(std::int64_t after, std::int64_t until) const
    {
        store_page result = page({}, until);
        result.era = 1;
        for (std::int64_t i = after; i < until; ++i)
        {
            result.items.push_back(history_[static_cast<std::size_t>(i)]);
        }
        return result;
    }

    void read_page(host& reader)
    {
        // pages differ in age
        const std::int64_t at = head() - static_cast<std::int64_t>(below(8));
        const std::string& prefix = prefixes_.at(reader.next_prefix);
        store_page read = page(content(prefix, at), at);
        read.era = 1;
        reader.known->mirror.replace(prefix, read, now_);
        reader.read_revision =
            reader.next_prefix == 0 ? at : std::min(reader.read_revision, at);
        reader.next_prefix = (reader.next_prefix + 1) % prefixes_.size();
        if (reader.next_prefix == 0)
        {
            reader.known->mirror.finish_reading({1, reader.read_revision}, now_);
        }
    }

    void restart(std::size_t which)
    {
        hosts_[which] = host();
        const auto is_to_it = [which](const answer& each)
        {
            return each.to == which;
        };
        answers_.erase(std::remove_if(answers_.begin(), answers_.end(), is_to_it),
                       answers_.end());
    }

    void begin_watch(std::size_t which)
    {
        host& watcher = hosts_[which];
        if (watcher.is_watching || !watcher.known->mirror.is_filled())
        {
            return;
        }
        watcher.is_watching = true;
        const std::int64_t after = watcher.known->mirror.version().revision;
        const std::size_t until = below(static_cast<std::size_t>(head() - after) + 1);
        answers_.push_back(
            {which, events(after, after + static_cast<std::int64_t>(until)), {}});
    }

    void ask(std::size_t asking, std::size_t asked)
    {
        const store_mirror& answering = hosts_[asked].known->mirror;
        if (asking != asked && answering.is_filled())
        {
            const store_version since = hosts_[asking].known->mirror.version();
            answers_.push_back({asking, {}, answering.delta_since(since, now_)});
        }
    }

    void deliver()
    {
        if (answers_.empty())
        {
            return;
        }
        const std::size_t chosen = below(answers_.size());
        const answer received = answers_[chosen];
        answers_.erase(answers_.begin() + static_cast<std::ptrdiff_t>(chosen));
        host& to = hosts_[received.to];
        if (!received.news.is_null())
        {
            to.known->mirror.apply_delta(received.news, now_);
            return;
        }
        to.is_watching = false;
        to.known->mirror.apply(received.events, now_);
    }

    const steady_time now_{1000000};
    const std::vector<std::string> prefixes_{"h/", "s/", "t/"};
    std::mt19937 random_;
    std::vector<store_item> history_;
    std::vector<host> hosts_;
    std::vector<answer> answers_;
};

class the_mirror_of_the_store : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_mirror_of_the_store);
    CPPUNIT_TEST(applies_changes_and_ignores_older_revisions);
    CPPUNIT_TEST(removes_items_missing_in_a_complete_reading);
    CPPUNIT_TEST(reports_a_lapse_for_items_removed_after_an_outage);
    CPPUNIT_TEST(applies_the_changes_of_another_host);
    CPPUNIT_TEST(tells_others_of_removals_of_items_that_it_has_not_read);
    CPPUNIT_TEST(brings_nothing_back_from_a_page_that_is_older_than_what_it_knows);
    CPPUNIT_TEST(passes_on_no_gap_in_what_it_knows_of_removals);
    CPPUNIT_TEST(brings_nothing_back_from_news_that_is_older_than_a_page);
    CPPUNIT_TEST(brings_nothing_back_from_changes_that_are_older_than_news);
    CPPUNIT_TEST(has_a_gap_in_what_it_knows_of_removals_after_a_reading);
    CPPUNIT_TEST(misses_no_change_between_two_pages_of_a_prefix);
    CPPUNIT_TEST(has_the_content_of_the_store_whatever_comes_first);
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
        CPPUNIT_ASSERT_EQUAL(std::int64_t{8}, observed_.mirror.version().revision);
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
        observed_.mirror.apply_delta(other.mirror.delta_since({}, now_), now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, observed_.items.size());

        other.mirror.apply(page({removal("a", 4), item("b", "2", 5)}, 5), now_);
        observed_.mirror.apply_delta(
            other.mirror.delta_since(observed_.mirror.version(), now_), now_);
        CPPUNIT_ASSERT(observed_.items.count("a") == 0);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), observed_.items["b"]);

        // an older delta changes nothing
        observed_mirror behind;
        behind.mirror.apply(page({item("c", "1", 1)}, 2), now_);
        observed_.mirror.apply_delta(behind.mirror.delta_since({}, now_), now_);
        CPPUNIT_ASSERT(observed_.items.count("c") == 0);
    }

    void tells_others_of_removals_of_items_that_it_has_not_read()
    {
        // the pages of a reading differ in age, and it counts from the oldest
        observed_mirror informed;
        informed.mirror.replace("s/", page({item("s/b", "1", 3)}, 9), now_);
        informed.mirror.apply(page({}, 5), now_);
        informed.mirror.apply(page({removal("s/a", 8)}, 9), now_);

        observed_.mirror.apply(page({item("s/a", "1", 2), item("s/b", "1", 3)}, 6), now_);
        observed_.mirror.apply_delta(
            informed.mirror.delta_since(observed_.mirror.version(), now_), now_);
        CPPUNIT_ASSERT(observed_.items.count("s/a") == 0);
        CPPUNIT_ASSERT(observed_.items.count("s/b") == 1);
    }

    void brings_nothing_back_from_a_page_that_is_older_than_what_it_knows()
    {
        observed_mirror informed;
        informed.mirror.apply(page({item("s/b", "1", 3)}, 9), now_);
        observed_.mirror.apply_delta(informed.mirror.delta_since({}, now_), now_);

        observed_.mirror.replace(
            "s/", page({item("s/a", "1", 2), item("s/b", "1", 3)}, 7), now_);
        CPPUNIT_ASSERT(observed_.items.count("s/a") == 0);

        // later pages of a reading may be newer than its first one
        observed_.mirror.replace(
            "s/", page({item("s/b", "1", 3), item("s/c", "1", 10)}, 8), now_);
        CPPUNIT_ASSERT(observed_.items.count("s/c") == 1);
    }

    void passes_on_no_gap_in_what_it_knows_of_removals()
    {
        // s/a was removed in revision 8
        observed_mirror started_late;
        started_late.mirror.apply(page({item("s/b", "1", 3)}, 9), now_);
        observed_mirror informed;
        informed.mirror.replace("s/", page({item("s/b", "1", 3)}, 10), now_);
        informed.mirror.apply(page({}, 5), now_);
        informed.mirror.apply_delta(
            started_late.mirror.delta_since(informed.mirror.version(), now_), now_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, informed.mirror.version().revision);

        observed_.mirror.apply(page({item("s/a", "1", 2), item("s/b", "1", 3)}, 6), now_);
        observed_.mirror.apply_delta(
            informed.mirror.delta_since(observed_.mirror.version(), now_), now_);
        CPPUNIT_ASSERT(observed_.items.count("s/a") == 0);
        CPPUNIT_ASSERT(observed_.items.count("s/b") == 1);
    }

    void brings_nothing_back_from_news_that_is_older_than_a_page()
    {
        observed_.mirror.replace("s/", page({item("s/b", "1", 3)}, 9), now_);
        observed_mirror behind;
        behind.mirror.apply(page({item("s/a", "1", 2), item("s/b", "1", 3)}, 6), now_);
        observed_.mirror.apply_delta(behind.mirror.delta_since({}, now_), now_);
        observed_.mirror.replace("t/", page({item("t/a", "1", 4)}, 9), now_);
        observed_.mirror.apply(page({}, 9), now_);
        CPPUNIT_ASSERT(observed_.items.count("s/a") == 0);
        CPPUNIT_ASSERT(observed_.items.count("s/b") == 1);
    }

    void brings_nothing_back_from_changes_that_are_older_than_news()
    {
        observed_.mirror.apply(page({item("s/b", "1", 3)}, 4), now_);
        observed_mirror informed;
        informed.mirror.apply(page({item("s/b", "1", 3)}, 9), now_);
        observed_.mirror.apply_delta(informed.mirror.delta_since({}, now_), now_);
        // the answer to a watch that began before the news came
        observed_.mirror.apply(page({item("s/a", "1", 5)}, 6), now_);
        CPPUNIT_ASSERT(observed_.items.count("s/a") == 0);
        observed_.mirror.apply(page({item("s/a", "2", 10)}, 10), now_);
        CPPUNIT_ASSERT(observed_.items.count("s/a") == 1);
    }

    void has_a_gap_in_what_it_knows_of_removals_after_a_reading()
    {
        // s/a was added in revision 6 and removed in revision 8
        observed_mirror informed;
        informed.mirror.apply(page({item("s/b", "1", 3)}, 5), now_);
        informed.mirror.replace("s/", page({item("s/b", "1", 3)}, 9), now_);
        informed.mirror.finish_reading({0, 9}, now_);

        observed_.mirror.apply(page({item("s/a", "1", 6), item("s/b", "1", 3)}, 7), now_);
        observed_.mirror.apply_delta(
            informed.mirror.delta_since(observed_.mirror.version(), now_), now_);
        CPPUNIT_ASSERT(observed_.items.count("s/a") == 0);
        CPPUNIT_ASSERT(observed_.items.count("s/b") == 1);
    }

    void misses_no_change_between_two_pages_of_a_prefix()
    {
        // s/b was removed in revision 8
        store_page reading;
        append_page(reading, page({item("s/a", "1", 2)}, 9));
        append_page(reading, page({item("s/b", "1", 3)}, 7));
        append_page(reading, page({item("s/c", "1", 4)}, 8));
        observed_.mirror.replace("s/", reading, now_);
        observed_.mirror.finish_reading({0, reading.revision}, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, observed_.items.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, observed_.mirror.version().revision);
        observed_.mirror.apply(page({removal("s/b", 8)}, 9), now_);
        CPPUNIT_ASSERT(observed_.items.count("s/b") == 0);
    }

    void has_the_content_of_the_store_whatever_comes_first()
    {
        for (std::uint32_t seed = 1; seed <= 3000; ++seed)
        {
            exchanging_mirrors hosts(seed);
            for (int i = 0; i < 150; ++i)
            {
                hosts.step();
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                "seed " + std::to_string(seed), std::string(), hosts.first_difference());
        }
    }
};

class a_store_that_returns_from_an_old_copy : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_store_that_returns_from_an_old_copy);
    CPPUNIT_TEST(does_not_take_back_newer_content);
    CPPUNIT_TEST(does_not_bring_back_what_was_removed);
    CPPUNIT_TEST(gives_out_revisions_again);
    CPPUNIT_TEST(loses_what_is_not_written_again_in_time);
    CPPUNIT_TEST(is_not_followed_into_an_older_era);
    CPPUNIT_TEST(may_return_twice_in_a_row);
    CPPUNIT_TEST(is_told_apart_by_a_host_that_has_read_only_the_copy);
    CPPUNIT_TEST(is_told_of_by_another_host);
    CPPUNIT_TEST(is_not_believed_in_an_impossible_era);
    CPPUNIT_TEST(shows_less_than_is_known);
    CPPUNIT_TEST_SUITE_END();

    const steady_time now_{1000000};
    const steady_time later_{1010000};
    observed_mirror observed_;

    static store_page
    page_of(std::int64_t era, std::vector<store_item> items, std::int64_t revision)
    {
        store_page result = page(std::move(items), revision);
        result.era = era;
        return result;
    }

    /// version 9 of a configuration and a draining target; another target has left
    void fill(observed_mirror& known) const
    {
        know_contents(known);
        known.mirror.apply(page_of(1,
                                   {item("config", "v8", 10),
                                    item("s/a", "a ready", 11),
                                    item("s/gone", "gone ready", 12)},
                                   12),
                           now_);
        known.mirror.apply(page_of(1,
                                   {item("config", "v9", 13),
                                    item("s/a", "a draining", 14),
                                    removal("s/gone", 15)},
                                   15),
                           now_);
    }

    static void know_contents(observed_mirror& known)
    {
        known.contents = {{"v8", {8, 0}},
                          {"v9", {9, 0}},
                          {"v10", {10, 0}},
                          {"a ready", {500, 3}},
                          {"a draining", {500, 7}},
                          {"a reborn", {900, 0}},
                          {"gone ready", {500, 4}},
                          {"gone alive", {500, 9}}};
    }

    /// what the store shows after its return: the state of revision 12
    void read_copy(observed_mirror& known, std::int64_t era, steady_time now) const
    {
        known.mirror.replace("config", page_of(era, {item("config", "v8", 10)}, 12), now);
        known.mirror.replace(
            "s/",
            page_of(
                era, {item("s/a", "a ready", 11), item("s/gone", "gone ready", 12)}, 12),
            now);
        known.mirror.apply(page_of(era, {}, 12), now);
    }

  public:
    void does_not_take_back_newer_content()
    {
        fill(observed_);
        read_copy(observed_, 2, now_);
        CPPUNIT_ASSERT_EQUAL(std::string("v9"), observed_.items["config"]);
        CPPUNIT_ASSERT_EQUAL(std::string("a draining"), observed_.items["s/a"]);

        // the operator writes again: first what it had written before
        observed_.mirror.apply(page_of(2, {item("config", "v9", 13)}, 13), now_);
        CPPUNIT_ASSERT_EQUAL(std::string("v9"), observed_.items["config"]);
        observed_.mirror.apply(
            page_of(2, {item("config", "v10", 14), item("s/a", "a reborn", 15)}, 15),
            now_);
        CPPUNIT_ASSERT_EQUAL(std::string("v10"), observed_.items["config"]);
        CPPUNIT_ASSERT_EQUAL(std::string("a reborn"), observed_.items["s/a"]);
    }

    void does_not_bring_back_what_was_removed()
    {
        fill(observed_);
        read_copy(observed_, 2, now_);
        CPPUNIT_ASSERT(observed_.items.count("s/gone") == 0);
        observed_.mirror.apply(page_of(2, {item("s/gone", "gone alive", 13)}, 13), now_);
        CPPUNIT_ASSERT(observed_.items.count("s/gone") == 1);
    }

    void gives_out_revisions_again()
    {
        fill(observed_);
        read_copy(observed_, 2, now_);
        CPPUNIT_ASSERT(observed_.mirror.version() == (store_version{2, 12}));
        // an item without an age of its content is taken as the new era shows it
        observed_.mirror.apply(page_of(2, {item("h/1", "x", 13)}, 13), now_);
        observed_.mirror.apply(page_of(2, {removal("h/1", 14)}, 14), later_);
        CPPUNIT_ASSERT(observed_.items.count("h/1") == 0);
    }

    void loses_what_is_not_written_again_in_time()
    {
        fill(observed_);
        observed_.mirror.apply(page_of(1, {item("s/new", "n", 16)}, 16), now_);
        read_copy(observed_, 2, now_);
        CPPUNIT_ASSERT(observed_.items.count("s/new") == 1);
        CPPUNIT_ASSERT(observed_.lapsed.count("s/new") == 1);
        CPPUNIT_ASSERT(observed_.lapsed["s/new"] >= now_ + millis(2000));
    }

    void is_not_followed_into_an_older_era()
    {
        fill(observed_);
        read_copy(observed_, 2, now_);
        observed_.mirror.apply(page_of(1, {item("config", "v10", 99)}, 99), now_);
        observed_.mirror.replace("s/", page_of(1, {}, 99), now_);
        CPPUNIT_ASSERT_EQUAL(std::string("v9"), observed_.items["config"]);
        CPPUNIT_ASSERT(observed_.items.count("s/a") == 1);
        CPPUNIT_ASSERT(observed_.mirror.version() == (store_version{2, 12}));
    }

    void may_return_twice_in_a_row()
    {
        fill(observed_);
        observed_.mirror.begin_era(2, now_);
        CPPUNIT_ASSERT(!observed_.mirror.is_filled());
        read_copy(observed_, 3, now_ + millis(300));
        CPPUNIT_ASSERT_EQUAL(std::string("v9"), observed_.items["config"]);
        CPPUNIT_ASSERT_EQUAL(std::string("a draining"), observed_.items["s/a"]);
        CPPUNIT_ASSERT(observed_.items.count("s/gone") == 0);
    }

    void is_told_apart_by_a_host_that_has_read_only_the_copy()
    {
        observed_mirror informed;
        fill(informed);
        read_copy(informed, 2, now_);
        know_contents(observed_);
        read_copy(observed_, 2, later_);
        CPPUNIT_ASSERT_EQUAL(std::string("v8"), observed_.items["config"]);
        CPPUNIT_ASSERT(observed_.items.count("s/gone") == 1);

        observed_.mirror.apply_delta(informed.mirror.delta_since({}, later_), later_);
        CPPUNIT_ASSERT_EQUAL(std::string("v9"), observed_.items["config"]);
        CPPUNIT_ASSERT_EQUAL(std::string("a draining"), observed_.items["s/a"]);
        CPPUNIT_ASSERT(observed_.items.count("s/gone") == 0);
    }

    void is_not_believed_in_an_impossible_era()
    {
        fill(observed_);
        observed_mirror malformed;
        know_contents(malformed);
        malformed.mirror.apply(page_of(INT64_MAX, {item("config", "v10", 1)}, 1), now_);
        observed_.mirror.apply_delta(malformed.mirror.delta_since({}, now_), now_);
        CPPUNIT_ASSERT(observed_.mirror.version() == (store_version{1, 15}));
        CPPUNIT_ASSERT_EQUAL(std::string("v9"), observed_.items["config"]);
    }

    void shows_less_than_is_known()
    {
        fill(observed_);
        CPPUNIT_ASSERT(!observed_.mirror.knows_more_than_store());
        // a removal within the era is in what the store shows
        observed_.mirror.apply(page_of(1, {removal("s/a", 30)}, 30), now_);
        CPPUNIT_ASSERT(!observed_.mirror.knows_more_than_store());
        // a starting host that has read the copy needs everything
        read_copy(observed_, 2, now_);
        CPPUNIT_ASSERT(observed_.mirror.knows_more_than_store());
    }

    void is_told_of_by_another_host()
    {
        fill(observed_);
        observed_mirror informed;
        fill(informed);
        read_copy(informed, 2, now_);
        informed.mirror.apply(page_of(2, {item("config", "v10", 13)}, 13), now_);
        const delta_result result = observed_.mirror.apply_delta(
            informed.mirror.delta_since(observed_.mirror.version(), now_), now_);
        CPPUNIT_ASSERT(result == delta_result::applied);
        CPPUNIT_ASSERT(observed_.mirror.version() == (store_version{2, 13}));
        CPPUNIT_ASSERT_EQUAL(std::string("v10"), observed_.items["config"]);
        CPPUNIT_ASSERT_EQUAL(std::string("a draining"), observed_.items["s/a"]);
        CPPUNIT_ASSERT(observed_.items.count("s/gone") == 0);

        // changes in between are not skipped
        observed_mirror ahead;
        know_contents(ahead);
        ahead.mirror.apply(page_of(2, {item("x", "1", 20)}, 20), now_);
        CPPUNIT_ASSERT(
            observed_.mirror.apply_delta(ahead.mirror.delta_since({2, 19}, now_), now_) ==
            delta_result::no_base);
        CPPUNIT_ASSERT(observed_.items.count("x") == 0);
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
CPPUNIT_TEST_SUITE_REGISTRATION(a_store_that_returns_from_an_old_copy);
CPPUNIT_TEST_SUITE_REGISTRATION(the_configuration);

} // namespace
