#ifndef MEDLAR_TEST_SUPPORT_ENTRY_COLD_POOL_HPP
#define MEDLAR_TEST_SUPPORT_ENTRY_COLD_POOL_HPP

#include "support/entry/entry_group.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace medlar::test
{

/// @brief Entry hosts in front of targets that are cold for a while, and of one target
/// that executes pieces.
class cold_pool : public entry_group
{
  public:
    static constexpr millis second{1000};
    /// 1.5 times the rate of 5 requests a second, and 5 more
    static constexpr std::size_t bound = 12;

    struct target
    {
        std::unique_ptr<stand_in_target> server;
        std::vector<steady_time> arrivals;
        /// what its reports state as Cold-Ms; empty: nothing
        std::string cold_ms;
        int sequence = 1;
    };

    cold_pool(int host_count, int target_count, const nlohmann::json& rate = 5)
    {
        for (int i = 0; i < target_count; ++i)
        {
            targets.push_back(std::make_unique<target>());
            target& added = *targets.back();
            added.server = std::make_unique<stand_in_target>(
                loop,
                absl::StrCat("i-", i),
                "plain",
                [this, &added](const std::shared_ptr<caller_exchange>& exchange)
                {
                    added.arrivals.push_back(time.steady_now());
                    if (on_request && &added == targets.front().get())
                    {
                        on_request(exchange);
                        return;
                    }
                    exchange->answer(200, signed_headers(*exchange), "hello");
                });
            added.server->report_handler =
                [&added](const std::shared_ptr<caller_exchange>& exchange)
            {
                header_list headers;
                if (!added.cold_ms.empty())
                {
                    headers.add("Cold-Ms", added.cold_ms);
                }
                const nlohmann::json said{{"born", added.server->started_ms}};
                exchange->answer(200, headers, said.dump());
            };
            store.put(added.server->key(), added.server->entry());
        }
        stage_ = std::make_unique<stand_in_target>(
            loop,
            "i-stage",
            "stage",
            [this](const std::shared_ptr<caller_exchange>& exchange)
            {
                execute_pieces(*exchange);
            });
        store.put(stage_->key(), stage_->entry());
        nlohmann::json staged = route_json("/s/", "idempotent", "plain");
        staged["stages"] = {
            {{"service", "stage"}, {"after", nlohmann::json::array()}, {"bytes", 9}}};
        nlohmann::json configuration = nlohmann::json::parse(
            configuration_json(3, {route_json("/a/", "idempotent", "plain"), staged}));
        for (nlohmann::json& each : configuration["services"])
        {
            each["cold_start_s"] = 2.5;
            each["cold_per_s"] = rate;
        }
        store.put("op/config", configuration.dump());
        start_hosts(host_count);
    }

    /// Writes to the entry of a target how much longer it stays cold.
    void put_cold(std::size_t which, std::int64_t left_ms)
    {
        target& cold = *targets.at(which);
        put_cold(*cold.server, ++cold.sequence, left_ms);
        cold.arrivals.clear();
    }

    void put_cold_stage(std::int64_t left_ms)
    {
        put_cold(*stage_, 2, left_ms);
    }

    /// Sends 100 requests a second to all hosts in turn, without waiting for answers.
    void play(millis span, const std::string& path = "/a/x")
    {
        const steady_time begin_at = time.steady_now();
        while (time.steady_now() < begin_at + span)
        {
            const entry_settings& to = all_settings.at(sent_ % all_settings.size());
            const std::string number = absl::StrCat(++sent_);
            answers.push_back(
                begin(to.caller_endpoint,
                      request_text("GET",
                                   path,
                                   "id-" + number,
                                   {},
                                   "Pieces: 1\r\nPiece-Key: k-" + number + "\r\n")));
            run_for(millis(10));
        }
    }

    static std::size_t most_of(const std::vector<steady_time>& all, millis window)
    {
        std::size_t most = 0;
        for (auto first = all.begin(); first != all.end(); ++first)
        {
            const auto last = std::lower_bound(first, all.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    /// Returns the largest number of requests that a target got in a second.
    std::size_t most_arrivals(std::size_t which) const
    {
        return most_of(targets.at(which)->arrivals, second);
    }

    void expect_bound(std::size_t which) const
    {
        const std::size_t most = most_arrivals(which);
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(most, " requests in a second"),
                               most <= bound);
    }

    std::vector<std::unique_ptr<target>> targets;
    /// answers requests in place of the first target; may be empty
    stand_in_target::behaviour on_request;
    std::vector<steady_time> stage_arrivals;
    std::vector<std::shared_ptr<received_answer>> answers;

  private:
    /// Writes an entry and waits until the hosts have it.
    void put_cold(const stand_in_target& cold, int sequence, std::int64_t left_ms)
    {
        nlohmann::json entry = nlohmann::json::parse(cold.entry("ready", sequence));
        entry["cold_ms"] = left_ms;
        store.put(cold.key(), entry.dump());
        // a watch of the store brings it to a host within 300 ms
        run_for(millis(500));
    }

    void execute_pieces(caller_exchange& exchange)
    {
        const nlohmann::json body = nlohmann::json::parse(exchange.body());
        if (!body.contains("items"))
        {
            exchange.answer(200, {}, "{}");
            return;
        }
        stage_arrivals.push_back(time.steady_now());
        nlohmann::json items = nlohmann::json::array();
        for (std::size_t i = 0; i < body["items"].size(); ++i)
        {
            items.push_back({{"handle", absl::StrCat("127.0.0.1:1/h", ++results_)}});
        }
        exchange.answer(200, {}, nlohmann::json({{"items", items}}).dump());
    }

    std::unique_ptr<stand_in_target> stage_;
    std::size_t sent_ = 0;
    int results_ = 0;
};

} // namespace medlar::test

#endif // MEDLAR_TEST_SUPPORT_ENTRY_COLD_POOL_HPP
