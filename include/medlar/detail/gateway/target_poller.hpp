#ifndef MEDLAR_DETAIL_GATEWAY_TARGET_POLLER_HPP
#define MEDLAR_DETAIL_GATEWAY_TARGET_POLLER_HPP

#include <medlar/detail/gateway/cancel_token.hpp>
#include <medlar/detail/gateway/stage_client.hpp>
#include <medlar/detail/membership/exchange.hpp>
#include <medlar/detail/metrics/registry.hpp>
#include <medlar/detail/policy/policy_engine.hpp>

#include <map>
#include <memory>
#include <string>
#include <thread>

namespace medlar
{

/// @brief A thread that polls targets for their load and engines for the changes of their
/// prefix caches, in pools with reports_load. It also passes the number of gateways that
/// share the targets to the policy engine.
class target_poller
{
  public:
    /// @brief The objects that it uses; they must outlive it.
    struct dependencies
    {
        const clock& time;
        const stage_client& client;
        const exchange& peers;
        policy_engine& policy;
        metrics_registry& metrics;
    };

    /// @param interval pause between two rounds of polls
    static std::unique_ptr<target_poller> create(const dependencies& deps,
                                                 millis interval);

    ~target_poller();

  private:
    target_poller(const dependencies& deps, millis interval);

    void run();
    void poll_all();
    void poll_load(const target& polled);
    void poll_cache(const target& polled);
    std::string fetch(const target& polled, const std::string& path);

    dependencies deps_;
    millis interval_;
    std::map<target_id, std::uint64_t> last_sequence_;
    std::shared_ptr<cancel_token> stop_ = cancel_token::create();
    std::thread thread_;
};

/// @brief Parses a target's load report.
/// @return unset if it is malformed
std::optional<load_report> read_load_report(const target_id& name,
                                            absl::string_view body);

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_TARGET_POLLER_HPP
