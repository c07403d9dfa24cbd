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
    target_record record;
    record.id = target_id(name);
    record.pool = pool_id("p");
    record.domain = failure_domain_id(domain);
    record.slots = 6;
    record.address = {"127.0.0.1", 1};
    return record;
}

target_choice_input input_for(target_table& table)
{
    target_choice_input input;
    input.candidates = table.serving(pool_id("p"));
    input.local_domain = failure_domain_id("a");
    input.now = now;
    return input;
}

class the_choice_of_a_target : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_choice_of_a_target);
    CPPUNIT_TEST(takes_the_least_busy_and_then_one_of_its_own_domain);
    CPPUNIT_TEST(skips_targets_that_were_tried_or_are_full_or_draining);
    CPPUNIT_TEST(sends_the_same_prompt_to_the_same_engine);
    CPPUNIT_TEST(spreads_a_hot_prompt);
    CPPUNIT_TEST(ejects_a_failing_target_but_not_half_of_them);
    CPPUNIT_TEST(resets_a_target_that_restarted);
    CPPUNIT_TEST(keeps_an_expiring_target_for_a_while);
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

    void takes_the_least_busy_and_then_one_of_its_own_domain()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("t1"),
            choose_least_busy(input_for(table_), random_)->record.id.get());
        table_.find(target_id("t1"))->in_flight = 1;
        CPPUNIT_ASSERT(choose_least_busy(input_for(table_), random_)->record.id !=
                       target_id("t1"));
    }

    void skips_targets_that_were_tried_or_are_full_or_draining()
    {
        table_.find(target_id("t1"))->refused_until = now + millis(1);
        table_.find(target_id("t2"))->record.is_draining = true;
        target_choice_input input = input_for(table_);
        input.tried = {target_id("t3")};
        CPPUNIT_ASSERT_EQUAL(std::string("t4"),
                             choose_least_busy(input, random_)->record.id.get());
        input.tried.push_back(target_id("t4"));
        CPPUNIT_ASSERT(choose_least_busy(input, random_) == nullptr);
    }

    void sends_the_same_prompt_to_the_same_engine()
    {
        random_source other(99);
        for (std::uint64_t prefix = 0; prefix < 50; ++prefix)
        {
            target_choice_input input = input_for(table_);
            input.prefix = prefix;
            CPPUNIT_ASSERT(choose_engine(input, random_) == choose_engine(input, other));
        }
    }

    void spreads_a_hot_prompt()
    {
        target_choice_input input = input_for(table_);
        input.prefix = 42;
        std::map<target_id, int> counts;
        for (int i = 0; i < 80; ++i)
        {
            target_state* const chosen = choose_engine(input, random_);
            ++chosen->in_flight;
            ++counts[chosen->record.id];
        }
        CPPUNIT_ASSERT(counts.size() >= 3);
        for (const auto& each : counts)
        {
            // at most 1.5 times the mean of 20, plus the slack of 2
            CPPUNIT_ASSERT(each.second <= 32);
        }
    }

    void ejects_a_failing_target_but_not_half_of_them()
    {
        for (const char* name : {"t1", "t2", "t3", "t4"})
        {
            for (int i = 0; i < 5; ++i)
            {
                record_call(*table_.find(target_id(name)),
                            {call_result::failed, 1},
                            table_.serving(pool_id("p")),
                            now);
            }
        }
        int callable = 0;
        for (const target_state* each : table_.serving(pool_id("p")))
        {
            callable += may_call(*each, now) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(2, callable);
    }

    void resets_a_target_that_restarted()
    {
        table_.find(target_id("t1"))->in_flight = 5;
        CPPUNIT_ASSERT(!table_.put(record("t1", "a")));
        CPPUNIT_ASSERT_EQUAL(5, table_.find(target_id("t1"))->in_flight);
        target_record restarted = record("t1", "a");
        restarted.started_ms = 17;
        CPPUNIT_ASSERT(table_.put(restarted));
        CPPUNIT_ASSERT_EQUAL(0, table_.find(target_id("t1"))->in_flight);
    }

    void keeps_an_expiring_target_for_a_while()
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
    CPPUNIT_TEST(changes_only_if_it_is_removed);
    CPPUNIT_TEST(is_more_often_a_host_with_a_larger_cpu_share);
    CPPUNIT_TEST(is_a_small_host_only_as_a_last_resort);
    CPPUNIT_TEST(has_as_many_targets_as_the_fastest_link_carries);
    CPPUNIT_TEST(serves_a_whole_small_pool_or_one_domain_of_a_large_one);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<peer_host> hosts(int count)
    {
        std::vector<peer_host> hosts;
        for (int i = 0; i < count; ++i)
        {
            peer_host host;
            host.id = host_id("host-" + std::to_string(i));
            hosts.push_back(host);
        }
        return hosts;
    }

    static piece_group group(int number)
    {
        return {pool_id("p" + std::to_string(number)), ""};
    }

  public:
    void is_the_same_on_every_host()
    {
        std::vector<peer_host> peers = hosts(8);
        const auto forward = rank_owners(group(1), peers);
        std::reverse(peers.begin(), peers.end());
        CPPUNIT_ASSERT(forward == rank_owners(group(1), peers));
    }

    void changes_only_if_it_is_removed()
    {
        const std::vector<peer_host> all = hosts(8);
        const std::vector<peer_host> fewer(all.begin(), all.end() - 1);
        for (int i = 0; i < 50; ++i)
        {
            const host_id before = rank_owners(group(i), all).front();
            if (before != all.back().id)
            {
                CPPUNIT_ASSERT(before == rank_owners(group(i), fewer).front());
            }
        }
    }

    void is_more_often_a_host_with_a_larger_cpu_share()
    {
        std::vector<peer_host> peers = hosts(4);
        peers[0].cpu_share = 0.5;
        peers[1].cpu_share = peers[2].cpu_share = peers[3].cpu_share = 0.125;
        int owned = 0;
        for (int i = 0; i < 400; ++i)
        {
            owned += rank_owners(group(i), peers).front() == peers[0].id ? 1 : 0;
        }
        CPPUNIT_ASSERT(owned > 180 && owned < 280);
    }

    /// Two of 20 hosts have 20 times the link rate and four times the CPU share of the
    /// others.
    void is_a_small_host_only_as_a_last_resort()
    {
        std::vector<peer_host> peers = hosts(20);
        for (std::size_t i = 2; i < peers.size(); ++i)
        {
            peers[i].cpu_share = 0.125;
            peers[i].link_mbps = 10;
        }
        peers[0].cpu_share = peers[1].cpu_share = 0.5;
        peers[0].link_mbps = peers[1].link_mbps = 200;
        for (int i = 0; i < 400; ++i)
        {
            const host_id owner = rank_owners(group(i), peers).front();
            CPPUNIT_ASSERT(owner == peers[0].id || owner == peers[1].id);
        }
        const std::vector<peer_host> small(peers.begin() + 2, peers.end());
        CPPUNIT_ASSERT_EQUAL(small.size(), rank_owners(group(1), small).size());
    }

    void serves_a_whole_small_pool_or_one_domain_of_a_large_one()
    {
        const failure_domain_id a("a");
        const failure_domain_id b("b");
        const pool_id pool("p");
        std::vector<failure_domain_id> many(20, a);
        CPPUNIT_ASSERT(select_group(pool, a, many, 20).domain.empty());
        many.resize(40, b);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), select_group(pool, b, many, 32).domain);
        CPPUNIT_ASSERT_EQUAL(std::string("a"),
                             select_group(pool, failure_domain_id("c"), many, 32).domain);
        // an evacuated domain is spread over the others, by the number of their targets
        std::map<std::string, int> chosen;
        for (std::uint64_t key = 0; key < many.size(); ++key)
        {
            ++chosen[select_group(pool, failure_domain_id("c"), many, 32, key).domain];
        }
        CPPUNIT_ASSERT_EQUAL(20, chosen["a"]);
        CPPUNIT_ASSERT_EQUAL(20, chosen["b"]);
    }

    void has_as_many_targets_as_the_fastest_link_carries()
    {
        std::vector<peer_host> peers = hosts(3);
        for (peer_host& each : peers)
        {
            each.link_mbps = 10;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, max_targets_per_group(peers));
        peers[1].link_mbps = 200;
        CPPUNIT_ASSERT_EQUAL(std::size_t{32}, max_targets_per_group(peers));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_choice_of_a_target);
CPPUNIT_TEST_SUITE_REGISTRATION(the_owner_of_a_group);

} // namespace
