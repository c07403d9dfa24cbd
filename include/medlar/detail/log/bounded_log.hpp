#ifndef MEDLAR_DETAIL_LOG_BOUNDED_LOG_HPP
#define MEDLAR_DETAIL_LOG_BOUNDED_LOG_HPP

#include <absl/strings/string_view.h>

#include <cstddef>

namespace medlar
{

/// @brief Opens the log on standard output without ever blocking on its reader: lines are
/// buffered up to a bound and written by write_buffered_lines(); further lines are
/// dropped and counted.
/// @param program the name of this process in each line
void open_bounded_log(absl::string_view program);

/// @brief Writes as much of the buffer as standard output accepts without blocking.
void write_buffered_lines();

/// @brief Returns and resets the number of dropped lines.
std::size_t take_dropped_lines();

} // namespace medlar

#endif // MEDLAR_DETAIL_LOG_BOUNDED_LOG_HPP
