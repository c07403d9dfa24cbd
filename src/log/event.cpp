#include <medlar/detail/log/event.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace medlar
{

namespace
{

log4cplus::Logger event_logger()
{
    return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("medlar"));
}

log4cplus::LogLevel level_of(severity level)
{
    switch (level)
    {
        case severity::info:
            return log4cplus::INFO_LOG_LEVEL;
        case severity::warning:
            return log4cplus::WARN_LOG_LEVEL;
        case severity::error:
            return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

std::string quoted(absl::string_view value)
{
    const std::string escaped =
        absl::StrReplaceAll(value, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
    return absl::StrCat("\"", escaped, "\"");
}

} // namespace

field::field(absl::string_view field_name, absl::string_view text)
    : name(field_name), value(quoted(text))
{
}

field::field(absl::string_view field_name, std::int64_t number)
    : name(field_name), value(absl::StrCat(number))
{
}

field::field(absl::string_view field_name, std::uint64_t number)
    : name(field_name), value(absl::StrCat(number))
{
}

void open_log(absl::string_view program)
{
    static log4cplus::Initializer initializer;
    const bool to_standard_error = true;
    const bool flush_each_line = true;
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(to_standard_error, flush_each_line));
    const std::string pattern =
        absl::StrCat("%D{%Y-%m-%dT%H:%M:%S.%q} %p program=", program, " %m%n");
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    event_logger().addAppender(appender);
    event_logger().setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void log_event(const event& what, std::initializer_list<field> fields)
{
    std::string line = absl::StrCat("event=", what.number, " name=", what.name);
    for (const field& each : fields)
    {
        absl::StrAppend(&line, " ", each.name, "=", each.value);
    }
    event_logger().log(level_of(what.level), line);
}

} // namespace medlar
