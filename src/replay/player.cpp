#include <medlar/detail/replay/player.hpp>

#include <atomic>
#include <chrono>
#include <thread>

namespace medlar
{

namespace
{

void sleep_until(const clock& time, steady_time due)
{
    const millis remaining = due - time.steady_now();
    if (remaining > millis(0))
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(remaining.count()));
    }
}

} // namespace

std::vector<replayed_request>
replay_trace(const trace& content, caller& sender, const clock& time, int connections)
{
    std::vector<replayed_request> results(content.requests.size());
    const steady_time start = time.steady_now();
    std::atomic<std::size_t> next{0};
    const auto work = [&]
    {
        for (std::size_t i = next++; i < content.requests.size(); i = next++)
        {
            const trace_request& request = content.requests[i];
            const steady_time due = start + request.at;
            sleep_until(time, due);
            results[i] = sender.send(request, due);
        }
    };
    std::vector<std::thread> threads;
    for (int i = 0; i < connections; ++i)
    {
        threads.emplace_back(work);
    }
    for (std::thread& each : threads)
    {
        each.join();
    }
    return results;
}

} // namespace medlar
