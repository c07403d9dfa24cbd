#ifndef MEDLAR_DETAIL_LOG_REPLAY_EVENTS_HPP
#define MEDLAR_DETAIL_LOG_REPLAY_EVENTS_HPP

#include <medlar/detail/log/event.hpp>

#include <array>

namespace medlar
{

/// a trace starts to be sent
inline constexpr event replay_started{5001, severity::info, "replay_started"};

/// all requests of a trace are answered or given up
inline constexpr event replay_finished{5002, severity::info, "replay_finished"};

/// the replay cannot start or cannot be checked; "cause" tells why
inline constexpr event replay_failed{5003, severity::error, "replay_failed"};

inline constexpr std::array<event, 3> replay_events{
    replay_started, replay_finished, replay_failed};

} // namespace medlar

#endif // MEDLAR_DETAIL_LOG_REPLAY_EVENTS_HPP
