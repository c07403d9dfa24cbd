#include "support/entry/partitioned_group.hpp"

#include <medlar/detail/entry/request_forward.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace medlar;
using namespace medlar::test;

// time for the hosts to notice a cut and to tell each other
constexpr millis contact_time{3000};

/// lets some hosts lose their paths, and waits until they have to know it
void cut_some(partitioned_group& group,
              const std::vector<std::size_t>& hosts,
              path_cut how,
              const std::string& path)
{
    group.served_in_turn(path, 8);
    for (const std::size_t each : hosts)
    {
        group.cut(each, how);
    }
    const steady_time end = group.time.steady_now() + contact_time;
    while (group.time.steady_now() < end)
    {
        for (std::size_t host = 0; host < group.hosts.size(); ++host)
        {
            group.begin_at(host, path);
        }
        group.run_for(millis(250));
    }
}

/// Sends requests to a host without a path, and kills one of the two that run them.
/// @return the answers; the targets hold the requests
std::vector<std::shared_ptr<received_answer>>
kill_one_of_two_forwarders(partitioned_group& group, const std::string& path)
{
    cut_some(group, {0}, path_cut::refused, "/n/x");
    group.is_holding = true;
    std::vector<std::shared_ptr<received_answer>> answers;
    for (int i = 0; i < 8; ++i)
    {
        answers.push_back(group.begin_at(0, path));
    }
    CPPUNIT_ASSERT(group.until(
        [&]
        {
            return group.arrivals(path) == answers.size();
        }));
    group.kill_host(1);
    return answers;
}

class hosts_without_a_path : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(hosts_without_a_path);
    CPPUNIT_TEST(are_served_by_others_if_their_connections_are_refused);
    CPPUNIT_TEST(are_served_by_others_if_their_connections_hang);
    CPPUNIT_TEST(are_served_by_others_if_only_new_connections_are_refused);
    CPPUNIT_TEST(are_served_by_the_only_host_with_a_path);
    CPPUNIT_TEST(run_requests_once_at_most_if_the_other_host_is_killed);
    CPPUNIT_TEST(run_requests_on_no_more_targets_than_permitted_if_the_other_is_killed);
    CPPUNIT_TEST(have_a_third_host_run_requests_if_the_other_is_killed);
    CPPUNIT_TEST(count_the_targets_that_a_request_has_reached_before);
    CPPUNIT_TEST(run_requests_once_at_most_if_a_target_answers_without_a_signature);
    CPPUNIT_TEST(pass_on_what_looks_like_a_refusal_if_it_is_a_targets);
    CPPUNIT_TEST(are_told_that_a_request_was_not_taken_whatever_the_reason);
    CPPUNIT_TEST(have_requests_run_whose_heads_are_as_long_as_permitted);
    CPPUNIT_TEST(pass_on_a_refusal_that_is_true);
    CPPUNIT_TEST(pass_on_no_refusal_of_a_request_that_may_have_run_before);
    CPPUNIT_TEST(end_the_request_of_a_caller_that_leaves);
    CPPUNIT_TEST(refuse_if_no_host_has_a_path_and_serve_once_one_is_back);
    CPPUNIT_TEST(leave_the_pieces_of_others_to_hosts_with_a_path);
    CPPUNIT_TEST_SUITE_END();

  public:
    void are_served_by_others_if_their_connections_are_refused()
    {
        partitioned_group it(4, 5, 0);
        cut_some(it, {0, 1}, path_cut::refused, "/i/x");
        CPPUNIT_ASSERT_EQUAL(20, it.served_in_turn("/i/x", 20));
        CPPUNIT_ASSERT_EQUAL(20, it.served_in_turn("/n/x", 20));
        CPPUNIT_ASSERT_EQUAL(20, it.served_in_turn("/e/x", 20));
    }

    void are_served_by_others_if_their_connections_hang()
    {
        partitioned_group it(4, 5, 0);
        cut_some(it, {2, 3}, path_cut::hanging, "/i/x");
        CPPUNIT_ASSERT_EQUAL(20, it.served_in_turn("/n/x", 20));
        CPPUNIT_ASSERT_EQUAL(20, it.served_in_turn("/e/x", 20));
    }

    void are_served_by_others_if_only_new_connections_are_refused()
    {
        partitioned_group it(3, 5, 0);
        it.served_in_turn("/i/x", 3);
        it.cut(0, path_cut::new_refused);
        it.is_holding = true;
        for (int i = 0; i < 6; ++i)
        {
            it.begin_at(0, "/i/x");
        }
        it.run_for(millis(200));
        it.is_holding = false;
        CPPUNIT_ASSERT_EQUAL(20, it.served_in_turn("/n/x", 20));
    }

    void run_requests_once_at_most_if_the_other_host_is_killed()
    {
        partitioned_group it(2, 5, 0);
        cut_some(it, {0}, path_cut::hanging, "/i/x");
        it.is_holding = true;
        const auto got = it.begin_at(0, "/n/once");
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return it.arrivals("/n/once") == 1;
            }));
        it.restore(0);
        it.kill_host(1);
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return got->ended;
            }));
        CPPUNIT_ASSERT_EQUAL(502, got->status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.arrivals("/n/once"));
    }

    void run_requests_on_no_more_targets_than_permitted_if_the_other_is_killed()
    {
        partitioned_group it(3, 5, 0);
        const auto answers = kill_one_of_two_forwarders(it, "/o/x");
        it.run_for(millis(500));
        CPPUNIT_ASSERT_EQUAL(answers.size(), it.arrivals("/o/x"));
        const auto failed = std::count_if(answers.begin(),
                                          answers.end(),
                                          [](const auto& each)
                                          {
                                              return each->status == 502;
                                          });
        CPPUNIT_ASSERT(failed > 0);
    }

    void have_a_third_host_run_requests_if_the_other_is_killed()
    {
        partitioned_group it(3, 5, 0);
        const auto answers = kill_one_of_two_forwarders(it, "/t/x");
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return it.arrivals("/t/x") > answers.size();
            }));
        it.is_holding = false;
        it.release_requests();
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return std::all_of(answers.begin(),
                                   answers.end(),
                                   [](const auto& each)
                                   {
                                       return each->ended && each->status == 200;
                                   });
            }));
    }

    void count_the_targets_that_a_request_has_reached_before()
    {
        partitioned_group it(2, 5, 0);
        it.is_holding = true;
        const auto got = it.begin_at(0, "/i/ran");
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return it.arrivals("/i/ran") == 1;
            }));
        it.is_breaking_off = true;
        it.cut(0, path_cut::refused);
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return got->ended;
            }));
        CPPUNIT_ASSERT_EQUAL(502, got->status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.arrivals("/i/ran"));
    }

    void run_requests_once_at_most_if_a_target_answers_without_a_signature()
    {
        partitioned_group it(3, 5, 0);
        cut_some(it, {0}, path_cut::refused, "/i/x");
        for (const int status : {401, 404})
        {
            it.unsigned_status = status;
            const std::string path = absl::StrCat("/n/", status);
            const received_answer got = it.send_at(0, path);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.arrivals(path));
            CPPUNIT_ASSERT_EQUAL(status, got.status);
        }
    }

    void pass_on_what_looks_like_a_refusal_if_it_is_a_targets()
    {
        partitioned_group it(3, 5, 0);
        cut_some(it, {0}, path_cut::refused, "/i/x");
        it.said.add(forward_not_taken_header, "of a target");
        const received_answer got = it.send_at(0, "/n/said");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.arrivals("/n/said"));
        CPPUNIT_ASSERT_EQUAL(200, got.status);
    }

    void are_told_that_a_request_was_not_taken_whatever_the_reason()
    {
        partitioned_group it(1, 5, 0);
        const endpoint forward = it.all_settings.front().forward_endpoint;
        const std::string known = request_text("POST", "/n/x", "id-k", "b");
        std::string unknown_key = known;
        unknown_key.replace(unknown_key.find("key-1"), 5, "key-2");
        for (const std::string& request :
             {request_text("POST", "/gone/x", "id-g", "b"), unknown_key})
        {
            const received_answer got = it.send(forward, request);
            CPPUNIT_ASSERT_EQUAL(503, got.status);
            CPPUNIT_ASSERT(!got.headers.get(forward_not_taken_header).empty());
        }
        CPPUNIT_ASSERT_EQUAL(200, it.send(forward, known).status);
    }

    void have_requests_run_whose_heads_are_as_long_as_permitted()
    {
        partitioned_group it(2, 5, 0);
        cut_some(it, {0}, path_cut::refused, "/i/x");
        constexpr std::size_t permitted_bytes = 8192;
        const std::string pad(permitted_bytes - 400, 'x');
        std::size_t more = 400;
        received_answer got;
        do
        {
            --more;
            got = it.send_at(
                1, "/n/x", absl::StrCat("X-Pad: ", pad, std::string(more, 'x'), "\r\n"));
        } while (got.status == 431);
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        const std::string headers =
            absl::StrCat("X-Pad: ", pad, std::string(more - 2, 'x'), "\r\n");
        CPPUNIT_ASSERT_EQUAL(200, it.send_at(0, "/n/x", headers).status);
    }

    void pass_on_a_refusal_that_is_true()
    {
        partitioned_group it(2, 5, 0);
        cut_some(it, {0}, path_cut::refused, "/i/x");
        it.refusal = "0.2";
        const received_answer got = it.send_at(0, "/n/x");
        CPPUNIT_ASSERT_EQUAL(503, got.status);
        CPPUNIT_ASSERT(!got.headers.get("Retry-After").empty());
    }

    void pass_on_no_refusal_of_a_request_that_may_have_run_before()
    {
        partitioned_group it(2, 5, 0);
        it.is_holding = true;
        const auto got = it.begin_at(0, "/i/ran");
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return it.arrivals("/i/ran") == 1;
            }));
        it.refusal = "0.2";
        it.cut(0, path_cut::refused);
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return got->ended;
            }));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(got->body, 502, got->status);
    }

    void end_the_request_of_a_caller_that_leaves()
    {
        partitioned_group it(2, 5, 0);
        cut_some(it, {0}, path_cut::refused, "/i/x");
        it.is_holding = true;
        std::shared_ptr<client_call> call;
        it.begin_at(0, "/i/left", {}, &call);
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return it.arrivals("/i/left") == 1;
            }));
        call->cancel();
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return it.held.back()->is_disconnected();
            }));
    }

    void refuse_if_no_host_has_a_path_and_serve_once_one_is_back()
    {
        partitioned_group it(3, 5, 0);
        cut_some(it, {0, 1, 2}, path_cut::refused, "/i/x");
        const received_answer got = it.send_at(0, "/n/x");
        CPPUNIT_ASSERT_EQUAL(503, got.status);
        CPPUNIT_ASSERT(!got.headers.get("Retry-After").empty());
        it.restore(1);
        it.run_for(millis(1000));
        CPPUNIT_ASSERT_EQUAL(12, it.served_in_turn("/n/x", 12));
    }

    void are_served_by_the_only_host_with_a_path()
    {
        partitioned_group it(4, 5, 3);
        cut_some(it, {0, 1, 3}, path_cut::hanging, "/s/x");
        CPPUNIT_ASSERT_EQUAL(20, it.served_in_turn("/s/x", 20));
    }

    void leave_the_pieces_of_others_to_hosts_with_a_path()
    {
        for (const path_cut how : {path_cut::refused, path_cut::hanging})
        {
            // one of them owns the pieces
            for (std::size_t host = 0; host < 2; ++host)
            {
                partitioned_group it(2, 5, 3);
                cut_some(it, {host}, how, "/s/x");
                CPPUNIT_ASSERT_EQUAL(12, it.served_in_turn("/s/x", 12));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hosts_without_a_path);

class what_a_target_says_of_itself : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(what_a_target_says_of_itself);
    CPPUNIT_TEST(binds_a_host_that_passed_on_that_it_leaves);
    CPPUNIT_TEST(binds_a_host_that_passed_on_that_it_leaves_before_its_entry_has_come);
    CPPUNIT_TEST(binds_a_host_that_passed_on_its_limit);
    CPPUNIT_TEST(pauses_no_host_that_it_has_not_answered);
    CPPUNIT_TEST(is_passed_on_without_its_name);
    CPPUNIT_TEST_SUITE_END();

    static std::size_t arrivals_at(const stand_in_target& target, const std::string& path)
    {
        std::size_t count = 0;
        for (const request_head& head : target.requests)
        {
            count += head.target == path ? 1 : 0;
        }
        return count;
    }

    /// sends requests to a host without a path until an answer has a header
    static void
    pass_on(partitioned_group& it, const std::string& path, const std::string& header)
    {
        bool is_passed_on = false;
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                is_passed_on =
                    is_passed_on || it.send_at(0, path).headers.find(header) != nullptr;
                return is_passed_on;
            }));
    }

    /// has a host without a path pass on that the first target leaves
    static void pass_on_leaving(partitioned_group& it)
    {
        it.said_by["i-0"].add("Server-Leaving", "1");
        pass_on(it, "/i/x", "Server-Leaving");
    }

    /// gives the first host its path back, as the only host
    static void leave_it_alone_with_its_path(partitioned_group& it)
    {
        it.restore(0);
        it.run_for(millis(1000));
        it.kill_host(1);
    }

    /// expects that the first host sends its requests to other targets
    static void expect_left(partitioned_group& it)
    {
        for (int i = 0; i < 20; ++i)
        {
            const received_answer got = it.send_at(0, "/i/later");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(got.body, 200, got.status);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, arrivals_at(*it.targets[0], "/i/later"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, it.arrivals("/i/later"));
    }

  public:
    void binds_a_host_that_passed_on_that_it_leaves()
    {
        partitioned_group it(2, 3, 0);
        cut_some(it, {0}, path_cut::refused, "/i/x");
        pass_on_leaving(it);
        leave_it_alone_with_its_path(it);
        expect_left(it);
    }

    void binds_a_host_that_passed_on_that_it_leaves_before_its_entry_has_come()
    {
        partitioned_group it(2, 3, 0);
        cut_some(it, {0}, path_cut::refused, "/i/x");
        stand_in_target& target = *it.targets[0];
        target.restart(target.started_ms + 1);
        // the host that runs the requests asks for the start of the process
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                it.send_at(0, "/e/x");
                return target.reports > 0;
            }));
        pass_on_leaving(it);
        it.store.put(target.key(), target.entry());
        leave_it_alone_with_its_path(it);
        expect_left(it);
    }

    void binds_a_host_that_passed_on_its_limit()
    {
        partitioned_group it(2, 2, 0);
        cut_some(it, {0}, path_cut::refused, "/i/x");
        it.said.add("Server-Limit", "5");
        CPPUNIT_ASSERT_EQUAL(200, it.send_at(0, "/i/x").status);
        CPPUNIT_ASSERT_EQUAL(200, it.send_at(0, "/i/x").status);
        leave_it_alone_with_its_path(it);
        std::vector<std::shared_ptr<received_answer>> answers;
        for (int i = 0; i < 60; ++i)
        {
            answers.push_back(it.begin_at(0, "/n/later"));
        }
        it.run_for(millis(500));
        CPPUNIT_ASSERT(it.arrivals("/n/later") > 0);
        // of the two targets: what they take in a second, and the few of a burst
        CPPUNIT_ASSERT_MESSAGE(std::to_string(it.arrivals("/n/later")),
                               it.arrivals("/n/later") <= 20);
    }

    void pauses_no_host_that_it_has_not_answered()
    {
        partitioned_group it(2, 3, 0);
        cut_some(it, {0}, path_cut::refused, "/i/x");
        it.said_by["i-0"].add("Retry-After", "9");
        it.said_by["i-0"].add("X-Paused", "1");
        it.unsigned_status = 503;
        pass_on(it, "/n/x", "X-Paused");
        it.unsigned_status = 0;
        it.said_by.clear();
        leave_it_alone_with_its_path(it);
        for (int i = 0; i < 30; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(200, it.send_at(0, "/i/later").status);
        }
        CPPUNIT_ASSERT(arrivals_at(*it.targets[0], "/i/later") > 0);
    }

    void is_passed_on_without_its_name()
    {
        partitioned_group it(2, 3, 0);
        cut_some(it, {0}, path_cut::refused, "/i/x");
        const received_answer got = it.send_at(0, "/i/y");
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        for (const header_field& each : got.headers)
        {
            CPPUNIT_ASSERT_MESSAGE(each.name, !absl::StartsWith(each.name, "Medlar-"));
        }
        // a host of an older build would pass the name on
        const received_answer named =
            it.send(it.all_settings[1].forward_endpoint,
                    request_text("GET", "/i/z", "id-z", "", "Medlar-Max-Sends: 1\r\n"));
        CPPUNIT_ASSERT_EQUAL(200, named.status);
        CPPUNIT_ASSERT(named.headers.find("Medlar-Target") == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(what_a_target_says_of_itself);

class the_targets_of_a_forwarded_request : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_targets_of_a_forwarded_request);
    CPPUNIT_TEST(are_as_many_as_the_host_that_forwards_it_has_left);
    CPPUNIT_TEST(are_as_many_as_its_route_permits_if_an_older_host_forwards_it);
    CPPUNIT_TEST_SUITE_END();

  public:
    void are_as_many_as_the_host_that_forwards_it_has_left()
    {
        CPPUNIT_ASSERT_EQUAL(1, max_sends_of_forwarded(head_with("1"), 3));
        CPPUNIT_ASSERT_EQUAL(3, max_sends_of_forwarded(head_with("9"), 3));
    }

    void are_as_many_as_its_route_permits_if_an_older_host_forwards_it()
    {
        CPPUNIT_ASSERT_EQUAL(3, max_sends_of_forwarded({}, 3));
        for (const char* odd : {"", "0", "-1", "some"})
        {
            CPPUNIT_ASSERT_EQUAL(3, max_sends_of_forwarded(head_with(odd), 3));
        }
    }

  private:
    static request_head head_with(const std::string& max_sends)
    {
        request_head head;
        head.headers.add(forward_sends_header, max_sends);
        return head;
    }
};

class a_target_that_one_host_cannot_reach : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_target_that_one_host_cannot_reach);
    CPPUNIT_TEST(has_not_crashed_under_its_requests);
    CPPUNIT_TEST_SUITE_END();

  public:
    void has_not_crashed_under_its_requests()
    {
        partitioned_group it(3, 5, 0);
        it.is_holding = true;
        for (int i = 0; i < 10; ++i)
        {
            it.begin_at(0, "/e/x", "Prompt-Prefix: shared:100,own:10\r\n");
            it.run_for(millis(20));
        }
        it.cut(0, path_cut::refused);
        it.is_holding = false;
        for (int i = 0; i < 20; ++i)
        {
            it.begin_at(0, "/e/x", "Prompt-Prefix: shared:100,own:10\r\n");
            it.run_for(millis(50));
        }
        for (std::size_t host = 0; host < it.hosts.size(); ++host)
        {
            const received_answer got =
                it.send_at(host, "/e/y", "Prompt-Prefix: shared:100,more:10\r\n");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(got.body, 200, got.status);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_targets_of_a_forwarded_request);
CPPUNIT_TEST_SUITE_REGISTRATION(a_target_that_one_host_cannot_reach);

} // namespace
