#ifndef MEDLAR_TEST_OVERLOAD_ENTRY_UNDER_LOAD_HPP
#define MEDLAR_TEST_OVERLOAD_ENTRY_UNDER_LOAD_HPP

#include "build_paths.hpp"
#include "overload/crowd.hpp"
#include "soak/entry_process.hpp"
#include "support/entry/entry_fixture.hpp"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <cppunit/TestFixture.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iostream>

namespace medlar::test
{

// The crowds and the bounds were fixed on the code before the memory budget.
constexpr std::size_t memory_mb = 60;
constexpr std::size_t peak_bound_kb = memory_mb * 1024;
// Above the pace of a trickling reader, whose connection TCP would give up if it were
// much slower.
constexpr std::size_t min_read_bytes_per_s = 131072;
constexpr std::size_t max_body_bytes = 1048576;

/// @brief medlar-entry as a child process, before a store and targets in this process.
class entry_under_load : public CppUnit::TestFixture
{
  public:
    struct host
    {
        endpoint callers = free_endpoint();
        endpoint readiness = free_endpoint();
        endpoint link = free_endpoint();
        /// the next port takes the requests that other hosts forward
        endpoint metrics = free_endpoint_pair();
        std::unique_ptr<soak::entry_process> process;
    };

    entry_under_load()
        : store_(loop_, store_endpoint_),
          target_(loop_,
                  "i-1",
                  "plain",
                  [this](const std::shared_ptr<caller_exchange>& exchange)
                  {
                      serve(exchange);
                  }),
          extreme_endpoint_(free_endpoint())
    {
        directory_ = absl::StrCat(std::filesystem::temp_directory_path().string(),
                                  "/medlar-overload-",
                                  getpid());
        std::filesystem::create_directories(directory_);
        store_.add_address(second_store_endpoint_);
        store_.second_view = [](const std::string& key, const std::string& value)
        {
            return absl::StartsWith(key, "servers/") ? without_path(value) : value;
        };
        store_.put(target_.key(), target_.entry());
        put_extreme_target();
        put_configuration();
    }

    ~entry_under_load() override
    {
        hosts_.clear();
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }

  protected:
    /// @param has_path whether the host can connect to the target of the plain pool
    host& start(const std::string& name, bool has_path = true)
    {
        hosts_.push_back(std::make_unique<host>());
        host& added = *hosts_.back();
        added.process = std::make_unique<soak::entry_process>(directory_, name);
        added.process->write_settings(settings_of(added, name, has_path));
        added.process->start(absl::StrCat(MEDLAR_BINARY_DIR, "/medlar-entry"));
        const bool is_ready = retry(
            [&]
            {
                return request(added.readiness,
                               "GET /-/readiness HTTP/1.1\r\nHost: h\r\n\r\n") == 200;
            });
        CPPUNIT_ASSERT_MESSAGE(name + " is not ready", is_ready);
        return added;
    }

    /// Opens the connections of a crowd, and sends until all have sent everything or were
    /// closed, or for @p span.
    void
    run_crowd(const crowd_plan& plan, std::size_t clients, millis span = millis(8000))
    {
        plan_ = plan;
        const steady_time end = time_.steady_now() + span;
        bool is_done = false;
        while (!is_done && time_.steady_now() < end)
        {
            // fewer than the backlog of the listener
            constexpr std::size_t opened_per_turn = 20;
            for (std::size_t i = 0; i < opened_per_turn && crowd_.size() < clients; ++i)
            {
                crowd_.push_back(std::make_unique<crowd_client>(loop_, plan_));
            }
            is_done = crowd_.size() == clients;
            for (const auto& each : crowd_)
            {
                each->send_more();
                is_done = is_done && each->is_done();
            }
            loop_.run_once(millis(0));
        }
        run_for(millis(3000));
    }

    /// Opens the connections of readers that take a few bytes of their answers now and
    /// then, and lets them read.
    void run_trickling_readers(const endpoint& to,
                               const std::string& request,
                               std::size_t clients,
                               millis span)
    {
        while (readers_.size() < clients)
        {
            readers_.push_back(std::make_unique<trickling_reader>(loop_, to, request));
            loop_.run_once(millis(0));
        }
        run_for(span);
    }

    /// Checks that the host lives within its bounds and answers an ordinary request.
    /// @param body_bytes size of the body of the ordinary request
    void check(host& checked, const std::string& what, std::size_t body_bytes = 1000)
    {
        const bool is_running = checked.process->is_running();
        CPPUNIT_ASSERT_MESSAGE(checked.process->last_exit(), is_running);
        const std::size_t peak = peak_kb(checked);
        const std::size_t descriptors = open_descriptors(checked);
        const bool is_answered = retry(
            [&]
            {
                return request(checked.callers,
                               request_text("POST",
                                            "/n/ordinary",
                                            absl::StrCat("ordinary-", ++requests_),
                                            std::string(body_bytes, 'o'))) == 200;
            });
        std::cout << what << ": peak " << peak << " kB, " << descriptors
                  << " descriptors, an ordinary request was "
                  << (is_answered ? "answered" : "not answered") << std::endl;
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("peak of ", peak, " kB"),
                               std::max(peak, peak_kb(checked)) <= peak_bound_kb);
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(descriptors, " open descriptors"),
                               descriptors <= max_fds_);
        CPPUNIT_ASSERT_MESSAGE("no ordinary request was answered", is_answered);
    }

    static std::string head(const std::string& path,
                            const std::string& framing,
                            millis deadline = millis(15000))
    {
        return absl::StrCat("POST ",
                            path,
                            " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: crowd\r\n"
                            "Deadline-Ms: ",
                            deadline.count(),
                            "\r\nAuthorization: Bearer key-1\r\n",
                            framing,
                            "\r\n\r\n");
    }

    /// @brief Answers of the plain target wait for this time.
    millis answer_delay_{0};

    /// @brief Descriptors that a host may have open.
    std::size_t max_fds_ = 600;

    event_loop& loop()
    {
        return loop_;
    }

    stand_in_store& store()
    {
        return store_;
    }

    void run_for(millis span)
    {
        const steady_time end = time_.steady_now() + span;
        while (time_.steady_now() < end)
        {
            loop_.run_once(millis(5));
        }
    }

    /// Adds a route to the configuration in the store.
    void add_route(const std::string& prefix)
    {
        put_configuration({route_json(prefix, "non_idempotent", "plain")});
    }

    /// Checks that a request on a route is answered, which a host does that has read it.
    void check_route(host& checked, const std::string& path)
    {
        CPPUNIT_ASSERT_MESSAGE(
            "no request was answered at " + path,
            retry(
                [&]
                {
                    return request(checked.callers,
                                   request_text("POST",
                                                path,
                                                absl::StrCat("routed-", ++requests_),
                                                "b")) == 200;
                }));
    }

    const endpoint& extreme_endpoint() const
    {
        return extreme_endpoint_;
    }

  private:
    static std::string without_path(const std::string& entry)
    {
        nlohmann::json changed = nlohmann::json::parse(entry);
        changed["address"] = "127.0.0.1:1";
        return changed.dump();
    }

    void serve(const std::shared_ptr<caller_exchange>& exchange)
    {
        loop_.after(answer_delay_,
                    [exchange]
                    {
                        exchange->answer(200, signed_headers(*exchange), "done");
                    });
    }

    void put_extreme_target()
    {
        nlohmann::json entry = nlohmann::json::parse(target_.entry());
        entry["service"] = "extreme";
        entry["address"] = to_string(extreme_endpoint_);
        store_.put("servers/x-1", entry.dump());
    }

    void put_configuration(const std::vector<nlohmann::json>& more_routes = {})
    {
        nlohmann::json plain = route_json("/n/", "non_idempotent", "plain");
        nlohmann::json extreme = route_json("/x/", "non_idempotent", "extreme");
        plain["timeout_ms"] = 15000;
        // the deadlines of the requests are shorter
        extreme["timeout_ms"] = 120000;
        std::vector<nlohmann::json> routes{plain, extreme};
        routes.insert(routes.end(), more_routes.begin(), more_routes.end());
        const int version = 3 + static_cast<int>(more_routes.size());
        nlohmann::json changed =
            nlohmann::json::parse(configuration_json(version, routes));
        changed["services"].push_back(
            {{"name", "extreme"}, {"health_path", "/health"}, {"max_conns", 1000}});
        changed["limits"]["max_body_bytes"] = max_body_bytes;
        changed["limits"]["header_timeout_ms"] = 20000;
        store_.put("op/config", changed.dump());
    }

    std::string settings_of(const host& of, const std::string& name, bool has_path) const
    {
        const endpoint& store = has_path ? store_endpoint_ : second_store_endpoint_;
        return nlohmann::json({{"node", name},
                               {"zone", "a"},
                               {"ip", "127.0.0.1"},
                               {"listen",
                                {{"front", to_string(of.callers)},
                                 {"ready", to_string(of.readiness)},
                                 {"control", to_string(of.link)}}},
                               {"port_range", {of.metrics.port - 1, of.metrics.port + 1}},
                               {"seeds", nlohmann::json::array()},
                               {"limits",
                                {{"cpu_share", 0.5},
                                 {"memory_mb", memory_mb},
                                 {"min_read_bytes_per_s", min_read_bytes_per_s},
                                 {"max_fds", max_fds_}}},
                               {"bounds", {{"grace_s", 4}}},
                               {"platform", {{"address", to_string(store)}}}})
            .dump();
    }

    /// Tries again while a refusal asks for it.
    bool retry(const std::function<bool()>& attempt)
    {
        constexpr int max_tries = 20;
        bool has_succeeded = attempt();
        for (int tries = 1; !has_succeeded && tries < max_tries; ++tries)
        {
            run_for(millis(250));
            has_succeeded = attempt();
        }
        return has_succeeded;
    }

    /// @return the status of the answer; 0 if there is none
    int request(const endpoint& to, const std::string& text)
    {
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
        const auto call = client_.start(to, text, options, events);
        const steady_time end = time_.steady_now() + millis(5000);
        while (!has_ended && time_.steady_now() < end)
        {
            loop_.run_once(millis(5));
        }
        call->cancel();
        return status;
    }

    static std::size_t peak_kb(const host& of)
    {
        std::ifstream lines(absl::StrCat("/proc/", of.process->pid(), "/status"));
        std::string word;
        std::size_t peak = 0;
        while (lines >> word && word != "VmHWM:")
        {
        }
        lines >> peak;
        return peak;
    }

    static std::size_t open_descriptors(const host& of)
    {
        const std::filesystem::directory_iterator open(
            absl::StrCat("/proc/", of.process->pid(), "/fd"));
        return static_cast<std::size_t>(std::distance(begin(open), end(open)));
    }

    medlar::clock time_ = medlar::clock::system();
    event_loop loop_{time_};
    endpoint store_endpoint_ = free_endpoint();
    endpoint second_store_endpoint_ = free_endpoint();
    stand_in_store store_;
    stand_in_target target_;
    endpoint extreme_endpoint_;
    http_client client_{loop_, 65536};
    std::string directory_;
    crowd_plan plan_;
    std::vector<std::unique_ptr<crowd_client>> crowd_;
    std::vector<std::unique_ptr<trickling_reader>> readers_;
    std::vector<std::unique_ptr<host>> hosts_;
    int requests_ = 0;
};

} // namespace medlar::test

#endif // MEDLAR_TEST_OVERLOAD_ENTRY_UNDER_LOAD_HPP
