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

/// @brief when views are proposed
struct view_settings
{
    /// link address of the gateway of this host, as its peers reach it
    endpoint gateway;
    failure_domain_id failure_domain;
    /// how long a member is reported as not heard from before it is left out
    millis eviction{1000};
    /// how long a change must stay the same before it is proposed
    millis settle{300};
    /// how much later each further gateway proposes
    millis stagger{150};
};

/// @brief Proposes the next view from what the gateway of this host reports.
///
/// The store's compare-and-swap decides between controllers that propose at once.
class view_controller
{
  public:
    view_controller(store_client& store,
                    live_state& live,
                    gateway_feed& feed,
                    const clock& time,
                    const view_settings& settings);

    /// @brief Proposes until @p stop.
    void run(stop_signal& stop);

    /// @brief Proposes a view if the report calls for one now.
    /// @return whether a change is wanted that has not been proposed
    bool evaluate(const gateway_report& report);

  private:
    void learn_from_gateway(const gateway_report& report);
    membership_observations evidence_of(const gateway_report& report) const;
    bool consider_first(const gateway_report& report, const live_snapshot& now);
    bool consider_next(const gateway_report& report, const live_snapshot& now);
    void propose(const view_record& record, store_index expected);
    bool was_written(const view_record& record);
    void accept(const view_record& record);

    store_client& store_;
    live_state& live_;
    gateway_feed& feed_;
    const clock& time_;
    view_settings settings_;
    silent_member_tracker silence_;
    proposal_schedule schedule_;
    // the report before showed something newer than is known here
    bool gateway_was_ahead_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CONTROLLER_VIEW_CONTROLLER_HPP
