#include <medlar/detail/dispatch/slow_start_share.hpp>
#include <medlar/detail/policy/target_health.hpp>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

namespace
{

using namespace medlar;

const target_id target("i-1");
const host_id issuing_host("host-0");

constexpr int slots = 6;
constexpr std::int64_t usual_ms = 100;

steady_time at_ms(std::int64_t ms)
{
    return steady_time(100000 + ms);
}

/// Load: 66 hosts before a target that returns among healthy ones; each host has a
/// request that prefers the target every 100 ms (660 a second). A request that gets no
/// slot goes elsewhere. The target executes 6 calls at 100 ms each; calls beyond its
/// capacity make all of them slower.
struct loaded_hosts
{
    struct running_call
    {
        std::size_t host = 0;
        std::optional<lent_slot> slot;
        std::int64_t begun_ms = 0;
        std::int64_t ends_ms = 0;
    };

    explicit loaded_hosts(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            shares.emplace_back(at_ms(0));
            in_flight.push_back(0);
        }
    }

    void play(std::int64_t until_ms)
    {
        for (; now_ms < until_ms; ++now_ms)
        {
            end_calls();
            for (std::size_t i = 0; i < shares.size(); ++i)
            {
                // the requests of the hosts are spread over the interval
                if ((now_ms + static_cast<std::int64_t>(i) * 17) % 100 == 0)
                {
                    begin_request(i);
                }
            }
            renew();
        }
    }

    void begin_request(std::size_t host)
    {
        slow_start_share& share = shares[host];
        if (share.may_send(in_flight[host], at_ms(now_ms)))
        {
            begin_call(host);
            return;
        }
        if (!share.record_missed(at_ms(now_ms)))
        {
            return;
        }
        ++questions;
        const int wanted = share.begin_question();
        if (is_issuer_silent)
        {
            share.record_silence(at_ms(now_ms));
            return;
        }
        const slot_grant granted = issuer.grant(
            {target, 1, slots, wanted, share.age(at_ms(now_ms))}, at_ms(now_ms));
        if (++answers % 10 != 0 || !are_answers_lost)
        {
            share.record_grant(granted, issuing_host, at_ms(now_ms));
        }
        else
        {
            share.record_silence(at_ms(now_ms));
        }
    }

    void begin_call(std::size_t host)
    {
        const auto load = static_cast<double>(calls.size() + 1);
        const auto took =
            static_cast<std::int64_t>(usual_ms * std::max(1.0, load / capacity));
        calls.push_back({host, shares[host].take(at_ms(now_ms)), now_ms, now_ms + took});
        ++in_flight[host];
        ++sent;
        // hosts without a limit are not what is tested
        if (issuer.window_sum() > 0)
        {
            most = std::max(most, calls.size());
        }
    }

    void end_calls()
    {
        for (std::size_t i = 0; i < calls.size();)
        {
            if (calls[i].ends_ms > now_ms)
            {
                ++i;
                continue;
            }
            const running_call ended = calls[i];
            calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(i));
            --in_flight[ended.host];
            const bool is_told = ++ends % 10 != 0 || !are_answers_lost;
            if (ended.slot && is_told)
            {
                issuer.end(target,
                           ended.slot->number,
                           is_failing ? slow_start_result::failed
                                      : pace_of(millis(now_ms - ended.begun_ms),
                                                millis(usual_ms)),
                           at_ms(now_ms));
            }
        }
    }

    void renew()
    {
        for (slow_start_share& each : shares)
        {
            for (const lent_slot& slot : each.drop_unused(at_ms(now_ms)))
            {
                issuer.end(
                    target, slot.number, slow_start_result::cancelled, at_ms(now_ms));
            }
        }
        if (now_ms % slot_renewal_interval.count() == 0)
        {
            for (const running_call& each : calls)
            {
                if (each.slot)
                {
                    issuer.renew(target, each.slot->number, at_ms(now_ms));
                }
            }
        }
        issuer.tick(at_ms(now_ms));
    }

    bool has_ended_at_all() const
    {
        return std::all_of(shares.begin(),
                           shares.end(),
                           [this](const slow_start_share& each)
                           {
                               return each.has_ended(at_ms(now_ms));
                           });
    }

    slow_start_issuer issuer{1000};
    std::vector<slow_start_share> shares;
    std::vector<int> in_flight;
    std::vector<running_call> calls;
    double capacity = slots;
    bool is_failing = false;
    bool is_issuer_silent = false;
    bool are_answers_lost = false;
    std::int64_t now_ms = 0;
    std::size_t most = 0;
    int sent = 0;
    int questions = 0;
    int answers = 0;
    int ends = 0;
};

class hosts_before_a_target_that_returns : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(hosts_before_a_target_that_returns);
    CPPUNIT_TEST(neither_flood_it_nor_leave_it_idle_in_a_burst);
    CPPUNIT_TEST(send_one_call_at_a_time_while_it_stays_slow);
    CPPUNIT_TEST(begin_again_when_it_fails_again);
    CPPUNIT_TEST(send_one_call_each_while_the_issuer_is_silent);
    CPPUNIT_TEST(begin_again_at_the_next_issuer);
    CPPUNIT_TEST(lose_no_slot_for_good_if_every_tenth_message_is_lost);
    CPPUNIT_TEST(limit_no_calls_if_most_of_the_pool_has_started);
    CPPUNIT_TEST(limit_starts_only_where_there_are_no_permits);
    CPPUNIT_TEST(eject_it_at_the_first_failure_after_late_news);
    CPPUNIT_TEST_SUITE_END();

  public:
    void neither_flood_it_nor_leave_it_idle_in_a_burst()
    {
        loaded_hosts it(66);
        it.play(1000);
        const std::string seen = absl::StrCat(it.most,
                                              " calls at a time, ",
                                              it.sent,
                                              " calls, ",
                                              it.questions,
                                              " questions");
        // without slots: 66 calls and more at a time
        CPPUNIT_ASSERT_MESSAGE(seen, it.most <= slots);
        CPPUNIT_ASSERT_MESSAGE(seen, it.sent >= 10);
        // an issuer with a tenth of a core answers some hundred questions a second
        CPPUNIT_ASSERT_MESSAGE(seen, it.questions <= 300);
        it.play(6000);
        CPPUNIT_ASSERT(it.has_ended_at_all());
    }

    void send_one_call_at_a_time_while_it_stays_slow()
    {
        loaded_hosts it(66);
        it.capacity = 0.4;
        it.play(4000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.most);
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(it.sent), it.sent >= 8);
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(it.questions), it.questions <= 4 * 100);
    }

    void begin_again_when_it_fails_again()
    {
        loaded_hosts it(66);
        it.play(600);
        CPPUNIT_ASSERT(it.issuer.window_sum() > 1);
        it.is_failing = true;
        it.play(1600);
        CPPUNIT_ASSERT_EQUAL(1, it.issuer.window_sum());
        // the process that starts after it, once the window had opened
        it.is_failing = false;
        it.play(8000);
        CPPUNIT_ASSERT_EQUAL(0, it.issuer.window_sum());
        it.issuer.grant({target, 2, slots, 1, millis(0)}, at_ms(it.now_ms));
        CPPUNIT_ASSERT_EQUAL(1, it.issuer.window_sum());
    }

    void send_one_call_each_while_the_issuer_is_silent()
    {
        // load: 10 requests a second at each of 3 hosts, calls of 100 ms and more
        loaded_hosts it(3);
        it.is_issuer_silent = true;
        it.play(2000);
        CPPUNIT_ASSERT(it.sent >= 10);
        for (const int each : it.in_flight)
        {
            CPPUNIT_ASSERT(each <= 1);
        }
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(it.questions), it.questions <= 12);
        CPPUNIT_ASSERT(!it.has_ended_at_all());
    }

    void begin_again_at_the_next_issuer()
    {
        loaded_hosts it(66);
        it.play(600);
        it.issuer = slow_start_issuer(900000);
        const std::size_t before = it.calls.size();
        it.most = 0;
        it.play(650);
        // the slots that the hosts hold still count for them, no more are added at once
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(it.most), it.most <= before + slots);
        CPPUNIT_ASSERT(it.issuer.window_sum() <= 2);
        it.play(6000);
        CPPUNIT_ASSERT(it.has_ended_at_all());
    }

    void lose_no_slot_for_good_if_every_tenth_message_is_lost()
    {
        loaded_hosts it(66);
        it.are_answers_lost = true;
        it.play(30000);
        CPPUNIT_ASSERT(it.has_ended_at_all());
    }

    /// guards against prompts that lose their caches where a whole pool has started
    void limit_no_calls_if_most_of_the_pool_has_started()
    {
        CPPUNIT_ASSERT(is_slow_start_limited(20, 60));
        CPPUNIT_ASSERT(is_slow_start_limited(1, 1));
        CPPUNIT_ASSERT(!is_slow_start_limited(60, 20));
        CPPUNIT_ASSERT(!is_slow_start_limited(1, 0));
    }

    /// guards against limits on targets that permits have bounded since their start
    void limit_starts_only_where_there_are_no_permits()
    {
        const cold_rule with_permits{millis(3000), 5};
        const cold_rule without{millis(3000), 0};
        CPPUNIT_ASSERT(!begins_slow_start(with_permits, false));
        CPPUNIT_ASSERT(begins_slow_start(with_permits, true));
        CPPUNIT_ASSERT(begins_slow_start(without, false));
        CPPUNIT_ASSERT(!begins_slow_start(cold_rule(), true));
    }

    void eject_it_at_the_first_failure_after_late_news()
    {
        target_health health = eject(target_health(), at_ms(0));
        health = take_back(health);
        CPPUNIT_ASSERT(health.state == health_state::healthy);
        health = after_call(health, {call_result::unreachable, 1}, 1, at_ms(10));
        CPPUNIT_ASSERT(should_eject(health, 1));
        // and for longer than before, also if the news comes twice
        const target_health again = eject(health, at_ms(10));
        CPPUNIT_ASSERT(again.probe_due == at_ms(2010));
        CPPUNIT_ASSERT(eject(take_back(take_back(again)), at_ms(20)).probe_due ==
                       at_ms(4020));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hosts_before_a_target_that_returns);

} // namespace
