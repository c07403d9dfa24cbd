#include <medlar/detail/log/crash_report.hpp>

#include <execinfo.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>

namespace medlar
{

namespace
{

constexpr int max_frames = 64;

// a stack that has overflowed has no room for the handler
constexpr std::size_t handler_stack_bytes = 65536;

constexpr std::array<int, 5> fatal_signals{SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};

std::array<char, handler_stack_bytes> handler_stack;

const char* name_of(int signal)
{
    switch (signal)
    {
        case SIGSEGV:
            return "SIGSEGV";
        case SIGBUS:
            return "SIGBUS";
        case SIGILL:
            return "SIGILL";
        case SIGFPE:
            return "SIGFPE";
        default:
            return "SIGABRT";
    }
}

void write_text(const char* text)
{
    // there is nobody to tell of an error
    [[maybe_unused]] const ssize_t written =
        ::write(STDERR_FILENO, text, std::strlen(text));
}

extern "C" void write_crash_report(int signal)
{
    const int saved_errno = errno;
    write_text("fatal signal ");
    write_text(name_of(signal));
    write_text(", stack:\n");
    std::array<void*, max_frames> frames{};
    const int count = ::backtrace(frames.data(), max_frames);
    ::backtrace_symbols_fd(frames.data(), count, STDERR_FILENO);
    errno = saved_errno;
    // the handler was reset: this ends the process as soon as it returns
    ::raise(signal);
}

} // namespace

void enable_crash_reports()
{
    // the first call loads a library, which a signal handler must not
    void* frame = nullptr;
    ::backtrace(&frame, 1);
    stack_t stack{};
    stack.ss_sp = handler_stack.data();
    stack.ss_size = handler_stack.size();
    ::sigaltstack(&stack, nullptr);
    struct sigaction action
    {
    };
    action.sa_handler = write_crash_report;
    action.sa_flags = static_cast<int>(SA_RESETHAND | SA_ONSTACK);
    sigemptyset(&action.sa_mask);
    for (const int signal : fatal_signals)
    {
        ::sigaction(signal, &action, nullptr);
    }
}

} // namespace medlar
