#include "support/entry/entry_fixture.hpp"

#include <absl/strings/match.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

using exchange_ptr = std::shared_ptr<caller_exchange>;

/// one entry host with one or two targets of the pool "plain"
class forwarding_fixture : public entry_fixture
{
  public:
    void open(const std::string& kind, const stand_in_target::behaviour& behaviour)
    {
        targets.push_back(
            std::make_unique<stand_in_target>(loop, "i-1", "plain", behaviour));
        publish(kind);
    }

    /// two targets with the same behaviour
    void open_two(const std::string& kind, const stand_in_target::behaviour& behaviour)
    {
        for (const char* id : {"i-1", "i-2"})
        {
            targets.push_back(
                std::make_unique<stand_in_target>(loop, id, "plain", behaviour));
        }
        publish(kind);
    }

    void publish(const std::string& kind)
    {
        for (const auto& each : targets)
        {
            store.put(each->key(), each->entry());
        }
        store.put("op/config", configuration_json(3, {route_json("/a/", kind, "plain")}));
        host = start(settings_);
        CPPUNIT_ASSERT(until(
            [&]
            {
                return is_ready(settings_);
            }));
    }

    received_answer fetch(const std::string& request)
    {
        return send(settings_.caller_endpoint, request);
    }

    std::size_t request_count() const
    {
        std::size_t count = 0;
        for (const auto& each : targets)
        {
            count += each->requests.size();
        }
        return count;
    }

    entry_settings settings_ = settings("host-1");
    std::vector<std::unique_ptr<stand_in_target>> targets;
    std::shared_ptr<running_host> host;
};

void answer_signed(const exchange_ptr& exchange)
{
    exchange->answer(200, signed_headers(*exchange), "hello");
}

class a_request_on_its_way : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_request_on_its_way);
    CPPUNIT_TEST(is_forwarded_unchanged_and_returns_the_answer_of_the_target);
    CPPUNIT_TEST(is_forwarded_with_the_organisation_but_not_the_access_key);
    CPPUNIT_TEST(is_forwarded_without_what_only_hosts_say);
    CPPUNIT_TEST(is_refused_with_401_and_404_where_they_are_true);
    CPPUNIT_TEST(is_never_sent_twice_if_it_may_not_be);
    CPPUNIT_TEST(is_not_sent_on_a_connection_that_its_target_has_closed);
    CPPUNIT_TEST(is_not_sent_time_and_again_where_its_target_has_been_replaced);
    CPPUNIT_TEST(is_retried_at_another_target_if_it_is_idempotent);
    CPPUNIT_TEST(is_retried_at_another_target_if_it_did_not_run);
    CPPUNIT_TEST(is_retried_as_the_settings_that_were_read_last_permit);
    CPPUNIT_TEST(is_refused_truly_when_all_targets_are_full);
    CPPUNIT_TEST(brings_no_answer_without_a_signature);
    CPPUNIT_TEST(drops_an_answer_that_belongs_to_another_request);
    CPPUNIT_TEST(ends_at_the_timeout_of_its_route);
    CPPUNIT_TEST(is_dropped_at_the_target_when_its_caller_leaves);
    CPPUNIT_TEST(does_not_look_complete_when_the_target_breaks_off);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_forwarded_unchanged_and_returns_the_answer_of_the_target()
    {
        forwarding_fixture it;
        it.open("non_idempotent", answer_signed);
        const received_answer got = it.fetch(request_text(
            "PUT", "/a/x?y=1", "id-1", "the body", "X-Other: kept\r\nHold: no\r\n"));
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT_EQUAL(std::string("hello"), got.body);
        CPPUNIT_ASSERT_EQUAL(std::string("s.1"),
                             std::string(got.headers.get("Response-Signature")));
        const request_head& head = it.targets[0]->requests.at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("PUT"), head.method);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/x?y=1"), head.target);
        CPPUNIT_ASSERT_EQUAL(std::string("the body"), it.targets[0]->bodies.at(0));
        CPPUNIT_ASSERT_EQUAL(std::string("kept"),
                             std::string(head.headers.get("X-Other")));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"),
                             std::string(head.headers.get("Expect-Instance")));
        CPPUNIT_ASSERT(head.headers.find("Hold") == nullptr);
        CPPUNIT_ASSERT(std::stoi(std::string(head.headers.get("Deadline-Ms"))) <= 1500);
    }

    void is_forwarded_with_the_organisation_but_not_the_access_key()
    {
        forwarding_fixture it;
        it.open("idempotent", answer_signed);
        it.fetch(request_text("GET", "/a/x", "id-1", "", "Tenant: somebody\r\n"));
        const header_list& headers = it.targets[0]->requests.at(0).headers;
        CPPUNIT_ASSERT_EQUAL(std::string("org-1"), std::string(headers.get("Tenant")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, headers.count("Tenant"));
        CPPUNIT_ASSERT(headers.find("Authorization") == nullptr);
    }

    void is_forwarded_without_what_only_hosts_say()
    {
        forwarding_fixture it;
        it.open("idempotent", answer_signed);
        // one that a later build may add, and those of the build of 058f514 and of this
        // one
        const std::string said = "medlar-later: 1\r\nMedlar-Configuration-Version: 3\r\n"
                                 "Medlar-Max-Sends: 2\r\nMedlar-Heeds-Target: 1\r\n"
                                 "Medlar-Repeated: 1\r\nMedlarish: kept\r\n";
        for (const endpoint& each :
             {it.settings_.caller_endpoint, it.settings_.forward_endpoint})
        {
            const received_answer got =
                it.send(each, request_text("GET", "/a/x", "id-1", "", said));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(got.body, 200, got.status);
            const header_list& headers = it.targets[0]->requests.back().headers;
            CPPUNIT_ASSERT_EQUAL(std::string("kept"),
                                 std::string(headers.get("Medlarish")));
            for (const header_field& field : headers)
            {
                CPPUNIT_ASSERT_MESSAGE(
                    field.name, !absl::StartsWithIgnoreCase(field.name, "Medlar-"));
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.request_count());
    }

    void is_refused_with_401_and_404_where_they_are_true()
    {
        forwarding_fixture it;
        it.open("idempotent", answer_signed);
        CPPUNIT_ASSERT_EQUAL(404, it.fetch(request_text("GET", "/b/", "id-1")).status);
        std::string unknown_key = request_text("GET", "/a/", "id-2");
        unknown_key.replace(unknown_key.find("key-1"), 5, "key-2");
        CPPUNIT_ASSERT_EQUAL(401, it.fetch(unknown_key).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.request_count());
    }

    void is_never_sent_twice_if_it_may_not_be()
    {
        forwarding_fixture it;
        it.open_two("non_idempotent",
                    [](const exchange_ptr& exchange)
                    {
                        exchange->abort();
                    });
        const received_answer got = it.fetch(request_text("POST", "/a/x", "id-1", "b"));
        CPPUNIT_ASSERT_EQUAL(502, got.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.request_count());
    }

    void is_not_sent_on_a_connection_that_its_target_has_closed()
    {
        forwarding_fixture it;
        it.open_two("non_idempotent",
                    [&it](const exchange_ptr& exchange)
                    {
                        it.loop.after(millis(20),
                                      [exchange]
                                      {
                                          exchange->answer(
                                              200, signed_headers(*exchange), "done");
                                      });
                    });
        int attempts = 0;
        const auto begin_several = [&]
        {
            std::vector<std::shared_ptr<received_answer>> answers;
            for (int i = 0; i < 8; ++i)
            {
                answers.push_back(it.begin(
                    it.settings_.caller_endpoint,
                    request_text(
                        "POST", "/a/x", "id-" + std::to_string(++attempts), "b")));
            }
            return answers;
        };
        const auto expect_served =
            [&it](const std::vector<std::shared_ptr<received_answer>>& answers)
        {
            for (const auto& each : answers)
            {
                CPPUNIT_ASSERT(it.until(
                    [&]
                    {
                        return each->ended;
                    }));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(each->body, 200, each->status);
            }
        };
        expect_served(begin_several());
        // the host gets these requests before it sees the end of its connections
        const auto answers = begin_several();
        it.targets.front().reset();
        expect_served(answers);
    }

    void is_not_sent_time_and_again_where_its_target_has_been_replaced()
    {
        forwarding_fixture it;
        it.open_two("idempotent", answer_signed);
        stand_in_target& replaced = *it.targets.front();
        const std::string old_key = replaced.key();
        it.store.set_down(true);
        replaced.restart_as("i-3");
        for (int i = 0; i < 30; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(200,
                                 it.fetch(request_text("GET", "/a/x", "id-1")).status);
        }
        CPPUNIT_ASSERT_EQUAL(1, replaced.misdirected);

        it.store.set_down(false);
        it.store.remove(old_key);
        it.store.put(replaced.key(), replaced.entry());
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                it.fetch(request_text("GET", "/a/x", "id-2"));
                return !replaced.requests.empty();
            }));
    }

    void is_retried_at_another_target_if_it_is_idempotent()
    {
        forwarding_fixture it;
        int calls = 0;
        it.open_two("idempotent",
                    [&calls](const exchange_ptr& exchange)
                    {
                        if (++calls == 1)
                        {
                            exchange->answer(500, signed_headers(*exchange), "bad");
                            return;
                        }
                        answer_signed(exchange);
                    });
        CPPUNIT_ASSERT_EQUAL(200, it.fetch(request_text("GET", "/a/x", "id-1")).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.targets[0]->requests.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.targets[1]->requests.size());
    }

    void is_retried_at_another_target_if_it_did_not_run()
    {
        forwarding_fixture it;
        int calls = 0;
        it.open_two("non_idempotent",
                    [&calls](const exchange_ptr& exchange)
                    {
                        if (++calls == 1)
                        {
                            header_list headers;
                            headers.add("Not-Executed", "1");
                            exchange->answer(503, headers, "");
                            return;
                        }
                        answer_signed(exchange);
                    });
        CPPUNIT_ASSERT_EQUAL(200,
                             it.fetch(request_text("POST", "/a/x", "id-1", "b")).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.request_count());
    }

    void is_retried_as_the_settings_that_were_read_last_permit()
    {
        forwarding_fixture it;
        it.open_two("idempotent",
                    [](const exchange_ptr& exchange)
                    {
                        exchange->answer(500, signed_headers(*exchange), "bad");
                    });
        CPPUNIT_ASSERT_EQUAL(500, it.fetch(request_text("GET", "/a/x", "id-1")).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.request_count());
        it.host->settings.retry_rule = {0, 0, millis(10000)};
        it.host->host->reload();
        CPPUNIT_ASSERT_EQUAL(500, it.fetch(request_text("GET", "/a/x", "id-2")).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, it.request_count());
    }

    void is_refused_truly_when_all_targets_are_full()
    {
        forwarding_fixture it;
        it.open_two("non_idempotent",
                    [](const exchange_ptr& exchange)
                    {
                        header_list headers;
                        headers.add("Not-Executed", "1");
                        exchange->answer(503, headers, "");
                    });
        const received_answer got = it.fetch(request_text("POST", "/a/x", "id-1", "b"));
        CPPUNIT_ASSERT_EQUAL(503, got.status);
        const double retry_after_s =
            std::stod(std::string(got.headers.get("Retry-After")));
        CPPUNIT_ASSERT(retry_after_s > 0 && retry_after_s < 0.6);
        CPPUNIT_ASSERT(got.headers.find("Response-Signature") == nullptr);
    }

    void brings_no_answer_without_a_signature()
    {
        forwarding_fixture it;
        it.open("non_idempotent",
                [](const exchange_ptr& exchange)
                {
                    exchange->answer(200, {}, "not ours");
                });
        CPPUNIT_ASSERT_EQUAL(502,
                             it.fetch(request_text("POST", "/a/x", "id-1", "b")).status);
    }

    void drops_an_answer_that_belongs_to_another_request()
    {
        forwarding_fixture it;
        it.open("non_idempotent",
                [](const exchange_ptr& exchange)
                {
                    header_list headers;
                    headers.add("Attempt-Id", "another");
                    headers.add("Response-Signature", "s.1");
                    exchange->answer(200, headers, "another's");
                });
        const received_answer got = it.fetch(request_text("POST", "/a/x", "id-1", "b"));
        CPPUNIT_ASSERT(got.status != 200);
        CPPUNIT_ASSERT(got.body.find("another's") == std::string::npos);
    }

    void ends_at_the_timeout_of_its_route()
    {
        forwarding_fixture it;
        it.open("non_idempotent", [](const exchange_ptr&) {});
        const steady_time began = it.time.steady_now();
        const received_answer got = it.fetch(request_text("POST", "/a/x", "id-1", "b"));
        const millis took = it.time.steady_now() - began;
        CPPUNIT_ASSERT_EQUAL(504, got.status);
        CPPUNIT_ASSERT(took >= millis(1450));
    }

    void is_dropped_at_the_target_when_its_caller_leaves()
    {
        forwarding_fixture it;
        bool dropped = false;
        exchange_ptr held;
        it.open("idempotent",
                [&](const exchange_ptr& exchange)
                {
                    held = exchange;
                    exchange->set_disconnect_handler(
                        [&dropped]
                        {
                            dropped = true;
                        });
                });
        std::shared_ptr<client_call> call;
        it.begin(
            it.settings_.caller_endpoint, request_text("GET", "/a/x", "id-1"), &call);
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return held != nullptr;
            }));
        call->cancel();
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return dropped;
            }));
    }

    void does_not_look_complete_when_the_target_breaks_off()
    {
        forwarding_fixture it;
        const std::string part(100000, 'x');
        it.open("non_idempotent",
                [&part](const exchange_ptr& exchange)
                {
                    exchange->begin(200,
                                    "OK",
                                    signed_headers(*exchange),
                                    {body_kind::length, part.size() * 2});
                    exchange->write(part);
                    exchange->abort();
                });
        const received_answer got = it.fetch(request_text("POST", "/a/x", "id-1", "b"));
        CPPUNIT_ASSERT(got.end != call_end::complete || got.status == 502);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_request_on_its_way);

} // namespace
