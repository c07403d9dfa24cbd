#ifndef MEDLAR_DETAIL_STORE_CONSUL_JSON_HPP
#define MEDLAR_DETAIL_STORE_CONSUL_JSON_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/store/store_client.hpp>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <cstdint>
#include <string>

namespace medlar
{

/// @brief Parses the answer to a read of entries.
/// @param index value of X-Consul-Index
/// @return error 704 if it is malformed
absl::StatusOr<store_folder> parse_entries(absl::string_view body, std::uint64_t index);

/// @brief Parses the answer to the creation of a session.
/// @return error 704 if it is malformed
absl::StatusOr<store_lease> parse_session(absl::string_view body);

/// @brief Returns the request body that creates a session.
std::string write_session(millis time_to_live);

} // namespace medlar

#endif // MEDLAR_DETAIL_STORE_CONSUL_JSON_HPP
