#include "support/entry/cut_group.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

using exchange_ptr = std::shared_ptr<caller_exchange>;

constexpr char first_event[] = "id: 1\ndata: x\n\n";

/// what the next target answers after a stream has broken off behind its first event
struct next_answer
{
    std::string what;
    std::function<void(cut_group&, const exchange_ptr&)> send;
};

next_answer error_with(int status, bool is_signed, bool is_not_run)
{
    return {
        absl::StrCat(status, is_signed ? " signed" : "", is_not_run ? " not run" : ""),
        [=](cut_group&, const exchange_ptr& exchange)
        {
            header_list headers = signed_headers(*exchange);
            if (!is_signed)
            {
                headers.remove("Response-Signature");
            }
            if (is_not_run)
            {
                headers.add("Not-Executed", "1");
            }
            exchange->answer(status, headers, "the text of an error");
        }};
}

std::vector<next_answer> answers_that_do_not_go_on()
{
    std::vector<next_answer> answers;
    for (const int status : {400, 404, 409, 429, 500, 502, 503, 504})
    {
        answers.push_back(error_with(status, true, false));
        answers.push_back(error_with(status, false, false));
    }
    for (const int status : {400, 409, 421, 429, 503})
    {
        answers.push_back(error_with(status, false, true));
    }
    answers.push_back(error_with(200, false, false));
    answers.push_back({"200 whose body is no event", error_with(200, true, false).send});
    answers.push_back({"an event that ends within itself",
                       [](cut_group&, const exchange_ptr& exchange)
                       {
                           exchange->answer(200, signed_headers(*exchange), "id: 2\nda");
                       }});
    answers.push_back({"an end at once",
                       [](cut_group&, const exchange_ptr& exchange)
                       {
                           exchange->abort();
                       }});
    answers.push_back({"an end after its head",
                       [](cut_group&, const exchange_ptr& exchange)
                       {
                           exchange->begin(200,
                                           "OK",
                                           signed_headers(*exchange),
                                           {body_kind::chunked, 0});
                           exchange->abort();
                       }});
    for (const std::size_t place : {9, 10, 11, 15})
    {
        answers.push_back(
            {absl::StrCat("no length, and an end at ", place),
             [place](cut_group& it, const exchange_ptr& exchange)
             {
                 it.target_plan.next =
                     answer_cut{body_kind::until_close, cut_end::closed, place};
                 exchange->answer(200, signed_headers(*exchange), "id: 2\ndata: y\n\n");
             }});
    }
    answers.push_back({"an event that is too late",
                       [](cut_group&, const exchange_ptr& exchange)
                       {
                           exchange->answer(
                               200, signed_headers(*exchange), "id: 3\ndata: z\n\n");
                       }});
    return answers;
}

class a_stream_that_broke_off : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_stream_that_broke_off);
    CPPUNIT_TEST(ends_as_broken_if_the_next_target_does_not_go_on);
    CPPUNIT_TEST(ends_as_broken_at_another_host_if_the_next_target_does_not_go_on);
    CPPUNIT_TEST(goes_on_at_another_host_at_the_next_target);
    CPPUNIT_TEST_SUITE_END();

    static void break_off_then(cut_group& it, const next_answer& next)
    {
        it.answer = [&it, next, runs = 0](const exchange_ptr& exchange) mutable
        {
            if (exchange->head().headers.get("Last-Event-Id").empty() && ++runs == 1)
            {
                exchange->begin(
                    200, "OK", signed_headers(*exchange), {body_kind::chunked, 0});
                exchange->write(first_event);
                exchange->abort();
                return;
            }
            next.send(it, exchange);
        };
    }

    static void expect_broken(std::size_t host, cut_group& it)
    {
        int number = 0;
        for (const next_answer& next : answers_that_do_not_go_on())
        {
            // targets that failed are left aside for a while
            std::string path;
            received_answer got;
            const steady_time end = it.time.steady_now() + millis(10000);
            do
            {
                break_off_then(it, next);
                path = absl::StrCat("/e/", ++number);
                got = it.send_at(host, path);
            } while (it.arrivals(path) < 2 && it.time.steady_now() < end);
            const std::string what = absl::StrCat(
                next.what, ": ", got.status, " ", to_string(got.end), " ", got.body);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::size_t{2}, it.arrivals(path));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 200, got.status);
            CPPUNIT_ASSERT_MESSAGE(what, got.end != call_end::complete);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::string(first_event), got.body);
        }
    }

  public:
    void ends_as_broken_if_the_next_target_does_not_go_on()
    {
        cut_group it;
        expect_broken(1, it);
    }

    void ends_as_broken_at_another_host_if_the_next_target_does_not_go_on()
    {
        cut_group it;
        it.cut_first_host();
        expect_broken(0, it);
    }

    void goes_on_at_another_host_at_the_next_target()
    {
        cut_group it;
        it.cut_first_host();
        break_off_then(it,
                       {"the rest",
                        [](cut_group&, const exchange_ptr& exchange)
                        {
                            exchange->answer(200,
                                             signed_headers(*exchange),
                                             "id: 2\ndata: y\n\nid: 3\ndata: z\n\n");
                        }});
        const received_answer got = it.send_at(0, "/e/x");
        CPPUNIT_ASSERT(got.end == call_end::complete);
        CPPUNIT_ASSERT_EQUAL(cut_group::whole_body(), got.body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_stream_that_broke_off);

class a_stream_that_its_caller_takes_up : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_stream_that_its_caller_takes_up);
    CPPUNIT_TEST(goes_on_with_its_next_event_if_the_target_sends_earlier_ones);
    CPPUNIT_TEST(goes_on_with_its_next_event_if_a_target_leaves_that_out);
    CPPUNIT_TEST_SUITE_END();

    /// Takes a stream up after its first event, at a host with a path and at one without.
    /// @param body_of_run what a target answers to the run of that number
    static void expect_next_event(const std::function<std::string(int)>& body_of_run)
    {
        for (const std::size_t host : {std::size_t{1}, std::size_t{0}})
        {
            cut_group it;
            if (host == 0)
            {
                it.cut_first_host();
            }
            it.answer = [&, runs = 0](const exchange_ptr& exchange) mutable
            {
                exchange->answer(200, signed_headers(*exchange), body_of_run(++runs));
            };
            const received_answer got =
                it.send_at(host, "/e/x", "Last-Event-Id: 1\r\nResumes: id-0\r\n");
            const std::string what = absl::StrCat(host, ": ", got.status, " ", got.body);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 200, got.status);
            CPPUNIT_ASSERT_MESSAGE(what, got.end == call_end::complete);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                what, cut_group::whole_body().substr(sizeof(first_event) - 1), got.body);
        }
    }

  public:
    // guards against ORDER: a number that goes back over the tries of a caller
    void goes_on_with_its_next_event_if_the_target_sends_earlier_ones()
    {
        expect_next_event(
            [](int)
            {
                return cut_group::whole_body();
            });
    }

    void goes_on_with_its_next_event_if_a_target_leaves_that_out()
    {
        expect_next_event(
            [](int run)
            {
                const std::string rest =
                    cut_group::whole_body().substr(sizeof(first_event) - 1);
                return run == 1 ? rest.substr(sizeof(first_event) - 1) : rest;
            });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_stream_that_its_caller_takes_up);

} // namespace
