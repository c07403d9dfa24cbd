#ifndef MEDLAR_DETAIL_REPLAY_PLAYER_HPP
#define MEDLAR_DETAIL_REPLAY_PLAYER_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/replay/caller.hpp>
#include <medlar/detail/replay/trace.hpp>

#include <vector>

namespace medlar
{

/// @brief Replays a trace: sends each request at its scheduled time from a thread pool
/// and waits for all results.
/// @param connections number of threads, the limit of requests in flight
/// @return the result of each request, in the order of the trace
std::vector<replayed_request>
replay_trace(const trace& content, caller& sender, const clock& time, int connections);

} // namespace medlar

#endif // MEDLAR_DETAIL_REPLAY_PLAYER_HPP
