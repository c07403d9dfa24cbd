#ifndef MEDLAR_DETAIL_LOG_EVENT_HPP
#define MEDLAR_DETAIL_LOG_EVENT_HPP

#include <absl/strings/string_view.h>

#include <cstdint>
#include <initializer_list>
#include <string>

namespace medlar
{

/// @brief severity of a log event
enum class severity
{
    info,
    warning,
    error,
};

/// @brief A numbered log event. Each area declares its events in one header
/// (detail/log/AREA_events.hpp); docs/EVENTS.md is the catalogue.
struct event
{
    int number;
    severity level;
    absl::string_view name;
};

/// @brief one named field of a log line
struct field
{
    field(absl::string_view field_name, absl::string_view text);
    field(absl::string_view field_name, std::int64_t number);
    field(absl::string_view field_name, std::uint64_t number);

    std::string name;
    std::string value;
};

/// @brief Opens the log on standard error, with one line per event.
/// @param program the name of this process in each line
void open_log(absl::string_view program);

/// @brief Writes one event as a line of named fields.
/// @note Safe to call from every thread.
void log_event(const event& what, std::initializer_list<field> fields);

} // namespace medlar

#endif // MEDLAR_DETAIL_LOG_EVENT_HPP
