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
    CPPUNIT_TEST(is_not_leaving_since_the_process_before_says_so_late);
    CPPUNIT_TEST(keeps_the_marks_of_two_processes);
    CPPUNIT_TEST(marks_an_unlisted_process_if_the_call_may_have_reached_it);
    CPPUNIT_TEST(counts_the_calls_of_each_process);
    CPPUNIT_TEST(keeps_its_health_apart_from_that_of_the_process_before);
    CPPUNIT_TEST(knows_which_process_a_call_has_reached);
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
        CPPUNIT_ASSERT(table_.mark_leaving({target_id("a"), 5}));
        CPPUNIT_ASSERT(!table_.mark_leaving({target_id("a"), 5}));
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
        table_.mark_leaving({target_id("a"), 5});
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
        table_.mark_leaving({id, 7});
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
        table_.mark_leaving({id, 5});
        table_.record_start(id, 7);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table_.serving(pool_).size());
        CPPUNIT_ASSERT(may_call(*table_.find(id), now_));
        // and not to the entry that was in force when it said it
        table_.mark_paused(id, millis(60000), millis(0), now_);
        table_.mark_leaving({id, 7});
        CPPUNIT_ASSERT(!table_.put(record("a", 7)));
        CPPUNIT_ASSERT(table_.serving(pool_).empty());
        CPPUNIT_ASSERT(!may_call(*table_.find(id), now_ + millis(59999)));
    }

    void is_not_leaving_since_the_process_before_says_so_late()
    {
        const target_id id("a");
        table_.put(record("a", 5));
        table_.put(record("a", 6));
        CPPUNIT_ASSERT(!table_.mark_leaving({id, 5}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table_.serving(pool_).size());
        CPPUNIT_ASSERT(table_.mark_leaving({id, 6}));
        CPPUNIT_ASSERT(table_.serving(pool_).empty());
    }

    /// Guards against a mark that is lost to that of another process (DRAIN).
    void keeps_the_marks_of_two_processes()
    {
        const target_id id("a");
        table_.put(record("a", 5));
        table_.record_start(id, 7);
        table_.mark_leaving({id, 7});
        table_.mark_leaving({id, 5});
        table_.remove(id);
        table_.put(record("a", 7));
        CPPUNIT_ASSERT(table_.serving(pool_).empty());
        table_.remove(id);
        table_.put(record("a", 5));
        table_.record_start(id, 7);
        CPPUNIT_ASSERT(table_.serving(pool_).empty());
        // a connection to the process of the entry is still open
        table_.record_start(id, 5);
        table_.record_start(id, 7);
        CPPUNIT_ASSERT(table_.serving(pool_).empty());
    }

    void marks_an_unlisted_process_if_the_call_may_have_reached_it()
    {
        const target_id id("a");
        const process_start listed{id, 5};
        table_.put(record("a", 5));
        CPPUNIT_ASSERT(table_.leaving_process(listed, false) == listed);
        table_.record_start(id, 7);
        CPPUNIT_ASSERT(table_.leaving_process(listed, true) == listed);
        CPPUNIT_ASSERT(table_.leaving_process(listed, false) == (process_start{id, 7}));
        table_.put(record("a", 7));
        CPPUNIT_ASSERT(table_.leaving_process(listed, false) == listed);
    }

    /// Guards against a target that looks busy, or idle, for the calls of the process
    /// before.
    void counts_the_calls_of_each_process()
    {
        const target_id id("a");
        const auto in_flight = [&]
        {
            return table_.find(id)->in_flight;
        };
        table_.put(record("a", 5));
        table_.begin_call({id, 5});
        table_.begin_call({id, 5});
        table_.record_start(id, 6);
        CPPUNIT_ASSERT_EQUAL(0, in_flight());
        table_.begin_call({id, 6});
        table_.end_call({id, 5});
        CPPUNIT_ASSERT_EQUAL(1, in_flight());
        // the calls go on while the entry is away, or that of the process before is back
        table_.remove(id);
        table_.put(record("a", 5));
        CPPUNIT_ASSERT_EQUAL(1, in_flight());
        table_.record_start(id, 6);
        CPPUNIT_ASSERT_EQUAL(1, in_flight());
        table_.end_call({id, 6});
        table_.end_call({id, 6});
        CPPUNIT_ASSERT_EQUAL(0, in_flight());
    }

    void keeps_its_health_apart_from_that_of_the_process_before()
    {
        const target_id id("a");
        table_.put(record("a", 5));
        CPPUNIT_ASSERT(table_.find_process({id, 5}) == table_.find(id));
        table_.record_start(id, 6);
        CPPUNIT_ASSERT(table_.find_process({id, 5}) == nullptr);
        target_state& target = *table_.find_process({id, 6});
        target.health = start_probe(eject(target.health, now_));
        // nothing would end the probe of the other process
        table_.record_start(id, 5);
        CPPUNIT_ASSERT(table_.find(id)->health.state == health_state::healthy);
    }

    void knows_which_process_a_call_has_reached()
    {
        const target_id id("a");
        const process_start expected{id, 5};
        table_.put(record("a", 5));
        const auto reached = [&](std::optional<std::int64_t> stated_ms, bool is_new)
        {
            return table_.process_reached(expected, stated_ms, is_new).started_ms;
        };
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, reached(std::nullopt, true));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, reached(4, false));
        // its clock was set back: it is the one that answers
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, reached(4, true));
        table_.record_start(id, 7);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, reached(7, true));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, reached(std::nullopt, true));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{6}, reached(6, false));
        // an entry without a start tells nothing of processes
        table_.put(record("a", 0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, reached(7, true));
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
