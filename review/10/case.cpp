// An entry machine loses power, and the first worker of a new software version registers
// before the clients have noticed. Checks that the machine's streams go on elsewhere.

#include "support-2/streams.hpp"

#include <csignal>
#include <thread>

namespace
{

using namespace review;

constexpr int streams = 18;
constexpr int least_taken_up = 12;
constexpr int entries_count = 4;
constexpr int first_version_workers = 4;

constexpr int lost_after_ms = 1500;
constexpr int release_after_ms = 1000;
constexpr int dark_ms = 3500;

} // namespace

int main(int, char** argv)
{
    open_record(argv[1]);
    store platform("127.0.0.1");
    platform.put("op/config", stream_configuration({{"model", 1}}));
    std::vector<std::unique_ptr<model_worker>> workers;
    for (int i = 0; i < first_version_workers; ++i)
    {
        workers.push_back(
            std::make_unique<model_worker>("i-" + std::to_string(i), "model", "v1"));
        workers.back()->register_at(platform);
    }
    model_worker of_next_version("i-next", "model", "v2");
    const auto entries = start_entries(entries_count, platform);
    entry_process& lost = *entries.front();
    const std::vector<address> others{
        entries[1]->front(), entries[2]->front(), entries[3]->front()};
    stream_totals seen;
    const std::int64_t lost_at = now_ms() + lost_after_ms;
    // without the disruption the clients leave by themselves, when they would have
    // noticed
    const std::int64_t leave_at =
        has_trouble() ? now_ms() + deadline_ms : lost_at + patience_ms;
    std::vector<std::thread> clients;
    for (int i = 0; i < streams; ++i)
    {
        clients.emplace_back(use_stream, lost.front(), others, leave_at, std::ref(seen));
    }
    pause_ms(lost_at - now_ms());
    if (has_trouble())
    {
        record(lost.name() + " loses power: it falls silent");
        lost.signal(SIGSTOP);
    }
    pause_ms(release_after_ms);
    of_next_version.register_at(platform);
    pause_ms(dark_ms - release_after_ms);
    if (has_trouble())
    {
        record(lost.name() + " has power again: a new process starts");
        lost.kill();
        lost.start();
    }
    for (int i = 0; i < streams; ++i)
    {
        clients.emplace_back(
            begin_new_stream, others.at(i % others.size()), std::ref(seen));
    }
    for (std::thread& each : clients)
    {
        each.join();
    }
    finish_with(seen, least_taken_up);
}
