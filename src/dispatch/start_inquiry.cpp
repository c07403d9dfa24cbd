#include <medlar/detail/dispatch/start_inquiry.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

// a target may be silent for a second
constexpr millis first_pause{1000};

constexpr millis max_pause{8000};

} // namespace

bool start_inquiry::begin(steady_time now)
{
    if (!is_unanswered())
    {
        return true;
    }
    if (now < ask_again_at_)
    {
        return false;
    }
    postpone(now);
    return true;
}

void start_inquiry::record_unanswered(steady_time now)
{
    // one that asks again is counted at its begin
    if (!is_unanswered())
    {
        postpone(now);
    }
}

void start_inquiry::record_answered()
{
    unanswered_ = 0;
}

void start_inquiry::postpone(steady_time now)
{
    millis pause = first_pause;
    for (int i = 0; i < unanswered_ && pause < max_pause; ++i)
    {
        pause = pause * 2;
    }
    ++unanswered_;
    ask_again_at_ = now + std::min(pause, max_pause);
}

} // namespace medlar
