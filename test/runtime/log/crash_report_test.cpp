#include <medlar/detail/log/crash_report.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <string>

namespace
{

using namespace medlar;

/// How a process ended, and what it wrote to standard error.
struct ended_process
{
    int status = 0;
    std::string output;
};

[[noreturn]] void end_by(int signal, int output)
{
    ::dup2(output, STDERR_FILENO);
    enable_crash_reports();
    ::raise(signal);
    ::_exit(0);
}

ended_process run_until_end_by(int signal)
{
    std::array<int, 2> pipe_ends{};
    CPPUNIT_ASSERT_EQUAL(0, ::pipe(pipe_ends.data()));
    const pid_t child = ::fork();
    CPPUNIT_ASSERT(child >= 0);
    if (child == 0)
    {
        end_by(signal, pipe_ends[1]);
    }
    ::close(pipe_ends[1]);
    ended_process ended;
    std::array<char, 4096> buffer{};
    for (ssize_t count = ::read(pipe_ends[0], buffer.data(), buffer.size()); count > 0;
         count = ::read(pipe_ends[0], buffer.data(), buffer.size()))
    {
        ended.output.append(buffer.data(), static_cast<std::size_t>(count));
    }
    ::close(pipe_ends[0]);
    ::waitpid(child, &ended.status, 0);
    return ended;
}

class a_process_that_ends_by_a_fatal_signal : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_process_that_ends_by_a_fatal_signal);
    CPPUNIT_TEST(names_the_signal_and_its_stack);
    CPPUNIT_TEST(ends_by_that_signal);
    CPPUNIT_TEST_SUITE_END();

    void names_the_signal_and_its_stack()
    {
        const ended_process ended = run_until_end_by(SIGSEGV);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ended.output.find("fatal signal SIGSEGV"));
        CPPUNIT_ASSERT(ended.output.find("runtime_test") != std::string::npos);
    }

    void ends_by_that_signal()
    {
        for (const int signal : {SIGSEGV, SIGBUS, SIGABRT})
        {
            const ended_process ended = run_until_end_by(signal);
            CPPUNIT_ASSERT(WIFSIGNALED(ended.status));
            CPPUNIT_ASSERT_EQUAL(signal, WTERMSIG(ended.status));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_process_that_ends_by_a_fatal_signal);

} // namespace
