#include "support/entry/entry_fixture.hpp"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

using exchange_ptr = std::shared_ptr<caller_exchange>;

std::string event(int id)
{
    return absl::StrCat("id: ", id, "\ndata: x\n\n");
}

header_list stream_headers(const caller_exchange& exchange)
{
    header_list headers = signed_headers(exchange);
    headers.add("Content-Type", "text/event-stream");
    return headers;
}

void break_off_after_first_event(caller_exchange& exchange)
{
    exchange.begin(200, "OK", stream_headers(exchange), {body_kind::chunked, 0});
    exchange.write(event(1));
    exchange.abort();
}

void refuse_as_not_run(caller_exchange& exchange, int status)
{
    header_list headers;
    headers.add("Not-Executed", "1");
    exchange.answer(status, headers, "");
}

/// an entry host with two engines and a target that makes pieces
class stream_fixture : public entry_fixture
{
  public:
    void open(bool staged, bool resumable, const stand_in_target::behaviour& behaviour)
    {
        for (const char* id : {"i-1", "i-2"})
        {
            engines.push_back(
                std::make_unique<stand_in_target>(loop, id, "plain", behaviour));
        }
        maker = std::make_unique<stand_in_target>(loop,
                                                  "i-3",
                                                  "stage",
                                                  [this](const exchange_ptr& exchange)
                                                  {
                                                      make_pieces(*exchange);
                                                  });
        for (const auto& each : engines)
        {
            store.put(each->key(), each->entry());
        }
        store.put(maker->key(), maker->entry());
        nlohmann::json route = route_json("/a/", "stream", "plain");
        route["resumable"] = resumable;
        if (staged)
        {
            route["stages"] = {{{"service", "stage"},
                                {"after", nlohmann::json::array()},
                                {"bytes", 100}},
                               {{"service", "stage"}, {"after", {0}}, {"bytes", 100}}};
        }
        store.put("op/config", configuration_json(3, {route}));
        host = start(settings_);
        CPPUNIT_ASSERT(until(
            [&]
            {
                return is_ready(settings_);
            }));
    }

    void make_pieces(caller_exchange& exchange)
    {
        const nlohmann::json body = nlohmann::json::parse(exchange.body());
        if (exchange.head().target == "/-/stage-free")
        {
            freed += body["handles"].size();
            exchange.answer(200, {}, "{}");
            return;
        }
        nlohmann::json items = nlohmann::json::array();
        for (const nlohmann::json& each : body["items"])
        {
            calls.push_back(each);
            if (fail_pieces)
            {
                items.push_back({{"reason", "gone"}});
                continue;
            }
            items.push_back(
                {{"handle", absl::StrCat(to_string(maker->where()), "/", ++made)}});
        }
        exchange.answer(200, {}, nlohmann::json({{"items", items}}).dump());
    }

    got_answer ask(const std::string& headers = "")
    {
        return send(settings_.callers,
                    request_text("POST", "/a/x", "id-1", "b", headers));
    }

    entry_settings settings_ = settings("host-1");
    std::vector<std::unique_ptr<stand_in_target>> engines;
    std::unique_ptr<stand_in_target> maker;
    std::vector<nlohmann::json> calls;
    bool fail_pieces = false;
    std::size_t freed = 0;
    int made = 0;
    std::shared_ptr<running_host> host;
};

class a_stream : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_stream);
    CPPUNIT_TEST(goes_on_at_another_engine_within_one_answer);
    CPPUNIT_TEST(is_cut_if_it_may_not_go_on);
    CPPUNIT_TEST(is_cut_if_it_cannot_be_resumed);
    CPPUNIT_TEST(is_cut_if_its_stages_cannot_be_done_again);
    CPPUNIT_TEST(is_not_joined_where_an_event_is_missing);
    CPPUNIT_TEST(is_cut_if_the_next_engine_answers_with_an_error);
    CPPUNIT_TEST_SUITE_END();

  public:
    void goes_on_at_another_engine_within_one_answer()
    {
        stream_fixture it;
        std::string resumed_after;
        int runs = 0;
        it.open(false,
                true,
                [&](const exchange_ptr& exchange)
                {
                    exchange->begin(
                        200, "OK", stream_headers(*exchange), {body_kind::chunked, 0});
                    if (++runs == 1)
                    {
                        exchange->write(event(1) + event(2) + "id: 3\nda");
                        exchange->abort();
                        return;
                    }
                    resumed_after =
                        std::string(exchange->head().headers.get("Last-Event-Id"));
                    exchange->write(event(3) + event(4));
                    exchange->finish();
                });
        const got_answer got = it.ask();
        CPPUNIT_ASSERT(got.end == call_end::complete);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3) + event(4), got.body);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), resumed_after);
    }

    void is_cut_if_the_next_engine_answers_with_an_error()
    {
        stream_fixture it;
        int runs = 0;
        it.open(false,
                true,
                [&](const exchange_ptr& exchange)
                {
                    if (++runs > 1)
                    {
                        exchange->answer(500, signed_headers(*exchange), "failed");
                        return;
                    }
                    break_off_after_first_event(*exchange);
                });
        const got_answer got = it.ask();
        CPPUNIT_ASSERT(got.end != call_end::complete);
        CPPUNIT_ASSERT_EQUAL(event(1), got.body);
    }

    void is_cut_if_it_may_not_go_on()
    {
        stream_fixture it;
        it.open(false,
                false,
                [&](const exchange_ptr& exchange)
                {
                    break_off_after_first_event(*exchange);
                });
        const got_answer got = it.ask();
        CPPUNIT_ASSERT(got.end != call_end::complete);
        CPPUNIT_ASSERT_EQUAL(event(1), got.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             it.engines[0]->requests.size() +
                                 it.engines[1]->requests.size());
    }

    void is_cut_if_it_cannot_be_resumed()
    {
        stream_fixture it;
        int runs = 0;
        it.open(false,
                true,
                [&](const exchange_ptr& exchange)
                {
                    if (++runs > 1)
                    {
                        refuse_as_not_run(*exchange, 503);
                        return;
                    }
                    break_off_after_first_event(*exchange);
                });
        const got_answer got = it.ask();
        CPPUNIT_ASSERT(got.end != call_end::complete);
        CPPUNIT_ASSERT_EQUAL(event(1), got.body);
    }

    /// the text of a refusal after the first events once ended a stream as if complete
    void is_cut_if_its_stages_cannot_be_done_again()
    {
        stream_fixture it;
        int runs = 0;
        it.open(true,
                true,
                [&](const exchange_ptr& exchange)
                {
                    if (++runs > 1)
                    {
                        refuse_as_not_run(*exchange, 409);
                        it.fail_pieces = true;
                        return;
                    }
                    break_off_after_first_event(*exchange);
                });
        const got_answer got = it.ask("Pieces: 1,1\r\nPiece-Key: k\r\n");
        CPPUNIT_ASSERT(got.end != call_end::complete);
        CPPUNIT_ASSERT_EQUAL(event(1), got.body);
    }

    void is_not_joined_where_an_event_is_missing()
    {
        stream_fixture it;
        it.open(false,
                true,
                [&](const exchange_ptr& exchange)
                {
                    exchange->begin(
                        200, "OK", stream_headers(*exchange), {body_kind::chunked, 0});
                    exchange->write(event(1) + event(3));
                    exchange->finish();
                });
        const got_answer got = it.ask();
        CPPUNIT_ASSERT(got.end != call_end::complete);
        CPPUNIT_ASSERT_EQUAL(event(1), got.body);
    }
};

class the_stages_of_a_request : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_stages_of_a_request);
    CPPUNIT_TEST(are_done_in_order_before_it_runs);
    CPPUNIT_TEST(are_done_again_when_results_are_gone);
    CPPUNIT_TEST(are_freed_when_they_were_read);
    CPPUNIT_TEST(are_no_reason_to_refuse_what_has_run);
    CPPUNIT_TEST(carry_ids_that_are_not_text);
    CPPUNIT_TEST_SUITE_END();

    static void answer_stream(const exchange_ptr& exchange)
    {
        exchange->begin(200, "OK", stream_headers(*exchange), {body_kind::chunked, 0});
        exchange->write(event(1));
        exchange->finish();
    }

  public:
    void are_done_in_order_before_it_runs()
    {
        stream_fixture it;
        it.open(true, true, answer_stream);
        const got_answer got = it.ask("Pieces: 2,3\r\nPiece-Key: k-9\r\n");
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, it.calls.size());
        CPPUNIT_ASSERT_EQUAL(std::string("k-9"), it.calls[0]["key"].get<std::string>());
        CPPUNIT_ASSERT(!it.calls[0].contains("inputs"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.calls[2]["inputs"].size());
        CPPUNIT_ASSERT(!it.calls[2].contains("key"));
        const auto& engine =
            it.engines[0]->requests.empty() ? it.engines[1] : it.engines[0];
        const std::string inputs(engine->requests.at(0).headers.get("Inputs"));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2},
                             std::count(inputs.begin(), inputs.end(), ','));
    }

    void are_done_again_when_results_are_gone()
    {
        stream_fixture it;
        int runs = 0;
        it.open(true,
                true,
                [&](const exchange_ptr& exchange)
                {
                    if (++runs == 1)
                    {
                        refuse_as_not_run(*exchange, 409);
                        return;
                    }
                    answer_stream(exchange);
                });
        const got_answer got = it.ask("Pieces: 1,1\r\nPiece-Key: k\r\n");
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, it.calls.size());
    }

    /// The first engine runs the request and breaks off; at the second the results are
    /// gone, each time again.
    void are_no_reason_to_refuse_what_has_run()
    {
        stream_fixture it;
        int runs = 0;
        it.open(true,
                true,
                [&](const exchange_ptr& exchange)
                {
                    if (++runs == 1)
                    {
                        exchange->abort();
                        return;
                    }
                    it.fail_pieces = true;
                    refuse_as_not_run(*exchange, 409);
                });
        const got_answer got = it.ask("Pieces: 1,1\r\nPiece-Key: k\r\n");
        CPPUNIT_ASSERT_EQUAL(504, got.status);
    }

    void carry_ids_that_are_not_text()
    {
        stream_fixture it;
        it.open(true, true, answer_stream);
        const got_answer got = it.ask("Pieces: 1,1\r\nPiece-Key: \xff\xfe\r\n");
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT(it.is_ready(it.settings_));
    }

    void are_freed_when_they_were_read()
    {
        stream_fixture it;
        it.open(true, true, answer_stream);
        it.ask("Pieces: 2,3\r\nPiece-Key: k\r\n");
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return it.freed == 5;
            }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_stream);
CPPUNIT_TEST_SUITE_REGISTRATION(the_stages_of_a_request);

} // namespace
