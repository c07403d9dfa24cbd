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

/// @brief what a listed host runs
enum class listed_kind
{
    entry,  ///< a gateway of the system
    target, ///< a target
};

/// @brief one host of the platform's host list
struct listed_host
{
    host_id host;
    listed_kind kind = listed_kind::entry;
    /// entry: address and port of its gateway's link, as text
    std::string address;
    /// target: the target's name
    target_id target;
    bool leaving = false;
};

/// @brief Reads the host list, described in docs/HOST_LIST.md.
/// @note Hosts of an unknown kind or state are passed over.
/// @return error 704 if it is malformed
absl::StatusOr<std::vector<listed_host>> parse_host_list(absl::string_view text);

/// @brief The targets that get no new work after one more reading of the list.
///
/// A leaving target that is no longer listed stays leaving until it is listed as live.
std::set<target_id> leaving_after(const std::set<target_id>& before,
                                  const std::vector<listed_host>& listed);

/// @brief addresses of the listed gateways that are not leaving
std::vector<std::string> gateways_of(const std::vector<listed_host>& listed);

} // namespace medlar

#endif // MEDLAR_DETAIL_CLUSTER_HOST_LIST_HPP
