// Crowds of clients that hold memory of medlar-gateway. Each test checks only that the
// process lives within its bounds and answers an ordinary request afterwards.

#include "build_paths.hpp"
#include "overload/crowd.hpp"
#include "support/free_endpoint.hpp"
#include "system/harness/process.hpp"

#include <medlar/detail/loop/http_client.hpp>

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace
{

using namespace medlar;
using namespace medlar::test;

constexpr std::size_t body_bytes = 1048576;
constexpr std::size_t connections = 200;
constexpr std::size_t peak_bound_kb = 120UL * 1024;
constexpr std::size_t max_descriptors = 600;
constexpr char chunked[] = "Transfer-Encoding: chunked";

std::string length_of(std::size_t bytes)
{
    return absl::StrCat("Content-Length: ", bytes);
}

std::string chunk_of(std::size_t bytes)
{
    return absl::StrCat(absl::Hex(bytes), "\r\n", std::string(bytes, 'x'), "\r\n");
}

/// Guards against a gateway that grows with each body that never ends.
class bodies_at_a_gateway : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(bodies_at_a_gateway);
    CPPUNIT_TEST(stay_within_its_memory_if_they_stop_a_byte_short);
    CPPUNIT_TEST(stay_within_it_in_large_chunks_that_stop_short);
    CPPUNIT_TEST(stay_within_it_in_chunks_of_one_byte);
    CPPUNIT_TEST(stay_within_it_far_over_the_limit);
    CPPUNIT_TEST(of_the_largest_size_are_taken_one_at_a_time);
    CPPUNIT_TEST_SUITE_END();

  public:
    bodies_at_a_gateway()
        : directory_(absl::StrCat(std::filesystem::temp_directory_path().string(),
                                  "/medlar-gateway-crowd-",
                                  getpid())),
          plain_("plain-service", {"--fixed_us=0", "--per_byte_us=0"}, "crowd-plain"),
          gateway_("medlar-gateway",
                   {"--host_id=crowd",
                    "--drain_wait_ms=0",
                    absl::StrCat("--max_connections=", connections + 50),
                    absl::StrCat("--max_body_bytes=", body_bytes),
                    absl::StrCat("--config_file=", write_configuration())},
                   "crowd-gateway")
    {
        const std::string said = gateway_.wait_for_line("listening ");
        callers_ = *parse_endpoint(said.substr(0, said.find(' ')));
    }

    ~bodies_at_a_gateway() override
    {
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }

    void stay_within_its_memory_if_they_stop_a_byte_short()
    {
        const std::string piece(65536, 'x');
        run_crowd({callers_,
                   head(length_of(body_bytes)),
                   piece,
                   body_bytes / piece.size() - 1,
                   std::string(piece.size() - 1, 'x')});
        check("a byte short");
    }

    void stay_within_it_in_large_chunks_that_stop_short()
    {
        run_crowd({callers_, head(chunked), chunk_of(65536), 15});
        check("large chunks");
    }

    void stay_within_it_in_chunks_of_one_byte()
    {
        constexpr std::size_t chunks_at_once = 1000;
        std::string chunks;
        for (std::size_t i = 0; i < chunks_at_once; ++i)
        {
            chunks += chunk_of(1);
        }
        run_crowd({callers_, head(chunked), chunks, 800});
        check("chunks of one byte");
    }

    void stay_within_it_far_over_the_limit()
    {
        run_crowd({callers_, head(chunked), chunk_of(65536), 320});
        check("over the limit");
    }

    void of_the_largest_size_are_taken_one_at_a_time()
    {
        constexpr std::size_t other_fields = 200;
        CPPUNIT_ASSERT(is_answered(body_bytes - other_fields));
        CPPUNIT_ASSERT(is_answered(body_bytes - other_fields));
    }

  private:
    static absl::StatusOr<endpoint> parse_endpoint(const std::string& text)
    {
        const std::size_t colon = text.find(':');
        return endpoint{text.substr(0, colon),
                        static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
    }

    std::string write_configuration()
    {
        std::filesystem::create_directories(directory_);
        const endpoint plain = *parse_endpoint(plain_.wait_for_line("listening "));
        const auto stage = [](const char* name, const char* kind, const char* after)
        {
            nlohmann::json json{{"name", name}, {"kind", kind}, {"pool", "plain"}};
            if (*after != '\0')
            {
                json["after"] = {after};
            }
            return json;
        };
        const nlohmann::json configuration{
            {"pools",
             {{{"name", "plain"},
               {"targets",
                {{{"name", "plain-1"},
                  {"address", plain.address},
                  {"port", plain.port},
                  {"failure_domain", "a"}}}}}}},
            {"pipelines",
             {{{"name", "crowd"},
               {"admission", "none"},
               {"stages",
                {stage("encode", "encode", ""),
                 stage("retrieve", "retrieve", "encode"),
                 stage("rerank", "rerank", "retrieve")}}}}},
            {"organisations", {{{"name", "o"}}}}};
        const std::string path = directory_ + "/configuration.json";
        std::ofstream(path) << configuration.dump();
        return path;
    }

    static std::string head(const std::string& framing)
    {
        return absl::StrCat("POST /v1/pipelines/crowd/requests HTTP/1.1\r\nHost: h\r\n",
                            framing,
                            "\r\n\r\n");
    }

    /// Sends until all have sent everything or were closed, or for some seconds.
    void run_crowd(const crowd_plan& plan)
    {
        plan_ = plan;
        const steady_time end = time_.steady_now() + millis(8000);
        bool is_done = false;
        while (!is_done && time_.steady_now() < end)
        {
            // fewer than the backlog of the listener
            constexpr std::size_t opened_per_turn = 20;
            for (std::size_t i = 0; i < opened_per_turn && crowd_.size() < connections;
                 ++i)
            {
                crowd_.push_back(std::make_unique<crowd_client>(loop_, plan_));
            }
            is_done = crowd_.size() == connections;
            for (const auto& each : crowd_)
            {
                each->send_more();
                is_done = is_done && each->is_done();
            }
            loop_.run_once(millis(0));
        }
        run_for(millis(1000));
    }

    void run_for(millis span)
    {
        const steady_time end = time_.steady_now() + span;
        while (time_.steady_now() < end)
        {
            loop_.run_once(millis(5));
        }
    }

    /// @return whether a request of a size was answered, after a refusal again
    bool is_answered(std::size_t bytes)
    {
        constexpr int max_tries = 40;
        for (int tries = 0; tries < max_tries; ++tries)
        {
            if (submit(bytes) == 200)
            {
                return true;
            }
            run_for(millis(250));
        }
        return false;
    }

    /// @return the status of the answer; 0 if there is none
    int submit(std::size_t bytes)
    {
        const std::int64_t now_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
        const std::string body =
            nlohmann::json({{"id", absl::StrCat("ordinary-", ++requests_)},
                            {"organisation", "o"},
                            {"issued_at_ms", now_ms},
                            {"idempotent", true},
                            {"input", std::string(bytes, 'o')}})
                .dump();
        int status = 0;
        bool has_ended = false;
        call_callbacks events;
        events.on_head = [&status](const answer_head& answer)
        {
            status = answer.status;
        };
        events.on_end = [&has_ended](call_end)
        {
            has_ended = true;
        };
        call_options options;
        options.needs_new_connection = true;
        const auto call =
            client_.start(callers_, head(length_of(body.size())) + body, options, events);
        const steady_time end = time_.steady_now() + millis(5000);
        while (!has_ended && time_.steady_now() < end)
        {
            loop_.run_once(millis(5));
        }
        call->cancel();
        return status;
    }

    void check(const std::string& what)
    {
        CPPUNIT_ASSERT_MESSAGE("the gateway has ended", gateway_.running());
        const std::size_t peak = peak_kb();
        const std::size_t descriptors = open_descriptors();
        const bool answered = is_answered(1000);
        std::cout << what << ": peak " << peak << " kB, " << descriptors
                  << " descriptors, an ordinary request was "
                  << (answered ? "answered" : "not answered") << std::endl;
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("peak of ", peak, " kB"),
                               std::max(peak, peak_kb()) <= peak_bound_kb);
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(descriptors, " open descriptors"),
                               descriptors <= max_descriptors);
        CPPUNIT_ASSERT_MESSAGE("no ordinary request was answered", answered);
    }

    std::size_t peak_kb() const
    {
        std::ifstream lines(absl::StrCat("/proc/", gateway_.id(), "/status"));
        std::string word;
        std::size_t peak = 0;
        while (lines >> word && word != "VmHWM:")
        {
        }
        lines >> peak;
        return peak;
    }

    std::size_t open_descriptors() const
    {
        const std::filesystem::directory_iterator open(
            absl::StrCat("/proc/", gateway_.id(), "/fd"));
        return static_cast<std::size_t>(std::distance(begin(open), end(open)));
    }

    medlar::clock time_ = medlar::clock::system();
    event_loop loop_{time_};
    http_client client_{loop_, 65536};
    std::string directory_;
    testing::process plain_;
    testing::process gateway_;
    endpoint callers_;
    crowd_plan plan_;
    std::vector<std::unique_ptr<crowd_client>> crowd_;
    int requests_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(bodies_at_a_gateway);

} // namespace
