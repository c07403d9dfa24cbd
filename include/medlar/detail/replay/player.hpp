#ifndef MEDLAR_DETAIL_REPLAY_PLAYER_HPP
#define MEDLAR_DETAIL_REPLAY_PLAYER_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/replay/caller.hpp>
#include <medlar/detail/replay/trace.hpp>

#include <vector>

namespace medlar
{

/// @brief Sends the requests of a trace at their times, each from a thread of its own
/// pool, and waits for all.
/// @param connections most requests on their way at once
/// @return what became of each, in the order of the trace
std::vector<replayed_request>
play(const trace& content, caller& through, const clock& time, int connections);

} // namespace medlar

#endif // MEDLAR_DETAIL_REPLAY_PLAYER_HPP
