#ifndef MEDLAR_DETAIL_CLUSTER_HOST_LIST_HPP
#define MEDLAR_DETAIL_CLUSTER_HOST_LIST_HPP

#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/base/ids.hpp>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <set>
#include <string>
#include <vector>

namespace medlar
{

/// @brief role of a listed host
enum class listed_host_kind
{
    gateway, ///< runs a gateway; `entry` in the list
    target,  ///< runs a target
};

/// @brief entry of the platform's host list
struct listed_host
{
    host_id host;
    listed_host_kind kind = listed_host_kind::gateway;
    /// of a gateway: address and port of its link, as text
    std::string address;
    /// of a target: its name
    target_id target;
    bool leaving = false;
};

/// @brief Parses the host list; docs/HOST_LIST.md describes its format.
/// @note Hosts of an unknown kind or state are ignored.
/// @return error 704 if the list is malformed
absl::StatusOr<std::vector<listed_host>> parse_host_list(absl::string_view text);

/// @brief Returns the leaving targets, which receive no new work, after a new version of
/// the list.
///
/// A leaving target that is no longer listed stays leaving until it is listed as live.
/// @param before leaving targets according to the previous version
std::set<target_id> next_leaving_targets(const std::set<target_id>& before,
                                         const std::vector<listed_host>& listed);

/// @brief Returns the sorted addresses of the listed gateways that are not leaving.
std::vector<std::string> gateway_addresses(const std::vector<listed_host>& listed);

} // namespace medlar

#endif // MEDLAR_DETAIL_CLUSTER_HOST_LIST_HPP
