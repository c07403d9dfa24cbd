#ifndef MEDLAR_DETAIL_DISPATCH_REFUSAL_BACKOFF_HPP
#define MEDLAR_DETAIL_DISPATCH_REFUSAL_BACKOFF_HPP

#include <medlar/detail/base/clock.hpp>

#include <optional>

namespace medlar
{

/// @brief Computes the retry delay for callers that are refused for lack of capacity.
///
/// Bursts last for some seconds. A caller that retries within the burst is refused again,
/// or uses capacity for which another request could still be in time. The duration of a
/// burst is unknown; it is expected to last as long again as it has lasted so far.
class refusal_backoff
{
  public:
    /// @brief Records a request that is refused for lack of capacity.
    /// @return time after which its caller should retry
    millis record_refusal(steady_time now);

  private:
    steady_time burst_start_;
    std::optional<steady_time> last_refusal_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_REFUSAL_BACKOFF_HPP
