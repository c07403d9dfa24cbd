#include <medlar/detail/dispatch/target_table.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class a_target_table : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_target_table);
    CPPUNIT_TEST(gives_a_leaving_target_no_work_until_it_restarts);
    CPPUNIT_TEST(remembers_a_leaving_target_whose_entry_lapsed);
    CPPUNIT_TEST(remembers_a_leaving_process_after_an_entry_of_the_one_before);
    CPPUNIT_TEST(knows_that_an_entry_is_older_than_the_process);
    CPPUNIT_TEST(ties_what_a_process_has_said_to_that_process);
    CPPUNIT_TEST(gives_a_paused_target_no_work_until_its_pause_ends);
    CPPUNIT_TEST(cuts_an_absurd_pause);
    CPPUNIT_TEST(knows_when_the_first_target_of_a_pool_is_back);
    CPPUNIT_TEST(gives_targets_of_an_evacuated_domain_no_work);
    CPPUNIT_TEST_SUITE_END();

    const steady_time now_{1000000};
    const pool_id pool_{"p"};
    target_table table_;

    static target_record record(const std::string& id, std::int64_t started_ms = 5)
    {
        target_record made;
        made.id = target_id(id);
        made.pool = pool_id("p");
        made.address = {"127.0.0.1", 80};
        made.started_ms = started_ms;
        return made;
    }

  public:
    void gives_targets_of_an_evacuated_domain_no_work()
    {
        const failure_domain_id domain("d");
        const auto put = [&](const std::string& id, std::int64_t started_ms)
        {
            target_record made = record(id, started_ms);
            made.domain = domain;
            table_.put(made);
        };
        put("a", 5);
        CPPUNIT_ASSERT(!table_.is_evacuated(pool_));
        table_.set_evacuated(domain, true);
        CPPUNIT_ASSERT(table_.serving(pool_).empty());
        CPPUNIT_ASSERT(table_.is_evacuated(pool_));
        // neither a new target, nor a restart that the entry or an answer tells of
        put("b", 5);
        put("a", 6);
        table_.record_start(target_id("a"), 7);
        CPPUNIT_ASSERT(table_.serving(pool_).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table_.count_in(domain));
        table_.put(record("c"));
        CPPUNIT_ASSERT(!table_.is_evacuated(pool_));
        table_.set_evacuated(domain, false);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, table_.serving(pool_).size());
    }

    void gives_a_leaving_target_no_work_until_it_restarts()
    {
        table_.put(record("a"));
        CPPUNIT_ASSERT(table_.mark_leaving(target_id("a")));
        CPPUNIT_ASSERT(!table_.mark_leaving(target_id("a")));
        CPPUNIT_ASSERT(table_.serving(pool_).empty());
        // the store still shows it as ready
        table_.put(record("a"));
        CPPUNIT_ASSERT(table_.serving(pool_).empty());
        table_.put(record("a", 6));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table_.serving(pool_).size());
    }

    void remembers_a_leaving_target_whose_entry_lapsed()
    {
        table_.put(record("a"));
        table_.mark_leaving(target_id("a"));
        table_.remove(target_id("a"));
        table_.put(record("a"));
        CPPUNIT_ASSERT(table_.serving(pool_).empty());
        table_.remove(target_id("a"));
        table_.put(record("a", 6));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table_.serving(pool_).size());
    }

    void remembers_a_leaving_process_after_an_entry_of_the_one_before()
    {
        const target_id id("a");
        table_.put(record("a", 5));
        table_.record_start(id, 7);
        table_.mark_leaving(id);
        table_.put(record("a", 6));
        CPPUNIT_ASSERT(table_.serving(pool_).empty());
        table_.put(record("a", 7));
        CPPUNIT_ASSERT(table_.serving(pool_).empty());
        // the entry of an old copy of the store
        table_.remove(id);
        table_.put(record("a", 6));
        table_.put(record("a", 7));
        CPPUNIT_ASSERT(table_.serving(pool_).empty());
        table_.remove(id);
        table_.put(record("a", 6));
        table_.record_start(id, 7);
        CPPUNIT_ASSERT(table_.serving(pool_).empty());
        table_.put(record("a", 8));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table_.serving(pool_).size());
    }

    void knows_that_an_entry_is_older_than_the_process()
    {
        const target_id id("a");
        table_.put(record("a", 5));
        table_.record_start(id, 5);
        CPPUNIT_ASSERT(is_listed(*table_.find(id)));
        table_.record_start(id, 7);
        CPPUNIT_ASSERT(!is_listed(*table_.find(id)));
        // the same entry again, and that of a process in between
        table_.put(record("a", 5));
        CPPUNIT_ASSERT(!is_listed(*table_.find(id)));
        table_.put(record("a", 6));
        CPPUNIT_ASSERT(!is_listed(*table_.find(id)));
        // its clock may have been set back
        table_.record_start(id, 6);
        CPPUNIT_ASSERT(is_listed(*table_.find(id)));
        table_.record_start(id, 7);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, *table_.find(id)->answering_start);
        table_.put(record("a", 7));
        CPPUNIT_ASSERT(is_listed(*table_.find(id)));
        // an entry of before, from an old copy of the store
        table_.put(record("a", 6));
        CPPUNIT_ASSERT(!is_listed(*table_.find(id)));
        table_.put(record("a", 7));
        CPPUNIT_ASSERT(is_listed(*table_.find(id)));
        // an entry without a start tells nothing
        table_.put(record("a", 0));
        table_.record_start(id, 7);
        CPPUNIT_ASSERT(is_listed(*table_.find(id)));
    }

    void ties_what_a_process_has_said_to_that_process()
    {
        const target_id id("a");
        table_.put(record("a", 5));
        table_.mark_paused(id, millis(60000), millis(0), now_);
        table_.mark_leaving(id);
        table_.record_start(id, 7);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table_.serving(pool_).size());
        CPPUNIT_ASSERT(may_call(*table_.find(id), now_));
        // and not to the entry that was in force when it said it
        table_.mark_paused(id, millis(60000), millis(0), now_);
        table_.mark_leaving(id);
        CPPUNIT_ASSERT(!table_.put(record("a", 7)));
        CPPUNIT_ASSERT(table_.serving(pool_).empty());
        CPPUNIT_ASSERT(!may_call(*table_.find(id), now_ + millis(59999)));
    }

    void gives_a_paused_target_no_work_until_its_pause_ends()
    {
        table_.put(record("a"));
        CPPUNIT_ASSERT(
            table_.mark_paused(target_id("a"), millis(1500), millis(40), now_));
        const target_state& target = *table_.find(target_id("a"));
        CPPUNIT_ASSERT(!may_call(target, now_ + millis(1500)));
        CPPUNIT_ASSERT(may_call(target, now_ + millis(1540)));
        // a shorter pause does not end a longer one
        CPPUNIT_ASSERT(!table_.mark_paused(target_id("a"), millis(100), millis(0), now_));
        CPPUNIT_ASSERT(!may_call(target, now_ + millis(1500)));
    }

    void cuts_an_absurd_pause()
    {
        table_.put(record("a"));
        table_.mark_paused(target_id("a"), millis(1000000000000), millis(0), now_);
        CPPUNIT_ASSERT(may_call(*table_.find(target_id("a")), now_ + millis(600000)));
    }

    void knows_when_the_first_target_of_a_pool_is_back()
    {
        CPPUNIT_ASSERT(!table_.time_until_callable(pool_, now_));
        table_.put(record("a"));
        table_.put(record("b"));
        table_.mark_paused(target_id("a"), millis(3000), millis(0), now_);
        CPPUNIT_ASSERT(table_.time_until_callable(pool_, now_) == millis(0));
        table_.mark_paused(target_id("b"), millis(2000), millis(0), now_);
        CPPUNIT_ASSERT(table_.time_until_callable(pool_, now_) == millis(2000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_target_table);

} // namespace
