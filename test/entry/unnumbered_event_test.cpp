#include "support/entry/mortal_target.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

using session = mortal_target::session;

constexpr char numbered_events[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
constexpr char unnumbered_events[] = "data: c\n\ndata: d\n\n";

/// one host in front of two targets, the first of which breaks a stream off
class breaking_targets : public entry_fixture
{
  public:
    /// @param first what the first target sends before it breaks off
    /// @param next what the next one sends before it ends the stream
    breaking_targets(std::string first, std::string next)
        : first_(std::move(first)), next_(std::move(next))
    {
        for (const std::string id : {"i-1", "i-2"})
        {
            targets_.push_back(std::make_unique<mortal_target>(
                loop,
                id,
                "plain",
                [this](session& from, const request_head& head)
                {
                    answer(from, head);
                }));
            store.put(targets_.back()->key(), targets_.back()->entry());
        }
        store.put("op/config",
                  configuration_json(3, {route_json("/s/", "stream", "plain")}));
        host_settings_ = settings("host-1");
        host_ = start(host_settings_);
        CPPUNIT_ASSERT(until(
            [&]
            {
                return is_ready(host_settings_);
            }));
    }

    received_answer fetch()
    {
        return send(host_settings_.caller_endpoint,
                    request_text("POST", "/s/x", "id-1", "b"));
    }

    std::vector<std::string> asked_after;

  private:
    void answer(session& from, const request_head& head)
    {
        asked_after.emplace_back(head.headers.get("Last-Event-Id"));
        from.write(absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ",
                                head.headers.get("Attempt-Id"),
                                "\r\nResponse-Signature: s.1\r\n"));
        if (asked_after.size() == 1)
        {
            // more is to come
            from.write(
                absl::StrCat("Content-Length: ", first_.size() + 1, "\r\n\r\n", first_));
            from.finish();
            return;
        }
        from.write(absl::StrCat("Content-Length: ", next_.size(), "\r\n\r\n", next_));
    }

    std::string first_;
    std::string next_;
    std::vector<std::unique_ptr<mortal_target>> targets_;
    entry_settings host_settings_;
    std::shared_ptr<running_host> host_;
};

class events_without_ids : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(events_without_ids);
    CPPUNIT_TEST(do_not_come_again_after_a_break);
    CPPUNIT_TEST(do_not_come_again_after_events_with_ids);
    CPPUNIT_TEST(do_not_go_on_after_events_with_ids);
    CPPUNIT_TEST(are_comments_where_they_carry_no_data);
    CPPUNIT_TEST_SUITE_END();

  public:
    void do_not_come_again_after_a_break()
    {
        breaking_targets it(unnumbered_events, unnumbered_events);
        const received_answer got = it.fetch();
        CPPUNIT_ASSERT_EQUAL(status_ok, got.status);
        CPPUNIT_ASSERT_EQUAL(std::string(unnumbered_events), got.body);
        CPPUNIT_ASSERT(got.end != call_end::complete);
    }

    void do_not_come_again_after_events_with_ids()
    {
        const std::string first = absl::StrCat(numbered_events, unnumbered_events);
        breaking_targets it(first, unnumbered_events);
        const received_answer got = it.fetch();
        CPPUNIT_ASSERT_EQUAL(status_ok, got.status);
        CPPUNIT_ASSERT_EQUAL(first, got.body);
        CPPUNIT_ASSERT(got.end != call_end::complete);
    }

    // the next target may begin before what was asked for
    void do_not_go_on_after_events_with_ids()
    {
        breaking_targets it(numbered_events, unnumbered_events);
        const received_answer got = it.fetch();
        CPPUNIT_ASSERT_EQUAL(status_ok, got.status);
        CPPUNIT_ASSERT_EQUAL(std::string(numbered_events), got.body);
        CPPUNIT_ASSERT(got.end != call_end::complete);
    }

    void are_comments_where_they_carry_no_data()
    {
        const std::string first = absl::StrCat(": busy\n\n", numbered_events);
        const std::string next = ": busy\n\nid: 3\ndata: c\n\n";
        breaking_targets it(first, next);
        const received_answer got = it.fetch();
        CPPUNIT_ASSERT_EQUAL(status_ok, got.status);
        CPPUNIT_ASSERT_EQUAL(first + next, got.body);
        CPPUNIT_ASSERT(got.end == call_end::complete);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(events_without_ids);

} // namespace
