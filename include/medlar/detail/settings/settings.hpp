#ifndef MEDLAR_DETAIL_SETTINGS_SETTINGS_HPP
#define MEDLAR_DETAIL_SETTINGS_SETTINGS_HPP

#include <medlar/detail/base/endpoint.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <ostream>
#include <string>
#include <vector>

namespace medlar
{

/// @brief Reads "ADDRESS:PORT"; the address must be an IP number.
/// @return error 901 that names what is wrong
absl::StatusOr<endpoint> parse_endpoint(absl::string_view text);

/// @brief Reads a comma-separated list of "ADDRESS:PORT"; empty text is an empty list.
absl::StatusOr<std::vector<endpoint>> parse_endpoints(absl::string_view text);

/// @brief Reads the settings of a program: flags first, then environment variables
/// (the flag --host_id is also MEDLAR_HOST_ID), then defaults.
/// @param argc,argv as main() received them
/// @return error 901 for an environment value that the flag does not take
/// @note A bad command-line flag ends the process with the message of gflags.
absl::Status load_settings(int* argc, char*** argv);

/// @brief Writes each of our settings as "name = value (flag|environment|default)".
void print_settings(std::ostream& out);

} // namespace medlar

#endif // MEDLAR_DETAIL_SETTINGS_SETTINGS_HPP
