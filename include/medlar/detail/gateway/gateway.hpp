#ifndef MEDLAR_DETAIL_GATEWAY_GATEWAY_HPP
#define MEDLAR_DETAIL_GATEWAY_GATEWAY_HPP

#include <medlar/detail/gateway/cancel_sender.hpp>
#include <medlar/detail/gateway/filter.hpp>
#include <medlar/detail/gateway/pipeline_runner.hpp>
#include <medlar/detail/gateway/relay_client.hpp>
#include <medlar/detail/gateway/relay_server.hpp>
#include <medlar/detail/gateway/request_lookup.hpp>
#include <medlar/detail/gateway/request_watch.hpp>
#include <medlar/detail/gateway/session_pool.hpp>
#include <medlar/detail/gateway/stage_client.hpp>
#include <medlar/detail/gateway/stage_runner.hpp>
#include <medlar/detail/gateway/target_poller.hpp>
#include <medlar/detail/gateway/trace_store.hpp>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlar
{

/// @brief Settings of a gateway.
struct gateway_settings
{
    view_member self;
    body_limits body;
    byte_count max_answer{16L * 1024 * 1024};
    int max_held_requests = 512;
    std::size_t max_traces = 4096;
    millis connect_timeout{300};
    millis max_idle{4000};
    /// interval of the checks for passed deadlines and disconnected callers
    millis watch_interval{20};
    /// interval of the polls of targets; 0: no polls
    millis poll_interval{1000};
    /// with an older configuration the gateway is not ready
    millis max_configuration_age{600000};
};

/// @brief Owns the filter chains of a gateway and the objects that they use.
/// @note Thread-safe.
class gateway
{
  public:
    /// @brief The objects that it uses; they must outlive it.
    struct dependencies
    {
        const clock& time;
        exchange& peers;
        link_client& links;
        claim_table& claims;
        policy_engine& policy;
        metrics_registry& metrics;
    };

    static std::unique_ptr<gateway> create(const gateway_settings& settings,
                                           const dependencies& deps);

    /// @brief Handles a caller's request.
    run_result serve(request_context& context);

    /// @brief Handles a call from another process.
    /// @return HTTP status; it is used only if no part of the answer was sent
    int handle_link(const link_request& request, link_responder& responder);

    /// @brief Returns the state of a request as JSON text; unset if neither this host nor
    /// a queried one has a record of it.
    std::optional<std::string> find(const request_key& key) const;

    /// @brief Returns whether the platform's load balancer should route callers here.
    bool ready() const;

    /// @brief Makes ready() return false. Requests that still arrive are served.
    void begin_drain();
    bool draining() const;

    /// @brief Refuses new requests from callers from now on.
    void refuse_callers();

    // number of requests in progress, by how they arrived

    int callers_held() const;
    int relayed_held() const;

    /// @brief Returns the metrics in Prometheus text format.
    std::string metrics_page() const;

    const gateway_settings& settings() const;
    const clock& time() const;
    const exchange& peers() const;

  private:
    gateway(const gateway_settings& settings, const dependencies& deps);

    filter_chain make_entry_chain();
    filter_chain make_home_chain();
    void add_run_filters(std::vector<std::unique_ptr<filter>>& filters);

    gateway_settings settings_;
    dependencies deps_;
    std::atomic<bool> draining_{false};
    std::atomic<bool> refusing_callers_{false};
    const std::atomic<bool> never_refusing_{false};
    std::atomic<int> held_{0};
    std::atomic<int> callers_held_{0};
    std::atomic<int> relayed_held_{0};
    std::unique_ptr<session_pool> sessions_;
    std::unique_ptr<stage_client> stage_client_;
    std::unique_ptr<cancel_sender> cancels_;
    std::unique_ptr<request_watch> watch_;
    std::unique_ptr<stage_runner> stage_runner_;
    std::unique_ptr<pipeline_runner> pipeline_runner_;
    std::unique_ptr<relay_client> relay_client_;
    std::unique_ptr<trace_store> traces_;
    std::unique_ptr<request_lookup> lookup_;
    filter_chain entry_chain_;
    filter_chain home_chain_;
    std::unique_ptr<relay_server> relay_server_;
    std::unique_ptr<target_poller> poller_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_GATEWAY_HPP
