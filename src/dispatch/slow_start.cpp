#include <medlar/detail/dispatch/slow_start.hpp>

#include <algorithm>
#include <iterator>

namespace medlar
{

namespace
{

// Answers up to this factor slower than usual are timely: a target that was ejected has
// recovered by the same measure (target_health).
constexpr int slow_factor = 2;

// A call whose end nobody has told by then is taken as lost with its host or its message:
// the longest timeouts of routes are shorter.
constexpr millis max_call_time{30000};

constexpr double min_window = 1;

// timely answers at full size after which the window has ended, for targets with few
// slots
constexpr int min_sustained = 4;

} // namespace

slow_start_result pace_of(millis took, millis usual)
{
    const bool is_slow = usual > millis(0) && took > usual * slow_factor;
    return is_slow ? slow_start_result::slow : slow_start_result::timely;
}

slow_start_window::slow_start_window(int slots, steady_time now)
    : slots_(std::max(1, slots)), fast_until_(slots_), shrunk_at_(now)
{
}

int slow_start_window::size() const
{
    return static_cast<int>(window_);
}

bool slow_start_window::begin(std::uint64_t call, steady_time now)
{
    drop_lost_calls(now);
    if (in_progress() >= size())
    {
        return false;
    }
    calls_[call] = {now, false, false};
    if (in_progress() >= size())
    {
        for (auto& each : calls_)
        {
            each.second.was_window_full = true;
        }
    }
    return true;
}

void slow_start_window::record_answer(std::uint64_t call,
                                      slow_start_result result,
                                      steady_time now)
{
    const auto found = calls_.find(call);
    if (found != calls_.end() && !found->second.is_answered)
    {
        found->second.is_answered = true;
        follow(found->second, result, now);
    }
}

void slow_start_window::end(std::uint64_t call, slow_start_result result, steady_time now)
{
    const auto found = calls_.find(call);
    if (found == calls_.end())
    {
        return;
    }
    const open_call ended = found->second;
    calls_.erase(found);
    if (!ended.is_answered || result == slow_start_result::failed)
    {
        follow(ended, result, now);
    }
}

void slow_start_window::follow(const open_call& call,
                               slow_start_result result,
                               steady_time now)
{
    const bool is_of_earlier_window = call.begun < shrunk_at_;
    switch (result)
    {
        case slow_start_result::timely:
            grow(call.was_window_full && !is_of_earlier_window);
            break;
        case slow_start_result::slow:
            if (!is_of_earlier_window)
            {
                shrink(window_ / 2, now);
            }
            break;
        case slow_start_result::failed:
            if (!is_of_earlier_window)
            {
                shrink(min_window, now);
            }
            break;
        case slow_start_result::cancelled:
            break;
    }
}

void slow_start_window::grow(bool is_used_up)
{
    // a window that is not used up says nothing about a larger one
    if (!is_used_up)
    {
        return;
    }
    if (window_ >= slots_)
    {
        ++sustained_;
        has_ended_ = sustained_ >= std::max(min_sustained, static_cast<int>(slots_));
        return;
    }
    window_ = std::min(slots_, window_ + (window_ < fast_until_ ? 1 : 1 / window_));
}

void slow_start_window::shrink(double to, steady_time now)
{
    fast_until_ = std::max(min_window, window_ / 2);
    window_ = std::max(min_window, to);
    sustained_ = 0;
    shrunk_at_ = now;
}

void slow_start_window::drop_lost_calls(steady_time now)
{
    for (auto each = calls_.begin(); each != calls_.end();)
    {
        const bool is_lost = each->second.begun + max_call_time < now;
        each = is_lost ? calls_.erase(each) : std::next(each);
    }
}

} // namespace medlar
