#include <medlar/detail/ownership/ownership.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <support/views.hpp>

namespace
{

using namespace medlar;
using namespace medlar::testing;

/// Three gateways, and one that may join, which exchange grants without loss or delay;
/// the tests advance the clocks.
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

    void advance(millis duration)
    {
        time_ = time_ + duration;
        wall_ = wall_ + duration;
    }

    /// The gateway receives the newest record and tries to adopt its view.
    void adopt_record(std::uint64_t number)
    {
        gateway(number).on_view_record(record_, time_, wall_);
        gateway(number).try_adopt(time_);
    }

    /// Requests grants from the grantors, which reply immediately.
    void renew(std::uint64_t holder, const std::vector<std::uint64_t>& grantors)
    {
        const grant_request request = gateway(holder).make_grant_request();
        for (const std::uint64_t grantor : grantors)
        {
            const grant_reply reply = gateway(grantor).on_grant_request(request, time_);
            gateway(holder).on_grant_reply(reply, time_);
        }
    }

    bool accepts(std::uint64_t number, std::uint64_t key, wall_time issued_at)
    {
        const ownership_decision decision =
            gateway(number).decide(key, issued_at, false, time_, wall_);
        return std::holds_alternative<accept_run>(decision);
    }

    reason refusal_reason(std::uint64_t number, std::uint64_t key, wall_time issued_at)
    {
        const ownership_decision decision =
            gateway(number).decide(key, issued_at, false, time_, wall_);
        if (const auto* refused = std::get_if<refuse>(&decision))
        {
            return refused->answer.why;
        }
        if (const auto* waiting = std::get_if<ownership_pending>(&decision))
        {
            return waiting->fallback.why;
        }
        if (const auto* awaiting = std::get_if<handover_pending>(&decision))
        {
            return awaiting->fallback.why;
        }
        return reason::none;
    }

    /// All three have adopted the first view and hold leases; its takeover margin is
    /// over.
    void establish_first_view()
    {
        for (const std::uint64_t number : {1, 2, 3})
        {
            adopt_record(number);
        }
        advance(timing_.takeover_margin() + millis(1));
        for (const std::uint64_t number : {1, 2, 3})
        {
            renew(number, {1, 2, 3});
        }
    }

    /// Creates a second view without gateway 3; the home of key_ moves from 3 to 1.
    void create_view_without_third()
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
    CPPUNIT_TEST(counts_from_the_time_of_its_request);
    CPPUNIT_TEST(is_not_granted_to_a_process_outside_the_view);
    CPPUNIT_TEST(is_not_granted_once_a_newer_view_is_known);
    CPPUNIT_TEST(is_not_granted_for_another_view_of_the_same_number);
    CPPUNIT_TEST_SUITE_END();

    void needs_a_majority()
    {
        establish_first_view();
        advance(timing_.lease_duration);
        renew(1, {1});
        CPPUNIT_ASSERT(!gateway(1).lease_valid(time_));
        renew(1, {2});
        CPPUNIT_ASSERT(gateway(1).lease_valid(time_));
    }

    void counts_from_the_time_of_its_request()
    {
        establish_first_view();
        const grant_request request = gateway(1).make_grant_request();
        const steady_time requested_at = time_;
        advance(timing_.lease_duration);
        for (const std::uint64_t grantor : {1, 2, 3})
        {
            const grant_reply reply = gateway(grantor).on_grant_request(request, time_);
            CPPUNIT_ASSERT(reply.granted);
            gateway(1).on_grant_reply(reply, requested_at);
        }
        CPPUNIT_ASSERT(!gateway(1).lease_valid(time_));
    }

    void is_not_granted_to_a_process_outside_the_view()
    {
        establish_first_view();
        adopt_record(4);
        renew(4, {1, 2, 3});
        CPPUNIT_ASSERT(!gateway(4).lease_valid(time_));
        CPPUNIT_ASSERT(!gateway(4).is_member());
    }

    void is_not_granted_once_a_newer_view_is_known()
    {
        establish_first_view();
        create_view_without_third();
        gateway(2).on_view_record(record_, time_, wall_);
        const grant_request request = gateway(1).make_grant_request();
        CPPUNIT_ASSERT(!gateway(2).on_grant_request(request, time_).granted);
    }

    void is_not_granted_for_another_view_of_the_same_number()
    {
        establish_first_view();
        record_ = first_record({1, 2, 4});
        adopt_record(4);
        renew(4, {1, 2, 3, 4});
        CPPUNIT_ASSERT(!gateway(4).lease_valid(time_));
    }
};

class adoption : public three_gateways
{
    CPPUNIT_TEST_SUITE(adoption);
    CPPUNIT_TEST(waits_until_the_last_grant_has_expired);
    CPPUNIT_TEST(never_returns_to_an_older_view);
    CPPUNIT_TEST(across_unknown_views_abandons_ownership);
    CPPUNIT_TEST_SUITE_END();

    void waits_until_the_last_grant_has_expired()
    {
        establish_first_view();
        create_view_without_third();
        adopt_record(1);
        CPPUNIT_ASSERT(gateway(1).adopted()->epoch == view_epoch(1));
        advance(timing_.grant_duration());
        CPPUNIT_ASSERT(gateway(1).try_adopt(time_));
        CPPUNIT_ASSERT(gateway(1).adopted()->epoch == view_epoch(2));
    }

    void never_returns_to_an_older_view()
    {
        establish_first_view();
        const view_record old = record_;
        create_view_without_third();
        advance(timing_.grant_duration());
        adopt_record(1);
        CPPUNIT_ASSERT(!gateway(1).on_view_record(old, time_, wall_));
        CPPUNIT_ASSERT(gateway(1).adopted()->epoch == view_epoch(2));
    }

    void across_unknown_views_abandons_ownership()
    {
        establish_first_view();
        for (std::size_t i = 0; i < 2 * max_earlier_views; ++i)
        {
            record_ = next_record(record_, members({1, 2, 3}));
        }
        gateway(1).on_view_record(record_, time_, wall_);
        CPPUNIT_ASSERT(!gateway(1).is_member());
        advance(timing_.grant_duration());
        CPPUNIT_ASSERT(gateway(1).try_adopt(time_));
    }
};

class takeover : public three_gateways
{
    CPPUNIT_TEST_SUITE(takeover);
    CPPUNIT_TEST(waits_until_the_old_view_cannot_form_a_majority);
    CPPUNIT_TEST(refuses_what_the_old_home_may_have_accepted);
    CPPUNIT_TEST(accepts_a_first_attempt_at_once);
    CPPUNIT_TEST(counts_a_stopped_process_after_its_grants_expired);
    CPPUNIT_TEST(does_not_affect_keys_whose_home_stays);
    CPPUNIT_TEST_SUITE_END();

    /// Gateway 3 is lost and gateway 1 adopts the view without it, before gateway 2.
    void first_adopts()
    {
        establish_first_view();
        create_view_without_third();
        gateway(1).on_view_record(record_, time_, wall_);
        advance(timing_.grant_duration());
        gateway(1).try_adopt(time_);
    }

    void second_adopts()
    {
        adopt_record(2);
        renew(1, {1, 2});
        gateway(1).try_close(time_, wall_);
    }

    void waits_until_the_old_view_cannot_form_a_majority()
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
        const wall_time last_possible_issue = closed + timing_.takeover_margin();
        advance(timing_.takeover_margin());
        CPPUNIT_ASSERT(refusal_reason(1, key_, last_possible_issue) ==
                       reason::issued_before_ownership);
        CPPUNIT_ASSERT(accepts(1, key_, last_possible_issue + millis(1)));
    }

    void accepts_a_first_attempt_at_once()
    {
        first_adopts();
        second_adopts();
        const ownership_decision decision =
            gateway(1).decide(key_, wall_, true, time_, wall_);
        CPPUNIT_ASSERT(std::holds_alternative<accept_run>(decision));
    }

    void counts_a_stopped_process_after_its_grants_expired()
    {
        first_adopts();
        gateway(1).on_stopped(incarnation(3), time_);
        gateway(1).try_close(time_, wall_);
        CPPUNIT_ASSERT(!gateway(1).may_propose());
        advance(timing_.grant_duration());
        gateway(1).try_close(time_, wall_);
        CPPUNIT_ASSERT(gateway(1).may_propose());
    }

    void does_not_affect_keys_whose_home_stays()
    {
        first_adopts();
        const std::uint64_t unchanged_key =
            key_with_homes({record_.earlier.back(), record_.current}, {1, 1});
        const wall_time long_ago = wall_ - timing_.lease_duration;
        adopt_record(2);
        renew(1, {1, 2});
        CPPUNIT_ASSERT(accepts(1, unchanged_key, long_ago));
    }
};

class handover : public three_gateways
{
    CPPUNIT_TEST_SUITE(handover);
    CPPUNIT_TEST(lets_the_new_home_accept_without_a_margin);
    CPPUNIT_TEST(is_awaited_when_the_others_adopted_first);
    CPPUNIT_TEST(is_not_awaited_from_a_stopped_process);
    CPPUNIT_TEST(is_not_offered_by_a_process_that_owned_nothing);
    CPPUNIT_TEST_SUITE_END();

    void lets_the_new_home_accept_without_a_margin()
    {
        establish_first_view();
        const wall_time before_the_change = wall_;
        create_view_without_third();
        advance(timing_.grant_duration());
        for (const std::uint64_t number : {1, 2, 3})
        {
            adopt_record(number);
        }
        renew(1, {1, 2});
        CPPUNIT_ASSERT(refusal_reason(1, key_, before_the_change) ==
                       reason::ownership_unproved);
        const std::optional<wall_time> floor = gateway(3).handover_floor();
        CPPUNIT_ASSERT(floor.has_value());
        gateway(1).on_handover({incarnation(3), view_epoch(2), *floor});
        CPPUNIT_ASSERT(accepts(1, key_, before_the_change));
    }

    /// The other gateways adopt the view without gateway 3, which closes the old view.
    /// @return a time of issue before the change of views
    wall_time others_adopt_first()
    {
        establish_first_view();
        const wall_time before_the_change = wall_;
        create_view_without_third();
        advance(timing_.grant_duration());
        adopt_record(1);
        adopt_record(2);
        renew(1, {1, 2});
        gateway(1).try_close(time_, wall_);
        return before_the_change;
    }

    void is_awaited_when_the_others_adopted_first()
    {
        const wall_time before_the_change = others_adopt_first();
        const ownership_decision early =
            gateway(1).decide(key_, before_the_change, false, time_, wall_);
        const auto* awaiting = std::get_if<handover_pending>(&early);
        CPPUNIT_ASSERT(awaiting != nullptr);
        CPPUNIT_ASSERT(awaiting->earlier_home == incarnation(3));
        CPPUNIT_ASSERT(awaiting->fallback.why == reason::issued_before_ownership);
        adopt_record(3);
        gateway(1).on_handover(
            {incarnation(3), view_epoch(2), *gateway(3).handover_floor()});
        CPPUNIT_ASSERT(accepts(1, key_, before_the_change));
    }

    void is_not_awaited_from_a_stopped_process()
    {
        const wall_time before_the_change = others_adopt_first();
        gateway(1).on_stopped(incarnation(3), time_);
        const ownership_decision decision =
            gateway(1).decide(key_, before_the_change, false, time_, wall_);
        CPPUNIT_ASSERT(std::holds_alternative<refuse>(decision));
    }

    void is_not_offered_by_a_process_that_owned_nothing()
    {
        record_ = next_record(first_record({1, 2}), members({1, 2, 4}));
        adopt_record(4);
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
        establish_first_view();
        const std::uint64_t key = key_with_homes({record_.current}, {1});
        const wall_time old = wall_ - timing_.retention - millis(1);
        CPPUNIT_ASSERT(refusal_reason(1, key, old) == reason::issued_before_retention);
    }

    void ahead_of_the_clock_is_refused()
    {
        establish_first_view();
        const std::uint64_t key = key_with_homes({record_.current}, {1});
        CPPUNIT_ASSERT(accepts(1, key, wall_ + timing_.max_caller_skew));
        const wall_time ahead = wall_ + timing_.max_caller_skew + millis(1);
        CPPUNIT_ASSERT(refusal_reason(1, key, ahead) == reason::issued_ahead);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(lease, "ownership");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(adoption, "ownership");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(takeover, "ownership");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(handover, "ownership");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(age, "ownership");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("ownership");

} // namespace
