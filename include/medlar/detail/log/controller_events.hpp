#ifndef MEDLAR_DETAIL_LOG_CONTROLLER_EVENTS_HPP
#define MEDLAR_DETAIL_LOG_CONTROLLER_EVENTS_HPP

#include <medlar/detail/log/event.hpp>

#include <array>

namespace medlar
{

/// @brief the controller runs
inline constexpr event controller_started{3001, severity::info, "controller_started"};

/// @brief the controller has ended in an orderly way
inline constexpr event controller_stopped{3002, severity::info, "controller_stopped"};

/// @brief the key-value service does not answer; tried again with growing pauses
inline constexpr event store_unreachable{3003, severity::error, "store_unreachable"};

/// @brief the key-value service answers again
inline constexpr event store_reachable{3004, severity::info, "store_reachable"};

/// @brief the key-value service has an older configuration than is in force; it is not
/// taken
inline constexpr event store_configuration_older{
    3005, severity::error, "store_configuration_older"};

/// @brief the key-value service has an older view than is in force; it is not taken
inline constexpr event store_view_older{3006, severity::error, "store_view_older"};

/// @brief two configurations have the same revision; the one in force stays
inline constexpr event store_configuration_conflicting{
    3007, severity::error, "store_configuration_conflicting"};

/// @brief two views have the same epoch; the one in force stays
inline constexpr event store_view_conflicting{
    3008, severity::error, "store_view_conflicting"};

/// @brief an entry of the key-value service cannot be read; what is in force stays
inline constexpr event store_entry_malformed{
    3009, severity::error, "store_entry_malformed"};

/// @brief a newer configuration was read and goes to the gateway
inline constexpr event configuration_read{3010, severity::info, "configuration_read"};

/// @brief a newer view was read and goes to the gateway
inline constexpr event view_read{3011, severity::info, "view_read"};

/// @brief the gateway of this host does not answer
inline constexpr event gateway_unreachable{3012, severity::error, "gateway_unreachable"};

/// @brief the gateway of this host answers
inline constexpr event gateway_reachable{3013, severity::info, "gateway_reachable"};

/// @brief the gateway of this host sent a report that cannot be read
inline constexpr event gateway_report_malformed{
    3014, severity::error, "gateway_report_malformed"};

/// @brief a newer state was written back to a key-value service that came back with an
/// older one
inline constexpr event store_repaired{3015, severity::warning, "store_repaired"};

/// @brief a view was proposed and accepted
inline constexpr event view_proposed{3020, severity::info, "view_proposed"};

/// @brief another controller proposed first
inline constexpr event view_proposal_lost{3021, severity::info, "view_proposal_lost"};

/// @brief whether the proposed view was accepted is not known yet; it is read back
inline constexpr event view_proposal_unsettled{
    3022, severity::warning, "view_proposal_unsettled"};

/// @brief the proposed view was not accepted, and the key-value service said why
inline constexpr event view_proposal_failed{
    3023, severity::warning, "view_proposal_failed"};

/// @brief the host list does not answer; the hosts known last stay
inline constexpr event host_list_unreachable{
    3030, severity::warning, "host_list_unreachable"};

/// @brief the host list answers again
inline constexpr event host_list_reachable{3031, severity::info, "host_list_reachable"};

/// @brief the leaving targets have changed
inline constexpr event leaving_targets_changed{
    3032, severity::info, "leaving_targets_changed"};

/// @brief an order was given to an engine and applied
inline constexpr event order_given{3040, severity::info, "order_given"};

/// @brief an engine has refused an order because another controller has ordered since
inline constexpr event order_fenced{3041, severity::warning, "order_fenced"};

/// @brief whether an order was applied is not known; the engine's state is read again
inline constexpr event order_unsettled{3042, severity::warning, "order_unsettled"};

/// @brief an engine does not answer or its state cannot be read
inline constexpr event engine_unreachable{3043, severity::warning, "engine_unreachable"};

/// @brief no further load for now, so as to keep the rate of the weight store
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
