#include <medlar/detail/policy/body_budget.hpp>

namespace medlar
{

bool body_budget::take(byte_count more, byte_count held)
{
    constexpr std::int64_t quarters_for_large_bodies = 3;
    const bool is_small = held.get() + more.get() <= small_body_bytes;
    const std::int64_t limit = is_small ? total_ : total_ / 4 * quarters_for_large_bodies;
    std::int64_t used = used_;
    do
    {
        if (used + more.get() > limit)
        {
            return false;
        }
    } while (!used_.compare_exchange_weak(used, used + more.get()));
    return true;
}

bool body_charge::raise_to(byte_count bytes)
{
    const byte_count more(bytes.get() - taken_.get());
    if (more.get() <= 0)
    {
        return true;
    }
    if (!budget_.take(more, taken_))
    {
        return false;
    }
    taken_ = bytes;
    return true;
}

} // namespace medlar
