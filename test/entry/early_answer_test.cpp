#include "support/entry/early_server.hpp"
#include "support/entry/partitioned_group.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

// more than the buffers of the connection to a server that does not read
constexpr std::size_t upload_bytes = 4000000;

const std::string event_text = "id: 1\ndata: x\n\n";

std::string configuration(int version, const std::vector<nlohmann::json>& routes)
{
    nlohmann::json all = nlohmann::json::parse(configuration_json(version, routes));
    all["limits"]["max_body_bytes"] = upload_bytes + 1;
    return all.dump();
}

std::string upload_text(const std::string& path,
                        const std::string& attempt,
                        std::size_t size = upload_bytes)
{
    return request_text("POST", path, attempt, std::string(size, 'x'));
}

std::string describe(const std::string& path, body_kind framing, early_end how)
{
    return absl::StrCat(
        path, " framing ", static_cast<int>(framing), " end ", static_cast<int>(how));
}

/// the part of an answer that a server sends while an upload is not in
void answer_with_a_part(early_server& server, body_kind framing, early_end how)
{
    server.how = how;
    server.answer = [framing](const request_head& head)
    {
        return early_answer(head, framing, event_text, false);
    };
}

/// one host in front of targets that answer early
class early_targets : public entry_fixture
{
  public:
    explicit early_targets(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            targets.push_back(std::make_unique<early_server>(loop));
            store.put(absl::StrCat("servers/e-", i), targets.back()->entry("plain"));
        }
        store.put("op/config",
                  configuration(3,
                                {route_json("/n/", "non_idempotent", "plain"),
                                 route_json("/i/", "idempotent", "plain"),
                                 route_json("/s/", "stream", "plain")}));
        host_settings = settings("host-1");
    }

    void start_host()
    {
        host = start(host_settings);
        CPPUNIT_ASSERT(until(
            [&]
            {
                return is_ready(host_settings);
            }));
    }

    received_answer upload(const std::string& path, std::size_t size = upload_bytes)
    {
        return send(host_settings.caller_endpoint,
                    upload_text(path, absl::StrCat("id-", ++sent_), size));
    }

    std::size_t arrivals() const
    {
        std::size_t count = 0;
        for (const auto& each : targets)
        {
            count += each->requests.size();
        }
        return count;
    }

    std::vector<std::unique_ptr<early_server>> targets;
    entry_settings host_settings;
    std::shared_ptr<running_host> host;

  private:
    int sent_ = 0;
};

/// guards against MIXED: the part of an answer that a target sent before an upload was
/// in, and then reset, was passed on as complete
class an_upload_that_is_answered_before_it_is_in : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_upload_that_is_answered_before_it_is_in);
    CPPUNIT_TEST(by_a_part_is_no_success);
    CPPUNIT_TEST(by_a_part_of_a_target_that_reads_on_is_no_success);
    CPPUNIT_TEST(is_sent_again_whole_where_it_may_be);
    CPPUNIT_TEST(by_a_whole_answer_ends_its_connection);
    CPPUNIT_TEST(by_a_part_of_another_host_is_no_success);
    CPPUNIT_TEST(by_a_part_of_a_target_of_pieces_gives_no_results);
    CPPUNIT_TEST(by_the_host_itself_is_no_further_request);
    CPPUNIT_TEST_SUITE_END();

    static void expect_no_success(early_targets& it, const std::string& path)
    {
        const std::size_t before = it.arrivals();
        const received_answer got = it.upload(path);
        CPPUNIT_ASSERT_MESSAGE(path,
                               got.status != status_ok || got.end != call_end::complete);
        const std::size_t arrived = it.arrivals() - before;
        CPPUNIT_ASSERT_MESSAGE(path, arrived >= 1);
        CPPUNIT_ASSERT_MESSAGE(path, arrived <= (path == "/n/x" ? 1U : 2U));
    }

  public:
    void by_a_part_is_no_success()
    {
        for (const body_kind framing :
             {body_kind::length, body_kind::chunked, body_kind::until_close})
        {
            for (const early_end how : {early_end::reset, early_end::close})
            {
                early_targets it(2);
                for (const auto& each : it.targets)
                {
                    answer_with_a_part(*each, framing, how);
                }
                it.start_host();
                for (const std::string path : {"/n/x", "/i/x", "/s/x"})
                {
                    expect_no_success(it, path);
                }
            }
        }
    }

    void by_a_part_of_a_target_that_reads_on_is_no_success()
    {
        for (const body_kind framing :
             {body_kind::length, body_kind::chunked, body_kind::until_close})
        {
            early_targets it(1);
            answer_with_a_part(*it.targets[0], framing, early_end::give_out);
            it.start_host();
            expect_no_success(it, "/n/x");
        }
    }

    void is_sent_again_whole_where_it_may_be()
    {
        early_targets it(1);
        answer_with_a_part(*it.targets[0], body_kind::until_close, early_end::reset);
        stand_in_target sound(it.loop,
                              "i-1",
                              "plain",
                              [](const std::shared_ptr<caller_exchange>& exchange)
                              {
                                  exchange->answer(
                                      status_ok, signed_headers(*exchange), "whole");
                              });
        it.store.put(sound.key(), sound.entry());
        it.start_host();
        // as much as the sound target takes
        constexpr std::size_t size = 1000000;
        for (int i = 0; i < 20 && it.arrivals() == 0; ++i)
        {
            const received_answer got = it.upload("/i/x", size);
            CPPUNIT_ASSERT_EQUAL(status_ok, got.status);
            CPPUNIT_ASSERT_EQUAL(std::string("whole"), got.body);
            CPPUNIT_ASSERT_EQUAL(size, sound.bodies.back().size());
        }
        CPPUNIT_ASSERT(it.arrivals() > 0);
    }

    void by_a_whole_answer_ends_its_connection()
    {
        for (const body_kind framing : {body_kind::length, body_kind::chunked})
        {
            for (const std::string headers : {"", "Connection: close\r\n"})
            {
                for (const early_end how :
                     {early_end::stop, early_end::read_on, early_end::reset})
                {
                    early_targets it(1);
                    it.targets[0]->how = how;
                    it.targets[0]->answer = [&](const request_head& head)
                    {
                        return early_answer(head, framing, "whole", true, headers);
                    };
                    it.start_host();
                    const std::string what = headers + describe("", framing, how);
                    for (const std::string path : {"/n/1", "/n/2"})
                    {
                        const received_answer got = it.upload(path);
                        const bool is_success =
                            got.status == status_ok && got.end == call_end::complete;
                        // a reset may come before the answer is read
                        CPPUNIT_ASSERT_MESSAGE(what,
                                               is_success || how == early_end::reset);
                        CPPUNIT_ASSERT_MESSAGE(what, !is_success || got.body == "whole");
                    }
                    it.run_for(millis(50));
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(
                        what, std::size_t{2}, it.targets[0]->requests.size());
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 0, it.targets[0]->reused);
                }
            }
        }
    }

    void by_a_part_of_another_host_is_no_success()
    {
        partitioned_group it(1, 2, 0);
        early_server peer(it.loop);
        it.store.rewrite = [&](const std::string& key, const std::string& value)
        {
            nlohmann::json registration = nlohmann::json::parse(value, nullptr, false);
            if (!absl::StartsWith(key, "medlar/hosts/") || !registration.is_object())
            {
                return value;
            }
            registration["forward_port"] = peer.where().port;
            return registration.dump();
        };
        it.add_host("host-1");
        it.store.put("op/config",
                     configuration(4,
                                   {route_json("/n/", "non_idempotent", "plain"),
                                    route_json("/i/", "idempotent", "plain"),
                                    route_json("/s/", "stream", "plain")}));
        // time for the hosts to learn of it
        it.run_for(millis(600));
        it.cut(0, path_cut::refused);
        int number = 0;
        for (const body_kind framing :
             {body_kind::length, body_kind::chunked, body_kind::until_close})
        {
            for (const early_end how :
                 {early_end::reset, early_end::close, early_end::give_out})
            {
                answer_with_a_part(peer, framing, how);
                for (const std::string path : {"/n/x", "/i/x", "/s/x"})
                {
                    const std::string what = describe(path, framing, how);
                    const std::size_t before = peer.requests.size();
                    received_answer got;
                    // until the host has found that it has no path
                    for (int i = 0; i < 40 && peer.requests.size() == before; ++i)
                    {
                        got = it.send(it.all_settings[0].caller_endpoint,
                                      upload_text(path, absl::StrCat("up-", ++number)));
                    }
                    CPPUNIT_ASSERT_MESSAGE(what, peer.requests.size() > before);
                    CPPUNIT_ASSERT_MESSAGE(
                        what, got.status != status_ok || got.end != call_end::complete);
                }
            }
        }
    }

    void by_a_part_of_a_target_of_pieces_gives_no_results()
    {
        for (const body_kind framing :
             {body_kind::length, body_kind::chunked, body_kind::until_close})
        {
            for (const early_end how : {early_end::reset, early_end::close})
            {
                partitioned_group it(1, 2, 0);
                early_server stage(it.loop);
                stage.how = how;
                stage.answer = [framing](const request_head& head)
                {
                    return early_answer(head,
                                        framing,
                                        R"({"items":[{"key":"k","handle":"h-1"}]})",
                                        framing == body_kind::until_close);
                };
                it.store.put("servers/e-1", stage.entry("stage"));
                it.run_for(millis(600));
                const received_answer got = it.send_at(0, "/s/x");
                const std::string what = describe("/s/x", framing, how);
                CPPUNIT_ASSERT_MESSAGE(what, !stage.requests.empty());
                CPPUNIT_ASSERT_MESSAGE(what, got.status != status_ok);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::size_t{0}, it.arrivals("/s/x"));
            }
        }
    }

    // guards against bytes of an upload that is refused being read as a request
    void by_the_host_itself_is_no_further_request()
    {
        partitioned_group it(1, 2, 0);
        const std::string hidden = request_text("POST", "/n/hidden", "hidden", "b");
        std::string body;
        while (body.size() < 2 * upload_bytes)
        {
            body += hidden;
        }
        const std::string head = "POST /n/x HTTP/1.1\r\nHost: h.example\r\n"
                                 "Attempt-Id: id-1\r\nAuthorization: Bearer key-1\r\n";
        std::string chunks;
        append_chunk(chunks, body);
        for (const std::string& request :
             {absl::StrCat(head, "Content-Length: ", body.size(), "\r\n\r\n", body),
              absl::StrCat(head, "Transfer-Encoding: chunked\r\n\r\n", chunks)})
        {
            const received_answer got =
                it.send(it.all_settings[0].caller_endpoint, request);
            CPPUNIT_ASSERT(got.status == 0 || got.status == status_too_large);
            it.run_for(millis(100));
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.arrivals("/n/hidden"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(an_upload_that_is_answered_before_it_is_in);

} // namespace
