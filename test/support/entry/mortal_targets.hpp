#ifndef MEDLAR_TEST_SUPPORT_ENTRY_MORTAL_TARGETS_HPP
#define MEDLAR_TEST_SUPPORT_ENTRY_MORTAL_TARGETS_HPP

#include "support/entry/mortal_target.hpp"

#include <absl/strings/numbers.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace medlar::test
{

constexpr int event_count = 6;
constexpr int events_before_end = 3;

inline std::string events(int first, int last)
{
    std::string text;
    for (int i = first; i <= last; ++i)
    {
        absl::StrAppend(&text, "id: ", i, "\ndata: x\n\n");
    }
    return text;
}

/// one host in front of two targets that answer up to the middle, and wait
class mortal_targets : public entry_fixture
{
  public:
    mortal_targets()
    {
        for (const std::string id : {"i-1", "i-2"})
        {
            targets.push_back(std::make_unique<mortal_target>(
                loop,
                id,
                "plain",
                [this](mortal_target::session& from, const request_head& head)
                {
                    answer(from, head);
                }));
            store.put(targets.back()->key(), targets.back()->entry());
        }
        nlohmann::json unresumable = route_json("/u/", "stream", "plain");
        unresumable["resumable"] = false;
        store.put("op/config",
                  configuration_json(3,
                                     {route_json("/s/", "stream", "plain"),
                                      unresumable,
                                      route_json("/i/", "idempotent", "plain"),
                                      route_json("/n/", "non_idempotent", "plain")}));
        host_settings = settings("host-1");
        host = start(host_settings);
        CPPUNIT_ASSERT(until(
            [&]
            {
                return is_ready(host_settings);
            }));
    }

    /// Begins a request, and waits until a target has answered up to the middle.
    std::shared_ptr<received_answer> begin_request(const std::string& path)
    {
        const std::size_t before = waiting.size();
        const auto got =
            begin(host_settings.caller_endpoint,
                  request_text("POST", path, "id-" + std::to_string(++requests_), "b"));
        CPPUNIT_ASSERT(until(
            [&]
            {
                return waiting.size() > before;
            }));
        // time for what was written to reach the host
        run_for(millis(20));
        return got;
    }

    mortal_target& running_target()
    {
        return *waiting.back().target;
    }

    void finish_answer()
    {
        waiting.back().from->write(events(events_before_end + 1, event_count));
        waiting.back().from->finish();
    }

    void expect_ended(const std::shared_ptr<received_answer>& got)
    {
        CPPUNIT_ASSERT(until(
            [&]
            {
                return got->ended;
            }));
    }

    void expect_whole(const std::shared_ptr<received_answer>& got)
    {
        expect_ended(got);
        CPPUNIT_ASSERT_EQUAL(status_ok, got->status);
        CPPUNIT_ASSERT_EQUAL(events(1, event_count), got->body);
        CPPUNIT_ASSERT_EQUAL(std::string(to_string(call_end::complete)),
                             std::string(to_string(got->end)));
    }

    void expect_visibly_cut(const std::shared_ptr<received_answer>& got)
    {
        expect_ended(got);
        CPPUNIT_ASSERT_EQUAL(status_ok, got->status);
        CPPUNIT_ASSERT_EQUAL(events(1, events_before_end), got->body);
        CPPUNIT_ASSERT(got->end != call_end::complete);
    }

    struct waiting_answer
    {
        mortal_target* target;
        mortal_target::session* from;
    };

    std::vector<std::unique_ptr<mortal_target>> targets;
    std::vector<waiting_answer> waiting;
    entry_settings host_settings;
    std::shared_ptr<running_host> host;

  private:
    void answer(mortal_target::session& from, const request_head& head)
    {
        int last = 0;
        const bool goes_on = absl::SimpleAtoi(head.headers.get("Last-Event-Id"), &last);
        const bool is_repeated = !goes_on && head.target == repeated_path_;
        from.begin_answer(head.headers.get("Attempt-Id"));
        if (goes_on || is_repeated)
        {
            from.write(events(last + 1, event_count));
            from.finish();
            return;
        }
        repeated_path_ = head.target == "/i/x" ? head.target : "";
        from.write(events(1, events_before_end));
        const std::string key =
            absl::StrCat("servers/", head.headers.get("Expect-Instance"));
        const auto target = std::find_if(targets.begin(),
                                         targets.end(),
                                         [&](const auto& each)
                                         {
                                             return each->key() == key;
                                         });
        waiting.push_back({target->get(), &from});
    }

    int requests_ = 0;
    /// a repeated request is answered at once
    std::string repeated_path_;
};

} // namespace medlar::test

#endif // MEDLAR_TEST_SUPPORT_ENTRY_MORTAL_TARGETS_HPP
