#ifndef MEDLAR_TEST_SYSTEM_HARNESS_PROCESS_HPP
#define MEDLAR_TEST_SYSTEM_HARNESS_PROCESS_HPP

#include <sys/types.h>

#include <string>
#include <vector>

namespace medlar::testing
{

/// @brief A child process running a program of the build; the destructor kills it.
///
/// Its standard output is read through a pipe; its log goes to a file in the build
/// folder.
class process
{
  public:
    /// @brief Starts a program of the build folder.
    /// @param program such as "medlar-gateway"
    /// @param log_name name of its log file, without directory and extension
    /// @note fails the test if it cannot be started
    process(const std::string& program,
            const std::vector<std::string>& arguments,
            const std::string& log_name);

    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /// Kills the process if it is still running.
    ~process();

    /// @brief Waits for a line of standard output that starts with @p prefix.
    /// @return the rest of the line; fails the test if the process ends first
    std::string wait_for_line(const std::string& prefix);

    /// @brief Reads its remaining standard output until it exits.
    std::string rest_of_output();

    /// @brief Sends SIGKILL and reaps the process.
    void kill();

    /// @brief Sends SIGTERM.
    void terminate() const;

    /// @brief Waits until it exits.
    /// @return its exit code, or -1 if a signal ended it
    int wait();

    /// @brief Suspends it (SIGSTOP).
    void freeze() const;

    /// @brief Resumes it (SIGCONT).
    void thaw() const;

    bool running();

    pid_t id() const
    {
        return pid_;
    }

  private:
    pid_t pid_ = -1;
    int output_ = -1;
    int exit_code_ = 0;
    std::string pending_;
    std::string name_;
};

} // namespace medlar::testing

#endif // MEDLAR_TEST_SYSTEM_HARNESS_PROCESS_HPP
