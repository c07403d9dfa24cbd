#include <medlar/detail/link/wake_pipe.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cstdlib>

namespace medlar
{

wake_pipe::wake_pipe()
{
    if (pipe2(ends_, O_NONBLOCK | O_CLOEXEC) != 0)
    {
        std::abort();
    }
}

wake_pipe::~wake_pipe()
{
    close(ends_[0]);
    close(ends_[1]);
}

void wake_pipe::wake()
{
    const char mark = 1;
    // a write to a full pipe fails, but then the pipe is readable already
    [[maybe_unused]] const ssize_t written = write(ends_[1], &mark, 1);
}

void wake_pipe::drain()
{
    std::array<char, 256> discarded{};
    while (read(ends_[0], discarded.data(), discarded.size()) > 0)
    {
    }
}

} // namespace medlar
