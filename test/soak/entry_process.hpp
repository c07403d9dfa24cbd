#ifndef MEDLAR_TEST_SOAK_ENTRY_PROCESS_HPP
#define MEDLAR_TEST_SOAK_ENTRY_PROCESS_HPP

#include <medlar/detail/base/endpoint.hpp>

#include <sys/types.h>

#include <cstdint>
#include <string>

namespace medlar::soak
{

/// @brief A medlar-entry child process; the destructor kills it.
class entry_process
{
  public:
    /// @param directory directory of its settings file and its log file
    entry_process(const std::string& directory, const std::string& name);
    ~entry_process();

    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    /// @brief Writes the settings file that the process reads at startup and on SIGHUP.
    void write_settings(const std::string& text) const;

    /// @param program path of medlar-entry
    void start(const std::string& program);

    /// @brief Sends a signal to the process if it is running.
    void signal(int number) const;

    /// @brief Reaps the process if it has exited and records its exit status.
    /// @return whether the process is running
    bool is_running();

    /// @brief Returns whether the process has logged a line, which it does once it has
    /// read its settings.
    bool has_logged() const;

    /// @brief id of the process; 0 while it does not run
    pid_t pid() const
    {
        return pid_;
    }

    bool exited_unexpectedly() const
    {
        return exited_unexpectedly_;
    }

    /// @brief description of the last exit, such as "signal 9"; after a failure with the
    /// program and the last line of the log
    const std::string& last_exit() const
    {
        return last_exit_;
    }

    /// @brief Marks an exit before the next start as expected.
    void expect_exit()
    {
        exit_expected_ = true;
    }

  private:
    std::string program_;
    std::string settings_path_;
    std::string log_path_;
    pid_t pid_ = 0;
    /// size of the log when the process started
    std::uintmax_t logged_before_ = 0;
    bool exit_expected_ = false;
    bool exited_unexpectedly_ = false;
    std::string last_exit_;
};

} // namespace medlar::soak

#endif // MEDLAR_TEST_SOAK_ENTRY_PROCESS_HPP
