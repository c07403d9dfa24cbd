#include <medlar/detail/dispatch/reader_pace.hpp>

namespace medlar
{

void reader_pace::begin_wait(steady_time now)
{
    if (!waiting_since_)
    {
        waiting_since_ = now;
    }
}

void reader_pace::end_wait(steady_time now)
{
    if (waiting_since_)
    {
        waited_ = waited_ + (now - *waiting_since_);
        waiting_since_.reset();
    }
}

steady_time
reader_pace::slow_since(std::uint64_t taken, std::uint64_t least_rate, steady_time now)
{
    constexpr double ms_per_s = 1000;
    const millis waited = waited_ + (waiting_since_ ? now - *waiting_since_ : millis(0));
    const double newly_taken = taken > taken_ ? static_cast<double>(taken - taken_) : 0;
    const double least =
        static_cast<double>(least_rate) * static_cast<double>(waited.count()) / ms_per_s;
    if (newly_taken == 0 || newly_taken < least)
    {
        return now - waited;
    }
    taken_ = taken;
    waited_ = millis(0);
    if (waiting_since_)
    {
        waiting_since_ = now;
    }
    return now;
}

} // namespace medlar
