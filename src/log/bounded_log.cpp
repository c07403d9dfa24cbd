#include <medlar/detail/log/bounded_log.hpp>

#include <absl/strings/str_cat.h>
#include <fcntl.h>
#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <memory>
#include <sstream>
#include <string>

namespace medlar
{

namespace
{

// holds a few seconds of a busy host's log
constexpr std::size_t max_buffered_bytes = 131072;

/// @brief buffers lines until standard output accepts them
class bounded_appender : public log4cplus::Appender
{
  public:
    ~bounded_appender() override
    {
        destructorImpl();
    }

    void close() override
    {
        write();
        closed = true;
    }

    void write()
    {
        std::size_t written = 0;
        while (written < buffer_.size())
        {
            const ssize_t count = ::write(
                STDOUT_FILENO, buffer_.data() + written, buffer_.size() - written);
            if (count <= 0)
            {
                break;
            }
            written += static_cast<std::size_t>(count);
        }
        buffer_.erase(0, written);
    }

    std::size_t take_dropped()
    {
        const std::size_t count = dropped_;
        dropped_ = 0;
        return count;
    }

  protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        if (buffer_.size() > max_buffered_bytes)
        {
            ++dropped_;
            return;
        }
        log4cplus::tostringstream line;
        layout->formatAndAppend(line, event);
        buffer_ += line.str();
    }

  private:
    std::string buffer_;
    std::size_t dropped_ = 0;
};

bounded_appender* opened_appender = nullptr;

} // namespace

void open_bounded_log(absl::string_view program)
{
    static log4cplus::Initializer initializer;
    // a reader that has stopped reading must not block the process
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
    {
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    opened_appender = new bounded_appender;
    const log4cplus::SharedAppenderPtr shared(opened_appender);
    shared->setLayout(std::make_unique<log4cplus::PatternLayout>(
        absl::StrCat("%D{%Y-%m-%dT%H:%M:%S.%q} %p program=", program, " %m%n")));
    log4cplus::Logger logger = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("medlar"));
    logger.addAppender(shared);
    logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void write_buffered_lines()
{
    if (opened_appender != nullptr)
    {
        opened_appender->write();
    }
}

std::size_t take_dropped_lines()
{
    return opened_appender == nullptr ? 0 : opened_appender->take_dropped();
}

} // namespace medlar
