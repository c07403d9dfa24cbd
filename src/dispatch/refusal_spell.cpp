#include <medlar/detail/dispatch/refusal_spell.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

// without a refusal for so long there is room again; a host sees some 4 requests a second
constexpr millis longest_gap{1500};

// a queue looks different after about the time of two calls
constexpr millis least_wait{600};

// bursts last up to 7 s, and callers wait for at most a third of their time
constexpr millis most_wait{5000};

} // namespace

millis refusal_spell::refused(steady_time now)
{
    if (!last_ || now - *last_ > longest_gap)
    {
        began_ = now;
    }
    last_ = now;
    return std::clamp(now - began_, least_wait, most_wait);
}

} // namespace medlar
