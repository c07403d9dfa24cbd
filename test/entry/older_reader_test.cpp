#include "build_paths.hpp"
#include "support/entry/crashing_pool.hpp"
#include "support/entry/limited_pool.hpp"
#include "support/entry/partitioned_group.hpp"
#include "support/entry/recorded_links.hpp"
#include "support/entry/versioned_pool.hpp"

#include <absl/strings/str_join.h>
#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <set>

namespace
{

using namespace medlar;
using namespace medlar::test;

bool has_fields(const nlohmann::json& value, const nlohmann::json& needed);

bool is_of_kind(const nlohmann::json& value, const std::string& kind)
{
    return kind == "integer"  ? value.is_number_integer()
           : kind == "number" ? value.is_number()
           : kind == "text"   ? value.is_string()
           : kind == "flag"   ? value.is_boolean()
           : kind == "bytes"  ? value.is_binary()
                              : false;
}

bool has_elements(const nlohmann::json& value, const nlohmann::json& needed)
{
    return value.is_array() && std::all_of(value.begin(),
                                           value.end(),
                                           [&](const nlohmann::json& each)
                                           {
                                               return has_fields(each, needed);
                                           });
}

bool has_positions(const nlohmann::json& value, const nlohmann::json& needed)
{
    if (!value.is_array() || value.size() != needed.size())
    {
        return false;
    }
    for (std::size_t i = 0; i < needed.size(); ++i)
    {
        if (!has_fields(value[i], needed[i]))
        {
            return false;
        }
    }
    return true;
}

bool has_field(const nlohmann::json& value,
               const std::string& name,
               const nlohmann::json& needed)
{
    if (name == "any of")
    {
        return std::any_of(needed.begin(),
                           needed.end(),
                           [&](const nlohmann::json& each)
                           {
                               return has_fields(value, each);
                           });
    }
    const bool may_be_absent = name.front() == '?';
    const auto found = value.find(may_be_absent ? name.substr(1) : name);
    return found == value.end() ? may_be_absent : has_fields(*found, needed);
}

/// whether a value has what recorded/fields_058f514.json says that its reader needs
bool has_fields(const nlohmann::json& value, const nlohmann::json& needed)
{
    if (needed.is_string())
    {
        return is_of_kind(value, needed.get<std::string>());
    }
    if (needed.is_array())
    {
        return has_positions(value, needed);
    }
    if (needed.contains("each"))
    {
        return has_elements(value, needed.at("each"));
    }
    if (!value.is_object())
    {
        return false;
    }
    for (const auto& each : needed.items())
    {
        if (!has_field(value, each.key(), each.value()))
        {
            return false;
        }
    }
    return true;
}

nlohmann::json needed_fields()
{
    std::ifstream file(std::string(MEDLAR_SOURCE_DIR) +
                       "/test/entry/recorded/fields_058f514.json");
    CPPUNIT_ASSERT(file.good());
    return nlohmann::json::parse(file);
}

/// checks all that hosts have sent, and that messages of some types are among it
void expect_readable(const recorded_links& links, std::set<std::string> types)
{
    const nlohmann::json needed = needed_fields();
    std::set<std::string> seen;
    for (const nlohmann::json& each : links.messages)
    {
        const auto type = each.at("type").get<std::string>();
        CPPUNIT_ASSERT_MESSAGE(type + " is unknown", needed.contains(type));
        CPPUNIT_ASSERT_MESSAGE(each.dump(), has_fields(each, needed.at(type)));
        seen.insert(type);
        types.erase(type);
    }
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat("not sent: ",
                                        absl::StrJoin(types, " "),
                                        "; sent: ",
                                        absl::StrJoin(seen, " ")),
                           types.empty());
}

/// hosts in front of a target that has no room, and states how many refusals it bears
class full_target : public entry_group
{
  public:
    full_target()
        : target_(loop,
                  "i-1",
                  "plain",
                  [](const std::shared_ptr<caller_exchange>& exchange)
                  {
                      header_list headers = signed_headers(*exchange);
                      headers.add("Server-Brittle", "3");
                      headers.add("Not-Executed", "1");
                      exchange->answer(503, headers, "");
                  })
    {
        store.put(target_.key(), target_.entry());
        store.put("op/config",
                  configuration_json(3, {route_json("/a/", "idempotent", "plain")}));
        start_hosts(1);
    }

  private:
    stand_in_target target_;
};

class messages_to_an_older_build : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(messages_to_an_older_build);
    CPPUNIT_TEST(have_its_fields_when_streams_are_resumed);
    CPPUNIT_TEST(have_its_fields_when_hosts_follow_relays);
    CPPUNIT_TEST(have_its_fields_when_targets_state_limits);
    CPPUNIT_TEST(have_its_fields_when_targets_are_full);
    CPPUNIT_TEST(have_its_fields_when_targets_crash);
    CPPUNIT_TEST(have_its_fields_when_stages_are_executed);
    CPPUNIT_TEST(lack_no_field_unnoticed);
    CPPUNIT_TEST_SUITE_END();

  public:
    void have_its_fields_when_streams_are_resumed()
    {
        versioned_pool it(1, {{"i-1", "v1"}, {"i-2", "v5"}});
        const recorded_links links(it);
        it.add_host("late-1");
        it.add_host("late-2");
        it.run_for(millis(500));
        std::vector<versioned_pool::caller_stream> streams = it.begin_streams(8);
        it.run_for(millis(500));
        CPPUNIT_ASSERT_EQUAL(8, it.take_up_all(streams));
        expect_readable(links, {"news?", "streams_begun", "origin?", "origin"});
    }

    void have_its_fields_when_hosts_follow_relays()
    {
        versioned_pool it(1);
        const recorded_links links(it);
        for (const char* name : {"late-1", "late-2", "late-3", "late-4", "late-5"})
        {
            it.add_host(name);
        }
        it.run_for(millis(3000));
        it.start_engine("i-3", "v1");
        it.stop_engine("i-1");
        it.run_for(millis(1000));
        expect_readable(links, {"follow", "current", "news"});
    }

    void have_its_fields_when_targets_state_limits()
    {
        limited_pool it(1, {"2", "2", "2", "2"});
        const recorded_links links(it);
        it.add_host("late-1");
        it.add_host("late-2");
        it.play(millis(2000), millis(40));
        for (const auto& each : it.targets)
        {
            each->limit = "";
        }
        it.play(millis(2500), millis(40));
        expect_readable(links, {"limit", "limit_ended", "permit?", "permit"});
    }

    void have_its_fields_when_targets_are_full()
    {
        full_target it;
        const recorded_links links(it);
        it.add_host("late");
        for (const char* id : {"id-1", "id-2"})
        {
            const received_answer got = it.send(it.all_settings.front().caller_endpoint,
                                                request_text("GET", "/a/x", id));
            CPPUNIT_ASSERT_EQUAL(503, got.status);
        }
        it.run_for(millis(100));
        expect_readable(links, {"full"});
    }

    void have_its_fields_when_targets_crash()
    {
        crashing_pool it(1, 4);
        const recorded_links links(it);
        it.add_host("late-1");
        it.add_host("late-2");
        it.crashing_parts = {"bad"};
        it.run_for(millis(1600));
        for (int i = 0; i < 12; ++i)
        {
            const auto host = static_cast<std::size_t>(i) % it.hosts.size();
            it.send_prompt(host, absl::StrCat("shared:100,bad:50,own-", i, ":10"));
            it.run_restarting(millis(200));
            it.send_prompt(host, absl::StrCat("shared:100,good:50,own-", i, ":10"));
        }
        expect_readable(links,
                        {"reached?", "reached", "crashes", "harmless?", "blocked"});
    }

    void have_its_fields_when_stages_are_executed()
    {
        partitioned_group it(3, 2, 2);
        const recorded_links links(it);
        it.kill_host(2);
        it.kill_host(1);
        it.add_host("host-1");
        it.add_host("host-2");
        CPPUNIT_ASSERT_EQUAL(12, it.served_in_turn("/s/x", 12));
        for (std::size_t host = 0; host < it.hosts.size(); ++host)
        {
            it.cut(host, path_cut::refused);
            it.served_in_turn("/s/x", 24);
            it.restore(host);
            it.run_for(millis(1000));
        }
        expect_readable(links, {"job", "verdict", "piece", "free", "paths", "no_path"});
    }

    void lack_no_field_unnoticed()
    {
        const nlohmann::json needed = needed_fields();
        const nlohmann::json limit{
            {"type", "limit"}, {"target", "i-1"}, {"started_ms", 5}, {"per_s", 0.5}};
        CPPUNIT_ASSERT(has_fields(limit, needed.at("limit")));
        for (const char* field : {"target", "started_ms", "per_s"})
        {
            nlohmann::json changed = limit;
            changed.erase(field);
            CPPUNIT_ASSERT(!has_fields(changed, needed.at("limit")));
            changed[field] = nullptr;
            CPPUNIT_ASSERT(!has_fields(changed, needed.at("limit")));
        }
        const nlohmann::json crash = nlohmann::json::parse(
            R"({"crashes": [{"target": "i", "started_ms": 1, "address": "a", "port": 1,
                "age_ms": 0, "prompts": [[1]], "requests": [[1, 2, [3]]]}]})");
        CPPUNIT_ASSERT(has_fields(crash, needed.at("crashes")));
        nlohmann::json changed = crash;
        changed["crashes"][0]["requests"][0][2] = 3;
        CPPUNIT_ASSERT(!has_fields(changed, needed.at("crashes")));
        CPPUNIT_ASSERT(!has_fields({{"number", 1}, {"piece", 1}}, needed.at("piece")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(messages_to_an_older_build);

} // namespace
