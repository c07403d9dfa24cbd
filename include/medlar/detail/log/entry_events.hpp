#ifndef MEDLAR_DETAIL_LOG_ENTRY_EVENTS_HPP
#define MEDLAR_DETAIL_LOG_ENTRY_EVENTS_HPP

#include <medlar/detail/log/event.hpp>

#include <array>

namespace medlar
{

/// @brief an entry process serves callers
inline constexpr event entry_started{1701, severity::info, "entry_started"};
/// @brief an entry process was asked to end; it is not ready any more
inline constexpr event entry_draining{1702, severity::info, "entry_draining"};
/// @brief an entry process ends
inline constexpr event entry_stopped{1703, severity::info, "entry_stopped"};
/// @brief the settings file was read again, or could not be
inline constexpr event entry_settings_read{1704, severity::info, "entry_settings_read"};
/// @brief a setting is not valid; the process does not start
inline constexpr event entry_bad_setting{1705, severity::error, "entry_bad_setting"};
/// @brief another version of the configuration is in force on this host
inline constexpr event entry_configuration_in_force{
    1706, severity::info, "entry_configuration_in_force"};
/// @brief a configuration or an entry of a target cannot be read; it is not used
inline constexpr event entry_item_unreadable{
    1707, severity::warning, "entry_item_unreadable"};
/// @brief the store does not answer this host
inline constexpr event entry_store_lost{1708, severity::warning, "entry_store_lost"};
/// @brief the store answers this host again
inline constexpr event entry_store_regained{1709, severity::info, "entry_store_regained"};
/// @brief a target is new, started again, leaves or is gone
inline constexpr event entry_target_changed{1710, severity::info, "entry_target_changed"};
/// @brief a target is avoided since its calls fail
inline constexpr event entry_target_ejected{
    1711, severity::warning, "entry_target_ejected"};
/// @brief the link to another entry host was lost
inline constexpr event entry_peer_lost{1712, severity::warning, "entry_peer_lost"};
/// @brief another entry host is known or gone
inline constexpr event entry_peer_changed{1713, severity::info, "entry_peer_changed"};
/// @brief a request was sent to a target
inline constexpr event entry_request_sent{1720, severity::info, "entry_request_sent"};
/// @brief a target did not answer a request with success
inline constexpr event entry_call_failed{1721, severity::info, "entry_call_failed"};
/// @brief a request ended; the last line of each request
inline constexpr event entry_request_ended{1722, severity::info, "entry_request_ended"};
/// @brief what came on a caller's connection was not a request
inline constexpr event entry_request_rejected{
    1723, severity::info, "entry_request_rejected"};
/// @brief whether a request with stages is expected to be in time, and from what
inline constexpr event entry_stages_begun{1728, severity::info, "entry_stages_begun"};
/// @brief a request that was refused before has come back
inline constexpr event entry_caller_returned{
    1729, severity::info, "entry_caller_returned"};
/// @brief the pieces of a stage of a request are done or given up
inline constexpr event entry_stage_ended{1724, severity::info, "entry_stage_ended"};
/// @brief a call for pieces to a target ended without success
inline constexpr event entry_piece_call_failed{
    1725, severity::info, "entry_piece_call_failed"};
/// @brief a target answered a call for pieces
inline constexpr event entry_piece_call_ended{
    1727, severity::info, "entry_piece_call_ended"};
/// @brief log lines were dropped since they were not read as fast as they were written
inline constexpr event entry_lines_dropped{
    1726, severity::warning, "entry_lines_dropped"};

/// @brief all events of this area
inline constexpr std::array<event, 23> entry_events{
    entry_started,           entry_draining,         entry_stopped,
    entry_settings_read,     entry_bad_setting,      entry_configuration_in_force,
    entry_item_unreadable,   entry_store_lost,       entry_store_regained,
    entry_target_changed,    entry_target_ejected,   entry_peer_lost,
    entry_peer_changed,      entry_request_sent,     entry_call_failed,
    entry_request_ended,     entry_request_rejected, entry_stage_ended,
    entry_piece_call_failed, entry_piece_call_ended, entry_lines_dropped,
    entry_stages_begun,      entry_caller_returned};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOG_ENTRY_EVENTS_HPP
