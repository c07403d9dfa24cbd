#include "process.hpp"

#include "build_paths.hpp"

#include <cppunit/TestAssert.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <utility>

extern char** environ;

namespace medlar::testing
{

namespace
{

std::vector<char*> argument_pointers(const std::vector<std::string>& arguments)
{
    std::vector<char*> pointers;
    for (const std::string& argument : arguments)
    {
        pointers.push_back(const_cast<char*>(argument.c_str()));
    }
    pointers.push_back(nullptr);
    return pointers;
}

std::string log_path(const std::string& log_name)
{
    const std::string folder = std::string(MEDLAR_BINARY_DIR) + "/system-logs";
    mkdir(folder.c_str(), 0755);
    return folder + "/" + log_name + ".log";
}

} // namespace

process::process(const std::string& program,
                 const std::vector<std::string>& arguments,
                 const std::string& log_name)
    : name_(log_name)
{
    std::array<int, 2> ends{};
    CPPUNIT_ASSERT(pipe2(ends.data(), O_CLOEXEC) == 0);
    std::vector<std::string> all = {std::string(MEDLAR_BINARY_DIR) + "/" + program};
    all.insert(all.end(), arguments.begin(), arguments.end());
    const std::string log = log_path(log_name);

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_addopen(
        &actions, STDERR_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    const std::vector<char*> pointers = argument_pointers(all);
    const int error =
        posix_spawn(&pid_, all[0].c_str(), &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    output_ = ends[0];
    CPPUNIT_ASSERT_EQUAL_MESSAGE("cannot start " + all[0], 0, error);
}

process::process(process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)),
      output_(std::exchange(other.output_, -1)),
      exit_code_(other.exit_code_),
      pending_(std::move(other.pending_)),
      name_(std::move(other.name_))
{
}

process& process::operator=(process&& other) noexcept
{
    std::swap(pid_, other.pid_);
    std::swap(output_, other.output_);
    std::swap(exit_code_, other.exit_code_);
    std::swap(pending_, other.pending_);
    std::swap(name_, other.name_);
    return *this;
}

process::~process()
{
    kill();
    if (output_ >= 0)
    {
        close(output_);
    }
}

std::string process::wait_for_line(const std::string& prefix)
{
    while (true)
    {
        const std::size_t end = pending_.find('\n');
        if (end != std::string::npos)
        {
            const std::string line = pending_.substr(0, end);
            pending_.erase(0, end + 1);
            if (line.rfind(prefix, 0) == 0)
            {
                return line.substr(prefix.size());
            }
            continue;
        }
        std::array<char, 4096> buffer{};
        const ssize_t count = read(output_, buffer.data(), buffer.size());
        CPPUNIT_ASSERT_MESSAGE(name_ + " exited before it printed '" + prefix + "'",
                               count > 0);
        pending_.append(buffer.data(), static_cast<std::size_t>(count));
    }
}

std::string process::rest_of_output()
{
    std::array<char, 4096> buffer{};
    ssize_t count = read(output_, buffer.data(), buffer.size());
    while (count > 0)
    {
        pending_.append(buffer.data(), static_cast<std::size_t>(count));
        count = read(output_, buffer.data(), buffer.size());
    }
    return std::exchange(pending_, {});
}

void process::kill()
{
    if (pid_ > 0)
    {
        ::kill(pid_, SIGKILL);
        wait();
    }
}

void process::terminate() const
{
    if (pid_ > 0)
    {
        ::kill(pid_, SIGTERM);
    }
}

int process::wait()
{
    if (pid_ > 0)
    {
        int status = 0;
        waitpid(pid_, &status, 0);
        exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        pid_ = -1;
    }
    return exit_code_;
}

void process::freeze() const
{
    ::kill(pid_, SIGSTOP);
}

void process::thaw() const
{
    ::kill(pid_, SIGCONT);
}

bool process::running()
{
    if (pid_ <= 0)
    {
        return false;
    }
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_)
    {
        exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        pid_ = -1;
    }
    return pid_ > 0;
}

} // namespace medlar::testing
