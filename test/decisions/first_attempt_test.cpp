#include <medlar/detail/ownership/ownership.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <support/views.hpp>

namespace
{

using namespace medlar;
using namespace medlar::testing;

/// The view {1, 2, 3} is followed by {2, 3, 4}; the home of the request moves from 1 to
/// 4.
class a_stated_first_attempt : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_stated_first_attempt);
    CPPUNIT_TEST(waits_while_the_earlier_home_may_hold_its_lease);
    CPPUNIT_TEST(runs_once_the_earlier_view_is_closed);
    CPPUNIT_TEST(counts_as_a_retry_when_its_caller_may_have_resent_it);
    CPPUNIT_TEST(is_not_reported_as_not_run_when_its_caller_may_have_resent_it);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        first_ = first_record({1, 2, 3});
        second_ = next_record(first_, members({2, 3, 4}));
        key_ = key_with_homes({first_.current, second_.current}, {1, 4});
        for (std::uint64_t number = 1; number <= 4; ++number)
        {
            gateways_.push_back(ownership::create(incarnation(number), timing_));
            adopt(number, first_);
        }
        advance(timing_.takeover_margin() + millis(1));
    }

  private:
    ownership& gateway(std::uint64_t number)
    {
        return gateways_[number - 1];
    }

    void adopt(std::uint64_t number, const view_record& record)
    {
        gateway(number).on_view_record(record, time_, wall_);
        gateway(number).try_adopt(time_);
    }

    void advance(millis duration)
    {
        time_ = time_ + duration;
        wall_ = wall_ + duration;
    }

    void renew(std::uint64_t holder, const std::vector<std::uint64_t>& grantors)
    {
        const grant_request request = gateway(holder).make_grant_request();
        for (const std::uint64_t grantor : grantors)
        {
            const grant_reply reply = gateway(grantor).on_grant_request(request, time_);
            gateway(holder).on_grant_reply(reply, time_);
        }
    }

    ownership_decision decide(std::uint64_t number, wall_time issued_at, bool first)
    {
        return gateway(number).decide(key_, issued_at, first, time_, wall_);
    }

    template <typename Kind>
    static bool is(const ownership_decision& decision)
    {
        return std::holds_alternative<Kind>(decision);
    }

    void waits_while_the_earlier_home_may_hold_its_lease()
    {
        const wall_time issued_at = wall_;
        adopt(3, second_);
        adopt(4, second_);
        renew(4, {3, 4});
        // 1 and 2 have not received the second view
        renew(1, {1, 2});
        CPPUNIT_ASSERT(is<accept_run>(decide(1, issued_at, false)));
        CPPUNIT_ASSERT(is<ownership_pending>(decide(4, issued_at, true)));
    }

    void close_first_view()
    {
        adopt(2, second_);
        adopt(3, second_);
        adopt(4, second_);
        renew(4, {2, 3, 4});
        gateway(4).try_close(time_, wall_);
    }

    void runs_once_the_earlier_view_is_closed()
    {
        const wall_time issued_at = wall_;
        close_first_view();
        CPPUNIT_ASSERT(is<handover_pending>(decide(4, issued_at, false)));
        CPPUNIT_ASSERT(is<accept_run>(decide(4, issued_at, true)));
    }

    void counts_as_a_retry_when_its_caller_may_have_resent_it()
    {
        const wall_time issued_at = wall_;
        close_first_view();
        advance(timing_.first_attempt_window - timing_.max_caller_skew);
        renew(4, {2, 3, 4});
        CPPUNIT_ASSERT(is<handover_pending>(decide(4, issued_at, true)));
    }

    void is_not_reported_as_not_run_when_its_caller_may_have_resent_it()
    {
        const wall_time issued_at = wall_;
        const ownership_decision early = decide(1, issued_at, true);
        CPPUNIT_ASSERT(std::get<ownership_pending>(early).fallback.kind ==
                       outcome_kind::not_run);
        advance(timing_.first_attempt_window);
        const ownership_decision late = decide(1, issued_at, true);
        CPPUNIT_ASSERT(std::get<ownership_pending>(late).fallback.kind ==
                       outcome_kind::unknown);
    }

    ownership_timing timing_;
    steady_time time_{1000000};
    wall_time wall_{5000000};
    view_record first_;
    view_record second_;
    std::uint64_t key_ = 0;
    std::vector<ownership> gateways_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_stated_first_attempt);

} // namespace
