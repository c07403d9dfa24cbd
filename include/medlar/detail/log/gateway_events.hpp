#ifndef MEDLAR_DETAIL_LOG_GATEWAY_EVENTS_HPP
#define MEDLAR_DETAIL_LOG_GATEWAY_EVENTS_HPP

#include <medlar/detail/log/event.hpp>

#include <array>

namespace medlar
{

/// @brief a gateway has started to serve callers and peers
inline constexpr event gateway_started{1001, severity::info, "gateway_started"};
/// @brief a gateway is shutting down and no longer reports ready
inline constexpr event gateway_draining{1002, severity::info, "gateway_draining"};
/// @brief a gateway has stopped; its requests have ended and its claims are handed over
inline constexpr event gateway_stopped{1003, severity::info, "gateway_stopped"};
/// @brief a gateway has stopped with requests still held or without a complete handover
inline constexpr event gateway_stopped_early{
    1004, severity::warning, "gateway_stopped_early"};
/// @brief a setting is invalid; the gateway does not start
inline constexpr event gateway_bad_setting{1005, severity::error, "gateway_bad_setting"};
/// @brief an exception reached the HTTP handler; the connection is closed
inline constexpr event gateway_handler_failed{
    1006, severity::error, "gateway_handler_failed"};
/// @brief a caller's body did not arrive completely or in time
inline constexpr event gateway_body_incomplete{
    1007, severity::info, "gateway_body_incomplete"};
/// @brief a target refused work because it is leaving
inline constexpr event gateway_target_leaving{
    1008, severity::info, "gateway_target_leaving"};
/// @brief the answer of a target was malformed, too large or for another request
inline constexpr event gateway_target_answer_bad{
    1009, severity::warning, "gateway_target_answer_bad"};
/// @brief a non-idempotent request ended, and it is not known whether it ran
inline constexpr event gateway_outcome_unknown{
    1010, severity::warning, "gateway_outcome_unknown"};

/// @brief all events of this area
inline constexpr std::array<event, 10> gateway_events{gateway_started,
                                                      gateway_draining,
                                                      gateway_stopped,
                                                      gateway_stopped_early,
                                                      gateway_bad_setting,
                                                      gateway_handler_failed,
                                                      gateway_body_incomplete,
                                                      gateway_target_leaving,
                                                      gateway_target_answer_bad,
                                                      gateway_outcome_unknown};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOG_GATEWAY_EVENTS_HPP
