#include <medlar/detail/ownership/ownership.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <support/views.hpp>

namespace
{

using namespace medlar;
using namespace medlar::testing;

/// Three gateways that exchange grants over a perfect network, moved by hand.
class three_gateways : public CppUnit::TestFixture
{
  public:
    void setUp() override
    {
        time_ = steady_time(1000000);
        wall_ = wall_time(5000000);
        record_ = first_record({1, 2, 3});
        gateways_.clear();
        for (std::uint64_t number = 1; number <= 4; ++number)
        {
            gateways_.push_back(ownership::create(incarnation(number), timing_));
        }
    }

  protected:
    ownership& gateway(std::uint64_t number)
    {
        return gateways_[number - 1];
    }

    void pass(millis span)
    {
        time_ = time_ + span;
        wall_ = wall_ + span;
    }

    void learn(std::uint64_t number)
    {
        gateway(number).learn(record_, time_, wall_);
        gateway(number).try_adopt(time_);
    }

    /// The holder asks the others, who answer at once.
    void renew(std::uint64_t holder, const std::vector<std::uint64_t>& answering)
    {
        const grant_request request = gateway(holder).make_grant_request();
        for (const std::uint64_t other : answering)
        {
            const grant_reply reply = gateway(other).on_grant_request(request, time_);
            gateway(holder).on_grant_reply(reply, time_);
        }
    }

    bool accepts(std::uint64_t number, std::uint64_t key, wall_time issued_at)
    {
        const ownership_decision decision =
            gateway(number).decide(key, issued_at, false, time_, wall_);
        return std::holds_alternative<accept_run>(decision);
    }

    reason why_not(std::uint64_t number, std::uint64_t key, wall_time issued_at)
    {
        const ownership_decision decision =
            gateway(number).decide(key, issued_at, false, time_, wall_);
        if (const auto* refused = std::get_if<refuse>(&decision))
        {
            return refused->answer.why;
        }
        if (const auto* waiting = std::get_if<not_settled>(&decision))
        {
            return waiting->otherwise.why;
        }
        if (const auto* awaiting = std::get_if<awaits_handover>(&decision))
        {
            return awaiting->otherwise.why;
        }
        return reason::none;
    }

    /// All three in the first view, past its margin, each with a lease.
    void settle_first_view()
    {
        for (const std::uint64_t number : {1, 2, 3})
        {
            learn(number);
        }
        pass(timing_.takeover_margin() + millis(1));
        for (const std::uint64_t number : {1, 2, 3})
        {
            renew(number, {1, 2, 3});
        }
    }

    /// A second view without gateway 3.
    void propose_without_third()
    {
        record_ = next_record(record_, members({1, 2}));
        key_ = key_with_homes({record_.earlier.back(), record_.current}, {3, 1});
    }

    ownership_timing timing_;
    steady_time time_;
    wall_time wall_;
    view_record record_;
    std::uint64_t key_ = 0;
    std::vector<ownership> gateways_;
};

class lease : public three_gateways
{
    CPPUNIT_TEST_SUITE(lease);
    CPPUNIT_TEST(needs_a_majority);
    CPPUNIT_TEST(counts_from_when_it_was_asked_for);
    CPPUNIT_TEST(is_not_granted_to_a_process_outside_the_view);
    CPPUNIT_TEST(is_not_granted_once_a_newer_view_is_known);
    CPPUNIT_TEST(is_not_granted_for_another_view_of_the_same_number);
    CPPUNIT_TEST_SUITE_END();

    void needs_a_majority()
    {
        settle_first_view();
        pass(timing_.lease);
        renew(1, {1});
        CPPUNIT_ASSERT(!gateway(1).lease_valid(time_));
        renew(1, {2});
        CPPUNIT_ASSERT(gateway(1).lease_valid(time_));
    }

    void counts_from_when_it_was_asked_for()
    {
        settle_first_view();
        const grant_request request = gateway(1).make_grant_request();
        const steady_time asked_at = time_;
        pass(timing_.lease);
        for (const std::uint64_t other : {1, 2, 3})
        {
            const grant_reply reply = gateway(other).on_grant_request(request, time_);
            CPPUNIT_ASSERT(reply.granted);
            gateway(1).on_grant_reply(reply, asked_at);
        }
        CPPUNIT_ASSERT(!gateway(1).lease_valid(time_));
    }

    void is_not_granted_to_a_process_outside_the_view()
    {
        settle_first_view();
        learn(4);
        renew(4, {1, 2, 3});
        CPPUNIT_ASSERT(!gateway(4).lease_valid(time_));
        CPPUNIT_ASSERT(!gateway(4).is_member());
    }

    void is_not_granted_once_a_newer_view_is_known()
    {
        settle_first_view();
        propose_without_third();
        gateway(2).learn(record_, time_, wall_);
        const grant_request request = gateway(1).make_grant_request();
        CPPUNIT_ASSERT(!gateway(2).on_grant_request(request, time_).granted);
    }

    void is_not_granted_for_another_view_of_the_same_number()
    {
        settle_first_view();
        record_ = first_record({1, 2, 4});
        learn(4);
        renew(4, {1, 2, 3, 4});
        CPPUNIT_ASSERT(!gateway(4).lease_valid(time_));
    }
};

class adoption : public three_gateways
{
    CPPUNIT_TEST_SUITE(adoption);
    CPPUNIT_TEST(waits_until_the_last_grant_has_run_out);
    CPPUNIT_TEST(never_goes_back);
    CPPUNIT_TEST(across_unknown_views_leaves_ownership_behind);
    CPPUNIT_TEST_SUITE_END();

    void waits_until_the_last_grant_has_run_out()
    {
        settle_first_view();
        propose_without_third();
        learn(1);
        CPPUNIT_ASSERT(gateway(1).adopted()->epoch == view_epoch(1));
        pass(timing_.grant());
        CPPUNIT_ASSERT(gateway(1).try_adopt(time_));
        CPPUNIT_ASSERT(gateway(1).adopted()->epoch == view_epoch(2));
    }

    void never_goes_back()
    {
        settle_first_view();
        const view_record old = record_;
        propose_without_third();
        pass(timing_.grant());
        learn(1);
        CPPUNIT_ASSERT(!gateway(1).learn(old, time_, wall_));
        CPPUNIT_ASSERT(gateway(1).adopted()->epoch == view_epoch(2));
    }

    void across_unknown_views_leaves_ownership_behind()
    {
        settle_first_view();
        for (std::size_t i = 0; i < 2 * max_earlier_views; ++i)
        {
            record_ = next_record(record_, members({1, 2, 3}));
        }
        gateway(1).learn(record_, time_, wall_);
        CPPUNIT_ASSERT(!gateway(1).is_member());
        pass(timing_.grant());
        CPPUNIT_ASSERT(gateway(1).try_adopt(time_));
    }
};

class takeover : public three_gateways
{
    CPPUNIT_TEST_SUITE(takeover);
    CPPUNIT_TEST(waits_until_the_old_view_cannot_make_a_majority);
    CPPUNIT_TEST(refuses_what_the_old_home_may_have_accepted);
    CPPUNIT_TEST(accepts_a_first_attempt_at_once);
    CPPUNIT_TEST(counts_a_stopped_process_after_its_grants_ran_out);
    CPPUNIT_TEST(leaves_keys_that_stay_untouched);
    CPPUNIT_TEST_SUITE_END();

    /// Gateway 3 is lost; gateway 1 adopts the view without it, gateway 2 does later.
    void first_adopts()
    {
        settle_first_view();
        propose_without_third();
        gateway(1).learn(record_, time_, wall_);
        pass(timing_.grant());
        gateway(1).try_adopt(time_);
    }

    void second_adopts()
    {
        learn(2);
        renew(1, {1, 2});
        gateway(1).try_close(time_, wall_);
    }

    void waits_until_the_old_view_cannot_make_a_majority()
    {
        first_adopts();
        gateway(1).try_close(time_, wall_);
        CPPUNIT_ASSERT(!gateway(1).may_propose());
        second_adopts();
        CPPUNIT_ASSERT(gateway(1).may_propose());
    }

    void refuses_what_the_old_home_may_have_accepted()
    {
        first_adopts();
        second_adopts();
        const wall_time closed = wall_;
        const wall_time last_of_old = closed + timing_.takeover_margin();
        pass(timing_.takeover_margin());
        CPPUNIT_ASSERT(why_not(1, key_, last_of_old) == reason::issued_before_ownership);
        CPPUNIT_ASSERT(accepts(1, key_, last_of_old + millis(1)));
    }

    void accepts_a_first_attempt_at_once()
    {
        first_adopts();
        second_adopts();
        const ownership_decision decision =
            gateway(1).decide(key_, wall_, true, time_, wall_);
        CPPUNIT_ASSERT(std::holds_alternative<accept_run>(decision));
    }

    void counts_a_stopped_process_after_its_grants_ran_out()
    {
        first_adopts();
        gateway(1).on_stopped(incarnation(3), time_);
        gateway(1).try_close(time_, wall_);
        CPPUNIT_ASSERT(!gateway(1).may_propose());
        pass(timing_.grant());
        gateway(1).try_close(time_, wall_);
        CPPUNIT_ASSERT(gateway(1).may_propose());
    }

    void leaves_keys_that_stay_untouched()
    {
        first_adopts();
        const std::uint64_t own =
            key_with_homes({record_.earlier.back(), record_.current}, {1, 1});
        const wall_time long_ago = wall_ - timing_.lease;
        learn(2);
        renew(1, {1, 2});
        CPPUNIT_ASSERT(accepts(1, own, long_ago));
    }
};

class handover : public three_gateways
{
    CPPUNIT_TEST_SUITE(handover);
    CPPUNIT_TEST(lets_the_new_home_accept_without_a_margin);
    CPPUNIT_TEST(is_awaited_when_the_others_moved_on_first);
    CPPUNIT_TEST(is_not_awaited_from_a_stopped_process);
    CPPUNIT_TEST(is_not_offered_by_a_process_that_owned_nothing);
    CPPUNIT_TEST_SUITE_END();

    void lets_the_new_home_accept_without_a_margin()
    {
        settle_first_view();
        const wall_time before_the_change = wall_;
        propose_without_third();
        pass(timing_.grant());
        for (const std::uint64_t number : {1, 2, 3})
        {
            learn(number);
        }
        renew(1, {1, 2});
        CPPUNIT_ASSERT(why_not(1, key_, before_the_change) == reason::ownership_unproved);
        const std::optional<wall_time> floor = gateway(3).handover_floor();
        CPPUNIT_ASSERT(floor.has_value());
        gateway(1).on_handover({incarnation(3), view_epoch(2), *floor});
        CPPUNIT_ASSERT(accepts(1, key_, before_the_change));
    }

    /// The view without gateway 3 is adopted by the others, which closes the old one.
    /// @return a moment at which the old view was settled
    wall_time others_move_on_first()
    {
        settle_first_view();
        const wall_time before_the_change = wall_;
        propose_without_third();
        pass(timing_.grant());
        learn(1);
        learn(2);
        renew(1, {1, 2});
        gateway(1).try_close(time_, wall_);
        return before_the_change;
    }

    void is_awaited_when_the_others_moved_on_first()
    {
        const wall_time before_the_change = others_move_on_first();
        const ownership_decision early =
            gateway(1).decide(key_, before_the_change, false, time_, wall_);
        const auto* awaiting = std::get_if<awaits_handover>(&early);
        CPPUNIT_ASSERT(awaiting != nullptr);
        CPPUNIT_ASSERT(awaiting->earlier == incarnation(3));
        CPPUNIT_ASSERT(awaiting->otherwise.why == reason::issued_before_ownership);
        learn(3);
        gateway(1).on_handover(
            {incarnation(3), view_epoch(2), *gateway(3).handover_floor()});
        CPPUNIT_ASSERT(accepts(1, key_, before_the_change));
    }

    void is_not_awaited_from_a_stopped_process()
    {
        const wall_time before_the_change = others_move_on_first();
        gateway(1).on_stopped(incarnation(3), time_);
        const ownership_decision decision =
            gateway(1).decide(key_, before_the_change, false, time_, wall_);
        CPPUNIT_ASSERT(std::holds_alternative<refuse>(decision));
    }

    void is_not_offered_by_a_process_that_owned_nothing()
    {
        record_ = next_record(first_record({1, 2}), members({1, 2, 4}));
        learn(4);
        CPPUNIT_ASSERT(!gateway(4).handover_floor().has_value());
    }
};

class age : public three_gateways
{
    CPPUNIT_TEST_SUITE(age);
    CPPUNIT_TEST(older_than_the_retention_is_unknown);
    CPPUNIT_TEST(ahead_of_the_clock_is_refused);
    CPPUNIT_TEST_SUITE_END();

    void older_than_the_retention_is_unknown()
    {
        settle_first_view();
        const std::uint64_t key = key_with_homes({record_.current}, {1});
        const wall_time old = wall_ - timing_.retention - millis(1);
        CPPUNIT_ASSERT(why_not(1, key, old) == reason::issued_before_retention);
    }

    void ahead_of_the_clock_is_refused()
    {
        settle_first_view();
        const std::uint64_t key = key_with_homes({record_.current}, {1});
        CPPUNIT_ASSERT(accepts(1, key, wall_ + timing_.caller_skew));
        const wall_time ahead = wall_ + timing_.caller_skew + millis(1);
        CPPUNIT_ASSERT(why_not(1, key, ahead) == reason::issued_ahead);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(lease, "ownership");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(adoption, "ownership");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(takeover, "ownership");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(handover, "ownership");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(age, "ownership");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("ownership");

} // namespace
