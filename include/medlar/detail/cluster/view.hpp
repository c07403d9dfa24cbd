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

/// @brief one run of a gateway process that shares the ownership of requests
struct view_member
{
    host_id host;
    incarnation process;
    /// where its peers reach it
    endpoint link;
    failure_domain_id failure_domain;
};

/// @brief An agreed set of gateways; each request has one home among them.
struct view
{
    view_epoch epoch;
    std::vector<view_member> members;
    /// processes of the view before that an operator has stated to be stopped
    std::vector<incarnation> stated_stopped;

    /// @brief the member of that incarnation, or nullptr
    const view_member* find(incarnation process) const;
};

/// @brief digest of a view's number and members
std::uint64_t digest_of(const view& members);

/// @brief Key of a request within the system: its organisation and its id.
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

/// @brief the 64-bit hash of a key by which homes are chosen; the same on every host
std::uint64_t hash_of(const request_key& key);

/// @brief The home of a key: the member with the highest rendezvous score.
/// @return nullptr if the view has no members
const view_member* home_of(const view& members, std::uint64_t key_hash);

/// @brief What the store keeps under one key: the newest view and those before it.
///
/// Views are numbered without gaps. A new view is proposed only when every view but
/// the newest is closed (see ownership.hpp), so all of @ref earlier but its last are
/// closed.
struct view_record
{
    view current;
    /// views before the current one, oldest first
    std::vector<view> earlier;
};

/// @brief Reads the JSON form of a record.
/// @return error 704 if it is malformed, without members, or its views are out of order
absl::StatusOr<view_record> parse_view_record(absl::string_view text);

/// @brief the JSON form that parse_view_record() reads
std::string write_view_record(const view_record& record);

/// @brief The record that follows @p record when its members become @p members.
/// @note keeps the newest max_earlier_views views
view_record next_record(const view_record& record, std::vector<view_member> members);

/// @brief most views before the current one that a record keeps
constexpr std::size_t max_earlier_views = 16;

} // namespace medlar

#endif // MEDLAR_DETAIL_CLUSTER_VIEW_HPP
