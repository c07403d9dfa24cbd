#include <medlar/detail/dispatch/store_absence.hpp>

#include <algorithm>
#include <cstdint>

namespace medlar
{

namespace
{

// an entry lapses after three heartbeats without a write, and the last write is up to one
// heartbeat older than the absence
constexpr std::int64_t heartbeats_to_lapse = 2;

} // namespace

store_absence::store_absence(millis heartbeat, steady_time now)
    : heartbeat_(heartbeat), absent_since_(now), returned_at_(now), last_answer_(now)
{
}

millis store_absence::time_to_lapse() const
{
    return heartbeat_ * heartbeats_to_lapse;
}

bool store_absence::record_answer(steady_time now, bool is_return)
{
    bool may_have_lapsed = false;
    if (is_return)
    {
        if (last_answer_ - returned_at_ >= heartbeat_)
        {
            absent_since_ = last_answer_;
        }
        returned_at_ = now;
        may_have_lapsed = now - absent_since_ >= time_to_lapse();
    }
    last_answer_ = now;
    return may_have_lapsed;
}

void store_absence::record_relay_answer(steady_time as_of)
{
    // an absence for the relay, too, ends with the next answer to this host
    if (as_of - last_answer_ < time_to_lapse())
    {
        last_answer_ = std::max(last_answer_, as_of);
    }
}

} // namespace medlar
