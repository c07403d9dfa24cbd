#include "support/views.hpp"

#include <medlar/detail/cluster/view_proposal.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using medlar::incarnation;
using medlar::membership_observations;
using medlar::millis;
using medlar::proposal_schedule;
using medlar::silent_member_tracker;
using medlar::steady_time;
using medlar::view;
using medlar::view_member;
using medlar::testing::member;
using medlar::testing::members;

constexpr millis stable_time{300};
constexpr millis stagger{150};

view view_of(const std::vector<std::uint64_t>& numbers)
{
    return medlar::testing::first_record(numbers).current;
}

membership_observations observations_of(std::uint64_t self)
{
    membership_observations observed;
    observed.self = member(self);
    return observed;
}

/// @brief Returns a restarted gateway of host "h<number>" with another incarnation.
view_member restarted(std::uint64_t number, std::uint64_t process)
{
    view_member result = member(number);
    result.process = incarnation(process);
    return result;
}

std::string text_of(const std::vector<view_member>& member_list)
{
    std::string text;
    for (const view_member& listed : member_list)
    {
        text += std::to_string(listed.process.get()) + " ";
    }
    return text;
}

class next_members_of_a_view : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(next_members_of_a_view);
    CPPUNIT_TEST(stay_the_same_without_changes);
    CPPUNIT_TEST(include_all_waiting_processes);
    CPPUNIT_TEST(replace_the_old_process_of_a_restarted_host);
    CPPUNIT_TEST(replace_the_old_host_of_an_address);
    CPPUNIT_TEST(exclude_lost_and_leaving_members);
    CPPUNIT_TEST(keep_lost_members_if_fewer_than_half_are_reachable);
    CPPUNIT_TEST(replace_a_lost_majority_that_has_restarted);
    CPPUNIT_TEST(keep_the_gateway_itself_if_it_is_reported_lost);
    CPPUNIT_TEST(are_never_empty);
    CPPUNIT_TEST(exclude_a_waiting_process_that_is_leaving);
    CPPUNIT_TEST(of_the_first_view_include_all_waiting_processes);
    CPPUNIT_TEST_SUITE_END();

    void check(const std::string& expected,
               const view& now,
               const membership_observations& observed)
    {
        CPPUNIT_ASSERT_EQUAL(expected, text_of(next_members(now, observed)));
    }

    void stay_the_same_without_changes()
    {
        check("1 2 3 ", view_of({1, 2, 3}), observations_of(1));
    }

    void include_all_waiting_processes()
    {
        membership_observations observed = observations_of(1);
        observed.waiting = members({4, 5, 2});
        check("1 2 3 4 5 ", view_of({1, 2, 3}), observed);
    }

    void replace_the_old_process_of_a_restarted_host()
    {
        membership_observations observed = observations_of(1);
        view_member moved = restarted(2, 22);
        moved.link.port = 9;
        observed.waiting = {moved};
        check("1 3 22 ", view_of({1, 2, 3}), observed);
    }

    void replace_the_old_host_of_an_address()
    {
        membership_observations observed = observations_of(1);
        view_member other = member(4);
        other.link = member(2).link;
        observed.waiting = {other};
        check("1 3 4 ", view_of({1, 2, 3}), observed);
    }

    void exclude_lost_and_leaving_members()
    {
        membership_observations observed = observations_of(1);
        observed.lost = {incarnation(2)};
        observed.leaving = {incarnation(3)};
        check("1 4 5 ", view_of({1, 2, 3, 4, 5}), observed);
    }

    void keep_lost_members_if_fewer_than_half_are_reachable()
    {
        membership_observations observed = observations_of(1);
        observed.lost = {incarnation(3), incarnation(4), incarnation(5)};
        check("1 2 3 4 5 ", view_of({1, 2, 3, 4, 5}), observed);
        check("1 2 6 ", view_of({1, 2, 3, 6}), observed);
        check("1 2 ", view_of({1, 2, 3, 4}), observed);
    }

    void replace_a_lost_majority_that_has_restarted()
    {
        membership_observations observed = observations_of(1);
        observed.lost = {incarnation(2), incarnation(3)};
        observed.waiting = {restarted(2, 22), restarted(3, 33)};
        check("1 22 33 ", view_of({1, 2, 3}), observed);
    }

    void keep_the_gateway_itself_if_it_is_reported_lost()
    {
        membership_observations observed = observations_of(1);
        observed.lost = {incarnation(1)};
        check("1 2 3 ", view_of({1, 2, 3}), observed);
    }

    void are_never_empty()
    {
        membership_observations observed = observations_of(1);
        observed.leaving = {incarnation(1), incarnation(2)};
        check("1 2 ", view_of({1, 2}), observed);
    }

    void exclude_a_waiting_process_that_is_leaving()
    {
        membership_observations observed = observations_of(1);
        observed.waiting = members({4});
        observed.leaving = {incarnation(4)};
        check("1 2 ", view_of({1, 2}), observed);
    }

    void of_the_first_view_include_all_waiting_processes()
    {
        membership_observations observed = observations_of(2);
        observed.waiting = members({1, 2, 3});
        CPPUNIT_ASSERT_EQUAL(std::string("2 1 3 "), text_of(first_members(observed)));
    }
};

class a_proposal : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_proposal);
    CPPUNIT_TEST(is_made_once_the_change_is_stable);
    CPPUNIT_TEST(waits_longer_at_a_higher_rank);
    CPPUNIT_TEST(is_not_delayed_indefinitely_by_further_changes);
    CPPUNIT_TEST(restarts_its_delay_after_a_reset);
    CPPUNIT_TEST(is_ranked_by_position_among_reachable_members);
    CPPUNIT_TEST(ranks_a_waiting_gateway_after_the_members);
    CPPUNIT_TEST(counts_only_uninterrupted_silence);
    CPPUNIT_TEST_SUITE_END();

    void is_made_once_the_change_is_stable()
    {
        proposal_schedule schedule(stable_time, stagger);
        CPPUNIT_ASSERT(!schedule.due(members({1, 2}), 0, steady_time(0)));
        CPPUNIT_ASSERT(!schedule.due(members({1, 2, 3}), 0, steady_time(299)));
        CPPUNIT_ASSERT(!schedule.due(members({1, 2, 3}), 0, steady_time(598)));
        CPPUNIT_ASSERT(schedule.due(members({1, 2, 3}), 0, steady_time(599)));
    }

    void waits_longer_at_a_higher_rank()
    {
        proposal_schedule schedule(stable_time, stagger);
        schedule.due(members({1}), 2, steady_time(0));
        CPPUNIT_ASSERT(!schedule.due(members({1}), 2, steady_time(599)));
        CPPUNIT_ASSERT(schedule.due(members({1}), 2, steady_time(600)));
        CPPUNIT_ASSERT(schedule.due(members({1}), 300, steady_time(1500)));
    }

    void is_not_delayed_indefinitely_by_further_changes()
    {
        proposal_schedule schedule(stable_time, stagger);
        std::vector<std::uint64_t> proposed;
        std::int64_t now = 0;
        bool due = false;
        while (!due && now < 2000)
        {
            proposed.push_back(proposed.size());
            due = schedule.due(members(proposed), 0, steady_time(now));
            now += 100;
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1300}, now);
    }

    void restarts_its_delay_after_a_reset()
    {
        proposal_schedule schedule(stable_time, stagger);
        schedule.due(members({1}), 0, steady_time(0));
        schedule.reset();
        CPPUNIT_ASSERT(!schedule.due(members({1}), 0, steady_time(1000)));
    }

    void is_ranked_by_position_among_reachable_members()
    {
        membership_observations observed = observations_of(3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, proposal_rank(view_of({1, 2, 3}), observed));
        observed.lost = {incarnation(1)};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, proposal_rank(view_of({1, 2, 3}), observed));
    }

    void ranks_a_waiting_gateway_after_the_members()
    {
        membership_observations observed = observations_of(5);
        observed.waiting = members({4, 5, 6});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, proposal_rank(view_of({1, 2, 3}), observed));
    }

    void counts_only_uninterrupted_silence()
    {
        silent_member_tracker silence;
        silence.update({incarnation(1), incarnation(2)}, steady_time(0));
        silence.update({incarnation(2)}, steady_time(500));
        silence.update({incarnation(1), incarnation(2)}, steady_time(1000));
        const std::vector<incarnation> lost =
            silence.silent_for(millis(1000), steady_time(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lost.size());
        CPPUNIT_ASSERT(lost.front() == incarnation(2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(next_members_of_a_view);
CPPUNIT_TEST_SUITE_REGISTRATION(a_proposal);

} // namespace
