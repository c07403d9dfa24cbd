#ifndef MEDLAR_DETAIL_CLUSTER_VIEW_HPP
#define MEDLAR_DETAIL_CLUSTER_VIEW_HPP

#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/base/ids.hpp>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <string>
#include <vector>

namespace medlar
{

/// @brief gateway process that takes part in the ownership of requests
struct view_member
{
    host_id host;
    incarnation process;
    /// address at which its peers reach it
    endpoint link;
    failure_domain_id failure_domain;
};

/// @brief Agreed set of gateways; each request has exactly one home among them.
struct view
{
    view_epoch epoch;
    std::vector<view_member> members;
    /// processes of the previous view that an operator has declared stopped
    std::vector<incarnation> stated_stopped;

    /// @brief Returns the member with that incarnation, or nullptr.
    const view_member* find(incarnation process) const;
};

/// @brief Returns a digest of a view.
std::uint64_t digest_of(const view& source);

/// @brief unique key of a request in the system: its organisation and its id
struct request_key
{
    organisation_id organisation;
    request_id id;

    friend bool operator==(const request_key& a, const request_key& b)
    {
        return a.organisation == b.organisation && a.id == b.id;
    }

    friend bool operator<(const request_key& a, const request_key& b)
    {
        return a.organisation != b.organisation ? a.organisation < b.organisation
                                                : a.id < b.id;
    }
};

/// @brief Returns the 64-bit hash of a key, by which its home is chosen; the same on
/// every host.
std::uint64_t hash_of(const request_key& key);

/// @brief Returns the home of a key: the member with the highest score (rendezvous
/// hashing over the host ids).
/// @return nullptr if the view has no members
const view_member* home_of(const view& gateways, std::uint64_t key_hash);

/// @brief Value of one store key: the newest view and the views before it.
///
/// Epochs have no gaps. A new view is proposed only when every view before the newest
/// is closed (see ownership.hpp), so all of @ref earlier except the last are closed.
struct view_record
{
    view current;
    /// views before @ref current, oldest first
    std::vector<view> earlier;
};

/// @brief Parses the JSON form of a record.
/// @return error 704 if it is malformed, a view has no members or the epochs are not
///     consecutive
absl::StatusOr<view_record> parse_view_record(absl::string_view text);

/// @brief Returns the JSON form of a record, as read by parse_view_record().
std::string write_view_record(const view_record& record);

/// @brief Returns the record whose current view has the next epoch and @p members.
/// @note It keeps the newest max_earlier_views earlier views.
view_record next_record(const view_record& record, std::vector<view_member> members);

/// @brief maximum number of earlier views in a record
constexpr std::size_t max_earlier_views = 16;

} // namespace medlar

#endif // MEDLAR_DETAIL_CLUSTER_VIEW_HPP
