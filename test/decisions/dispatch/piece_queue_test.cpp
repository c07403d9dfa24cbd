#include <medlar/detail/dispatch/piece_queue.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>

namespace
{

using namespace medlar;

constexpr std::int64_t large_bytes = 3000000;
constexpr std::int64_t medium_bytes = 360000;

piece_rule rule()
{
    piece_rule rule;
    rule.slots = 1;
    rule.max_batch_size = 8;
    rule.call_ms = 150;
    rule.item_ms = 16;
    rule.result_memory = byte_count(36000000);
    rule.result_lifetime = millis(4000);
    return rule;
}

piece_target target(const std::string& name, const std::string& domain)
{
    return {target_id(name), {"127.0.0.1", 1}, failure_domain_id(domain)};
}

piece_job job(const std::string& name, int count, int priority, steady_time soft_deadline)
{
    piece_job job;
    job.attempt = attempt_id(name);
    for (int i = 0; i < count; ++i)
    {
        job.pieces.push_back(i);
    }
    job.priority = priority;
    job.soft_deadline = soft_deadline;
    job.deadline = soft_deadline + millis(10000);
    job.result_size = byte_count(8000);
    job.preferred_domain = failure_domain_id("a");
    return job;
}

std::vector<piece_result> successful_results(const piece_call& call)
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
    CPPUNIT_TEST(sends_jobs_by_priority_and_late_ones_last);
    CPPUNIT_TEST(limits_the_memory_of_results);
    CPPUNIT_TEST(counts_each_result_by_its_own_size);
    CPPUNIT_TEST(executes_pieces_with_large_results_where_they_are_read);
    CPPUNIT_TEST(transfers_very_large_results_only_from_an_overloaded_domain);
    CPPUNIT_TEST(reassigns_overdue_pieces_to_another_target);
    CPPUNIT_TEST(retries_a_refused_call);
    CPPUNIT_TEST(pauses_a_target_without_memory);
    CPPUNIT_TEST(fails_all_pieces_of_a_job_after_its_deadline);
    CPPUNIT_TEST(refuses_a_job_that_would_miss_its_deadline);
    CPPUNIT_TEST(returns_results_of_cancelled_jobs_without_a_job);
    CPPUNIT_TEST(sustains_a_burst_that_calls_of_single_requests_would_not);
    CPPUNIT_TEST_SUITE_END();

    const steady_time start_{1000000};
    piece_queue queue_{rule()};

  public:
    void puts_pieces_of_many_requests_into_one_call()
    {
        queue_.set_targets({target("t", "a")});
        queue_.add(job("x", 2, 1, start_ + millis(900)), start_);
        const job_id last = queue_.add(job("y", 3, 1, start_ + millis(900)), start_);
        CPPUNIT_ASSERT(queue_.contains(last));
        const auto call = queue_.next_call(start_);
        CPPUNIT_ASSERT(call);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, call->items.size());
        CPPUNIT_ASSERT(!queue_.next_call(start_));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{5},
            queue_.handle_results(call->id, successful_results(*call), start_).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue_.job_count());
        CPPUNIT_ASSERT(!queue_.contains(last));
    }

    void keeps_a_job_in_one_call()
    {
        queue_.set_targets({target("t", "a")});
        queue_.add(job("x", 6, 0, start_ + millis(900)), start_);
        queue_.add(job("y", 5, 1, start_ + millis(900)), start_);
        queue_.add(job("z", 2, 2, start_ + millis(900)), start_);
        const auto call = queue_.next_call(start_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, call->items.size());
        for (const piece_item& each : call->items)
        {
            CPPUNIT_ASSERT(each.attempt.get() != "y");
        }
    }

    void sends_jobs_by_priority_and_late_ones_last()
    {
        queue_.set_targets({target("t", "a")});
        queue_.add(job("late", 8, 0, start_ - millis(1)), start_);
        queue_.add(job("low", 8, 2, start_ + millis(900)), start_);
        queue_.add(job("high", 8, 0, start_ + millis(2000)), start_);
        std::vector<std::string> order;
        for (int i = 0; i < 3; ++i)
        {
            const auto call = queue_.next_call(start_);
            order.push_back(call->items.front().attempt.get());
            queue_.handle_results(call->id, successful_results(*call), start_);
        }
        CPPUNIT_ASSERT(order == (std::vector<std::string>{"high", "low", "late"}));
    }

    void limits_the_memory_of_results()
    {
        queue_.set_targets({target("t", "a")});
        piece_job first = job("x", 8, 0, start_ + millis(900));
        first.result_size = byte_count(large_bytes);
        piece_job second = first;
        second.attempt = attempt_id("y");
        queue_.add(first, start_);
        queue_.add(second, start_);
        const auto call = queue_.next_call(start_);
        const auto done =
            queue_.handle_results(call->id, successful_results(*call), start_);
        CPPUNIT_ASSERT_MESSAGE("8 results of 3 MB leave no memory for 8 more",
                               !queue_.next_call(start_));
        for (const finished_piece& each : done)
        {
            queue_.release_result(*each.result.handle, start_);
        }
        CPPUNIT_ASSERT(queue_.next_call(start_));
    }

    /// Sends the next call and handles its results.
    std::vector<finished_piece> execute_next()
    {
        const auto call = queue_.next_call(start_);
        CPPUNIT_ASSERT(call);
        return queue_.handle_results(call->id, successful_results(*call), start_);
    }

    void add_large(const std::string& name, int count)
    {
        piece_job added = job(name, count, 1, start_ + millis(900));
        added.result_size = byte_count(large_bytes);
        queue_.add(added, start_);
    }

    /// Small results stay stored while the large ones of the same call are freed.
    void counts_each_result_by_its_own_size()
    {
        queue_.set_targets({target("t", "a")});
        add_large("large", 6);
        queue_.add(job("small", 2, 1, start_ + millis(900)), start_);
        for (const finished_piece& each : execute_next())
        {
            if (each.result.handle->get().find("large") == 0)
            {
                queue_.release_result(*each.result.handle, start_);
            }
        }
        add_large("second", 8);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, execute_next().size());
        add_large("third", 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, execute_next().size());
    }

    piece_job job_with_transfer(const std::string& name, int count, std::int64_t bytes)
    {
        piece_job added = job(name, count, 0, start_ + millis(5000));
        added.result_size = byte_count(bytes);
        added.transfer_size = byte_count(bytes);
        return added;
    }

    std::string next_target(steady_time now)
    {
        const auto call = queue_.next_call(now);
        return call ? call->target.id.get() : std::string("none");
    }

    void executes_pieces_with_large_results_where_they_are_read()
    {
        const steady_time nearly_late = start_ + millis(4600);
        queue_.set_targets({target("far", "b"), target("near", "a")});
        queue_.add(job_with_transfer("x", 2, large_bytes), start_);
        CPPUNIT_ASSERT_EQUAL(std::string("near"), next_target(start_));

        // the near target is busy, and there is time to wait for it
        queue_.add(job_with_transfer("y", 2, medium_bytes), start_);
        CPPUNIT_ASSERT_EQUAL(std::string("none"), next_target(start_));

        // at the near target the job would be late, so it is sent to the far one
        CPPUNIT_ASSERT_EQUAL(std::string("far"), next_target(nearly_late));
    }

    void transfers_very_large_results_only_from_an_overloaded_domain()
    {
        const steady_time nearly_late = start_ + millis(4600);
        queue_.set_targets({target("far", "b"), target("near", "a")});
        queue_.add(job_with_transfer("x", 8, large_bytes), start_);
        CPPUNIT_ASSERT_EQUAL(std::string("near"), next_target(start_));
        for (const char* name : {"y", "z"})
        {
            queue_.add(job_with_transfer(name, 8, large_bytes), start_);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("none"), next_target(nearly_late));
        queue_.add(job_with_transfer("last", 8, large_bytes), start_);
        CPPUNIT_ASSERT_EQUAL(std::string("far"), next_target(nearly_late));
    }

    void reassigns_overdue_pieces_to_another_target()
    {
        queue_.set_targets({target("t", "a"), target("u", "a")});
        queue_.add(job("x", 2, 0, start_ + millis(900)), start_);
        const auto first = queue_.next_call(start_);
        queue_.handle_overdue(first->id, start_ + first->overdue_after);
        const auto second = queue_.next_call(start_ + first->overdue_after);
        CPPUNIT_ASSERT(second);
        CPPUNIT_ASSERT(second->target.id != first->target.id);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{2},
            queue_.handle_results(second->id, successful_results(*second), start_)
                .size());
        // the results of the slow call are returned without a job
        for (const auto& each :
             queue_.handle_results(first->id, successful_results(*first), start_))
        {
            CPPUNIT_ASSERT(each.job == job_id(0));
        }
    }

    void retries_a_refused_call()
    {
        queue_.set_targets({target("t", "a")});
        queue_.add(job("x", 2, 0, start_ + millis(900)), start_);
        const auto first = queue_.next_call(start_);
        queue_.handle_failure(first->id, start_, millis(100));
        CPPUNIT_ASSERT(!queue_.next_call(start_ + millis(99)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             queue_.next_call(start_ + millis(100))->items.size());
    }

    /// A new owner does not know which results a target stores already.
    void pauses_a_target_without_memory()
    {
        queue_.set_targets({target("t", "a")});
        queue_.add(job("x", 2, 0, start_ + millis(900)), start_);
        const auto first = queue_.next_call(start_);
        piece_result no_room;
        no_room.failure = piece_failure::no_result_memory;
        queue_.handle_results(first->id, {no_room, no_room}, start_ + millis(5));
        CPPUNIT_ASSERT(!queue_.next_call(start_ + millis(5)));
        CPPUNIT_ASSERT(queue_.next_call(start_ + millis(200)));
    }

    void fails_all_pieces_of_a_job_after_its_deadline()
    {
        const piece_job expiring = job("x", 3, 0, start_);
        queue_.add(expiring, start_);
        CPPUNIT_ASSERT(queue_.expire(expiring.deadline - millis(1)).empty());
        const auto failed = queue_.expire(expiring.deadline);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, failed.size());
        CPPUNIT_ASSERT(failed.front().result.failure == piece_failure::late);
    }

    void refuses_a_job_that_would_miss_its_deadline()
    {
        queue_.set_targets({target("t", "a")});
        for (int i = 0; i < 40; ++i)
        {
            queue_.add(job("x" + std::to_string(i), 8, 0, start_ + millis(900)), start_);
        }
        piece_job last = job("last", 8, 0, start_ + millis(900));
        last.deadline = start_ + millis(5000);
        const job_decision decision = queue_.evaluate(last, start_);
        CPPUNIT_ASSERT(!decision.accepted);
        CPPUNIT_ASSERT(decision.retry_after > millis(0));
        // a request with finished work is not refused
        last.is_refusable = false;
        CPPUNIT_ASSERT(queue_.evaluate(last, start_).accepted);
    }

    void returns_results_of_cancelled_jobs_without_a_job()
    {
        queue_.set_targets({target("t", "a")});
        const job_id id = queue_.add(job("x", 2, 0, start_ + millis(900)), start_);
        const auto call = queue_.next_call(start_);
        queue_.cancel(id);
        const auto results =
            queue_.handle_results(call->id, successful_results(*call), start_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, results.size());
        CPPUNIT_ASSERT(results.front().job == job_id(0));
    }

    /// 60 jobs of 2 pieces per second at four targets are 120 pieces per second; calls of
    /// single requests sustain 44, full calls 115.
    void sustains_a_burst_that_calls_of_single_requests_would_not()
    {
        queue_.set_targets(
            {target("t1", "a"), target("t2", "a"), target("t3", "a"), target("t4", "a")});
        std::map<std::int64_t, piece_call> running;
        int completed = 0;
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
                completed += static_cast<int>(
                    queue_.handle_results(call.id, successful_results(call), now).size());
                for (const piece_result& each : successful_results(call))
                {
                    queue_.release_result(*each.handle, start_);
                }
            }
            while (const auto call = queue_.next_call(now))
            {
                const auto call_ms =
                    150 + 16 * static_cast<std::int64_t>(call->items.size());
                std::int64_t key = (ms + call_ms) * 10;
                while (running.count(key) > 0)
                {
                    ++key;
                }
                running.emplace(key, *call);
            }
        }
        CPPUNIT_ASSERT_MESSAGE("pieces completed in 5 s: " + std::to_string(completed),
                               completed > 500);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_queue_of_pieces);

} // namespace
