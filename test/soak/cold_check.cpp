#include "soak/cold_check.hpp"

#include <algorithm>

namespace medlar::soak
{

namespace
{

constexpr millis second{1000};

} // namespace

void cold_check::record(steady_time earliest, steady_time seen)
{
    latest_.push_back({earliest, seen});
    // a delay of this process makes requests of a longer time appear at once; the time is
    // counted from the earliest moment at which the first of them may have arrived
    while (!latest_.empty() && seen - latest_.front().earliest >= second)
    {
        latest_.pop_front();
    }
    most_ = std::max(most_, latest_.size());
    ++total_;
}

} // namespace medlar::soak
