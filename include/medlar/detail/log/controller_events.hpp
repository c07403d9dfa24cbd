#ifndef MEDLAR_DETAIL_LOG_CONTROLLER_EVENTS_HPP
#define MEDLAR_DETAIL_LOG_CONTROLLER_EVENTS_HPP

#include <medlar/detail/log/event.hpp>

#include <array>

namespace medlar
{

/// @brief the controller has started
inline constexpr event controller_started{3001, severity::info, "controller_started"};

/// @brief the controller has shut down in order
inline constexpr event controller_stopped{3002, severity::info, "controller_stopped"};

/// @brief the key-value service does not answer; it is retried with increasing delays
inline constexpr event store_unreachable{3003, severity::error, "store_unreachable"};

/// @brief the key-value service answers again
inline constexpr event store_reachable{3004, severity::info, "store_reachable"};

/// @brief ignored a stored configuration that is older than the one in force
inline constexpr event store_configuration_older{
    3005, severity::error, "store_configuration_older"};

/// @brief ignored a stored view that is older than the one in force
inline constexpr event store_view_older{3006, severity::error, "store_view_older"};

/// @brief ignored a stored configuration of the same revision but with different content
inline constexpr event store_configuration_conflicting{
    3007, severity::error, "store_configuration_conflicting"};

/// @brief ignored a stored view of the same epoch but with different content
inline constexpr event store_view_conflicting{
    3008, severity::error, "store_view_conflicting"};

/// @brief an entry of the key-value service is malformed; the state in force stays
inline constexpr event store_entry_malformed{
    3009, severity::error, "store_entry_malformed"};

/// @brief a newer configuration was read and is sent to the gateway
inline constexpr event configuration_read{3010, severity::info, "configuration_read"};

/// @brief a newer view was read and is sent to the gateway
inline constexpr event view_read{3011, severity::info, "view_read"};

/// @brief the gateway of this host does not answer
inline constexpr event gateway_unreachable{3012, severity::error, "gateway_unreachable"};

/// @brief the gateway of this host answers again
inline constexpr event gateway_reachable{3013, severity::info, "gateway_reachable"};

/// @brief the gateway of this host sent a malformed report
inline constexpr event gateway_report_malformed{
    3014, severity::error, "gateway_report_malformed"};

/// @brief the key-value service had lost newer state, which was written back to it
inline constexpr event store_repaired{3015, severity::warning, "store_repaired"};

/// @brief the proposed view was accepted
inline constexpr event view_proposed{3020, severity::info, "view_proposed"};

/// @brief the proposed view was not accepted because another controller proposed first
inline constexpr event view_proposal_lost{3021, severity::info, "view_proposal_lost"};

/// @brief it is not known whether the proposed view was accepted; the view is read back
inline constexpr event view_proposal_unsettled{
    3022, severity::warning, "view_proposal_unsettled"};

/// @brief the key-value service refused the proposed view; the error field has the cause
inline constexpr event view_proposal_failed{
    3023, severity::warning, "view_proposal_failed"};

/// @brief the host list cannot be read; the last known hosts stay
inline constexpr event host_list_unreachable{
    3030, severity::warning, "host_list_unreachable"};

/// @brief the host list can be read again
inline constexpr event host_list_reachable{3031, severity::info, "host_list_reachable"};

/// @brief the leaving targets have changed
inline constexpr event leaving_targets_changed{
    3032, severity::info, "leaving_targets_changed"};

/// @brief an engine has applied an order
inline constexpr event order_given{3040, severity::info, "order_given"};

/// @brief an engine refused an order because another controller has sent one since
inline constexpr event order_fenced{3041, severity::warning, "order_fenced"};

/// @brief it is not known whether an order was applied; the engine's state is read again
inline constexpr event order_unsettled{3042, severity::warning, "order_unsettled"};

/// @brief an engine does not answer or its state is malformed
inline constexpr event engine_unreachable{3043, severity::warning, "engine_unreachable"};

/// @brief no further load is ordered for now: the weight store's rate limit is reached
inline constexpr event load_rate_reached{3044, severity::info, "load_rate_reached"};

/// @brief events of medlar-controller
inline constexpr std::array<event, 27> controller_events{controller_started,
                                                         controller_stopped,
                                                         store_unreachable,
                                                         store_reachable,
                                                         store_configuration_older,
                                                         store_view_older,
                                                         store_configuration_conflicting,
                                                         store_view_conflicting,
                                                         store_entry_malformed,
                                                         configuration_read,
                                                         view_read,
                                                         gateway_unreachable,
                                                         gateway_reachable,
                                                         gateway_report_malformed,
                                                         store_repaired,
                                                         view_proposed,
                                                         view_proposal_lost,
                                                         view_proposal_unsettled,
                                                         view_proposal_failed,
                                                         host_list_unreachable,
                                                         host_list_reachable,
                                                         leaving_targets_changed,
                                                         order_given,
                                                         order_fenced,
                                                         order_unsettled,
                                                         engine_unreachable,
                                                         load_rate_reached};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOG_CONTROLLER_EVENTS_HPP
