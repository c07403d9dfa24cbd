#include <medlar/detail/dispatch/piece_queue.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>

namespace
{

using namespace medlar;

constexpr std::int64_t large = 3000000;
constexpr std::int64_t medium = 360000;

piece_rule rule()
{
    piece_rule made;
    made.slots = 1;
    made.batch = 8;
    made.call_ms = 150;
    made.item_ms = 16;
    made.room = byte_count(36000000);
    made.result_life = millis(4000);
    return made;
}

piece_target target(const std::string& name, const std::string& domain)
{
    return {target_id(name), {"127.0.0.1", 1}, failure_domain_id(domain)};
}

piece_job job(const std::string& name, int count, int priority, steady_time aim)
{
    piece_job made;
    made.attempt = attempt_id(name);
    for (int i = 0; i < count; ++i)
    {
        made.pieces.push_back(i);
    }
    made.priority = priority;
    made.aim = aim;
    made.deadline = aim + millis(10000);
    made.result_size = byte_count(8000);
    made.domain = failure_domain_id("a");
    return made;
}

std::vector<piece_result> all_made(const piece_call& call)
{
    std::vector<piece_result> results;
    for (const piece_item& each : call.items)
    {
        piece_result result;
        result.handle =
            result_handle(each.attempt.get() + "/" + std::to_string(each.piece));
        results.push_back(result);
    }
    return results;
}

class a_queue_of_pieces : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_queue_of_pieces);
    CPPUNIT_TEST(puts_pieces_of_many_requests_into_one_call);
    CPPUNIT_TEST(keeps_a_job_in_one_call);
    CPPUNIT_TEST(sends_urgent_jobs_first_and_late_ones_last);
    CPPUNIT_TEST(leaves_room_for_results);
    CPPUNIT_TEST(counts_each_result_by_its_own_size);
    CPPUNIT_TEST(makes_large_results_where_they_are_read);
    CPPUNIT_TEST(moves_very_large_results_only_from_a_crowded_domain);
    CPPUNIT_TEST(gives_overdue_pieces_to_another_target);
    CPPUNIT_TEST(tries_a_refused_call_again);
    CPPUNIT_TEST(waits_for_a_target_without_room);
    CPPUNIT_TEST(fails_all_pieces_of_a_job_whose_time_is_over);
    CPPUNIT_TEST(refuses_what_cannot_be_in_time);
    CPPUNIT_TEST(gives_back_results_of_dropped_jobs);
    CPPUNIT_TEST(carries_a_burst_that_calls_of_single_requests_would_not);
    CPPUNIT_TEST_SUITE_END();

    const steady_time start_{1000000};
    piece_queue queue_{rule()};

  public:
    void puts_pieces_of_many_requests_into_one_call()
    {
        queue_.set_targets({target("t", "a")});
        queue_.add(job("x", 2, 1, start_ + millis(900)), start_);
        const job_id last = queue_.add(job("y", 3, 1, start_ + millis(900)), start_);
        CPPUNIT_ASSERT(queue_.holds(last));
        const auto call = queue_.next(start_);
        CPPUNIT_ASSERT(call);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, call->items.size());
        CPPUNIT_ASSERT(!queue_.next(start_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{5},
                             queue_.answered(call->id, all_made(*call), start_).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue_.jobs());
        CPPUNIT_ASSERT(!queue_.holds(last));
    }

    void keeps_a_job_in_one_call()
    {
        queue_.set_targets({target("t", "a")});
        queue_.add(job("x", 6, 0, start_ + millis(900)), start_);
        queue_.add(job("y", 5, 1, start_ + millis(900)), start_);
        queue_.add(job("z", 2, 2, start_ + millis(900)), start_);
        const auto call = queue_.next(start_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, call->items.size());
        for (const piece_item& each : call->items)
        {
            CPPUNIT_ASSERT(each.attempt.get() != "y");
        }
    }

    void sends_urgent_jobs_first_and_late_ones_last()
    {
        queue_.set_targets({target("t", "a")});
        queue_.add(job("late", 8, 0, start_ - millis(1)), start_);
        queue_.add(job("low", 8, 2, start_ + millis(900)), start_);
        queue_.add(job("high", 8, 0, start_ + millis(2000)), start_);
        std::vector<std::string> order;
        for (int i = 0; i < 3; ++i)
        {
            const auto call = queue_.next(start_);
            order.push_back(call->items.front().attempt.get());
            queue_.answered(call->id, all_made(*call), start_);
        }
        CPPUNIT_ASSERT(order == (std::vector<std::string>{"high", "low", "late"}));
    }

    void leaves_room_for_results()
    {
        queue_.set_targets({target("t", "a")});
        piece_job first = job("x", 8, 0, start_ + millis(900));
        first.result_size = byte_count(large);
        piece_job second = first;
        second.attempt = attempt_id("y");
        queue_.add(first, start_);
        queue_.add(second, start_);
        const auto call = queue_.next(start_);
        const auto done = queue_.answered(call->id, all_made(*call), start_);
        CPPUNIT_ASSERT_MESSAGE("8 results of 3 MB leave no room for 8 more",
                               !queue_.next(start_));
        for (const finished_piece& each : done)
        {
            queue_.freed(*each.result.handle);
        }
        CPPUNIT_ASSERT(queue_.next(start_));
    }

    /// Sends what waits in one call and answers it.
    std::vector<finished_piece> make_all()
    {
        const auto call = queue_.next(start_);
        CPPUNIT_ASSERT(call);
        return queue_.answered(call->id, all_made(*call), start_);
    }

    void add_large(const std::string& name, int count)
    {
        piece_job added = job(name, count, 1, start_ + millis(900));
        added.result_size = byte_count(large);
        queue_.add(added, start_);
    }

    /// Small results stay while the large ones of the same call are read and freed.
    void counts_each_result_by_its_own_size()
    {
        queue_.set_targets({target("t", "a")});
        add_large("large", 6);
        queue_.add(job("small", 2, 1, start_ + millis(900)), start_);
        for (const finished_piece& each : make_all())
        {
            if (each.result.handle->get().find("large") == 0)
            {
                queue_.freed(*each.result.handle);
            }
        }
        add_large("second", 8);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, make_all().size());
        add_large("third", 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, make_all().size());
    }

    piece_job moving(const std::string& name, int count, std::int64_t bytes)
    {
        piece_job made = job(name, count, 0, start_ + millis(5000));
        made.result_size = byte_count(bytes);
        made.moved_size = byte_count(bytes);
        return made;
    }

    std::string next_target(steady_time now)
    {
        const auto call = queue_.next(now);
        return call ? call->target.id.get() : std::string("none");
    }

    void makes_large_results_where_they_are_read()
    {
        const steady_time nearly_late = start_ + millis(4600);
        queue_.set_targets({target("far", "b"), target("near", "a")});
        queue_.add(moving("x", 2, large), start_);
        CPPUNIT_ASSERT_EQUAL(std::string("near"), next_target(start_));

        // the near one is busy: there is time to wait for it
        queue_.add(moving("y", 2, medium), start_);
        CPPUNIT_ASSERT_EQUAL(std::string("none"), next_target(start_));

        // it would be late: the far one takes it
        CPPUNIT_ASSERT_EQUAL(std::string("far"), next_target(nearly_late));
    }

    void moves_very_large_results_only_from_a_crowded_domain()
    {
        const steady_time nearly_late = start_ + millis(4600);
        queue_.set_targets({target("far", "b"), target("near", "a")});
        queue_.add(moving("x", 8, large), start_);
        CPPUNIT_ASSERT_EQUAL(std::string("near"), next_target(start_));
        for (const char* name : {"y", "z"})
        {
            queue_.add(moving(name, 8, large), start_);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("none"), next_target(nearly_late));
        queue_.add(moving("last", 8, large), start_);
        CPPUNIT_ASSERT_EQUAL(std::string("far"), next_target(nearly_late));
    }

    void gives_overdue_pieces_to_another_target()
    {
        queue_.set_targets({target("t", "a"), target("u", "a")});
        queue_.add(job("x", 2, 0, start_ + millis(900)), start_);
        const auto first = queue_.next(start_);
        queue_.overdue(first->id, start_ + first->overdue_after);
        const auto second = queue_.next(start_ + first->overdue_after);
        CPPUNIT_ASSERT(second);
        CPPUNIT_ASSERT(second->target.id != first->target.id);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{2},
            queue_.answered(second->id, all_made(*second), start_).size());
        // the slow call's results belong to nobody
        for (const auto& each : queue_.answered(first->id, all_made(*first), start_))
        {
            CPPUNIT_ASSERT(each.job == job_id(0));
        }
    }

    void tries_a_refused_call_again()
    {
        queue_.set_targets({target("t", "a")});
        queue_.add(job("x", 2, 0, start_ + millis(900)), start_);
        const auto first = queue_.next(start_);
        queue_.failed(first->id, start_, millis(100));
        CPPUNIT_ASSERT(!queue_.next(start_ + millis(99)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             queue_.next(start_ + millis(100))->items.size());
    }

    /// an owner that has just begun does not know which results a target keeps
    void waits_for_a_target_without_room()
    {
        queue_.set_targets({target("t", "a")});
        queue_.add(job("x", 2, 0, start_ + millis(900)), start_);
        const auto first = queue_.next(start_);
        piece_result no_room;
        no_room.failure = piece_failure::no_room;
        queue_.answered(first->id, {no_room, no_room}, start_ + millis(5));
        CPPUNIT_ASSERT(!queue_.next(start_ + millis(5)));
        CPPUNIT_ASSERT(queue_.next(start_ + millis(200)));
    }

    void fails_all_pieces_of_a_job_whose_time_is_over()
    {
        const piece_job one = job("x", 3, 0, start_);
        queue_.add(one, start_);
        CPPUNIT_ASSERT(queue_.expire(one.deadline - millis(1)).empty());
        const auto failed = queue_.expire(one.deadline);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, failed.size());
        CPPUNIT_ASSERT(failed.front().result.failure == piece_failure::late);
    }

    void refuses_what_cannot_be_in_time()
    {
        queue_.set_targets({target("t", "a")});
        for (int i = 0; i < 40; ++i)
        {
            queue_.add(job("x" + std::to_string(i), 8, 0, start_ + millis(900)), start_);
        }
        piece_job last = job("last", 8, 0, start_ + millis(900));
        last.deadline = start_ + millis(5000);
        const job_verdict verdict = queue_.judge(last, start_);
        CPPUNIT_ASSERT(!verdict.accepted);
        CPPUNIT_ASSERT(verdict.retry_after > millis(0));
        // work that was done for the request already is not thrown away
        last.is_first = false;
        CPPUNIT_ASSERT(queue_.judge(last, start_).accepted);
    }

    void gives_back_results_of_dropped_jobs()
    {
        queue_.set_targets({target("t", "a")});
        const job_id id = queue_.add(job("x", 2, 0, start_ + millis(900)), start_);
        const auto call = queue_.next(start_);
        queue_.cancel(id);
        const auto results = queue_.answered(call->id, all_made(*call), start_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, results.size());
        CPPUNIT_ASSERT(results.front().job == job_id(0));
    }

    /// 60 jobs of 2 pieces a second at four targets: 120 pieces a second, where calls of
    /// single requests carry 44 and full calls 115
    void carries_a_burst_that_calls_of_single_requests_would_not()
    {
        queue_.set_targets(
            {target("t1", "a"), target("t2", "a"), target("t3", "a"), target("t4", "a")});
        std::map<std::int64_t, piece_call> running;
        int made = 0;
        for (std::int64_t ms = 0; ms < 5000; ++ms)
        {
            const steady_time now = start_ + millis(ms);
            if (ms % 17 == 0)
            {
                queue_.add(job(std::to_string(ms), 2, 1, now + millis(1300)), now);
            }
            while (!running.empty() && running.begin()->first <= ms * 10 + 9)
            {
                const piece_call call = running.begin()->second;
                running.erase(running.begin());
                made += static_cast<int>(
                    queue_.answered(call.id, all_made(call), now).size());
                for (const piece_result& each : all_made(call))
                {
                    queue_.freed(*each.handle);
                }
            }
            while (const auto call = queue_.next(now))
            {
                const auto took =
                    150 + 16 * static_cast<std::int64_t>(call->items.size());
                std::int64_t key = (ms + took) * 10;
                while (running.count(key) > 0)
                {
                    ++key;
                }
                running.emplace(key, *call);
            }
        }
        CPPUNIT_ASSERT_MESSAGE("pieces made in 5 s: " + std::to_string(made), made > 500);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_queue_of_pieces);

} // namespace
