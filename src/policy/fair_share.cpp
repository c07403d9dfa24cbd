#include <medlar/detail/policy/fair_share.hpp>

namespace medlar
{

bool within_share(const held_requests& held)
{
    if (2 * held.of_all < held.most)
    {
        return true;
    }
    const double share = held.most * held.weight / held.active_weight;
    return held.of_organisation + 1 <= share;
}

} // namespace medlar
