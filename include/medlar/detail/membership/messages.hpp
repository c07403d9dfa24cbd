#ifndef MEDLAR_DETAIL_MEMBERSHIP_MESSAGES_HPP
#define MEDLAR_DETAIL_MEMBERSHIP_MESSAGES_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/cluster/view.hpp>
#include <medlar/detail/ownership/claim_table.hpp>
#include <medlar/detail/ownership/ownership.hpp>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <optional>
#include <string>
#include <vector>

namespace medlar
{

// Messages of docs/LINKS.md. Each from_json() returns error 804 with the cause if the
// message is malformed.

/// @brief a target that gets no new work, and the remaining lifetime of this entry
struct leaving_target
{
    target_id name;
    millis remaining;
};

/// @brief what a gateway sends along with each lease grant request and each answer
struct peer_gossip
{
    view_epoch newest{0};
    revision configuration{0};
    /// time since a controller last confirmed that configuration
    millis configuration_age{0};
    /// members of its view that have been silent for longer than a lease
    std::vector<incarnation> not_heard;
    std::vector<leaving_target> leaving_targets;
    /// it has asked to be left out of the view
    bool leaving_self = false;
    /// set by a process that belongs to no view, to announce itself
    std::optional<view_member> sender;
};

/// @brief /v1/grant
struct grant_message
{
    grant_request request;
    peer_gossip gossip;
};

/// @brief answer on /v1/grant
struct grant_answer
{
    grant_reply reply;
    peer_gossip gossip;
};

/// @brief /v1/handover: one part of the claims that moved; the last part has the notice
struct handover_message
{
    incarnation from;
    std::vector<claim> claims;
    std::optional<handover_notice> notice;
};

/// @brief /v1/claims: changes to claims whose requests have moved to another home
struct claims_message
{
    incarnation from;
    std::vector<claim> finished;
    /// requests whose runs were withdrawn before anything was sent
    std::vector<request_key> withdrawn;
};

/// @brief /v1/lookup
struct lookup_message
{
    request_key key;
};

/// @brief answer on /v1/lookup
struct lookup_answer
{
    std::optional<claim> found;
};

/// @brief /v1/state: the versions that the requester has
struct state_message
{
    view_epoch newest{0};
    revision configuration{0};
};

/// @brief answer on /v1/state: what is newer than the requester's versions
struct state_answer
{
    /// text of the view record
    std::optional<std::string> record;
    /// text of the accepted document
    std::optional<std::string> document;
};

/// @brief /v1/control, from the local controller; absent fields are unchanged
struct control_message
{
    /// text of the view record
    std::optional<std::string> record;
    /// text of the accepted document
    std::optional<std::string> document;
    /// newest revision in the store, if the controller can reach the store
    std::optional<revision> confirmed;
    std::optional<std::vector<target_id>> leaving;
    std::optional<std::vector<endpoint>> peers;
};

std::string to_json(const grant_message& message);
std::string to_json(const grant_answer& message);
std::string to_json(const handover_message& message);
std::string to_json(const claims_message& message);
std::string to_json(const lookup_message& message);
std::string to_json(const lookup_answer& message);
std::string to_json(const state_message& message);
std::string to_json(const state_answer& message);

/// @brief Reads a message of type @p Message.
/// @return error 804 if it is malformed
template <typename Message>
absl::StatusOr<Message> from_json(absl::string_view text);

template <>
absl::StatusOr<grant_message> from_json(absl::string_view text);
template <>
absl::StatusOr<grant_answer> from_json(absl::string_view text);
template <>
absl::StatusOr<handover_message> from_json(absl::string_view text);
template <>
absl::StatusOr<claims_message> from_json(absl::string_view text);
template <>
absl::StatusOr<lookup_message> from_json(absl::string_view text);
template <>
absl::StatusOr<lookup_answer> from_json(absl::string_view text);
template <>
absl::StatusOr<state_message> from_json(absl::string_view text);
template <>
absl::StatusOr<state_answer> from_json(absl::string_view text);
template <>
absl::StatusOr<control_message> from_json(absl::string_view text);

} // namespace medlar

#endif // MEDLAR_DETAIL_MEMBERSHIP_MESSAGES_HPP
