#ifndef MEDLAR_TEST_RUNTIME_GATEWAY_GATEWAY_FIXTURE_HPP
#define MEDLAR_TEST_RUNTIME_GATEWAY_GATEWAY_FIXTURE_HPP

#include "standins/shared/engine_target.hpp"
#include "standins/shared/plain_target.hpp"

#include <medlar/detail/gateway/caller_server.hpp>
#include <medlar/detail/gateway/gateway.hpp>
#include <medlar/detail/gateway/local_exchange.hpp>
#include <medlar/detail/link/link.hpp>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace medlar::gateway_testing
{

/// @brief An HTTP response.
struct reply
{
    int status = 0;
    std::string text;

    /// @brief Returns the last line as JSON.
    nlohmann::json json() const
    {
        const std::size_t end = text.find_last_not_of('\n');
        const std::size_t start =
            end == std::string::npos ? end : text.find_last_of('\n', end);
        return nlohmann::json::parse(
            text.substr(start == std::string::npos ? 0 : start + 1), nullptr, false);
    }
};

inline reply send(const endpoint& to, const std::string& path, const std::string& body)
{
    Poco::Net::HTTPClientSession session(to.address, to.port);
    Poco::Net::HTTPRequest request(
        body.empty() ? "GET" : "POST", path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    reply got;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), got.text);
    got.status = response.getStatus();
    return got;
}

/// @brief Polls a condition until it holds.
inline void wait_until(const std::function<bool()>& condition)
{
    while (!condition())
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

/// @brief An exchange with placements set by the test.
class scripted_exchange : public exchange
{
  public:
    explicit scripted_exchange(std::unique_ptr<local_exchange> local)
        : local_(std::move(local))
    {
    }

    /// unset: local_exchange decides the placement
    std::function<placement(const owned_request&)> place_override;

    placement place(const owned_request& request) override
    {
        return place_override ? place_override(request) : local_->place(request);
    }

    void finish(const request_key& key, const final_answer& answer) override
    {
        local_->finish(key, answer);
    }

    void withdraw(const request_key& key, const outcome& refusal) override
    {
        local_->withdraw(key, refusal);
    }

    std::optional<final_answer> wait_for_answer(const request_key& key,
                                                steady_time until) override
    {
        return local_->wait_for_answer(key, until);
    }

    std::shared_ptr<const accepted_document> configuration() const override
    {
        return local_->configuration();
    }

    void on_configuration(std::function<void(const accepted_document&)> listener) override
    {
        local_->on_configuration(std::move(listener));
    }

    void on_leaving(std::function<void(const std::vector<target_id>&)> listener) override
    {
        local_->on_leaving(std::move(listener));
    }

    void report_leaving_target(const target_id& target) override
    {
        local_->report_leaving_target(target);
    }

    std::optional<int> handle(const link_request& request,
                              link_responder& responder) override
    {
        return local_->handle(request, responder);
    }

    std::vector<view_member> peers() const override
    {
        return local_->peers();
    }

    exchange_status status() const override
    {
        return local_->status();
    }

    bool leave(steady_time until) override
    {
        return local_->leave(until);
    }

    void stop() override
    {
        local_->stop();
    }

  private:
    std::unique_ptr<local_exchange> local_;
};

inline target make_target(const std::string& name, const endpoint& remote)
{
    return {target_id(name), remote.address, remote.port, failure_domain_id("a"), false};
}

inline stage make_stage(const std::string& name,
                        stage_kind kind,
                        const std::string& pool_name,
                        std::vector<std::string> after)
{
    stage result;
    result.name = name;
    result.kind = kind;
    result.pool = pool_id(pool_name);
    result.after = std::move(after);
    return result;
}

/// @brief Two engines and two plain services.
struct targets
{
    static standins::engine_settings quick_engine()
    {
        standins::engine_settings settings;
        settings.token_us = 200;
        return settings;
    }

    standins::engine_target engine_a{quick_engine()};
    standins::engine_target engine_b{quick_engine()};
    standins::plain_target plain_a{{}};
    standins::plain_target plain_b{{}};

    /// @brief Returns a configuration with two pipelines: "draft" (encode, generate) and
    /// "post" (encode, post).
    accepted_document configuration() const
    {
        accepted_document accepted;
        accepted.number = revision(1);
        document& content = accepted.content;
        content.pools.resize(2);
        content.pools[0].name = pool_id("lm");
        content.pools[0].model = model_id("m");
        content.pools[0].targets = {make_target("lm-a", engine_a.where()),
                                    make_target("lm-b", engine_b.where())};
        content.pools[1].name = pool_id("plain");
        content.pools[1].targets = {make_target("plain-a", plain_a.where()),
                                    make_target("plain-b", plain_b.where())};
        content.pipelines.resize(2);
        content.pipelines[0].name = pipeline_id("draft");
        content.pipelines[0].stages = {
            make_stage("encode", stage_kind::encode, "plain", {}),
            make_stage("generate", stage_kind::generate, "lm", {"encode"})};
        content.pipelines[1].name = pipeline_id("post");
        content.pipelines[1].stages = {
            make_stage("encode", stage_kind::encode, "plain", {}),
            make_stage("post", stage_kind::call, "plain", {"encode"})};
        content.pipelines[1].stages[0].idempotent = true;
        for (pipeline& each : content.pipelines)
        {
            each.routing = routing_policy::round_robin;
            each.admission = admission_policy::none;
            each.retries = retry_policy::blind;
            each.max_tries = 4;
        }
        content.organisations.resize(1);
        content.organisations[0].name = organisation_id("org");
        return accepted;
    }

    void set_all_plain(const standins::switches& faults)
    {
        plain_a.board().set(faults);
        plain_b.board().set(faults);
    }

    void set_all_engines(const standins::switches& faults)
    {
        engine_a.board().set(faults);
        engine_b.board().set(faults);
    }

    /// @brief Returns how often a call ran at all targets together.
    int executions(const std::string& call_id)
    {
        int sum = 0;
        for (standins::work* each :
             {&engine_a.state(), &engine_b.state(), &plain_a.state(), &plain_b.state()})
        {
            const std::map<std::string, int> counts = each->executions();
            const auto found = counts.find(call_id);
            sum += found == counts.end() ? 0 : found->second;
        }
        return sum;
    }

    int engines_running()
    {
        return engine_a.state().running() + engine_b.state().running();
    }
};

/// @brief A gateway that runs in this process.
class running_gateway
{
  public:
    explicit running_gateway(const accepted_document& configuration)
    {
        const auto link = [this](const link_request& request, link_responder& responder)
        {
            return gateway_->handle_link(request, responder);
        };
        link_ = std::move(*link_server::create({"127.0.0.1", 0}, link, max_streams));
        gateway_settings settings;
        settings.self = self();
        settings.body.max_bytes = 100000;
        settings.max_answer = byte_count(1000000);
        settings.watch_interval = millis(1);
        peers.emplace(local_exchange::create(settings.self, configuration, *claims_));
        gateway_ = gateway::create(
            settings, {time_, *peers, *links_, *claims_, *policy_, *metrics_});
        callers_ = std::move(*caller_server::create({}, *gateway_));
    }

    ~running_gateway()
    {
        callers_.reset();
        link_.reset();
    }

    view_member self() const
    {
        return {host_id("h"), incarnation(1), link_->where(), failure_domain_id("a")};
    }

    endpoint where() const
    {
        return callers_->where();
    }

    gateway& instance()
    {
        return *gateway_;
    }

    reply submit(const std::string& pipeline_name, const nlohmann::json& body) const
    {
        return send(where(), "/v1/pipelines/" + pipeline_name + "/requests", body.dump());
    }

    std::optional<scripted_exchange> peers;

  private:
    static constexpr int max_streams = 64;

    const clock time_ = clock::system();
    std::unique_ptr<metrics_registry> metrics_ = metrics_registry::create();
    std::unique_ptr<policy_engine> policy_ = policy_engine::create({});
    std::unique_ptr<claim_table> claims_ =
        claim_table::create(millis(600000), byte_count(10000000));
    std::unique_ptr<link_client> links_ = link_client::create();
    std::unique_ptr<link_server> link_;
    std::unique_ptr<gateway> gateway_;
    std::unique_ptr<caller_server> callers_;
};

/// @brief Returns the body of a request of the organisation "org".
inline nlohmann::json make_body(const std::string& id)
{
    return {{"id", id},
            {"organisation", "org"},
            {"issued_at_ms", clock::system().wall_now().since_origin()},
            {"input", {{"ledger", "abc"}, {"max_tokens", 8}}}};
}

/// @brief Returns the text that the engines generate for a request.
inline std::string text_of(const std::string& id, int tokens)
{
    std::string text;
    for (int i = 0; i < tokens; ++i)
    {
        text += standins::token_text("org/" + id, i);
    }
    return text;
}

} // namespace medlar::gateway_testing

#endif // MEDLAR_TEST_RUNTIME_GATEWAY_GATEWAY_FIXTURE_HPP
