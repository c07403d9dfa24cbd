#include "support/views.hpp"

#include <medlar/detail/cluster/view_proposal.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using medlar::incarnation;
using medlar::membership_evidence;
using medlar::millis;
using medlar::proposal_schedule;
using medlar::silence_record;
using medlar::steady_time;
using medlar::view;
using medlar::view_member;
using medlar::testing::member;
using medlar::testing::members;

constexpr millis settle{300};
constexpr millis stagger{150};

view view_of(const std::vector<std::uint64_t>& numbers)
{
    return medlar::testing::first_record(numbers).current;
}

membership_evidence seen_by(std::uint64_t self)
{
    membership_evidence seen;
    seen.self = member(self);
    return seen;
}

/// @brief another run of the gateway of host "h<number>"
view_member restarted(std::uint64_t number, std::uint64_t process)
{
    view_member made = member(number);
    made.process = incarnation(process);
    return made;
}

std::string text_of(const std::vector<view_member>& list)
{
    std::string text;
    for (const view_member& each : list)
    {
        text += std::to_string(each.process.get()) + " ";
    }
    return text;
}

class next_members_of_a_view : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(next_members_of_a_view);
    CPPUNIT_TEST(stay_the_same_without_news);
    CPPUNIT_TEST(include_all_that_wait);
    CPPUNIT_TEST(hold_a_new_run_in_place_of_the_old_one_of_its_host);
    CPPUNIT_TEST(hold_a_new_host_in_place_of_the_old_one_of_its_address);
    CPPUNIT_TEST(leave_out_lost_and_leaving_members);
    CPPUNIT_TEST(keep_lost_members_if_fewer_than_half_are_heard);
    CPPUNIT_TEST(replace_a_lost_majority_that_has_restarted);
    CPPUNIT_TEST(keep_the_gateway_itself_although_it_is_called_lost);
    CPPUNIT_TEST(are_never_none);
    CPPUNIT_TEST(do_not_include_a_process_that_waits_and_leaves);
    CPPUNIT_TEST(of_the_first_view_are_all_known);
    CPPUNIT_TEST_SUITE_END();

    void
    check(const std::string& expected, const view& now, const membership_evidence& seen)
    {
        CPPUNIT_ASSERT_EQUAL(expected, text_of(next_members(now, seen)));
    }

    void stay_the_same_without_news()
    {
        check("1 2 3 ", view_of({1, 2, 3}), seen_by(1));
    }

    void include_all_that_wait()
    {
        membership_evidence seen = seen_by(1);
        seen.waiting = members({4, 5, 2});
        check("1 2 3 4 5 ", view_of({1, 2, 3}), seen);
    }

    void hold_a_new_run_in_place_of_the_old_one_of_its_host()
    {
        membership_evidence seen = seen_by(1);
        view_member moved = restarted(2, 22);
        moved.link.port = 9;
        seen.waiting = {moved};
        check("1 3 22 ", view_of({1, 2, 3}), seen);
    }

    void hold_a_new_host_in_place_of_the_old_one_of_its_address()
    {
        membership_evidence seen = seen_by(1);
        view_member other = member(4);
        other.link = member(2).link;
        seen.waiting = {other};
        check("1 3 4 ", view_of({1, 2, 3}), seen);
    }

    void leave_out_lost_and_leaving_members()
    {
        membership_evidence seen = seen_by(1);
        seen.lost = {incarnation(2)};
        seen.leaving = {incarnation(3)};
        check("1 4 5 ", view_of({1, 2, 3, 4, 5}), seen);
    }

    void keep_lost_members_if_fewer_than_half_are_heard()
    {
        membership_evidence seen = seen_by(1);
        seen.lost = {incarnation(3), incarnation(4), incarnation(5)};
        check("1 2 3 4 5 ", view_of({1, 2, 3, 4, 5}), seen);
        check("1 2 6 ", view_of({1, 2, 3, 6}), seen);
        check("1 2 ", view_of({1, 2, 3, 4}), seen);
    }

    void replace_a_lost_majority_that_has_restarted()
    {
        membership_evidence seen = seen_by(1);
        seen.lost = {incarnation(2), incarnation(3)};
        seen.waiting = {restarted(2, 22), restarted(3, 33)};
        check("1 22 33 ", view_of({1, 2, 3}), seen);
    }

    void keep_the_gateway_itself_although_it_is_called_lost()
    {
        membership_evidence seen = seen_by(1);
        seen.lost = {incarnation(1)};
        check("1 2 3 ", view_of({1, 2, 3}), seen);
    }

    void are_never_none()
    {
        membership_evidence seen = seen_by(1);
        seen.leaving = {incarnation(1), incarnation(2)};
        check("1 2 ", view_of({1, 2}), seen);
    }

    void do_not_include_a_process_that_waits_and_leaves()
    {
        membership_evidence seen = seen_by(1);
        seen.waiting = members({4});
        seen.leaving = {incarnation(4)};
        check("1 2 ", view_of({1, 2}), seen);
    }

    void of_the_first_view_are_all_known()
    {
        membership_evidence seen = seen_by(2);
        seen.waiting = members({1, 2, 3});
        CPPUNIT_ASSERT_EQUAL(std::string("2 1 3 "), text_of(first_members(seen)));
    }
};

class a_proposal : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_proposal);
    CPPUNIT_TEST(is_made_after_the_change_has_settled);
    CPPUNIT_TEST(waits_longer_at_a_higher_rank);
    CPPUNIT_TEST(is_not_put_off_for_ever_by_more_changes);
    CPPUNIT_TEST(starts_its_wait_again_after_a_reset);
    CPPUNIT_TEST(is_ranked_by_place_among_members_that_are_heard);
    CPPUNIT_TEST(is_ranked_behind_members_at_a_waiting_gateway);
    CPPUNIT_TEST(counts_silence_without_a_gap);
    CPPUNIT_TEST_SUITE_END();

    void is_made_after_the_change_has_settled()
    {
        proposal_schedule schedule(settle, stagger);
        CPPUNIT_ASSERT(!schedule.due(members({1, 2}), 0, steady_time(0)));
        CPPUNIT_ASSERT(!schedule.due(members({1, 2, 3}), 0, steady_time(299)));
        CPPUNIT_ASSERT(!schedule.due(members({1, 2, 3}), 0, steady_time(598)));
        CPPUNIT_ASSERT(schedule.due(members({1, 2, 3}), 0, steady_time(599)));
    }

    void waits_longer_at_a_higher_rank()
    {
        proposal_schedule schedule(settle, stagger);
        schedule.due(members({1}), 2, steady_time(0));
        CPPUNIT_ASSERT(!schedule.due(members({1}), 2, steady_time(599)));
        CPPUNIT_ASSERT(schedule.due(members({1}), 2, steady_time(600)));
        CPPUNIT_ASSERT(schedule.due(members({1}), 300, steady_time(1500)));
    }

    void is_not_put_off_for_ever_by_more_changes()
    {
        proposal_schedule schedule(settle, stagger);
        std::vector<std::uint64_t> wanted;
        std::int64_t now = 0;
        bool due = false;
        while (!due && now < 2000)
        {
            wanted.push_back(wanted.size());
            due = schedule.due(members(wanted), 0, steady_time(now));
            now += 100;
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1300}, now);
    }

    void starts_its_wait_again_after_a_reset()
    {
        proposal_schedule schedule(settle, stagger);
        schedule.due(members({1}), 0, steady_time(0));
        schedule.reset();
        CPPUNIT_ASSERT(!schedule.due(members({1}), 0, steady_time(1000)));
    }

    void is_ranked_by_place_among_members_that_are_heard()
    {
        membership_evidence seen = seen_by(3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, proposal_rank(view_of({1, 2, 3}), seen));
        seen.lost = {incarnation(1)};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, proposal_rank(view_of({1, 2, 3}), seen));
    }

    void is_ranked_behind_members_at_a_waiting_gateway()
    {
        membership_evidence seen = seen_by(5);
        seen.waiting = members({4, 5, 6});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, proposal_rank(view_of({1, 2, 3}), seen));
    }

    void counts_silence_without_a_gap()
    {
        silence_record silence;
        silence.update({incarnation(1), incarnation(2)}, steady_time(0));
        silence.update({incarnation(2)}, steady_time(500));
        silence.update({incarnation(1), incarnation(2)}, steady_time(1000));
        const std::vector<incarnation> lost =
            silence.lost(millis(1000), steady_time(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lost.size());
        CPPUNIT_ASSERT(lost.front() == incarnation(2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(next_members_of_a_view);
CPPUNIT_TEST_SUITE_REGISTRATION(a_proposal);

} // namespace
