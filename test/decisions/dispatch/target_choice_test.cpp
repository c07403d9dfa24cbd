#include <medlar/detail/dispatch/piece_owner.hpp>
#include <medlar/detail/dispatch/target_choice.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace
{

using namespace medlar;

const steady_time now{1000000};

target_record record(const std::string& name, const std::string& domain)
{
    target_record made;
    made.id = target_id(name);
    made.pool = pool_id("p");
    made.domain = failure_domain_id(domain);
    made.slots = 6;
    made.where = {"127.0.0.1", 1};
    return made;
}

choice_question question(target_table& table)
{
    choice_question asked;
    asked.serving = table.serving(pool_id("p"));
    asked.own_domain = failure_domain_id("a");
    asked.now = now;
    return asked;
}

class the_choice_of_a_target : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_choice_of_a_target);
    CPPUNIT_TEST(takes_the_least_busy_and_then_the_near_one);
    CPPUNIT_TEST(passes_over_targets_that_were_tried_or_are_full_or_leave);
    CPPUNIT_TEST(sends_the_same_prompt_to_the_same_engine);
    CPPUNIT_TEST(spreads_a_hot_prompt);
    CPPUNIT_TEST(ejects_a_failing_target_but_not_half_of_them);
    CPPUNIT_TEST(takes_a_target_that_started_again_as_a_new_one);
    CPPUNIT_TEST(keeps_a_lapsed_target_for_a_while);
    CPPUNIT_TEST_SUITE_END();

    target_table table_;
    random_source random_{7};

  public:
    void setUp() override
    {
        table_.put(record("t1", "a"));
        table_.put(record("t2", "b"));
        table_.put(record("t3", "b"));
        table_.put(record("t4", "b"));
    }

    void takes_the_least_busy_and_then_the_near_one()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("t1"),
                             choose_plain(question(table_), random_)->record.id.get());
        table_.find(target_id("t1"))->in_flight = 1;
        CPPUNIT_ASSERT(choose_plain(question(table_), random_)->record.id !=
                       target_id("t1"));
    }

    void passes_over_targets_that_were_tried_or_are_full_or_leave()
    {
        table_.find(target_id("t1"))->refused_until = now + millis(1);
        table_.find(target_id("t2"))->record.is_draining = true;
        choice_question asked = question(table_);
        asked.tried = {target_id("t3")};
        CPPUNIT_ASSERT_EQUAL(std::string("t4"),
                             choose_plain(asked, random_)->record.id.get());
        asked.tried.push_back(target_id("t4"));
        CPPUNIT_ASSERT(choose_plain(asked, random_) == nullptr);
    }

    void sends_the_same_prompt_to_the_same_engine()
    {
        random_source other(99);
        for (std::uint64_t prefix = 0; prefix < 50; ++prefix)
        {
            choice_question asked = question(table_);
            asked.prefix = prefix;
            CPPUNIT_ASSERT(choose_engine(asked, random_) == choose_engine(asked, other));
        }
    }

    void spreads_a_hot_prompt()
    {
        choice_question asked = question(table_);
        asked.prefix = 42;
        std::map<target_id, int> counts;
        for (int i = 0; i < 80; ++i)
        {
            target_state* const chosen = choose_engine(asked, random_);
            ++chosen->in_flight;
            ++counts[chosen->record.id];
        }
        CPPUNIT_ASSERT(counts.size() >= 3);
        for (const auto& each : counts)
        {
            // 20 on the mean, and never more than half as many again and two
            CPPUNIT_ASSERT(each.second <= 32);
        }
    }

    void ejects_a_failing_target_but_not_half_of_them()
    {
        for (const char* name : {"t1", "t2", "t3", "t4"})
        {
            for (int i = 0; i < 5; ++i)
            {
                note_call(*table_.find(target_id(name)),
                          {call_result::failed, 1},
                          table_.serving(pool_id("p")),
                          now);
            }
        }
        int usable = 0;
        for (const target_state* each : table_.serving(pool_id("p")))
        {
            usable += may_call(*each, now) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(2, usable);
    }

    void takes_a_target_that_started_again_as_a_new_one()
    {
        table_.find(target_id("t1"))->in_flight = 5;
        CPPUNIT_ASSERT(!table_.put(record("t1", "a")));
        CPPUNIT_ASSERT_EQUAL(5, table_.find(target_id("t1"))->in_flight);
        target_record again = record("t1", "a");
        again.started_ms = 17;
        CPPUNIT_ASSERT(table_.put(again));
        CPPUNIT_ASSERT_EQUAL(0, table_.find(target_id("t1"))->in_flight);
    }

    void keeps_a_lapsed_target_for_a_while()
    {
        table_.mark_lapsed(target_id("t1"), now + millis(10));
        table_.mark_lapsed(target_id("t2"), now + millis(10));
        table_.drop_lapsed(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, table_.all().size());
        table_.put(record("t1", "a"));
        table_.drop_lapsed(now + millis(10));
        CPPUNIT_ASSERT(table_.find(target_id("t1")) != nullptr);
        CPPUNIT_ASSERT(table_.find(target_id("t2")) == nullptr);
    }
};

class the_owner_of_a_group : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_owner_of_a_group);
    CPPUNIT_TEST(is_the_same_on_every_host);
    CPPUNIT_TEST(changes_only_where_a_host_is_lost);
    CPPUNIT_TEST(is_more_often_a_host_with_more_of_a_core);
    CPPUNIT_TEST(is_a_small_host_only_where_no_other_is_left);
    CPPUNIT_TEST(has_as_many_targets_as_the_fastest_link_carries);
    CPPUNIT_TEST(serves_a_small_pool_alone_and_a_part_of_a_large_one);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<peer_host> hosts(int count)
    {
        std::vector<peer_host> made;
        for (int i = 0; i < count; ++i)
        {
            peer_host host;
            host.id = host_id("host-" + std::to_string(i));
            made.push_back(host);
        }
        return made;
    }

    static piece_group group(int number)
    {
        return {pool_id("p" + std::to_string(number)), ""};
    }

  public:
    void is_the_same_on_every_host()
    {
        std::vector<peer_host> known = hosts(8);
        const auto forward = owners_of(group(1), known);
        std::reverse(known.begin(), known.end());
        CPPUNIT_ASSERT(forward == owners_of(group(1), known));
    }

    void changes_only_where_a_host_is_lost()
    {
        const std::vector<peer_host> all = hosts(8);
        const std::vector<peer_host> fewer(all.begin(), all.end() - 1);
        for (int i = 0; i < 50; ++i)
        {
            const host_id before = owners_of(group(i), all).front();
            if (before != all.back().id)
            {
                CPPUNIT_ASSERT(before == owners_of(group(i), fewer).front());
            }
        }
    }

    void is_more_often_a_host_with_more_of_a_core()
    {
        std::vector<peer_host> known = hosts(4);
        known[0].share = 0.5;
        known[1].share = known[2].share = known[3].share = 0.125;
        int large = 0;
        for (int i = 0; i < 400; ++i)
        {
            large += owners_of(group(i), known).front() == known[0].id ? 1 : 0;
        }
        CPPUNIT_ASSERT(large > 180 && large < 280);
    }

    /// Two of 20 hosts have 20 times the link and four times the core of the others.
    void is_a_small_host_only_where_no_other_is_left()
    {
        std::vector<peer_host> known = hosts(20);
        for (std::size_t i = 2; i < known.size(); ++i)
        {
            known[i].share = 0.125;
            known[i].link_mbps = 10;
        }
        known[0].share = known[1].share = 0.5;
        known[0].link_mbps = known[1].link_mbps = 200;
        for (int i = 0; i < 400; ++i)
        {
            const host_id owner = owners_of(group(i), known).front();
            CPPUNIT_ASSERT(owner == known[0].id || owner == known[1].id);
        }
        const std::vector<peer_host> small(known.begin() + 2, known.end());
        CPPUNIT_ASSERT_EQUAL(small.size(), owners_of(group(1), small).size());
    }

    void serves_a_small_pool_alone_and_a_part_of_a_large_one()
    {
        const failure_domain_id a("a");
        const failure_domain_id b("b");
        const pool_id pool("p");
        std::vector<failure_domain_id> many(20, a);
        CPPUNIT_ASSERT(group_for(pool, a, many, 20).domain.empty());
        many.resize(40, b);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), group_for(pool, b, many, 32).domain);
        CPPUNIT_ASSERT_EQUAL(std::string("a"),
                             group_for(pool, failure_domain_id("c"), many, 32).domain);
    }

    void has_as_many_targets_as_the_fastest_link_carries()
    {
        std::vector<peer_host> known = hosts(3);
        for (peer_host& each : known)
        {
            each.link_mbps = 10;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, targets_of_a_group(known));
        known[1].link_mbps = 200;
        CPPUNIT_ASSERT_EQUAL(std::size_t{32}, targets_of_a_group(known));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_choice_of_a_target);
CPPUNIT_TEST_SUITE_REGISTRATION(the_owner_of_a_group);

} // namespace
