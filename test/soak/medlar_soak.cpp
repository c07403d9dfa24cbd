// medlar-soak: plays runs with random faults against medlar-entry and checks its
// promises.

#include "soak/soak_run.hpp"

#include <absl/strings/str_cat.h>
#include <gflags/gflags.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

DEFINE_string(entry, "build/medlar-entry", "path of the program that is played against");
DEFINE_uint64(first_seed, 1, "seed of the first run");
DEFINE_int32(seeds, 3, "how many runs with consecutive seeds are played");
DEFINE_string(failed_seeds, "", "file of seeds that failed once, played first");
DEFINE_int32(hosts, 4, "entry hosts of a run");
DEFINE_int32(callers, 12, "callers of a run");
DEFINE_int32(fault_ms, 6000, "time of each run in which faults come, in ms");
DEFINE_bool(check_times,
            true,
            "check times; not where other work keeps the machine busy");
DEFINE_string(keep, "", "directory that keeps settings and logs of failed runs");

namespace
{

using namespace medlar;

std::vector<std::uint64_t> seeds_to_play()
{
    std::vector<std::uint64_t> seeds;
    std::ifstream failed(FLAGS_failed_seeds);
    std::uint64_t seed = 0;
    std::string cause;
    while (failed >> seed && std::getline(failed, cause))
    {
        seeds.push_back(seed);
    }
    for (int i = 0; i < FLAGS_seeds; ++i)
    {
        seeds.push_back(FLAGS_first_seed + static_cast<std::uint64_t>(i));
    }
    return seeds;
}

/// @return how many promises were broken
std::size_t play(std::uint64_t seed)
{
    soak::soak_settings settings;
    settings.seed = seed;
    settings.program = FLAGS_entry;
    const std::string below =
        FLAGS_keep.empty() ? std::filesystem::temp_directory_path().string() : FLAGS_keep;
    settings.directory = absl::StrCat(below, "/medlar-soak-", getpid(), "-", seed);
    settings.hosts = static_cast<std::size_t>(FLAGS_hosts);
    settings.callers = static_cast<std::size_t>(FLAGS_callers);
    settings.faults_for = millis(FLAGS_fault_ms);
    settings.checks_times = FLAGS_check_times;
    std::size_t count = 0;
    {
        soak::soak_run run(settings);
        const soak::promises& book = run.play();
        count = book.all_broken().size();
        std::cout << "seed " << seed << ": " << book.requests() << " requests, "
                  << book.answered() << " answered, " << count << " broken promises\n";
        for (const std::string& each : book.all_broken())
        {
            std::cout << "  broken: " << each << '\n';
        }
        for (const std::string& each : run.history())
        {
            std::cout << (count > 0 ? "  " + each + "\n" : "");
        }
        std::cout << std::flush;
    }
    if (count == 0 || FLAGS_keep.empty())
    {
        std::filesystem::remove_all(settings.directory);
    }
    return count;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("plays runs with random faults against medlar-entry");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    std::size_t broken = 0;
    std::size_t failed = 0;
    const std::vector<std::uint64_t> seeds = seeds_to_play();
    for (const std::uint64_t each : seeds)
    {
        const std::size_t count = play(each);
        broken += count;
        failed += count > 0 ? 1 : 0;
    }
    std::cout << "soak: " << seeds.size() << " seeds, " << broken << " broken promises\n"
              << seeds.size() - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
