#include "support/deployment.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace review
{

namespace
{

// offsets of the ports of a machine
constexpr int ready_offset = 1;
constexpr int control_offset = 2;
constexpr int range_offset = 3;
constexpr int port_count = 16;

// the program of the deploy file; cases run in the root of the repository
constexpr char program[] = "target/medlar-entry";

} // namespace

recorder::recorder(const std::string& path)
    : file_(path), started_(std::chrono::steady_clock::now())
{
}

std::int64_t recorder::now_ms() const
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() -
                                                    started_)
        .count();
}

void recorder::write(const std::string& line)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    file_ << now_ms() << " ms  " << line << std::endl;
}

machine::machine(std::string name,
                 std::string zone,
                 const std::string& directory,
                 const std::string& store_address)
    : name_(std::move(name)),
      zone_(std::move(zone)),
      store_address_(store_address),
      settings_path_(directory + "/" + name_ + ".json"),
      log_path_(directory + "/" + name_ + ".log"),
      first_port_(free_ports(port_count))
{
}

machine::~machine()
{
    if (is_running())
    {
        signal(SIGCONT);
        signal(SIGKILL);
        waitpid(process_, nullptr, 0);
    }
}

std::string machine::address_of(int offset) const
{
    return "127.0.0.1:" + std::to_string(first_port_ + offset);
}

std::string machine::control_address() const
{
    return address_of(control_offset);
}

void machine::write_settings(const std::vector<std::string>& seeds,
                             const std::vector<std::string>& zones) const
{
    nlohmann::json regions = nlohmann::json::object();
    for (const std::string& each : zones)
    {
        regions[each] = "sul";
    }
    // the figures of the small deployments
    const nlohmann::json settings{
        {"node", name_},
        {"role", "entry"},
        {"machine_class", "front"},
        {"serves", {"front", "control"}},
        {"ip", "127.0.0.1"},
        {"zone", zone_},
        {"region", "sul"},
        {"zones", regions},
        {"listen",
         {{"front", address_of(0)},
          {"ready", address_of(ready_offset)},
          {"control", control_address()}}},
        {"port_range", {first_port_ + range_offset, first_port_ + port_count - 1}},
        {"seeds", seeds},
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
         {{"address", store_address_},
          {"form", "kv"},
          {"writes_per_s", 400},
          {"reads_per_s", 2000},
          {"history_s", 20},
          {"value_bytes", 1048576},
          {"ttl_min_ms", 1000}}}};
    std::ofstream(settings_path_) << settings.dump(1) << '\n';
}

void machine::start()
{
    constexpr mode_t mode = 0644;
    const int log =
        open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, mode);
    std::string setting = "MEDLARSCALE_NODE_FILE=" + settings_path_;
    std::string path = "PATH=/usr/bin:/bin";
    char* const environment[] = {setting.data(), path.data(), nullptr};
    std::string name(program);
    char* const arguments[] = {name.data(), nullptr};
    process_ = fork();
    if (process_ == 0)
    {
        // it must not outlive the case, also if that is killed
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execve(program, arguments, environment);
        _exit(could_not_run);
    }
    close(log);
}

void machine::signal(int number) const
{
    if (process_ > 0)
    {
        kill(process_, number);
    }
}

bool machine::is_running()
{
    if (process_ > 0 && waitpid(process_, nullptr, WNOHANG) == process_)
    {
        process_ = 0;
    }
    return process_ > 0;
}

bool machine::wait_for_end(milliseconds timeout)
{
    return wait_until(timeout,
                      [this]
                      {
                          return !is_running();
                      });
}

bool machine::is_ready() const
{
    http_connection connection(http_connection::connect_to(
        static_cast<std::uint16_t>(first_port_ + ready_offset)));
    connection.set_timeout(milliseconds(500));
    http_message answer;
    return connection.write("GET /-/readiness HTTP/1.1\r\nHost: platform\r\n\r\n") &&
           connection.read_answer_head(answer) && answer.status() == 200;
}

nlohmann::json route(const std::string& name,
                     const std::string& kind,
                     const std::string& service,
                     int max_attempts,
                     int timeout_ms)
{
    return {{"name", name},
            {"host", "register.example"},
            {"prefix", "/" + name + "/"},
            {"kind", kind},
            {"service", service},
            {"timeout_ms", timeout_ms},
            {"target_latency_ms", timeout_ms / 4},
            {"priority", 0},
            {"max_attempts", max_attempts},
            {"public", false},
            {"resumable", false}};
}

nlohmann::json configuration(const std::vector<nlohmann::json>& routes,
                             const std::vector<nlohmann::json>& services)
{
    return {{"version", 7},
            {"routes", routes},
            {"services", services},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 5000},
              {"idle_timeout_ms", 30000}}}};
}

nlohmann::json server_entry(const std::string& service,
                            const std::string& address,
                            const std::string& zone,
                            int slots)
{
    return {{"service", service},
            {"address", address},
            {"zone", zone},
            {"version", "v1"},
            {"slots", slots},
            {"state", "ready"},
            {"cold_ms", 0},
            {"sequence", 1}};
}

std::string temporary_folder()
{
    std::string name = "/tmp/medlarscale-review-XXXXXX";
    return mkdtemp(name.data()) == nullptr ? std::string("/tmp") : name;
}

bool wait_until(milliseconds timeout, const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    bool holds = condition();
    while (!holds && std::chrono::steady_clock::now() < end)
    {
        std::this_thread::sleep_for(milliseconds(20));
        holds = condition();
    }
    return holds;
}

bool start_machines(const std::vector<std::unique_ptr<machine>>& machines)
{
    std::vector<std::string> seeds;
    std::vector<std::string> zones;
    constexpr std::size_t max_seeds = 3;
    for (const auto& each : machines)
    {
        zones.push_back(each->name().substr(0, each->name().rfind('-')));
        if (seeds.size() < max_seeds)
        {
            seeds.push_back(each->control_address());
        }
    }
    for (const auto& each : machines)
    {
        each->write_settings(seeds, zones);
        each->start();
    }
    constexpr milliseconds start_timeout{10000};
    return wait_until(start_timeout,
                      [&machines]
                      {
                          return std::all_of(machines.begin(),
                                             machines.end(),
                                             [](const auto& each)
                                             {
                                                 return each->is_ready();
                                             });
                      });
}

int run_case(const std::function<void()>& run)
{
    try
    {
        run();
    }
    catch (const std::exception& error)
    {
        std::cerr << error.what() << '\n';
    }
    std::_Exit(could_not_run);
}

void end_case(std::vector<std::unique_ptr<machine>>& machines, int result)
{
    machines.clear();
    std::cout.flush();
    std::_Exit(result);
}

bool has_trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
