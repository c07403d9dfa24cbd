#include "support/entry/cut_group.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

using exchange_ptr = std::shared_ptr<caller_exchange>;

bool is_promise_not_to_have_run(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

/// expects that an answer is whole, or looks like none, and that a refusal is true
void expect_true(const cut_group& it,
                 const received_answer& got,
                 const std::string& path,
                 const std::string& text)
{
    const std::string what = absl::StrCat(
        text, ": ", path, " ", got.status, " ", to_string(got.end), " ", got.body);
    const bool is_success = got.status >= 200 && got.status < 300;
    if (is_success && got.end == call_end::complete)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, cut_group::whole_body(), got.body);
        CPPUNIT_ASSERT_MESSAGE(what, !got.headers.get("Response-Signature").empty());
    }
    else if (is_success)
    {
        CPPUNIT_ASSERT_MESSAGE(what, absl::StartsWith(cut_group::whole_body(), got.body));
    }
    if (is_promise_not_to_have_run(got.status))
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::size_t{0}, it.arrivals(path));
    }
    const std::size_t permitted = absl::StartsWith(path, "/n/") ? 1 : 2;
    CPPUNIT_ASSERT_MESSAGE(what, it.arrivals(path) <= permitted);
}

void expect_whole(const received_answer& got, const std::string& text)
{
    const std::string what = absl::StrCat(text, ": ", got.status, " ", got.body);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 200, got.status);
    CPPUNIT_ASSERT_MESSAGE(what, got.end == call_end::complete);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, cut_group::whole_body(), got.body);
}

/// Cuts the answers to requests at a host, every second one on a connection that was
/// kept.
/// @param is_exempt whether nothing tells the part from a whole answer
void cut_answers(cut_group& it,
                 std::size_t host,
                 cut_plan& plan,
                 const std::function<bool(const answer_cut&, char kind)>& is_exempt)
{
    int number = 0;
    for (const answer_cut& cut : all_answer_cuts())
    {
        for (const char kind : {'n', 'i', 'e'})
        {
            const std::string path =
                absl::StrCat("/", std::string(1, kind), "/", ++number);
            if (number % 2 == 0)
            {
                expect_whole(it.send_at(host, path + "/sound"), cut.text());
            }
            const std::size_t before = plan.cuts;
            plan.next = cut;
            const received_answer got = it.send_at(host, path);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(cut.text(), before + 1, plan.cuts);
            if (!is_exempt(cut, kind))
            {
                expect_true(it, got, path, cut.text());
            }
        }
    }
    expect_whole(it.send_at(host, "/n/last"), "after the last cut");
}

/// a server whose answers end after some bytes, the second ones on kept connections
class cutting_server : public connection_handler
{
  public:
    explicit cutting_server(event_loop& loop) : where_(free_endpoint())
    {
        auto opened = listener::open(
            loop,
            where_,
            [this](const std::shared_ptr<connection>& accepted)
            {
                accepted_ = accepted;
                accepted->set_handler(this);
            },
            [](const std::string&) {});
        CPPUNIT_ASSERT(opened.ok());
        listener_ = *std::move(opened);
    }

    ~cutting_server() override
    {
        listener_->close();
    }

    void on_input() override
    {
        accepted_->consume(accepted_->input().size());
        const std::string text = texts.front();
        texts.erase(texts.begin());
        accepted_->send(text);
        if (!texts.empty())
        {
            return;
        }
        switch (how)
        {
            case cut_end::closed:
                accepted_->close();
                break;
            case cut_end::half_closed:
                accepted_->close_after_output();
                break;
            case cut_end::reset:
                accepted_->reset();
                break;
        }
    }

    void on_end(connection_end) override
    {
    }

    const endpoint& where() const
    {
        return where_;
    }

    /// what is sent for the next requests; the connection ends after the last one
    std::vector<std::string> texts;
    cut_end how = cut_end::closed;

  private:
    endpoint where_;
    std::shared_ptr<listener> listener_;
    std::shared_ptr<connection> accepted_;
};

class a_call : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_call);
    CPPUNIT_TEST(is_answered_by_no_part_of_an_answer);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_answered_by_no_part_of_an_answer()
    {
        const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        const std::string head = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n";
        struct answer
        {
            std::string text;
            /// size from which nothing tells a part from the whole
            std::size_t whole_from;
        };
        const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
                                           "5\r\n12345\r\na\r\n1234567890\r\n0\r\n\r\n";
        const std::string by_length = head + "Content-Length: 12\r\n\r\n123456789012";
        const std::string by_end = head + "\r\n123456789012";
        const std::vector<answer> answers{{chunked, chunked.size()},
                                          {by_length, by_length.size()},
                                          {by_end, head.size() + 2}};
        for (const answer& each : answers)
        {
            for (const cut_end how :
                 {cut_end::closed, cut_end::half_closed, cut_end::reset})
            {
                for (std::size_t size = 0; size <= each.text.size(); ++size)
                {
                    const bool is_kept = size % 2 == 1;
                    const bool by_end_of_connection =
                        each.whole_from < each.text.size() && how == cut_end::reset;
                    const bool is_whole =
                        size >= each.whole_from && !by_end_of_connection;
                    expect_end(
                        {sound, each.text.substr(0, size)}, is_kept, how, is_whole);
                }
            }
        }
    }

  private:
    static void
    expect_end(std::vector<std::string> texts, bool is_kept, cut_end how, bool is_whole)
    {
        const medlar::clock time = medlar::clock::system();
        event_loop loop(time);
        cutting_server server(loop);
        http_client client(loop, 65536);
        const std::string text = texts.back();
        if (!is_kept)
        {
            texts.erase(texts.begin());
        }
        server.texts = texts;
        server.how = how;
        std::optional<call_end> ended;
        int status = 0;
        for (std::size_t i = 0; i < texts.size(); ++i)
        {
            ended.reset();
            status = 0;
            call_callbacks events;
            events.on_head = [&status](const answer_head& received)
            {
                status = received.status;
            };
            events.on_end = [&ended](call_end end)
            {
                ended = end;
            };
            client.start(server.where(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n", {}, events);
            while (!ended)
            {
                loop.run_once(millis(10));
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, client.opened_connections());
        const std::string what = absl::StrCat(text, ": ", to_string(*ended));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, is_whole, *ended == call_end::complete);
        const bool has_head = absl::StrContains(text, "\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, has_head ? 503 : 0, status);
    }
};

class an_answer_cut : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_answer_cut);
    CPPUNIT_TEST(by_a_host_that_runs_a_request_is_not_passed_on_as_whole);
    CPPUNIT_TEST(by_a_target_of_another_host_is_not_passed_on_as_whole);
    CPPUNIT_TEST(by_a_target_is_not_passed_on_as_whole);
    CPPUNIT_TEST(in_its_head_has_an_idempotent_request_run_by_another_host);
    CPPUNIT_TEST(by_a_target_of_pieces_gives_no_results);
    CPPUNIT_TEST_SUITE_END();

    /// a stream ends within an event if it is cut
    static bool is_plain_without_length(const answer_cut& cut, char kind)
    {
        return cut.is_undetectable() && kind != 'e';
    }

  public:
    void by_a_host_that_runs_a_request_is_not_passed_on_as_whole()
    {
        cut_group it;
        it.cut_first_host();
        cut_answers(it,
                    0,
                    it.hop_plan,
                    [](const answer_cut&, char)
                    {
                        return false;
                    });
    }

    void by_a_target_of_another_host_is_not_passed_on_as_whole()
    {
        cut_group it;
        it.cut_first_host();
        cut_answers(it, 0, it.target_plan, is_plain_without_length);
    }

    void by_a_target_is_not_passed_on_as_whole()
    {
        cut_group it;
        cut_answers(it, 1, it.target_plan, is_plain_without_length);
    }

    void in_its_head_has_an_idempotent_request_run_by_another_host()
    {
        cut_group it;
        it.cut_first_host();
        for (std::size_t place = 0; place < answer_cut::first_in_body; ++place)
        {
            const cut_end how = place % 2 == 0 ? cut_end::closed : cut_end::reset;
            const answer_cut cut{body_kind::length, how, place};
            it.hop_plan.next = cut;
            expect_whole(it.send_at(0, "/t/again"), cut.text());
        }
        // each request ran at two hosts
        CPPUNIT_ASSERT_EQUAL(2 * answer_cut::first_in_body, it.arrivals("/t/again"));
    }

    void by_a_target_of_pieces_gives_no_results()
    {
        cut_group it;
        int number = 0;
        for (const answer_cut& cut : some_answer_cuts())
        {
            const std::string path = absl::StrCat("/s/", ++number);
            const std::size_t before = it.piece_plan.cuts;
            it.piece_plan.next = cut;
            const received_answer got = it.send_at(1, path);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(cut.text(), before + 1, it.piece_plan.cuts);
            expect_true(it, got, path, cut.text());
            const nlohmann::json cut_body = nlohmann::json::parse(it.piece_plan.cut_body);
            for (const nlohmann::json& each : cut_body.at("items"))
            {
                const auto handle = each.at("handle").get<std::string>();
                for (const std::string& inputs : it.inputs)
                {
                    CPPUNIT_ASSERT_MESSAGE(
                        cut.text(), !absl::StrContains(inputs + ",", handle + ","));
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_call);
CPPUNIT_TEST_SUITE_REGISTRATION(an_answer_cut);

} // namespace
