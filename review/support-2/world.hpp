#ifndef REVIEW_SUPPORT_2_WORLD_HPP
#define REVIEW_SUPPORT_2_WORLD_HPP

// What the cases share: the record, processes of the system, and clients.

#include "http.hpp"
#include "store.hpp"

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace review
{

/// @brief Result of a case, as its exit code.
enum class verdict
{
    held = 0,
    broken = 1,
    could_not_run = 2
};

/// @brief Opens record.txt in the folder of the case.
void open_record(const std::string& folder);

/// @brief Appends a line with its time to the record and to the standard output.
void record(const std::string& line);

/// @brief Returns whether the case runs with its disruption.
bool has_trouble();

/// @brief Ends the program with a verdict, after all processes were ended.
[[noreturn]] void finish(verdict result);

/// @brief One process of the role "entry" of the deploy file.
class entry_process
{
  public:
    /// @param ip loopback address of its machine
    entry_process(const std::string& name,
                  const std::string& ip,
                  std::uint16_t base_port,
                  const store& platform);
    ~entry_process();
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    /// @brief Starts target/medlar-entry with its settings file.
    void start();

    /// @brief Waits until it answers its readiness question with 200.
    bool wait_until_ready(int timeout_ms);

    /// @brief Sends a signal.
    void signal(int number) const;

    /// @brief Returns whether the process runs.
    bool is_running();

    /// @brief Ends it and waits for its end.
    void kill();

    /// @brief Returns where clients connect.
    address front() const
    {
        return {ip_, base_port_};
    }

    /// @brief Changes a field of "bounds" in the settings before the start.
    nlohmann::json& settings()
    {
        return settings_;
    }

    const std::string& name() const
    {
        return name_;
    }

  private:
    std::string name_;
    std::string ip_;
    std::uint16_t base_port_;
    nlohmann::json settings_;
    pid_t pid_ = 0;
};

/// @brief Answer that a client got.
struct client_answer
{
    answer_end end = answer_end::none;
    int status = 0;
    message answer;
};

/// @brief Sends a request over a connection and reads the answer.
client_answer exchange(channel& connection, const std::string& request, int timeout_ms);

/// @brief Sends a request over a connection of its own and reads the answer.
client_answer exchange(const address& where, const std::string& request, int timeout_ms);

/// @brief Writes a request.
std::string request_text(const std::string& first_line,
                         const std::vector<std::pair<std::string, std::string>>& headers,
                         const std::string& body);

/// @brief Value of an entry below servers/.
nlohmann::json server_entry(const std::string& service,
                            const address& where,
                            const std::string& zone,
                            int slots);

/// @brief Limits that every configuration of the cases has.
nlohmann::json usual_limits();

/// @brief Returns an id of 16 hexadecimal digits.
std::string new_id();

} // namespace review

#endif // REVIEW_SUPPORT_2_WORLD_HPP
