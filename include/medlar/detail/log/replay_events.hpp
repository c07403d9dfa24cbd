#ifndef MEDLAR_DETAIL_LOG_REPLAY_EVENTS_HPP
#define MEDLAR_DETAIL_LOG_REPLAY_EVENTS_HPP

#include <medlar/detail/log/event.hpp>

#include <array>

namespace medlar
{

/// @brief the replay of a trace has started
inline constexpr event replay_started{5001, severity::info, "replay_started"};

/// @brief all requests of a trace have been answered or given up
inline constexpr event replay_finished{5002, severity::info, "replay_finished"};

/// @brief the replay cannot start or be checked; the cause field has the reason
inline constexpr event replay_failed{5003, severity::error, "replay_failed"};

inline constexpr std::array<event, 3> replay_events{
    replay_started, replay_finished, replay_failed};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOG_REPLAY_EVENTS_HPP
