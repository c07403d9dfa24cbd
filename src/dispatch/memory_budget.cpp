#include <medlar/detail/dispatch/memory_budget.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

// A body up to this size is received while any of the budget is left; larger ones wait
// once memory is short, so that ordinary small requests are the last to wait.
constexpr std::size_t small_body_bytes = 16384;

// a client within the limits sends something more often, also after a lost packet
constexpr millis body_stall{1000};

// A ready answer is delivered also if its reader is slow, so readers have longer.
constexpr millis output_stall{5000};

// a paused body is refused after this time, while its caller can still try elsewhere
constexpr millis longest_pause{1000};

// share of the paused bodies that are refused at once, so that a crowd ends in about a
// second and what the first ones free lets others go on
constexpr std::size_t refused_fraction = 8;

// received by a body that goes on without a grant before it is paused again
constexpr std::size_t resumed_bytes = 65536;

constexpr std::size_t least_trimmed_bytes = 4194304;
constexpr millis trim_interval{1000};

millis stall_of(memory_use use)
{
    return use == memory_use::unread_output ? output_stall : body_stall;
}

double stalled_byte_ms(const memory_holder& holder, steady_time now)
{
    return static_cast<double>(holder.bytes) *
           static_cast<double>((now - holder.last_progress).count());
}

std::vector<std::size_t> stalled_holders(const std::vector<memory_holder>& holders,
                                         steady_time now)
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < holders.size(); ++i)
    {
        const memory_holder& each = holders[i];
        if (each.use != memory_use::paused_body &&
            now - each.last_progress >= stall_of(each.use))
        {
            found.push_back(i);
        }
    }
    std::sort(found.begin(),
              found.end(),
              [&](std::size_t left, std::size_t right)
              {
                  return stalled_byte_ms(holders[left], now) >
                         stalled_byte_ms(holders[right], now);
              });
    return found;
}

/// paused bodies, those that need least before others
std::vector<std::size_t> paused_bodies(const std::vector<memory_holder>& holders)
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < holders.size(); ++i)
    {
        if (holders[i].use == memory_use::paused_body)
        {
            found.push_back(i);
        }
    }
    std::stable_sort(found.begin(),
                     found.end(),
                     [&](std::size_t left, std::size_t right)
                     {
                         return holders[left].remaining < holders[right].remaining;
                     });
    return found;
}

} // namespace

void memory_budget::set_limit(std::size_t bytes)
{
    limit_ = bytes;
    short_mark_ = bytes / 4 * 3;
}

void memory_budget::add(std::size_t bytes)
{
    used_ += bytes;
    peak_ = std::max(peak_, used_);
}

bool memory_budget::may_receive(std::size_t body_bytes) const
{
    return used_ <= (body_bytes <= small_body_bytes ? limit_ : short_mark_);
}

memory_relief memory_budget::relieve(const std::vector<memory_holder>& holders,
                                     steady_time now) const
{
    memory_relief relief;
    const std::vector<std::size_t> paused = paused_bodies(holders);
    if (paused.empty() && !is_full())
    {
        return relief;
    }
    // below the mark at which bodies are paused, or each resumed one is paused at once
    const std::size_t resume_mark = short_mark_ / 8 * 7;
    std::size_t left = used_;
    std::vector<bool> is_ended(holders.size());
    for (const std::size_t each : stalled_holders(holders, now))
    {
        if (left <= resume_mark)
        {
            break;
        }
        left -= std::min(left, holders[each].bytes);
        is_ended[each] = true;
        relief.stalled.push_back(each);
    }
    std::size_t promised = 0;
    for (std::size_t i = 0; i < holders.size(); ++i)
    {
        promised += holders[i].is_granted && !is_ended[i] ? holders[i].remaining : 0;
    }
    // the rest is kept for small requests
    const std::size_t grant_mark = limit_ / 16 * 15;
    std::vector<std::size_t> waiting;
    for (const std::size_t each : paused)
    {
        if (left + promised + holders[each].remaining <= grant_mark)
        {
            promised += holders[each].remaining;
            relief.granted.push_back(each);
        }
        else if (left + promised + resumed_bytes <= resume_mark)
        {
            promised += resumed_bytes;
            relief.resumed.push_back(each);
        }
        else
        {
            waiting.push_back(each);
        }
    }
    std::stable_sort(waiting.begin(),
                     waiting.end(),
                     [&](std::size_t first, std::size_t second)
                     {
                         return holders[first].bytes > holders[second].bytes;
                     });
    const std::size_t most_refused =
        (waiting.size() + refused_fraction - 1) / refused_fraction;
    for (const std::size_t each : waiting)
    {
        if (relief.refused.size() < most_refused &&
            now - holders[each].last_progress >= longest_pause)
        {
            relief.refused.push_back(each);
        }
    }
    return relief;
}

bool memory_budget::should_trim(steady_time now)
{
    const std::size_t freed = peak_ - used_;
    if (freed < std::max(least_trimmed_bytes, limit_ / 8) ||
        now - trimmed_at_ < trim_interval)
    {
        return false;
    }
    peak_ = used_;
    trimmed_at_ = now;
    return true;
}

std::size_t budget_bytes_of(std::size_t memory_mb)
{
    // The rest is for the program, what it knows of targets and hosts, the bytes between
    // the blocks of the allocator, and the one read of each connection beyond the budget.
    constexpr std::size_t least_mb = 16;
    constexpr std::size_t most_mb = 1048576;
    return std::clamp(memory_mb, least_mb, most_mb) * 1048576 / 5 * 2;
}

} // namespace medlar
