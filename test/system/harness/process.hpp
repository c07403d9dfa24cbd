#ifndef MEDLAR_TEST_SYSTEM_HARNESS_PROCESS_HPP
#define MEDLAR_TEST_SYSTEM_HARNESS_PROCESS_HPP

#include <sys/types.h>

#include <string>
#include <vector>

namespace medlar::testing
{

/// @brief One program of the build, started by a test and ended with it.
///
/// Its standard output is read through a pipe; its log goes to a file in the build
/// folder.
class process
{
  public:
    /// @brief Starts a program of the build folder.
    /// @param program such as "medlar-gateway"
    /// @param log_name name of its log file, without folder and ending
    /// @note aborts the test if it cannot be started
    process(const std::string& program,
            const std::vector<std::string>& arguments,
            const std::string& log_name);

    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /// Kills it if it still runs.
    ~process();

    /// @brief Waits for a line of standard output that starts with @p prefix.
    /// @return the rest of the line; fails the test if the process ends first
    std::string wait_for_line(const std::string& prefix);

    /// @brief all that it prints from now on, until it ends
    std::string rest_of_output();

    /// @brief ends it at once (SIGKILL) and reaps it
    void kill();

    /// @brief asks it to end (SIGTERM)
    void terminate() const;

    /// @brief Waits for its end.
    /// @return its exit code, or -1 if a signal ended it
    int wait();

    /// @brief stops it in its tracks (SIGSTOP)
    void freeze() const;

    /// @brief lets it go on (SIGCONT)
    void thaw() const;

    bool running();

  private:
    pid_t pid_ = -1;
    int output_ = -1;
    int exit_code_ = 0;
    std::string pending_;
    std::string name_;
};

} // namespace medlar::testing

#endif // MEDLAR_TEST_SYSTEM_HARNESS_PROCESS_HPP
