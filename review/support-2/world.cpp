#include "world.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <random>
#include <set>
#include <thread>

namespace review
{

namespace
{

// a case that takes longer cannot be judged
constexpr std::int64_t longest_run_ms = 110000;

struct shared_state
{
    std::mutex mutex;
    std::ofstream record;
    std::int64_t began = now_ms();
    std::string folder;
    std::set<pid_t> processes;
    std::mt19937_64 random{std::random_device{}()};
};

shared_state& state()
{
    static shared_state shared;
    return shared;
}

std::string temporary_folder()
{
    shared_state& shared = state();
    const std::lock_guard<std::mutex> lock(shared.mutex);
    if (shared.folder.empty())
    {
        std::string name =
            (std::filesystem::temp_directory_path() / "medlar-review-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr)
        {
            std::cerr << "no temporary folder" << std::endl;
            std::_Exit(2);
        }
        shared.folder = name;
    }
    return shared.folder;
}

void end_processes()
{
    std::set<pid_t> left;
    {
        const std::lock_guard<std::mutex> lock(state().mutex);
        left.swap(state().processes);
    }
    for (const pid_t each : left)
    {
        ::kill(each, SIGKILL);
        ::waitpid(each, nullptr, 0);
    }
}

} // namespace

void open_record(const std::string& folder)
{
    state().record.open(folder + "/record.txt", std::ios::trunc);
    record(has_trouble() ? "with the disruption" : "without the disruption");
    std::thread(
        []
        {
            pause_ms(longest_run_ms);
            record("the case takes too long");
            finish(verdict::could_not_run);
        })
        .detach();
}

void record(const std::string& line)
{
    shared_state& shared = state();
    const std::lock_guard<std::mutex> lock(shared.mutex);
    std::array<char, 32> time{};
    std::snprintf(time.data(),
                  time.size(),
                  "%9.3f s  ",
                  static_cast<double>(now_ms() - shared.began) / 1000);
    shared.record << time.data() << line << std::endl;
    std::cout << time.data() << line << std::endl;
}

bool has_trouble()
{
    const char* const text = std::getenv("TROUBLE");
    return text == nullptr || std::strcmp(text, "0") != 0;
}

void finish(verdict result)
{
    end_processes();
    const std::string folder = state().folder;
    const bool is_kept = std::getenv("KEEP") != nullptr;
    if (!folder.empty() && !is_kept)
    {
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    }
    record(result == verdict::held     ? "verdict: the rule held"
           : result == verdict::broken ? "verdict: the rule was broken"
                                       : "verdict: the case could not run");
    std::_Exit(static_cast<int>(result));
}

entry_process::entry_process(const std::string& name,
                             const std::string& ip,
                             std::uint16_t base_port,
                             const store& platform)
    : name_(name), ip_(ip), base_port_(base_port)
{
    const auto at = [&](int offset)
    {
        return ip + ":" + std::to_string(base_port + offset);
    };
    settings_ = {{"node", name},
                 {"role", "entry"},
                 {"machine_class", "front"},
                 {"serves", {"front", "control"}},
                 {"ip", ip},
                 {"zone", "zone-a"},
                 {"region", "region"},
                 {"zones", {{"zone-a", "region"}}},
                 {"listen", {{"front", at(0)}, {"ready", at(1)}, {"control", at(2)}}},
                 {"port_range", {base_port + 3, base_port + 7}},
                 {"seeds", nlohmann::json::array()},
                 {"bootstrap", true},
                 {"loss_counts", false},
                 {"limits",
                  {{"cpu_share", 0.25},
                   {"cores", 1},
                   {"memory_mb", 260},
                   {"max_fds", 4100},
                   {"link_mbps", 1000.0},
                   {"disk_mb", 0}}},
                 {"data_dir", nullptr},
                 {"discovery", "platform"},
                 {"entry", "virtual_ip"},
                 {"heartbeat_ms", 1200},
                 {"contracts",
                  {"base",
                   "drain",
                   "config",
                   "cost",
                   "retry",
                   "recover",
                   "engine",
                   "stream",
                   "tenants",
                   "platform",
                   "stages"}},
                 {"fault_tolerance", {{"machines", 1}, {"zones", 0}, {"regions", 0}}},
                 {"bounds",
                  {{"seed_lag_s", 3},
                   {"addr_reuse_s", 2},
                   {"contact_ms", 3000},
                   {"ack_ms", 4000},
                   {"catch_up_s", 4},
                   {"drain_ms", 2000},
                   {"grace_s", 8},
                   {"loss_slack_ms", 200},
                   {"config_apply_ms", 2000},
                   {"back_ms", 250},
                   {"max_stretch_ms", 5000},
                   {"strict_revoke", false},
                   {"revoke_ms", 5000},
                   {"retry_ratio", 0.2},
                   {"retry_window_s", 10},
                   {"retry_slack", 56},
                   {"recovery_s", 12},
                   {"pass_ms", 120},
                   {"again_s", 10}}},
                 {"platform",
                  {{"address", platform.where().text()},
                   {"form", "kv"},
                   {"writes_per_s", 400},
                   {"reads_per_s", 2000},
                   {"history_s", 20},
                   {"value_bytes", 1048576},
                   {"ttl_min_ms", 1000}}}};
}

entry_process::~entry_process()
{
    kill();
}

void entry_process::start()
{
    const std::string folder = temporary_folder();
    const std::string file = folder + "/" + name_ + ".json";
    std::ofstream(file) << settings_.dump(2);
    const std::string variable = "MEDLARSCALE_NODE_FILE=" + file;
    const std::string log = folder + "/" + name_ + ".log";
    // the command of the deploy file, run from the root of the repository
    const std::string program = "target/medlar-entry";
    const std::array<char*, 2> arguments{const_cast<char*>(program.c_str()), nullptr};
    const std::array<char*, 2> environment{const_cast<char*>(variable.c_str()), nullptr};
    pid_ = ::fork();
    if (pid_ == 0)
    {
        // it ends with the case, whatever ends that
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::execve(program.c_str(), arguments.data(), environment.data());
        std::_Exit(127);
    }
    const std::lock_guard<std::mutex> lock(state().mutex);
    state().processes.insert(pid_);
}

bool entry_process::wait_until_ready(int timeout_ms)
{
    const address ready{ip_, static_cast<std::uint16_t>(base_port_ + 1)};
    const std::int64_t until = now_ms() + timeout_ms;
    while (now_ms() < until)
    {
        const client_answer got =
            exchange(ready,
                     request_text("GET /-/readiness HTTP/1.1", {{"Host", "ready"}}, ""),
                     500);
        if (got.status == 200)
        {
            return true;
        }
        pause_ms(50);
    }
    return false;
}

void entry_process::signal(int number) const
{
    ::kill(pid_, number);
}

bool entry_process::is_running()
{
    return pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == 0;
}

void entry_process::kill()
{
    if (pid_ > 0)
    {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        const std::lock_guard<std::mutex> lock(state().mutex);
        state().processes.erase(pid_);
    }
    pid_ = 0;
}

client_answer exchange(channel& connection, const std::string& request, int timeout_ms)
{
    client_answer got;
    if (connection.send(request))
    {
        got.end = connection.read_answer(got.answer, timeout_ms);
        got.status = status_of(got.answer);
    }
    return got;
}

client_answer exchange(const address& where, const std::string& request, int timeout_ms)
{
    const std::unique_ptr<channel> connection = channel::connect(where, 1000);
    return connection ? exchange(*connection, request, timeout_ms) : client_answer{};
}

std::string request_text(const std::string& first_line,
                         const std::vector<std::pair<std::string, std::string>>& headers,
                         const std::string& body)
{
    std::string out = first_line + "\r\n";
    for (const auto& each : headers)
    {
        out += each.first + ": " + each.second + "\r\n";
    }
    if (!body.empty())
    {
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return out + "\r\n" + body;
}

nlohmann::json server_entry(const std::string& service,
                            const address& where,
                            const std::string& zone,
                            int slots)
{
    return {{"service", service},
            {"address", where.text()},
            {"zone", zone},
            {"version", "v1"},
            {"slots", slots},
            {"state", "ready"},
            {"cold_ms", 0},
            {"sequence", 1}};
}

nlohmann::json usual_limits()
{
    return {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}};
}

std::string new_id()
{
    const std::lock_guard<std::mutex> lock(state().mutex);
    std::array<char, 17> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%016llx",
                  static_cast<unsigned long long>(state().random()));
    return text.data();
}

} // namespace review
