#include <medlar/detail/dispatch/refusal_tolerance.hpp>
#include <medlar/detail/dispatch/target_table.hpp>
#include <medlar/detail/policy/random_source.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <vector>

namespace
{

using namespace medlar;

constexpr double limit = 3;
constexpr millis second{1000};

/// Hosts in front of three targets that run two requests of 200 ms at once and tolerate
/// three refusals a second. Host 0 counts. Messages between hosts take some time; a
/// request is tried at two targets at most.
class simulated_load
{
  public:
    struct parameters
    {
        std::size_t hosts = 5;
        /// mean time between requests
        millis interval{15};
        bool is_even = false;
        millis latency{2};
        /// hosts up to this one hear no rulings and get no permits
        std::size_t cut_off = 0;
    };

    explicit simulated_load(const parameters& given)
        : given_(given), hosts_(given.hosts), random_(7)
    {
    }

    void run(millis span)
    {
        double at_ms = 0;
        for (std::size_t i = 0; at_ms < static_cast<double>(span.count()); ++i)
        {
            const millis at(std::llround(at_ms));
            after(at,
                  [this, i]
                  {
                      send(i % hosts_.size(), targets_.size());
                  });
            const auto mean = static_cast<double>(given_.interval.count());
            at_ms += given_.is_even ? mean : -mean * std::log(1 - random_.fraction());
            ++requests;
        }
        while (!events_.empty())
        {
            const auto next = events_.begin();
            now_ = next->first;
            const std::function<void()> action = next->second;
            events_.erase(next);
            action();
        }
    }

    int requests = 0;
    int served = 0;
    /// times that a target refused more than it tolerates
    int falls = 0;
    int refusals = 0;

  private:
    struct target
    {
        int running = 0;
        std::vector<steady_time> refused;
    };

    struct host
    {
        std::map<std::size_t, refusal_tolerance> known;
        std::map<std::size_t, steady_time> limited_until;
        std::map<std::size_t, int> in_flight;
    };

    void after(millis delay, std::function<void()> action)
    {
        events_.emplace(now_ + delay, std::move(action));
    }

    bool is_cut_off(std::size_t which) const
    {
        return which != 0 && which <= given_.cut_off;
    }

    void send(std::size_t from, std::size_t tried)
    {
        host& self = hosts_[from];
        std::size_t best = targets_.size();
        const std::size_t first = random_.below(targets_.size());
        for (std::size_t i = 0; i < targets_.size(); ++i)
        {
            const std::size_t each = (first + i) % targets_.size();
            const bool is_paused =
                now_ < self.known[each].paused_until() || now_ < self.limited_until[each];
            if (each != tried && !is_paused &&
                (best == targets_.size() || self.in_flight[each] < self.in_flight[best]))
            {
                best = each;
            }
        }
        if (best == targets_.size())
        {
            return;
        }
        if (now_ < self.known[best].permits_needed_until() && !is_cut_off(from))
        {
            ask(from, best, tried);
            return;
        }
        call(from, best, tried);
    }

    void ask(std::size_t from, std::size_t to, std::size_t tried)
    {
        after(given_.latency,
              [this, from, to, tried]
              {
                  const refusal_permit got = hosts_[0].known[to].issue(limit, now_);
                  after(given_.latency,
                        [this, from, to, tried, got]
                        {
                            hosts_[from].known[to].set_permits_needed(got.needed, now_);
                            if (got.is_granted)
                            {
                                call(from, to, tried);
                                return;
                            }
                            hosts_[from].limited_until[to] = now_ + got.wait;
                            send(from, tried);
                        });
              });
    }

    void call(std::size_t from, std::size_t to, std::size_t tried)
    {
        constexpr millis work_time{200};
        target& called = targets_[to];
        if (called.running >= 2)
        {
            count(called);
            tell(from, to);
            if (tried == targets_.size())
            {
                send(from, to);
            }
            return;
        }
        ++called.running;
        ++hosts_[from].in_flight[to];
        after(work_time,
              [this, from, to]
              {
                  --targets_[to].running;
                  --hosts_[from].in_flight[to];
                  ++served;
              });
    }

    void count(target& by)
    {
        ++refusals;
        by.refused.push_back(now_);
        by.refused.erase(std::remove_if(by.refused.begin(),
                                        by.refused.end(),
                                        [this](steady_time each)
                                        {
                                            return now_ - each > second;
                                        }),
                         by.refused.end());
        if (by.refused.size() > limit)
        {
            ++falls;
            by.refused.clear();
        }
    }

    void tell(std::size_t from, std::size_t about)
    {
        const std::uint64_t id = random_.next();
        for (std::size_t i = 0; i < hosts_.size(); ++i)
        {
            after(i == from ? millis(0) : given_.latency,
                  [this, i, id, about]
                  {
                      refusal_tolerance& known = hosts_[i].known[about];
                      known.record(id, pause_after_refusal(limit), now_);
                      if (i == 0)
                      {
                          rule(id, about, known.rule(limit, now_));
                      }
                  });
        }
    }

    void rule(std::uint64_t id, std::size_t about, const refusal_ruling& ruling)
    {
        for (std::size_t i = 0; i < hosts_.size(); ++i)
        {
            if (!is_cut_off(i))
            {
                after(i == 0 ? millis(0) : given_.latency,
                      [this, i, id, about, ruling]
                      {
                          hosts_[i].known[about].apply(id, ruling, now_);
                      });
            }
        }
    }

    parameters given_;
    std::vector<host> hosts_;
    std::vector<target> targets_{3};
    random_source random_;
    steady_time now_{1000000};
    std::multimap<steady_time, std::function<void()>> events_;
};

class targets_that_tolerate_few_refusals : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(targets_that_tolerate_few_refusals);
    CPPUNIT_TEST(do_not_fail_at_twice_the_load_that_they_have_room_for);
    CPPUNIT_TEST(do_not_fail_if_most_hosts_hear_no_rulings);
    CPPUNIT_TEST(are_used_at_half_of_the_load_that_they_have_room_for);
    CPPUNIT_TEST(are_paused_for_long_at_a_host_without_rulings);
    CPPUNIT_TEST(are_not_paused_by_a_report_that_comes_after_its_ruling);
    CPPUNIT_TEST(are_paused_until_the_limit_is_no_longer_used_up);
    CPPUNIT_TEST(get_no_more_calls_at_once_than_they_may_refuse);
    CPPUNIT_TEST_SUITE_END();

    const steady_time start_{1000000};
    refusal_tolerance tolerance_;

    refusal_ruling refuse(std::uint64_t id, millis at)
    {
        tolerance_.record(id, pause_after_refusal(limit), start_ + at);
        const refusal_ruling ruling = tolerance_.rule(limit, start_ + at);
        tolerance_.apply(id, ruling, start_ + at);
        return ruling;
    }

  public:
    /// 67 requests a second at random times, where 30 can be served
    void do_not_fail_at_twice_the_load_that_they_have_room_for()
    {
        for (const int latency_ms : {1, 4})
        {
            simulated_load::parameters given;
            given.latency = millis(latency_ms);
            simulated_load it(given);
            it.run(millis(60000));
            CPPUNIT_ASSERT(it.refusals > 100);
            CPPUNIT_ASSERT(it.falls <= 2);
        }
    }

    /// guards against hosts that go on without the count
    void do_not_fail_if_most_hosts_hear_no_rulings()
    {
        simulated_load::parameters given;
        given.cut_off = 4;
        given.latency = millis(1);
        given.is_even = true;
        simulated_load it(given);
        it.run(millis(9000));
        CPPUNIT_ASSERT(it.falls <= 2);
    }

    /// 17 requests a second, evenly spaced, where 30 can be served
    void are_used_at_half_of_the_load_that_they_have_room_for()
    {
        simulated_load::parameters given;
        given.hosts = 4;
        given.interval = millis(60);
        given.is_even = true;
        simulated_load it(given);
        it.run(millis(60000));
        CPPUNIT_ASSERT(it.served * 10 >= it.requests * 9);
        CPPUNIT_ASSERT_EQUAL(0, it.falls);
    }

    void are_paused_for_long_at_a_host_without_rulings()
    {
        tolerance_.record(1, millis(500), start_);
        CPPUNIT_ASSERT(tolerance_.paused_until() == start_ + millis(500));
        tolerance_.record(2, millis(500), start_ + millis(400));
        // a ruling on one refusal says nothing of another
        tolerance_.apply(1, {millis(150), millis(700)}, start_ + millis(410));
        CPPUNIT_ASSERT(tolerance_.paused_until() == start_ + millis(900));
        CPPUNIT_ASSERT(tolerance_.permits_needed_until() == start_ + millis(1110));
    }

    void are_not_paused_by_a_report_that_comes_after_its_ruling()
    {
        tolerance_.apply(1, {millis(150), millis(700)}, start_);
        tolerance_.record(1, millis(500), start_ + millis(10));
        CPPUNIT_ASSERT(tolerance_.paused_until() == start_ + millis(150));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tolerance_.recent(start_).size());
    }

    void are_paused_until_the_limit_is_no_longer_used_up()
    {
        CPPUNIT_ASSERT(refuse(1, millis(0)).pause < millis(200));
        CPPUNIT_ASSERT(refuse(2, millis(200)).pause < millis(200));
        const refusal_ruling last = refuse(3, millis(400));
        // the first one counts for a little more than a second
        CPPUNIT_ASSERT(last.pause > millis(600) && last.pause <= millis(800));
        CPPUNIT_ASSERT(last.permits > last.pause);
        // another host knows of two more
        tolerance_.record_earlier({4, millis(100)}, start_ + millis(400));
        tolerance_.record_earlier({4, millis(100)}, start_ + millis(400));
        CPPUNIT_ASSERT(tolerance_.rule(limit, start_ + millis(400)).pause > last.pause);
        CPPUNIT_ASSERT(tolerance_.is_idle(start_ + millis(2000)));
    }

    void get_no_more_calls_at_once_than_they_may_refuse()
    {
        CPPUNIT_ASSERT(tolerance_.issue(limit, start_).needed == millis(0));
        refuse(1, millis(0));
        CPPUNIT_ASSERT(tolerance_.issue(limit, start_ + millis(160)).is_granted);
        CPPUNIT_ASSERT(tolerance_.try_issue(limit, start_ + millis(160)).is_granted);
        CPPUNIT_ASSERT(tolerance_.issue(limit, start_ + millis(160)).is_granted);
        const refusal_permit refused = tolerance_.issue(limit, start_ + millis(160));
        CPPUNIT_ASSERT(!refused.is_granted && refused.wait > millis(0));
        CPPUNIT_ASSERT(
            tolerance_.issue(limit, start_ + millis(160) + refused.wait).is_granted);
        CPPUNIT_ASSERT(tolerance_.issue(limit, start_ + millis(1200)).needed ==
                       millis(0));
        // such targets are paused as by hosts that do not count
        CPPUNIT_ASSERT(!refusal_tolerance::is_countable(1.5));
        CPPUNIT_ASSERT(!refusal_tolerance::is_countable(std::nan("")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(targets_that_tolerate_few_refusals);

} // namespace
