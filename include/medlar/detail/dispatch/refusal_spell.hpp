#ifndef MEDLAR_DETAIL_DISPATCH_REFUSAL_SPELL_HPP
#define MEDLAR_DETAIL_DISPATCH_REFUSAL_SPELL_HPP

#include <medlar/detail/base/clock.hpp>

#include <optional>

namespace medlar
{

/// @brief When callers that are refused for want of room should come back.
///
/// Load: bursts of some seconds. A caller that comes back within the burst is refused
/// again or takes the place of one that can still be in time. How long a burst will last
/// is not known; one that has lasted for some time is expected to last as long again.
class refusal_spell
{
  public:
    /// @brief Notes that a request is refused for want of room.
    /// @return when its caller should come back
    millis refused(steady_time now);

  private:
    steady_time began_;
    std::optional<steady_time> last_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_REFUSAL_SPELL_HPP
