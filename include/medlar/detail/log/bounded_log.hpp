#ifndef MEDLAR_DETAIL_LOG_BOUNDED_LOG_HPP
#define MEDLAR_DETAIL_LOG_BOUNDED_LOG_HPP

#include <absl/strings/string_view.h>

#include <cstddef>

namespace medlar
{

/// @brief Opens the log on standard output without ever waiting for its reader: lines are
/// kept up to a bound and written by write_kept_lines(); lines beyond it are dropped and
/// counted.
/// @param program the name of this process in each line
void open_bounded_log(absl::string_view program);

/// @brief Writes the kept lines as far as standard output takes them now.
void write_kept_lines();

/// @brief lines dropped since the last call
std::size_t take_dropped_lines();

} // namespace medlar

#endif // MEDLAR_DETAIL_LOG_BOUNDED_LOG_HPP
