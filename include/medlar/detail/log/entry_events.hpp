#ifndef MEDLAR_DETAIL_LOG_ENTRY_EVENTS_HPP
#define MEDLAR_DETAIL_LOG_ENTRY_EVENTS_HPP

#include <medlar/detail/log/event.hpp>

#include <array>

namespace medlar
{

/// @brief an entry process has started to serve callers
inline constexpr event entry_started{1701, severity::info, "entry_started"};
/// @brief an entry process is shutting down and no longer reports ready
inline constexpr event entry_draining{1702, severity::info, "entry_draining"};
/// @brief an entry process has stopped
inline constexpr event entry_stopped{1703, severity::info, "entry_stopped"};
/// @brief the settings file was read again, or could not be read
inline constexpr event entry_settings_read{1704, severity::info, "entry_settings_read"};
/// @brief a setting is invalid; the process does not start
inline constexpr event entry_bad_setting{1705, severity::error, "entry_bad_setting"};
/// @brief a newer configuration is in force on this host
inline constexpr event entry_configuration_in_force{
    1706, severity::info, "entry_configuration_in_force"};
/// @brief a configuration or a target's entry is malformed and is not used
inline constexpr event entry_item_unreadable{
    1707, severity::warning, "entry_item_unreadable"};
/// @brief the store no longer answers this host
inline constexpr event entry_store_lost{1708, severity::warning, "entry_store_lost"};
/// @brief the store answers this host again
inline constexpr event entry_store_regained{1709, severity::info, "entry_store_regained"};
/// @brief a target was added, restarted, started draining or was removed
inline constexpr event entry_target_changed{1710, severity::info, "entry_target_changed"};
/// @brief a target was ejected because its calls fail
inline constexpr event entry_target_ejected{
    1711, severity::warning, "entry_target_ejected"};
/// @brief the link to another entry host was lost
inline constexpr event entry_peer_lost{1712, severity::warning, "entry_peer_lost"};
/// @brief another entry host was registered or removed
inline constexpr event entry_peer_changed{1713, severity::info, "entry_peer_changed"};
/// @brief the store has returned from an old copy, or an answer of it states no era or an
/// older one
inline constexpr event entry_store_era_changed{
    1714, severity::warning, "entry_store_era_changed"};
/// @brief this host gets the store's changes from another relay, or watches it itself
inline constexpr event entry_source_changed{1715, severity::info, "entry_source_changed"};
/// @brief a target has said in an answer that it is going to stop
inline constexpr event entry_target_leaving{1716, severity::info, "entry_target_leaving"};
/// @brief a target has asked this host for a pause
inline constexpr event entry_target_paused{1717, severity::info, "entry_target_paused"};
/// @brief a target has stated how many requests a second it takes, or no longer does
inline constexpr event entry_target_limited{1719, severity::info, "entry_target_limited"};
/// @brief a target is cold: all hosts together send it only some requests a second
inline constexpr event entry_target_cold{1750, severity::info, "entry_target_cold"};
/// @brief no target of a pool can be called; says why, once a second for each pool
inline constexpr event entry_pool_uncallable{
    1751, severity::warning, "entry_pool_uncallable"};
/// @brief this host knows the configuration, the targets and the other hosts, and serves
/// requests; changes after this are logged one by one
inline constexpr event entry_serving{1718, severity::info, "entry_serving"};
/// @brief a request was sent to a target
inline constexpr event entry_request_sent{1720, severity::info, "entry_request_sent"};
/// @brief a call of a request to a target failed or was refused
inline constexpr event entry_call_failed{1721, severity::info, "entry_call_failed"};
/// @brief a request has ended; the last line of each request
inline constexpr event entry_request_ended{1722, severity::info, "entry_request_ended"};
/// @brief a caller or a peer sent something that is not a valid request
inline constexpr event entry_request_rejected{
    1723, severity::info, "entry_request_rejected"};
/// @brief the time estimates from which a request with stages was started or refused
inline constexpr event entry_stages_begun{1728, severity::info, "entry_stages_begun"};
/// @brief a caller has retried a request that was refused before
inline constexpr event entry_caller_returned{
    1729, severity::info, "entry_caller_returned"};
/// @brief all pieces of a stage of a request have ended
inline constexpr event entry_stage_ended{1724, severity::info, "entry_stage_ended"};
/// @brief a call for pieces to a target failed
inline constexpr event entry_piece_call_failed{
    1725, severity::info, "entry_piece_call_failed"};
/// @brief a target answered a call for pieces
inline constexpr event entry_piece_call_ended{
    1727, severity::info, "entry_piece_call_ended"};
/// @brief a target has crashed while it had requests
inline constexpr event entry_target_crashed{
    1730, severity::warning, "entry_target_crashed"};
/// @brief a prompt part or a request is refused, since targets crash under it
inline constexpr event entry_suspect_blocked{
    1731, severity::warning, "entry_suspect_blocked"};
/// @brief a blocked prompt part or request is harmless, or is tried again
inline constexpr event entry_suspect_unblocked{
    1732, severity::info, "entry_suspect_unblocked"};
/// @brief a caller takes a stream up; `possible` counts where it may have begun
inline constexpr event entry_origin_found{1733, severity::info, "entry_origin_found"};
/// @brief a pool has targets of a version that it did not have before
inline constexpr event entry_version_appeared{
    1734, severity::info, "entry_version_appeared"};
/// @brief new streams of a pool are divided among its versions by new shares
inline constexpr event entry_shares_set{1735, severity::info, "entry_shares_set"};
/// @brief a keeper has tried to save where streams began
inline constexpr event entry_origins_saved{1736, severity::info, "entry_origins_saved"};
/// @brief another target has answered at the address of a target
inline constexpr event entry_target_replaced{
    1737, severity::info, "entry_target_replaced"};
/// @brief this host has no network path to the targets of a pool
inline constexpr event entry_path_lost{1738, severity::warning, "entry_path_lost"};
/// @brief this host has a network path to the targets of a pool again
inline constexpr event entry_path_regained{1739, severity::info, "entry_path_regained"};
/// @brief a request was sent to another host, since this one has no path to its targets
inline constexpr event entry_request_forwarded{
    1740, severity::info, "entry_request_forwarded"};
/// @brief another host has not taken a forwarded request, or its answer broke off
inline constexpr event entry_forward_failed{1741, severity::info, "entry_forward_failed"};
/// @brief a target that this host could not connect to runs: another host reaches it
inline constexpr event entry_crash_refuted{1742, severity::info, "entry_crash_refuted"};
/// @brief a target states how many refusals a second it bears, or does so no longer
inline constexpr event entry_target_refusals_limited{
    1743, severity::info, "entry_target_refusals_limited"};
/// @brief the process that answers at the address of a target has started later than the
/// target's entry says; its version is unknown
inline constexpr event entry_target_unlisted{
    1744, severity::warning, "entry_target_unlisted"};
/// @brief it is unknown which process of a target answers at its address
inline constexpr event entry_target_start_unknown{
    1745, severity::info, "entry_target_start_unknown"};
/// @brief an answer has ended with its connection, and its target was asked whether the
/// process that sent it lives on
inline constexpr event entry_end_checked{1746, severity::info, "entry_end_checked"};
/// @brief another host had told of a revision that the store has not reached
inline constexpr event entry_peer_ahead{1747, severity::warning, "entry_peer_ahead"};
/// @brief a message of another host is of an unknown type or cannot be read
inline constexpr event entry_message_passed_over{
    1748, severity::warning, "entry_message_passed_over"};
/// @brief nothing listens at a target that states no start, here or for another host
inline constexpr event entry_target_ended{1749, severity::info, "entry_target_ended"};
/// @brief targets of a pool are known to be slower or faster than most, or no longer
inline constexpr event entry_target_speeds_changed{
    1780, severity::info, "entry_target_speeds_changed"};
/// @brief a failure domain is evacuated: its targets get no more work
inline constexpr event entry_evacuation_begun{
    1760, severity::info, "entry_evacuation_begun"};
/// @brief an evacuation has ended: the targets of the failure domain take work again
inline constexpr event entry_evacuation_ended{
    1761, severity::info, "entry_evacuation_ended"};
/// @brief the store no longer shows an evacuation after an outage or in a new era; it
/// stays in force for a while, since the operator may write it again
inline constexpr event entry_evacuation_held{
    1762, severity::info, "entry_evacuation_held"};
/// @brief an evacuated failure domain has no targets, or does not exist
inline constexpr event entry_evacuation_without_targets{
    1763, severity::warning, "entry_evacuation_without_targets"};
/// @brief memory or connections are short: what waited and was ended since the last line
inline constexpr event entry_memory_short{1770, severity::warning, "entry_memory_short"};
/// @brief a target has failed, started or paused: calls to it are limited by its answers
inline constexpr event entry_slow_start_begun{
    1790, severity::info, "entry_slow_start_begun"};
/// @brief a target that calls had failed at answers this host, or has answered another
inline constexpr event entry_target_returned{
    1791, severity::info, "entry_target_returned"};
/// @brief the calls to a target are no longer limited by its answers
inline constexpr event entry_slow_start_ended{
    1792, severity::info, "entry_slow_start_ended"};
/// @brief the host that limits the calls to a target does not answer
inline constexpr event entry_slow_start_unanswered{
    1793, severity::warning, "entry_slow_start_unanswered"};
/// @brief log lines were dropped because standard output was not read fast enough
inline constexpr event entry_lines_dropped{
    1726, severity::warning, "entry_lines_dropped"};

/// @brief all events of this area
inline constexpr std::array<event, 61> entry_events{entry_started,
                                                    entry_draining,
                                                    entry_stopped,
                                                    entry_settings_read,
                                                    entry_bad_setting,
                                                    entry_configuration_in_force,
                                                    entry_item_unreadable,
                                                    entry_store_lost,
                                                    entry_store_regained,
                                                    entry_target_changed,
                                                    entry_target_ejected,
                                                    entry_peer_lost,
                                                    entry_peer_changed,
                                                    entry_request_sent,
                                                    entry_call_failed,
                                                    entry_request_ended,
                                                    entry_request_rejected,
                                                    entry_stage_ended,
                                                    entry_piece_call_failed,
                                                    entry_piece_call_ended,
                                                    entry_lines_dropped,
                                                    entry_stages_begun,
                                                    entry_caller_returned,
                                                    entry_store_era_changed,
                                                    entry_source_changed,
                                                    entry_target_leaving,
                                                    entry_target_paused,
                                                    entry_serving,
                                                    entry_target_crashed,
                                                    entry_suspect_blocked,
                                                    entry_suspect_unblocked,
                                                    entry_target_limited,
                                                    entry_target_cold,
                                                    entry_origin_found,
                                                    entry_version_appeared,
                                                    entry_shares_set,
                                                    entry_origins_saved,
                                                    entry_target_replaced,
                                                    entry_path_lost,
                                                    entry_path_regained,
                                                    entry_request_forwarded,
                                                    entry_forward_failed,
                                                    entry_crash_refuted,
                                                    entry_target_refusals_limited,
                                                    entry_target_unlisted,
                                                    entry_end_checked,
                                                    entry_target_start_unknown,
                                                    entry_peer_ahead,
                                                    entry_message_passed_over,
                                                    entry_target_ended,
                                                    entry_target_speeds_changed,
                                                    entry_evacuation_begun,
                                                    entry_evacuation_ended,
                                                    entry_evacuation_held,
                                                    entry_evacuation_without_targets,
                                                    entry_slow_start_begun,
                                                    entry_target_returned,
                                                    entry_slow_start_ended,
                                                    entry_slow_start_unanswered,
                                                    entry_memory_short,
                                                    entry_pool_uncallable};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOG_ENTRY_EVENTS_HPP
