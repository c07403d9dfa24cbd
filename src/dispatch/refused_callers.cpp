#include <medlar/detail/dispatch/refused_callers.hpp>

namespace medlar
{

namespace
{

// callers come back within a third of the time that they have, at most some seconds
constexpr millis remembered_for{8000};

// 16 bytes each; more than a pool's owner hears of in that time in any burst
constexpr std::size_t most_remembered = 20000;

} // namespace

void refused_callers::refused(std::uint64_t key, steady_time now)
{
    forget_old(now);
    if (since_.emplace(key, now).second)
    {
        order_.emplace_back(now, key);
    }
}

millis refused_callers::waited(std::uint64_t key, steady_time now)
{
    forget_old(now);
    const auto found = since_.find(key);
    return found == since_.end() ? millis(0) : now - found->second;
}

void refused_callers::forget_old(steady_time now)
{
    while (!order_.empty() && (order_.front().first + remembered_for <= now ||
                               order_.size() > most_remembered))
    {
        since_.erase(order_.front().second);
        order_.pop_front();
    }
}

} // namespace medlar
