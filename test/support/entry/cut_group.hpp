#ifndef MEDLAR_TEST_SUPPORT_ENTRY_CUT_GROUP_HPP
#define MEDLAR_TEST_SUPPORT_ENTRY_CUT_GROUP_HPP

#include "support/entry/cutting_proxy.hpp"
#include "support/entry/partitioned_group.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace medlar::test
{

/// @brief Three entry hosts in front of targets, all of whose answers come through
/// proxies that cut them: those of the targets, and those of hosts that run requests of
/// others. The first host can lose its paths.
class cut_group : public entry_group
{
  public:
    using exchange_ptr = std::shared_ptr<caller_exchange>;

    cut_group()
    {
        constexpr int plain_count = 5;
        constexpr int stage_count = 5;
        for (int i = 0; i < plain_count + stage_count; ++i)
        {
            const bool is_plain = i < plain_count;
            targets.push_back(std::make_unique<stand_in_target>(
                loop,
                absl::StrCat("i-", i),
                is_plain ? "plain" : "stage",
                [this, is_plain](const exchange_ptr& exchange)
                {
                    is_plain ? answer_request(exchange) : execute_pieces(exchange);
                }));
            target_proxies_.push_back(std::make_unique<cutting_proxy>(
                loop, targets.back()->where(), is_plain ? target_plan : piece_plan));
            const endpoint& where = target_proxies_.back()->where();
            put_entry(targets.size() - 1);
            cut_paths_.paths[where] =
                std::make_unique<fault_proxy>(loop, free_endpoint(), where);
        }
        piece_plan.target_prefix = "/-/stage-run";
        nlohmann::json at_three_targets = route_json("/t/", "idempotent", "plain");
        at_three_targets["max_attempts"] = 3;
        nlohmann::json resumed = route_json("/r/", "stream", "plain");
        resumed["max_attempts"] = 3;
        nlohmann::json staged = route_json("/s/", "stream", "plain");
        staged["stages"] = {
            {{"service", "stage"}, {"after", nlohmann::json::array()}, {"bytes", 9}}};
        store.put("op/config",
                  configuration_json(3,
                                     {route_json("/i/", "idempotent", "plain"),
                                      at_three_targets,
                                      route_json("/n/", "non_idempotent", "plain"),
                                      route_json("/e/", "stream", "plain"),
                                      resumed,
                                      staged}));
        store.rewrite = [this](const std::string& key, const std::string& value)
        {
            return absl::StartsWith(key, "medlar/hosts/") ? behind_proxy(key, value)
                                                          : value;
        };
        start_hosts(3);
    }

    /// Lets the first host lose its paths, and waits until the others run its requests.
    void cut_first_host()
    {
        for (const auto& each : cut_paths_.paths)
        {
            each.second->stop();
        }
        const std::size_t before = hop_plan.cuts;
        CPPUNIT_ASSERT(until(
            [&]
            {
                // only an answer over the hop is cut
                hop_plan.next = answer_cut{body_kind::length, cut_end::closed, 0};
                send_at(0, "/n/warm-up");
                return hop_plan.cuts > before;
            }));
        hop_plan.next.reset();
    }

    received_answer
    send_at(std::size_t host, const std::string& path, const std::string& headers = {})
    {
        const std::string number = std::to_string(++sent_);
        // a key that was refused before would make the request a retry
        return send(
            all_settings.at(host).caller_endpoint,
            request_text("POST",
                         path,
                         "id-" + number,
                         "b",
                         headers + "Pieces: 2\r\nPiece-Key: k-" + number + "\r\n"));
    }

    /// Starts a target again as another version.
    void restart_target(std::size_t which, const std::string& version)
    {
        stand_in_target& target = *targets.at(which);
        target.version = version;
        target.restart(target.started_ms + 1);
        put_entry(which);
    }

    /// Returns how often the targets got a request of a path.
    std::size_t arrivals(const std::string& path) const
    {
        std::size_t count = 0;
        for (const auto& each : targets)
        {
            for (const request_head& head : each->requests)
            {
                count += head.target == path ? 1 : 0;
            }
        }
        return count;
    }

    static std::string whole_body()
    {
        return "id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: z\n\n";
    }

    std::vector<std::unique_ptr<stand_in_target>> targets;
    /// what plain targets answer, if set
    std::function<void(const exchange_ptr&)> answer;
    /// the inputs that plain targets got
    std::vector<std::string> inputs;
    cut_plan target_plan;
    cut_plan piece_plan;
    cut_plan hop_plan;

  protected:
    const entry_protocol& protocol_of(const host_id& host) override
    {
        return host == host_id("host-0") ? cut_paths_ : protocol;
    }

  private:
    void put_entry(std::size_t which)
    {
        nlohmann::json entry = nlohmann::json::parse(targets.at(which)->entry());
        entry["address"] = to_string(target_proxies_.at(which)->where());
        store.put(targets.at(which)->key(), entry.dump());
    }

    std::string behind_proxy(const std::string& key, const std::string& value)
    {
        nlohmann::json registration = nlohmann::json::parse(value);
        std::unique_ptr<cutting_proxy>& proxy = hop_proxies_[key];
        if (!proxy)
        {
            const endpoint forward{registration["address"].get<std::string>(),
                                   registration["forward_port"].get<std::uint16_t>()};
            proxy = std::make_unique<cutting_proxy>(loop, forward, hop_plan);
        }
        registration["forward_port"] = proxy->where().port;
        return registration.dump();
    }

    void answer_request(const exchange_ptr& exchange)
    {
        inputs.emplace_back(exchange->head().headers.get("Inputs"));
        if (answer)
        {
            answer(exchange);
            return;
        }
        exchange->answer(200, signed_headers(*exchange), whole_body());
    }

    void execute_pieces(const exchange_ptr& exchange)
    {
        const nlohmann::json body = nlohmann::json::parse(exchange->body());
        nlohmann::json items = nlohmann::json::array();
        for (std::size_t i = 0; body.contains("items") && i < body["items"].size(); ++i)
        {
            items.push_back({{"handle", absl::StrCat("127.0.0.1:1/h", ++result_count_)}});
        }
        exchange->answer(200, {}, nlohmann::json({{"items", items}}).dump());
    }

    std::vector<std::unique_ptr<cutting_proxy>> target_proxies_;
    std::map<std::string, std::unique_ptr<cutting_proxy>> hop_proxies_;
    path_protocol cut_paths_;
    int result_count_ = 0;
    int sent_ = 0;
};

} // namespace medlar::test

#endif // MEDLAR_TEST_SUPPORT_ENTRY_CUT_GROUP_HPP
