#include "build_paths.hpp"
#include "platform/adapter.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <vector>

namespace
{

using namespace medlar;

constexpr char settings_text[] = R"({
  "node": "front-a-1", "zone": "a", "ip": "10.1.0.41",
  "listen": {"front": "10.1.0.41:8625", "ready": "10.1.0.41:8621",
             "control": "10.1.0.41:8628"},
  "port_range": [7740, 7755], "seeds": ["10.1.0.41:8628"],
  "heartbeat_ms": 1200, "limits": {"cpu_share": 0.25}, "unknown": {"x": 1},
  "bounds": {"grace_s": 8, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 56},
  "platform": {"address": "10.200.1.7:8624"}})";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

class the_settings_file : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_settings_file);
    CPPUNIT_TEST(is_read_and_unknown_fields_are_ignored);
    CPPUNIT_TEST(bounds_evacuations_only_if_it_says_so);
    CPPUNIT_TEST(is_rejected_with_the_name_of_the_invalid_field);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_read_and_unknown_fields_are_ignored()
    {
        const auto settings = platform::read_settings(settings_text);
        CPPUNIT_ASSERT_MESSAGE(settings.status().ToString(), settings.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("front-a-1"), settings->host.get());
        CPPUNIT_ASSERT(settings->caller_endpoint == (endpoint{"10.1.0.41", 8625}));
        CPPUNIT_ASSERT(settings->link_endpoint == (endpoint{"10.1.0.41", 8628}));
        CPPUNIT_ASSERT(settings->metrics_endpoint == (endpoint{"10.1.0.41", 7741}));
        CPPUNIT_ASSERT(settings->shutdown_grace == millis(8000));
        CPPUNIT_ASSERT(settings->target_heartbeat == millis(1200));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(56.0, settings->retry_rule.slack, 0.001);
        CPPUNIT_ASSERT(!settings->evacuate_bound);
    }

    void bounds_evacuations_only_if_it_says_so()
    {
        const auto with = [](const std::string& field)
        {
            const auto settings = platform::read_settings(
                replaced(settings_text, R"("grace_s")", field + R"(, "grace_s")"));
            CPPUNIT_ASSERT_MESSAGE(settings.status().ToString(), settings.ok());
            return *settings;
        };
        CPPUNIT_ASSERT(with(R"("evacuate_ms": 5000)").evacuate_bound == millis(5000));
        CPPUNIT_ASSERT(with(R"("evacuate_ms": 5000)").change_bound == millis(2000));
        CPPUNIT_ASSERT(with(R"("evacuate_ms": 900)").change_bound == millis(900));
        CPPUNIT_ASSERT(!with(R"("evacuate_ms": 0)").evacuate_bound);
        CPPUNIT_ASSERT(!with(R"("evacuate_ms": -3)").evacuate_bound);
        CPPUNIT_ASSERT(with(R"("evacuate_ms": 1e300)").evacuate_bound);
    }

    void is_rejected_with_the_name_of_the_invalid_field()
    {
        const std::string text = settings_text;
        const std::vector<std::pair<std::string, std::string>> cases{
            {replaced(text, R"("node")", R"("other")"), "node"},
            {replaced(text, "10.1.0.41:8625", "somewhere"), "front"},
            {replaced(text, "10.200.1.7:8624", "10.200.1.7"), "address"},
            {replaced(text, "[7740, 7755]", "7740"), "port_range"},
            {"{", "JSON"}};
        for (const auto& each : cases)
        {
            const auto settings = platform::read_settings(each.first);
            CPPUNIT_ASSERT(!settings.ok());
            const std::string message(settings.status().message());
            CPPUNIT_ASSERT_MESSAGE(message,
                                   message.find(each.second) != std::string::npos);
        }
    }
};

class the_adapter : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_adapter);
    CPPUNIT_TEST(reads_the_head_of_a_request);
    CPPUNIT_TEST(reads_a_configuration);
    CPPUNIT_TEST(names_the_invalid_route);
    CPPUNIT_TEST(names_the_route_whose_stages_form_a_cycle);
    CPPUNIT_TEST(reads_entries_of_targets_and_rejects_invalid_ones);
    CPPUNIT_TEST(reads_when_a_target_has_started);
    CPPUNIT_TEST(reads_items_and_events_of_the_store);
    CPPUNIT_TEST(reads_no_part_of_an_answer);
    CPPUNIT_TEST(reads_results_of_pieces);
    CPPUNIT_TEST(is_the_only_place_with_names_of_the_platform);
    CPPUNIT_TEST_SUITE_END();

    platform::adapter adapter_;

  public:
    void reads_the_head_of_a_request()
    {
        request_head head;
        head.headers.add("Attempt-Id", "9c41");
        head.headers.add("Deadline-Ms", "1500");
        head.headers.add("Authorization", "Bearer k-1");
        head.headers.add("Token-Counts", "1460,80");
        head.headers.add("Prompt-Prefix", "5c1e:800,91bd:410, e440:250");
        head.headers.add("Pieces", "2,0,16");
        head.headers.add("Last-Event-Id", "12");
        const request_fields fields = adapter_.read_request(head);
        CPPUNIT_ASSERT_EQUAL(std::string("9c41"), fields.attempt.get());
        CPPUNIT_ASSERT(fields.deadline == millis(1500));
        CPPUNIT_ASSERT_EQUAL(std::string("k-1"), fields.access_key);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1460}, fields.prompt_tokens.get());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{80}, fields.output_tokens.get());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fields.prompt.size());
        CPPUNIT_ASSERT_EQUAL(std::string("e440"), fields.prompt[2].id);
        CPPUNIT_ASSERT(fields.pieces == (std::vector<int>{2, 0, 16}));
        CPPUNIT_ASSERT_EQUAL(std::string("12"), fields.resume_after);
    }

    void reads_a_configuration()
    {
        const auto read = adapter_.read_configuration(R"({
            "version": 7,
            "routes": [{"name": "r-1", "host": "h", "prefix": "/a/", "kind": "stream",
              "timeout_ms": 8000, "target_latency_ms": 1900, "priority": 2,
              "backends": [{"service": "m", "weight": 90}, {"service": "n", "weight": 10}],
              "max_attempts": 2, "resumable": true,
              "stages": [{"service": "s", "after": [], "bytes": 8000},
                         {"service": "s", "after": [0], "bytes": 60000}]}],
            "services": [{"name": "s", "max_conns": 370, "pieces": {"slots": 1, "queue": 2,
              "batch": 8, "call_ms": 150.0, "item_ms": 16.0, "headroom_mb": 36.0,
              "handle_s": 4.0}}],
            "tenants": [{"name": "t", "api_keys": ["k-1", "k-2"], "priority": 1}],
            "limits": {"max_header_bytes": 9000}})");
        CPPUNIT_ASSERT_MESSAGE(read.status().ToString(), read.ok());
        const route& one = read->routes.at(0);
        CPPUNIT_ASSERT(one.kind == route_kind::stream && one.may_retry());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, one.pools.size());
        CPPUNIT_ASSERT(one.stages.at(1).after == std::vector<std::size_t>{0});
        const pool_rule* const pool = read->find_pool(pool_id("s"));
        CPPUNIT_ASSERT(pool != nullptr && pool->pieces);
        CPPUNIT_ASSERT_EQUAL(8, pool->pieces->max_batch_size);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{36000000}, pool->pieces->result_memory.get());
        CPPUNIT_ASSERT_EQUAL(std::string("t"),
                             read->organisations_by_key.at("k-2").name.get());
        CPPUNIT_ASSERT_EQUAL(std::size_t{9000}, read->limits.max_head_bytes);
    }

    void names_the_invalid_route()
    {
        const auto read = adapter_.read_configuration(R"({"version": 1, "routes": [
            {"name": "r-1", "host": "h", "prefix": "/", "kind": "stream", "service": "m",
             "timeout_ms": 0}]})");
        CPPUNIT_ASSERT(!read.ok());
        const std::string message(read.status().message());
        CPPUNIT_ASSERT_MESSAGE(
            message,
            message.find("route \"r-1\": timeout_ms must be at least 1") !=
                std::string::npos);
    }

    void names_the_route_whose_stages_form_a_cycle()
    {
        const auto read = adapter_.read_configuration(R"({"version": 1, "routes": [
            {"name": "r-1", "host": "h", "prefix": "/", "kind": "stream", "service": "m",
             "timeout_ms": 100, "stages": [{"service": "s", "after": [1]},
                                           {"service": "s", "after": [0]}]}]})");
        CPPUNIT_ASSERT(!read.ok());
        const std::string message(read.status().message());
        CPPUNIT_ASSERT_MESSAGE(message,
                               message.find("route \"r-1\": stages form a cycle") !=
                                   std::string::npos);
    }

    void reads_entries_of_targets_and_rejects_invalid_ones()
    {
        const std::string good =
            R"({"service": "s", "address": "10.0.0.9:80", "zone": "a",
            "version": "v1.2", "state": "draining", "slots": 4, "sequence": 9, "born": 1764800000000})";
        const auto record = adapter_.read_target(target_id("i-1"), good);
        CPPUNIT_ASSERT_MESSAGE(record.status().ToString(), record.ok());
        CPPUNIT_ASSERT(record->is_draining);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1764800000000}, record->started_ms);
        CPPUNIT_ASSERT_EQUAL(std::string("v1.2"), record->version.get());
        const std::vector<std::string> bad{"",
                                           "[]",
                                           "\xff\x01",
                                           replaced(good, "\"s\"", "7"),
                                           replaced(good, "draining", "asleep"),
                                           replaced(good, "10.0.0.9:80", "10.0.0.9"),
                                           replaced(good, "\"zone\"", "\"place\""),
                                           replaced(good, "\"v1.2\"", "2"),
                                           replaced(good, "version", "build")};
        for (const std::string& each : bad)
        {
            CPPUNIT_ASSERT_MESSAGE(each,
                                   !adapter_.read_target(target_id("i-1"), each).ok());
        }
    }

    void reads_when_a_target_has_started()
    {
        CPPUNIT_ASSERT(
            adapter_.read_start_answer(R"({"busy": false, "born": 1764800000000})") ==
            std::optional<std::int64_t>(1764800000000));
        for (const char* const each :
             {"", "[]", "{", "{}", R"({"born": "5"})", R"({"born": 1e999})"})
        {
            CPPUNIT_ASSERT_MESSAGE(each, !adapter_.read_start_answer(each));
        }
    }

    void reads_items_and_events_of_the_store()
    {
        const auto page = adapter_.read_page(
            R"({"items": [{"key": "a", "value": "bm9kZS0x", "revision": 412, "lease": 0}],
                "more_pages": true, "store_revision": 530})");
        CPPUNIT_ASSERT_MESSAGE(page.status().ToString(), page.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("node-1"), page->items.at(0).value);
        CPPUNIT_ASSERT(page->has_more);
        const auto events = adapter_.read_events(
            R"({"events": [{"key": "b", "revision": 413, "deleted": true}],
                "store_revision": 413})");
        CPPUNIT_ASSERT(events.ok() && events->items.at(0).is_deleted);
        CPPUNIT_ASSERT(!adapter_.read_page("{}").ok());
        CPPUNIT_ASSERT(!adapter_
                            .read_page(R"({"items": [{"key": "a", "value": "?",
                                "revision": 1}], "store_revision": 1})")
                            .ok());
    }

    void reads_no_part_of_an_answer()
    {
        const auto is_read_whole_only = [](const std::string& text, const auto& read)
        {
            bool is_part_read = false;
            for (std::size_t size = 0; size < text.size(); ++size)
            {
                is_part_read = is_part_read || read(text.substr(0, size)).ok();
            }
            return !is_part_read && read(text).ok();
        };
        CPPUNIT_ASSERT(is_read_whole_only(
            R"({"items": [{"key": "k", "revision": 1, "value": "eA=="}],
                "more_pages": false, "store_revision": 17})",
            [this](const std::string& text)
            {
                return adapter_.read_page(text);
            }));
        CPPUNIT_ASSERT(is_read_whole_only(
            R"({"events": [{"key": "k", "revision": 12, "deleted": true}],
                "store_revision": 17})",
            [this](const std::string& text)
            {
                return adapter_.read_events(text);
            }));
        CPPUNIT_ASSERT(is_read_whole_only(R"({"lease": 77, "ttl_ms": 5000})",
                                          [this](const std::string& text)
                                          {
                                              return adapter_.read_lease(text);
                                          }));
        CPPUNIT_ASSERT(is_read_whole_only(
            R"({"items": [{"handle": "10.1.64.7:8080/91bd"}, {"reason": "gone"}]})",
            [this](const std::string& text)
            {
                return adapter_.read_piece_answer(text);
            }));
    }

    void reads_results_of_pieces()
    {
        const auto results = adapter_.read_piece_answer(
            R"({"items": [{"handle": "10.1.64.7:8080/91bd"}, {"reason": "gone"},
                {"reason": "room"}, {"reason": "late"}, {"reason": "other"}]})");
        CPPUNIT_ASSERT(results.ok());
        CPPUNIT_ASSERT(results->at(0).handle);
        CPPUNIT_ASSERT(results->at(1).failure == piece_failure::input_gone);
        CPPUNIT_ASSERT(results->at(2).failure == piece_failure::no_result_memory);
        CPPUNIT_ASSERT(results->at(3).failure == piece_failure::late);
        CPPUNIT_ASSERT(results->at(4).failure == piece_failure::failed);
        const auto holder = adapter_.holder_of(*results->at(0).handle);
        CPPUNIT_ASSERT(holder.ok() && *holder == (endpoint{"10.1.64.7", 8080}));
    }

    void is_the_only_place_with_names_of_the_platform()
    {
        const std::vector<std::string> names{"Attempt-Id",
                                             "Expect-Instance",
                                             "Prompt-Prefix",
                                             "Token-Counts",
                                             "Response-Signature",
                                             "Not-Executed",
                                             "Piece-Key",
                                             "kv-txn",
                                             "kv-range",
                                             "stage-run",
                                             "op/config",
                                             "MEDLARSCALE_NODE_FILE"};
        for (const char* folder : {"src", "include"})
        {
            const std::filesystem::path root =
                std::filesystem::path(MEDLAR_SOURCE_DIR) / folder;
            for (const auto& file : std::filesystem::recursive_directory_iterator(root))
            {
                if (!file.is_regular_file())
                {
                    continue;
                }
                std::ifstream in(file.path());
                const std::string text((std::istreambuf_iterator<char>(in)),
                                       std::istreambuf_iterator<char>());
                for (const std::string& each : names)
                {
                    CPPUNIT_ASSERT_MESSAGE(file.path().string() + ": " + each,
                                           text.find(each) == std::string::npos);
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_settings_file);
CPPUNIT_TEST_SUITE_REGISTRATION(the_adapter);

} // namespace
