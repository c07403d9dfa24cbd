#include "support/entry/entry_group.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

namespace
{

using namespace medlar;
using namespace medlar::test;

using exchange_ptr = std::shared_ptr<caller_exchange>;

void answer(const exchange_ptr& exchange)
{
    exchange->answer(200, signed_headers(*exchange), "hello");
}

/// entries of a target that another writer might leave
std::vector<std::string> odd_entries(const std::string& entry)
{
    const auto with = [&](const char* name, const nlohmann::json& value)
    {
        nlohmann::json changed = nlohmann::json::parse(entry);
        changed[name] = value;
        return changed.dump();
    };
    constexpr std::size_t depth = 200000;
    const std::string nested = std::string(depth, '[') + "1" + std::string(depth, ']');
    std::vector<std::string> odd{nested,
                                 "{\"service\":" + nested + "}",
                                 "{\"version\":" + nested + ",\"service\":\"plain\"}",
                                 std::string(depth, '{'),
                                 "{\"born\":1e999}"};
    for (const char* const name : {"slots", "born", "sequence", "cold_ms"})
    {
        odd.push_back(with(name, 1e300));
        odd.push_back(with(name, -1e300));
        odd.push_back(with(name, std::numeric_limits<std::uint64_t>::max()));
        odd.push_back(with(name, std::numeric_limits<std::int64_t>::max()));
        odd.push_back(with(name, std::numeric_limits<std::int64_t>::min()));
    }
    for (const char* const address : {"127.0.0.1:70000",
                                      "127.0.0.1:-1",
                                      "127.0.0.1:0",
                                      "127.0.0.1:99999999999999999999",
                                      "[::1]:80",
                                      "::1:80",
                                      "fe80::1%9:80",
                                      "0.0.0.0:80",
                                      "255.255.255.255:80"})
    {
        odd.push_back(with("address", address));
    }
    return odd;
}

class an_odd_entry_among_those_of_the_targets : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_odd_entry_among_those_of_the_targets);
    CPPUNIT_TEST(does_not_end_a_host_or_keep_it_from_following_the_others);
    CPPUNIT_TEST(gives_way_to_what_the_target_writes_next);
    CPPUNIT_TEST_SUITE_END();

  public:
    void does_not_end_a_host_or_keep_it_from_following_the_others()
    {
        entry_group it;
        stand_in_target sound(it.loop, "i-sound", "plain", answer);
        it.store.put("op/config",
                     configuration_json(3, {route_json("/a/", "idempotent", "plain")}));
        it.store.put(sound.key(), sound.entry());
        it.start_hosts(2);
        int number = 0;
        for (const std::string& each : odd_entries(sound.entry()))
        {
            // each change after the odd entry has to be followed
            const std::string key = absl::StrCat("servers/i-odd-", ++number);
            it.store.put(key, each);
            stand_in_target next(
                it.loop, absl::StrCat("i-next-", number), "plain", answer);
            it.store.put(next.key(), next.entry());
            expect_used(it, next, each);
            it.store.remove(next.key());
            it.store.remove(key);
            it.run_for(millis(100));
        }
    }

    void gives_way_to_what_the_target_writes_next()
    {
        entry_group it;
        stand_in_target sound(it.loop, "i-sound", "plain", answer);
        it.store.put("op/config",
                     configuration_json(3, {route_json("/a/", "idempotent", "plain")}));
        it.store.put(sound.key(), sound.entry());
        it.start_hosts(2);
        int sequence = 1;
        for (const std::string& each : odd_entries(sound.entry()))
        {
            it.store.put(sound.key(), each);
            it.run_for(millis(50));
            it.store.put(sound.key(), sound.entry("ready", ++sequence));
            it.run_for(millis(50));
            expect_used(it, sound, each);
        }
    }

  private:
    /// each host sends a request to a target within some time
    static void
    expect_used(entry_group& group, const stand_in_target& target, const std::string& odd)
    {
        for (const entry_settings& each : group.all_settings)
        {
            const std::size_t before = target.requests.size();
            int number = 0;
            const bool is_used = group.until(
                [&]
                {
                    const std::string attempt = absl::StrCat("id-", ++number);
                    group.send(each.caller_endpoint,
                               request_text("GET", "/a/x", attempt));
                    return target.requests.size() > before;
                });
            CPPUNIT_ASSERT_MESSAGE(odd.substr(0, 200), is_used);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(an_odd_entry_among_those_of_the_targets);

} // namespace
