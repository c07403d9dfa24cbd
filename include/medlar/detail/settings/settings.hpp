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

/// @brief Reads "ADDRESS:PORT"; the address must be an IP address.
/// @return error 901 that states what is invalid
absl::StatusOr<endpoint> parse_endpoint(absl::string_view text);

/// @brief Reads a comma-separated list of "ADDRESS:PORT"; empty text gives an
/// empty list.
/// @return error 901 for the first entry that is invalid
absl::StatusOr<std::vector<endpoint>> parse_endpoints(absl::string_view text);

/// @brief Loads the settings of a program from flags, environment variables and defaults,
/// in this order of precedence. The flag --host_id is MEDLAR_HOST_ID in the environment.
/// @param argc,argv as main() received them
/// @return error 901 for an environment value that is invalid for its flag
/// @note On an invalid command-line flag, gflags prints a message and exits.
absl::Status load_settings(int* argc, char*** argv);

/// @brief Writes each setting of the program as "name = value
/// (flag|environment|default)".
void print_settings(std::ostream& out);

} // namespace medlar

#endif // MEDLAR_DETAIL_SETTINGS_SETTINGS_HPP
