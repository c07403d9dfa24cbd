#ifndef MEDLAR_TEST_SOAK_ENTRY_PROCESS_HPP
#define MEDLAR_TEST_SOAK_ENTRY_PROCESS_HPP

#include <medlar/detail/base/endpoint.hpp>

#include <sys/types.h>

#include <string>

namespace medlar::soak
{

/// @brief One medlar-entry as a process of its own; ends with this object.
class entry_process
{
  public:
    /// @param program path of medlar-entry
    /// @param directory where its settings and its log are kept
    entry_process(std::string program, std::string directory, std::string name);
    ~entry_process();

    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    /// @brief Writes the settings that it reads at its start and at SIGHUP.
    void write_settings(const std::string& text) const;

    void start();

    /// @brief Sends a signal to it, if it runs.
    void signal(int number) const;

    /// @brief Takes note of its end, if it ended.
    /// @return whether it runs
    bool is_running();

    bool ended_by_itself() const
    {
        return ended_by_itself_;
    }

    /// @brief how it ended last, in words
    const std::string& last_end() const
    {
        return last_end_;
    }

    /// @brief Says that its end is expected from now on, by this or a later signal.
    void expect_end()
    {
        end_expected_ = true;
    }

  private:
    std::string program_;
    std::string settings_path_;
    std::string log_path_;
    pid_t pid_ = 0;
    bool end_expected_ = false;
    bool ended_by_itself_ = false;
    std::string last_end_;
};

} // namespace medlar::soak

#endif // MEDLAR_TEST_SOAK_ENTRY_PROCESS_HPP
