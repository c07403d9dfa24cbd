#ifndef MEDLAR_DETAIL_POLICY_CALL_PRIORITY_HPP
#define MEDLAR_DETAIL_POLICY_CALL_PRIORITY_HPP

#include <medlar/detail/base/clock.hpp>

namespace medlar
{

/// @brief Returns the priority of a stage call at its target: the earlier the deadline of
/// its request, the higher, so that a target orders the calls of all gateways by
/// deadline.
/// @param deadline by the hosts' synchronised clock
/// @return from 0 to 1000000000; wraps around every 115 days
int call_priority(wall_time deadline);

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_CALL_PRIORITY_HPP
