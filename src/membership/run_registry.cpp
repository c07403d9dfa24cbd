#include <medlar/detail/membership/run_registry.hpp>

#include <algorithm>
#include <chrono>

namespace medlar
{

namespace
{

/// longest wait before the clock is read again
constexpr millis max_wait{1000};

} // namespace

void run_registry::begin(const request_key& key)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_[key] = std::make_shared<run>();
}

void run_registry::end(const request_key& key, const final_answer& answer)
{
    std::shared_ptr<run> ended;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = runs_.find(key);
        if (found == runs_.end())
        {
            return;
        }
        ended = found->second;
        runs_.erase(found);
    }
    {
        const std::lock_guard<std::mutex> lock(ended->mutex);
        ended->answer = answer;
    }
    ended->ended.notify_all();
}

std::optional<final_answer>
run_registry::wait(const request_key& key, const clock& time, steady_time until) const
{
    std::shared_ptr<run> awaited;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = runs_.find(key);
        if (found == runs_.end())
        {
            return std::nullopt;
        }
        awaited = found->second;
    }
    std::unique_lock<std::mutex> lock(awaited->mutex);
    for (;;)
    {
        const millis remaining = until - time.steady_now();
        if (awaited->answer || remaining <= millis(0))
        {
            return awaited->answer;
        }
        const millis span = std::min(remaining, max_wait);
        awaited->ended.wait_for(lock, std::chrono::milliseconds(span.count()));
    }
}

bool run_registry::contains(const request_key& key) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_.count(key) > 0;
}

std::size_t run_registry::size() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_.size();
}

} // namespace medlar
