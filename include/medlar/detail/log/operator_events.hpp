#ifndef MEDLAR_DETAIL_LOG_OPERATOR_EVENTS_HPP
#define MEDLAR_DETAIL_LOG_OPERATOR_EVENTS_HPP

#include <medlar/detail/log/event.hpp>

#include <array>

namespace medlar
{

/// @brief medlar-operator has started to serve calls
inline constexpr event operator_started{4001, severity::info, "operator_started"};

/// @brief medlar-operator has stopped; all calls that it had begun are answered
inline constexpr event operator_stopped{4002, severity::info, "operator_stopped"};

/// @brief a change to the configuration was accepted
inline constexpr event change_accepted{4010, severity::info, "change_accepted"};

/// @brief a change to the configuration was refused
inline constexpr event change_refused{4011, severity::warning, "change_refused"};

/// @brief the store's reply was lost; it is not known whether the change was accepted
inline constexpr event change_unsettled{4012, severity::warning, "change_unsettled"};

/// @brief an accepted change is not in the audit records yet; the next change adds it
inline constexpr event audit_delayed{4013, severity::warning, "audit_delayed"};

/// @brief the store holds an older revision than the last accepted one
inline constexpr event store_outdated{4014, severity::error, "store_outdated"};

/// @brief an operator removed stopped gateways from the view
inline constexpr event view_forced{4020, severity::warning, "view_forced"};

/// @brief an operator changed the desired state of a pool's engines
inline constexpr event order_accepted{4030, severity::info, "order_accepted"};

/// @brief all events of operators' programs
inline constexpr std::array<event, 9> operator_events{operator_started,
                                                      operator_stopped,
                                                      change_accepted,
                                                      change_refused,
                                                      change_unsettled,
                                                      audit_delayed,
                                                      store_outdated,
                                                      view_forced,
                                                      order_accepted};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOG_OPERATOR_EVENTS_HPP
