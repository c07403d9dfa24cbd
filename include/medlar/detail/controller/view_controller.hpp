#ifndef MEDLAR_DETAIL_CONTROLLER_VIEW_CONTROLLER_HPP
#define MEDLAR_DETAIL_CONTROLLER_VIEW_CONTROLLER_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/cluster/view_proposal.hpp>
#include <medlar/detail/controller/gateway_feed.hpp>
#include <medlar/detail/controller/live_state.hpp>
#include <medlar/detail/controller/stop_signal.hpp>
#include <medlar/detail/store/store_client.hpp>

#include <optional>

namespace medlar
{

/// @brief Timing of view proposals, and addresses of this host.
struct view_settings
{
    /// link address of the gateway of this host, as its peers reach it
    endpoint gateway;
    failure_domain_id failure_domain;
    /// time for which a member must be reported as silent before it is removed
    millis eviction_delay{1000};
    /// time for which a change must stay the same before it is proposed
    millis settle_time{300};
    /// additional delay per rank of the proposing gateway
    millis stagger{150};
};

/// @brief Proposes the next view from the reports of the gateway of this host.
///
/// Concurrent proposals of several controllers are resolved by the store's
/// compare-and-swap.
class view_controller
{
  public:
    view_controller(store_client& store,
                    live_state& live,
                    gateway_feed& feed,
                    const clock& time,
                    const view_settings& settings);

    /// @brief Runs until @p stop is signalled.
    void run(stop_signal& stop);

    /// @brief Proposes a view if the report requires a change that is due.
    /// @return whether a required change has not been proposed yet
    bool evaluate(const gateway_report& report);

  private:
    void update_from_gateway(const gateway_report& report);
    membership_observations observations_of(const gateway_report& report) const;
    bool propose_first_if_due(const gateway_report& report, const live_snapshot& now);
    bool propose_next_if_due(const gateway_report& report, const live_snapshot& now);
    void propose(const view_record& record, store_index expected);
    bool is_stored(const view_record& record);
    void publish(const view_record& record);

    store_client& store_;
    live_state& live_;
    gateway_feed& feed_;
    const clock& time_;
    view_settings settings_;
    silent_member_tracker silent_members_;
    proposal_schedule schedule_;
    // the previous report showed state newer than the state known here
    bool gateway_was_ahead_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CONTROLLER_VIEW_CONTROLLER_HPP
