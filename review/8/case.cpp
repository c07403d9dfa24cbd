// The process of one entry machine is killed while a route is split between two services.
// Checks that the machine's streams go on elsewhere.

#include "support-2/streams.hpp"

#include <csignal>
#include <thread>

namespace
{

using namespace review;

constexpr int streams = 18;
constexpr int least_taken_up = 12;
constexpr int entries_count = 4;
constexpr int killed_after_ms = 1500;
constexpr int down_ms = 3500;

} // namespace

int main(int, char** argv)
{
    open_record(argv[1]);
    store platform("127.0.0.1");
    platform.put("op/config", stream_configuration({{"model", 90}, {"model-next", 10}}));
    std::vector<std::unique_ptr<model_worker>> workers;
    for (const char* const each : {"i-0", "i-1", "i-2", "i-3"})
    {
        workers.push_back(std::make_unique<model_worker>(each, "model", "v1"));
    }
    for (const char* const each : {"i-4", "i-5"})
    {
        workers.push_back(std::make_unique<model_worker>(each, "model-next", "v1"));
    }
    for (const auto& each : workers)
    {
        each->register_at(platform);
    }
    const auto entries = start_entries(entries_count, platform);
    entry_process& killed = *entries.front();
    const std::vector<address> others{
        entries[1]->front(), entries[2]->front(), entries[3]->front()};
    stream_totals seen;
    std::vector<std::thread> clients;
    for (int i = 0; i < streams; ++i)
    {
        clients.emplace_back(
            use_stream, killed.front(), others, now_ms() + deadline_ms, std::ref(seen));
    }
    pause_ms(killed_after_ms);
    if (has_trouble())
    {
        record(killed.name() + " is killed");
        killed.kill();
    }
    for (int i = 0; i < streams; ++i)
    {
        clients.emplace_back(
            begin_new_stream, others.at(i % others.size()), std::ref(seen));
    }
    pause_ms(down_ms);
    if (has_trouble())
    {
        record(killed.name() + " starts again");
        killed.start();
    }
    for (std::thread& each : clients)
    {
        each.join();
    }
    finish_with(seen, least_taken_up);
}
