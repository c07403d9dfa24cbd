#include <medlar/detail/log/event.hpp>

#include <support/gateway_group.hpp>
#include <sys/resource.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>

// Measures the traffic, CPU time and memory of the exchange between gateways: N exchanges
// in one process over loopback links, with the default lease durations of the gateways.
// Prints one line per measurement:
//   exchange hosts=N bytes_per_second=... messages_per_second=... cpu_percent=...
//   rss_kb=...
//   handover claims=N output_bytes=N bytes_held_per_claim=... bytes_sent_per_claim=...
//   milliseconds=...
// The figures of the exchange are per host, those of the handover for all claims or per
// claim, as named.

namespace
{

using namespace medlar;
using namespace medlar::testing;

constexpr std::int64_t us_per_second = 1000000;
constexpr std::int64_t kib_per_page = 4;

std::int64_t cpu_us()
{
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    const auto us = [](const timeval& span)
    {
        return span.tv_sec * us_per_second + span.tv_usec;
    };
    return us(used.ru_utime) + us(used.ru_stime);
}

std::int64_t resident_kb()
{
    std::ifstream file("/proc/self/statm");
    std::int64_t size = 0;
    std::int64_t resident = 0;
    file >> size >> resident;
    return resident * kib_per_page;
}

std::int64_t traffic_of(gateway_group& group)
{
    std::int64_t bytes = 0;
    for (const auto& node : group.nodes)
    {
        bytes += node->links().traffic().get();
    }
    return bytes;
}

void start(gateway_group& group, std::size_t hosts)
{
    std::vector<std::size_t> members;
    for (std::size_t at = 0; at < hosts; ++at)
    {
        group.add();
        members.push_back(at);
    }
    group.propose(members);
    group.wait_for_leases(members);
}

void measure_exchange(std::size_t hosts, millis span)
{
    const std::int64_t rss_before = resident_kb();
    gateway_group group{ownership_timing()};
    start(group, hosts);
    const std::int64_t bytes_before = traffic_of(group);
    const std::int64_t cpu_before = cpu_us();
    std::this_thread::sleep_for(std::chrono::milliseconds(span.count()));
    const double seconds = static_cast<double>(span.count()) / 1000;
    const double count = static_cast<double>(hosts);
    const double bytes = static_cast<double>(traffic_of(group) - bytes_before);
    const double cpu = static_cast<double>(cpu_us() - cpu_before) / us_per_second;
    const double rss = static_cast<double>(resident_kb() - rss_before);
    // per renewal and pair of hosts: a call and its answer in each direction
    const double renewals =
        1000.0 / static_cast<double>(ownership_timing().renew_interval.count());
    std::printf(
        "exchange hosts=%zu bytes_per_second=%.0f messages_per_second=%.1f "
        "cpu_percent=%.3f rss_kb=%.0f\n",
        hosts,
        // the counter covers calls a host makes and their answers; it serves as many
        2 * bytes / seconds / count,
        4 * renewals * (count - 1),
        100 * cpu / seconds / count,
        rss / count);
    std::fflush(stdout);
}

claim finished_claim(const std::string& id, incarnation runner, std::size_t output_bytes)
{
    claim one;
    one.key = {organisation_id("organisation"), request_id(id)};
    one.digest = digest_of(id);
    one.issued_at = clock::system().wall_now();
    one.runner = runner;
    outcome result;
    result.kind = outcome_kind::answered;
    one.answer = final_answer{result, std::string(output_bytes, 'x'), "{}"};
    return one;
}

/// Measures how long the first of two hosts takes to hand over all its claims on leaving.
void measure_handover(std::size_t claims, std::size_t output_bytes)
{
    gateway_group group{ownership_timing()};
    start(group, 2);
    gateway_node& leaving_node = *group.nodes[0];
    for (std::size_t number = 0; number < claims; ++number)
    {
        leaving_node.claims().merge(finished_claim(
            absl::StrCat("request-", number), leaving_node.self().process, output_bytes));
    }
    const double bytes_held = static_cast<double>(leaving_node.claims().bytes().get());
    const std::int64_t bytes_before = leaving_node.links().traffic().get();
    std::thread leaving(
        [&leaving_node]
        {
            leaving_node.peers().leave(clock::system().steady_now() + millis(60000));
        });
    group.propose({1});
    wait_until(
        [&leaving_node, &group]
        {
            return leaving_node.peers().status().adopted == group.record.current.epoch;
        });
    const steady_time started_at = clock::system().steady_now();
    wait_until(
        [&group, claims]
        {
            return group.nodes[1]->claims().size() == claims;
        });
    const millis duration = clock::system().steady_now() - started_at;
    const double bytes_sent =
        static_cast<double>(leaving_node.links().traffic().get() - bytes_before);
    leaving.join();
    std::printf("handover claims=%zu output_bytes=%zu bytes_held_per_claim=%.0f "
                "bytes_sent_per_claim=%.0f milliseconds=%lld\n",
                claims,
                output_bytes,
                bytes_held / static_cast<double>(claims),
                bytes_sent / static_cast<double>(claims),
                static_cast<long long>(duration.count()));
    std::fflush(stdout);
}

} // namespace

/// @param argv duration of each measurement of the exchange in seconds; default 10
int main(int argc, char** argv)
{
    open_log("exchange-slopes");
    const int seconds = argc > 1 ? std::atoi(argv[1]) : 10;
    for (const std::size_t hosts : {2, 4, 8, 16, 32})
    {
        measure_exchange(hosts, millis(std::int64_t(seconds) * 1000));
    }
    measure_handover(10000, 400);
    return 0;
}
