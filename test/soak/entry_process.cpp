#include "soak/entry_process.hpp"

#include "platform/names.hpp"

#include <absl/strings/str_cat.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <system_error>
#include <vector>

extern char** environ;

namespace medlar::soak
{

namespace
{

std::string describe_exit(int status)
{
    return WIFSIGNALED(status) ? absl::StrCat("signal ", WTERMSIG(status))
                               : absl::StrCat("exit code ", WEXITSTATUS(status));
}

std::uintmax_t size_of(const std::string& path)
{
    std::error_code missing;
    const std::uintmax_t size = std::filesystem::file_size(path, missing);
    return missing ? 0 : size;
}

bool is_clean_exit(int status)
{
    return WIFSIGNALED(status) ? WTERMSIG(status) == SIGKILL : WEXITSTATUS(status) == 0;
}

std::string last_line(const std::string& path)
{
    std::ifstream lines(path);
    std::string result;
    for (std::string line; std::getline(lines, line);)
    {
        result = line;
    }
    return result;
}

} // namespace

entry_process::entry_process(const std::string& directory, const std::string& name)
    : settings_path_(absl::StrCat(directory, "/", name, ".json")),
      log_path_(absl::StrCat(directory, "/", name, ".log"))
{
}

entry_process::~entry_process()
{
    if (is_running())
    {
        expect_exit();
        signal(SIGCONT);
        signal(SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
}

void entry_process::write_settings(const std::string& text) const
{
    // a process that starts meanwhile reads all of it
    const std::string written = settings_path_ + ".new";
    std::ofstream(written) << text;
    std::filesystem::rename(written, settings_path_);
}

void entry_process::start(const std::string& program)
{
    program_ = program;
    logged_before_ = size_of(log_path_);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    const int flags = O_WRONLY | O_CREAT | O_APPEND;
    posix_spawn_file_actions_addopen(&files, 1, log_path_.c_str(), flags, 0644);
    posix_spawn_file_actions_adddup2(&files, 1, 2);
    // an inherited listener would still accept when the stand-in has closed it
    posix_spawn_file_actions_addclosefrom_np(&files, 3);
    std::string setting = absl::StrCat(platform::settings_variable, "=", settings_path_);
    std::vector<char*> environment;
    for (char** each = environ; *each != nullptr; ++each)
    {
        environment.push_back(*each);
    }
    environment.push_back(setting.data());
    environment.push_back(nullptr);
    char* const arguments[] = {program_.data(), nullptr};
    // a signal that arrives before the program has blocked it must not end it
    sigset_t blocked;
    sigemptyset(&blocked);
    sigaddset(&blocked, SIGTERM);
    sigaddset(&blocked, SIGHUP);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    posix_spawnattr_setsigmask(&attributes, &blocked);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    const int failure = posix_spawn(
        &pid_, program_.c_str(), &files, &attributes, arguments, environment.data());
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&files);
    if (failure != 0)
    {
        pid_ = 0;
        throw std::runtime_error(absl::StrCat("cannot start ", program_));
    }
    exit_expected_ = false;
}

bool entry_process::has_logged() const
{
    return size_of(log_path_) > logged_before_;
}

void entry_process::signal(int number) const
{
    if (pid_ > 0)
    {
        kill(pid_, number);
    }
}

bool entry_process::is_running()
{
    int status = 0;
    if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_)
    {
        pid_ = 0;
        last_exit_ = describe_exit(status);
        if (!is_clean_exit(status))
        {
            absl::StrAppend(
                &last_exit_, " of ", program_, ", last logged: ", last_line(log_path_));
        }
        exited_unexpectedly_ =
            exited_unexpectedly_ || !exit_expected_ || !is_clean_exit(status);
    }
    return pid_ > 0;
}

} // namespace medlar::soak
