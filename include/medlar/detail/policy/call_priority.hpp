#ifndef MEDLAR_DETAIL_POLICY_CALL_PRIORITY_HPP
#define MEDLAR_DETAIL_POLICY_CALL_PRIORITY_HPP

#include <medlar/detail/base/clock.hpp>

namespace medlar
{

/// @brief The priority of a stage call at its target: the earlier the deadline of its
/// request, the higher, so that calls of all gateways wait in one order.
/// @param deadline by the clock that the hosts share
/// @return from 0 to 1000000000; it starts anew every 115 days
int call_priority(wall_time deadline);

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_CALL_PRIORITY_HPP
