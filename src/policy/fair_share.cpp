#include <medlar/detail/policy/fair_share.hpp>

namespace medlar
{

bool within_share(const held_requests& held)
{
    if (2 * held.total_count < held.max_requests)
    {
        return true;
    }
    const double share = held.max_requests * held.weight / held.active_weight;
    return held.organisation_count + 1 <= share;
}

} // namespace medlar
