#ifndef MEDLAR_DETAIL_DISPATCH_REFUSAL_DELAY_HPP
#define MEDLAR_DETAIL_DISPATCH_REFUSAL_DELAY_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/policy/random_source.hpp>

namespace medlar
{

/// @brief Returns after what time the caller of a refused request is told to retry.
///
/// Callers honour a delay of at most a third of their remaining time. A jitter of 25 %
/// keeps requests that are refused together from being retried together.
/// @param retry_after when a retry is expected to be served
/// @param remaining time until the deadline of the request
millis refusal_delay(millis retry_after, millis remaining, random_source& random);

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_REFUSAL_DELAY_HPP
