#include <medlar/detail/dispatch/refused_requests.hpp>

namespace medlar
{

namespace
{

// callers retry within a third of their deadline, at most some seconds
constexpr millis max_age{8000};

// 16 bytes each; more refusals than the owner of a pool gets within max_age in any burst
constexpr std::size_t max_requests = 20000;

} // namespace

void refused_requests::record_refusal(std::uint64_t key, steady_time now)
{
    drop_expired(now);
    if (first_refused_.emplace(key, now).second)
    {
        insertion_order_.emplace_back(now, key);
    }
}

millis refused_requests::time_since_refusal(std::uint64_t key, steady_time now)
{
    drop_expired(now);
    const auto found = first_refused_.find(key);
    return found == first_refused_.end() ? millis(0) : now - found->second;
}

void refused_requests::drop_expired(steady_time now)
{
    while (!insertion_order_.empty() &&
           (insertion_order_.front().first + max_age <= now ||
            insertion_order_.size() > max_requests))
    {
        first_refused_.erase(insertion_order_.front().second);
        insertion_order_.pop_front();
    }
}

} // namespace medlar
