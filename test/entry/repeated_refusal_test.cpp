#include "support/entry/entry_group.hpp"

#include <medlar/detail/loop/listener.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

/// @brief A target on one connection: it runs each request, and writes an earlier refusal
/// before each answer but the first.
class repeating_target : public connection_handler
{
  public:
    explicit repeating_target(event_loop& loop) : where_(free_endpoint())
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

    ~repeating_target() override
    {
        listener_->close();
    }

    std::string entry() const
    {
        return nlohmann::json({{"service", "plain"},
                               {"address", to_string(where_)},
                               {"zone", "a"},
                               {"version", "v1"},
                               {"slots", 6},
                               {"state", "ready"},
                               {"sequence", 1},
                               {"born", 5}})
            .dump();
    }

    void on_input() override
    {
        accepted_->consume(accepted_->input().size());
        ++runs;
        std::string answer;
        if (runs > 1)
        {
            answer =
                absl::StrCat("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
                             "Attempt-Id: id-",
                             runs - 1,
                             "\r\nContent-Length: 0\r\n\r\n");
        }
        absl::StrAppend(&answer,
                        "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nAttempt-Id: id-",
                        runs,
                        "\r\nContent-Length: 5\r\n\r\nhello");
        accepted_->send(answer);
    }

    void on_end(connection_end) override
    {
    }

    int runs = 0;

  private:
    endpoint where_;
    std::shared_ptr<listener> listener_;
    std::shared_ptr<connection> accepted_;
};

class a_refusal_that_a_target_writes_once_more : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_refusal_that_a_target_writes_once_more);
    CPPUNIT_TEST(is_not_taken_for_that_of_the_next_request);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_not_taken_for_that_of_the_next_request()
    {
        for (const char* const kind : {"non_idempotent", "idempotent"})
        {
            entry_group it;
            repeating_target target(it.loop);
            it.store.put("servers/i-1", target.entry());
            it.store.put("op/config",
                         configuration_json(3, {route_json("/a/", kind, "plain")}));
            it.start_hosts(1);
            for (int i = 1; i <= 4; ++i)
            {
                const received_answer got =
                    it.send(it.all_settings[0].caller_endpoint,
                            request_text("POST", "/a/x", absl::StrCat("id-", i), "b"));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(got.body, 200, got.status);
                CPPUNIT_ASSERT_EQUAL(std::string("hello"), got.body);
                CPPUNIT_ASSERT_EQUAL(i, target.runs);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_refusal_that_a_target_writes_once_more);

} // namespace
