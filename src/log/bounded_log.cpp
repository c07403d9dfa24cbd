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

// some seconds of lines of a busy host
constexpr std::size_t max_kept_bytes = 131072;

/// keeps lines until standard output takes them
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
        while (written < kept_.size())
        {
            const ssize_t taken =
                ::write(STDOUT_FILENO, kept_.data() + written, kept_.size() - written);
            if (taken <= 0)
            {
                break;
            }
            written += static_cast<std::size_t>(taken);
        }
        kept_.erase(0, written);
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
        if (kept_.size() > max_kept_bytes)
        {
            ++dropped_;
            return;
        }
        log4cplus::tostringstream line;
        layout->formatAndAppend(line, event);
        kept_ += line.str();
    }

  private:
    std::string kept_;
    std::size_t dropped_ = 0;
};

bounded_appender* the_appender = nullptr;

} // namespace

void open_bounded_log(absl::string_view program)
{
    static log4cplus::Initializer initializer;
    // a reader that stands still must not stop the process
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
    {
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    the_appender = new bounded_appender;
    const log4cplus::SharedAppenderPtr shared(the_appender);
    shared->setLayout(std::make_unique<log4cplus::PatternLayout>(
        absl::StrCat("%D{%Y-%m-%dT%H:%M:%S.%q} %p program=", program, " %m%n")));
    log4cplus::Logger logger = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("medlar"));
    logger.addAppender(shared);
    logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void write_kept_lines()
{
    if (the_appender != nullptr)
    {
        the_appender->write();
    }
}

std::size_t take_dropped_lines()
{
    return the_appender == nullptr ? 0 : the_appender->take_dropped();
}

} // namespace medlar
