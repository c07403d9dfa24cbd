#ifndef MEDLAR_TEST_SUPPORT_ENTRY_PARTITIONED_GROUP_HPP
#define MEDLAR_TEST_SUPPORT_ENTRY_PARTITIONED_GROUP_HPP

#include "support/entry/entry_group.hpp"
#include "support/fault_proxy.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace medlar::test
{

/// @brief Returns the addresses of a host's own paths in place of those of the targets.
class path_protocol : public platform::adapter
{
  public:
    absl::StatusOr<target_record> read_target(const target_id& id,
                                              absl::string_view value) const override
    {
        absl::StatusOr<target_record> record = platform::adapter::read_target(id, value);
        if (record.ok())
        {
            const auto path = paths.find(record->address);
            record->address =
                path == paths.end() ? record->address : path->second->where();
        }
        return record;
    }

    std::map<endpoint, std::unique_ptr<fault_proxy>> paths;
};

/// @brief How the paths of a host are cut.
enum class path_cut
{
    refused,     ///< connections are reset, new ones refused
    hanging,     ///< nothing is answered
    new_refused, ///< open connections go on, new ones are refused
};

/// @brief Entry hosts in front of plain targets and targets that execute pieces. Each
/// host reaches each target over a path of its own.
class partitioned_group : public entry_group
{
  public:
    using exchange_ptr = std::shared_ptr<caller_exchange>;

    partitioned_group(int host_count,
                      int plain_count,
                      int stage_count,
                      millis shutdown_grace = millis(8000))
    {
        this->shutdown_grace = shutdown_grace;
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
        }
        for (int i = 0; i < host_count; ++i)
        {
            path_protocol& paths = protocols_[host_id(absl::StrCat("host-", i))];
            for (const auto& each : targets)
            {
                paths.paths[each->where()] =
                    std::make_unique<fault_proxy>(loop, free_endpoint(), each->where());
            }
        }
        for (const auto& each : targets)
        {
            store.put(each->key(), each->entry());
        }
        nlohmann::json staged = route_json("/s/", "stream", "plain");
        staged["stages"] = {
            {{"service", "stage"}, {"after", nlohmann::json::array()}, {"bytes", 9}}};
        nlohmann::json at_one_target = route_json("/o/", "idempotent", "plain");
        at_one_target["max_attempts"] = 1;
        nlohmann::json resumed = route_json("/r/", "stream", "plain");
        resumed["max_attempts"] = 3;
        nlohmann::json at_three_targets = route_json("/t/", "idempotent", "plain");
        at_three_targets["max_attempts"] = 3;
        store.put("op/config",
                  configuration_json(3,
                                     {route_json("/i/", "idempotent", "plain"),
                                      at_one_target,
                                      at_three_targets,
                                      route_json("/n/", "non_idempotent", "plain"),
                                      route_json("/e/", "stream", "plain"),
                                      resumed,
                                      staged}));
        start_hosts(host_count);
    }

    /// Cuts the paths of a host to all targets.
    void cut(std::size_t host, path_cut how)
    {
        for (const auto& each : paths_of(host))
        {
            switch (how)
            {
                case path_cut::refused:
                    each.second->stop();
                    break;
                case path_cut::hanging:
                    each.second->hang();
                    break;
                case path_cut::new_refused:
                    each.second->refuse_new();
                    break;
            }
        }
    }

    /// Cuts the path of a host to one target: its connections are reset, new ones
    /// refused.
    void cut_from(std::size_t host, std::size_t target)
    {
        paths_of(host).at(targets.at(target)->where())->stop();
    }

    /// Ends the cut of a host.
    void restore(std::size_t host)
    {
        for (const auto& each : paths_of(host))
        {
            each.second->resume();
        }
    }

    /// Sends a request to a host, without waiting for the answer.
    std::shared_ptr<received_answer>
    begin_at(std::size_t host,
             const std::string& path,
             const std::string& headers = {},
             std::shared_ptr<client_call>* call = nullptr)
    {
        ++sent_;
        // a key that was refused before would make the request a retry
        const std::string pieces =
            absl::StrCat("Pieces: 2\r\nPiece-Key: k-", sent_, "\r\n");
        return begin(all_settings.at(host).caller_endpoint,
                     request_text("POST",
                                  path,
                                  absl::StrCat("id-", sent_),
                                  "b",
                                  absl::StrCat(headers, pieces)),
                     call);
    }

    /// Sends a request to a host, and waits for the answer.
    received_answer
    send_at(std::size_t host, const std::string& path, const std::string& headers = {})
    {
        const std::shared_ptr<received_answer> got = begin_at(host, path, headers);
        CPPUNIT_ASSERT(until(
            [&]
            {
                return got->ended;
            }));
        return *got;
    }

    /// Sends requests to all hosts in turn.
    /// @return how many of them were answered by targets
    int
    served_in_turn(const std::string& path, int count, const std::string& headers = {})
    {
        std::vector<std::shared_ptr<received_answer>> answers;
        for (int i = 0; i < count; ++i)
        {
            answers.push_back(
                begin_at(static_cast<std::size_t>(i) % hosts.size(), path, headers));
            run_for(millis(20));
        }
        int served = 0;
        for (const auto& each : answers)
        {
            CPPUNIT_ASSERT(until(
                [&]
                {
                    return each->ended;
                }));
            served += each->status == 200 && each->end == call_end::complete ? 1 : 0;
        }
        return served;
    }

    /// Answers the requests that were left without an answer.
    void release_requests()
    {
        is_holding = false;
        std::vector<exchange_ptr> requests;
        requests.swap(held);
        for (const exchange_ptr& each : requests)
        {
            answer_request(each);
        }
    }

    /// Answers the calls with pieces that were left without an answer.
    void release_pieces()
    {
        is_holding_pieces = false;
        std::vector<exchange_ptr> calls;
        calls.swap(held);
        for (const exchange_ptr& each : calls)
        {
            execute_pieces(each);
        }
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

    std::vector<std::unique_ptr<stand_in_target>> targets;
    /// whether targets leave requests without an answer
    bool is_holding = false;
    std::vector<exchange_ptr> held;
    /// whether targets break off without an answer
    bool is_breaking_off = false;
    /// whether targets leave pieces without an answer
    bool is_holding_pieces = false;
    /// the refusal of each request, if not empty: seconds to wait
    std::string refusal;
    /// the status of each answer, which has no signature, if not 0
    int unsigned_status = 0;
    /// what plain targets answer, if set
    std::function<void(const exchange_ptr&)> answer;
    /// more headers of each answer
    header_list said;
    /// more headers of each answer of a target, by its id
    std::map<std::string, header_list> said_by;

  protected:
    const entry_protocol& protocol_of(const host_id& host) override
    {
        return protocols_[host];
    }

  private:
    std::map<endpoint, std::unique_ptr<fault_proxy>>& paths_of(std::size_t host)
    {
        return protocols_.at(all_settings.at(host).host).paths;
    }

    void answer_request(const exchange_ptr& exchange)
    {
        if (answer)
        {
            answer(exchange);
            return;
        }
        header_list headers = signed_headers(*exchange);
        const std::string id(exchange->head().headers.get("Expect-Instance"));
        for (const header_list& all : {said, said_by[id]})
        {
            for (const header_field& each : all)
            {
                headers.add(each.name, each.value);
            }
        }
        if (!refusal.empty())
        {
            headers.add("Not-Executed", "1");
            headers.add("Retry-After", refusal);
            exchange->answer(503, headers, "");
            return;
        }
        if (unsigned_status != 0)
        {
            headers.remove("Response-Signature");
            exchange->answer(unsigned_status, headers, "");
            return;
        }
        if (is_breaking_off)
        {
            exchange->abort();
            return;
        }
        if (is_holding)
        {
            held.push_back(exchange);
            return;
        }
        exchange->begin(200, "OK", headers, {body_kind::chunked, 0});
        exchange->write("id: 1\ndata: x\n\n");
        exchange->finish();
    }

    void execute_pieces(const exchange_ptr& exchange)
    {
        if (is_holding_pieces)
        {
            held.push_back(exchange);
            return;
        }
        const nlohmann::json body = nlohmann::json::parse(exchange->body());
        nlohmann::json items = nlohmann::json::array();
        for (std::size_t i = 0; body.contains("items") && i < body["items"].size(); ++i)
        {
            items.push_back({{"handle", absl::StrCat("127.0.0.1:1/", ++result_count_)}});
        }
        loop.after(millis(30),
                   [exchange, text = nlohmann::json({{"items", items}}).dump()]
                   {
                       exchange->answer(200, {}, text);
                   });
    }

    std::map<host_id, path_protocol> protocols_;
    int result_count_ = 0;
    int sent_ = 0;
};

} // namespace medlar::test

#endif // MEDLAR_TEST_SUPPORT_ENTRY_PARTITIONED_GROUP_HPP
