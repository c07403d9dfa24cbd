#ifndef MEDLAR_REVIEW_SUPPORT_DEPLOYMENT_HPP
#define MEDLAR_REVIEW_SUPPORT_DEPLOYMENT_HPP

#include "support/http.hpp"
#include "support/store.hpp"

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace review
{

/// @brief Writes record.txt: what was sent, answered and run, with the time of each.
class recorder
{
  public:
    explicit recorder(const std::string& path);

    /// @brief Writes one line.
    void write(const std::string& line);

    /// @brief milliseconds since the start
    std::int64_t now_ms() const;

  private:
    std::mutex mutex_;
    std::ofstream file_;
    std::chrono::steady_clock::time_point started_;
};

/// @brief One machine: a process of medlar-entry with its settings file.
class machine
{
  public:
    /// @param directory for its settings and its log
    machine(std::string name,
            std::string zone,
            const std::string& directory,
            const std::string& store_address);
    ~machine();

    machine(const machine&) = delete;
    machine& operator=(const machine&) = delete;

    /// @brief Writes the settings file; to be called when all machines are known.
    void write_settings(const std::vector<std::string>& seeds,
                        const std::vector<std::string>& zones) const;

    void start();

    /// @brief Sends a signal to the process.
    void signal(int number) const;

    /// @brief Waits for the process to end.
    /// @return whether it has ended by itself in this time
    bool wait_for_end(milliseconds timeout);

    bool is_running();

    /// @brief Returns whether its readiness call is answered with 200.
    bool is_ready() const;

    const std::string& name() const
    {
        return name_;
    }

    std::uint16_t front_port() const
    {
        return first_port_;
    }

    std::string control_address() const;

  private:
    std::string address_of(int offset) const;

    std::string name_;
    std::string zone_;
    std::string store_address_;
    std::string settings_path_;
    std::string log_path_;
    std::uint16_t first_port_;
    pid_t process_ = 0;
};

/// @brief A route of the configuration.
nlohmann::json route(const std::string& name,
                     const std::string& kind,
                     const std::string& service,
                     int max_attempts,
                     int timeout_ms);

/// @brief A configuration without tenants.
nlohmann::json configuration(const std::vector<nlohmann::json>& routes,
                             const std::vector<nlohmann::json>& services);

/// @brief An entry of a server.
nlohmann::json server_entry(const std::string& service,
                            const std::string& address,
                            const std::string& zone,
                            int slots);

/// @brief Makes a temporary folder.
std::string temporary_folder();

/// @brief Starts machines, and waits until all of them are ready.
/// @return false if they did not become ready
bool start_machines(const std::vector<std::unique_ptr<machine>>& machines);

/// @brief Whether the disruption of the case is to take place.
bool has_trouble();

/// @brief Whether a condition holds within some time.
bool wait_until(milliseconds timeout, const std::function<bool()>& condition);

/// @brief Runs a case that ends with end_case(); exits if it throws.
int run_case(const std::function<void()>& run);

/// @brief Kills the machines and exits; threads of the stand-ins may still run.
[[noreturn]] void end_case(std::vector<std::unique_ptr<machine>>& machines, int result);

/// exit codes of a case
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

} // namespace review

#endif // MEDLAR_REVIEW_SUPPORT_DEPLOYMENT_HPP
