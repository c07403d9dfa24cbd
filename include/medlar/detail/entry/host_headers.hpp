#ifndef MEDLAR_DETAIL_ENTRY_HOST_HEADERS_HPP
#define MEDLAR_DETAIL_ENTRY_HOST_HEADERS_HPP

#include <absl/strings/match.h>
#include <absl/strings/string_view.h>

namespace medlar
{

/// @brief Begin of the names of all headers that only hosts say to each other, those of
/// later builds too.
inline constexpr char host_header_prefix[] = "Medlar-";

/// @brief Why a host does not take a forwarded request: it has no path to the targets
/// either.
inline constexpr char forward_no_path[] = "no path";

/// @brief Returns whether only hosts may say a header. One that a caller has sent means
/// nothing, and no target gets one.
inline bool is_host_header(absl::string_view name)
{
    return absl::StartsWithIgnoreCase(name, host_header_prefix);
}

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_HOST_HEADERS_HPP
