#ifndef MEDLAR_DETAIL_CONTROLLER_CONTROL_MESSAGE_HPP
#define MEDLAR_DETAIL_CONTROLLER_CONTROL_MESSAGE_HPP

#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/cluster/view.hpp>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <optional>
#include <string>
#include <vector>

namespace medlar
{

/// @brief Body of a call to `/v1/control`; an unset member has not changed.
struct control_push
{
    /// JSON form of the newest view record
    std::optional<std::string> view;
    /// JSON form of the newest accepted document
    std::optional<std::string> configuration;
    /// the revision in the store; unset while the store does not answer
    std::optional<revision> confirmed;
    /// all targets that receive no new work
    std::optional<std::vector<target_id>> leaving;
    /// link addresses of the other gateways
    std::optional<std::vector<endpoint>> peers;
};

/// @brief Returns the JSON form of a push, described in docs/LINKS.md.
std::string write_control_push(const control_push& push);

/// @brief Answer of a gateway to `/v1/control`.
struct gateway_report
{
    host_id host;
    incarnation process;
    revision configuration;
    view_epoch adopted;
    view_epoch newest;
    bool member = false;
    bool may_propose = false;
    /// members from which no message has arrived lately
    std::vector<incarnation> not_heard;
    std::vector<incarnation> leaving;
    /// gateways that wait to join the view
    std::vector<view_member> waiting;
};

/// @brief Parses the answer to `/v1/control`.
/// @return error 804 with the cause if it is malformed
absl::StatusOr<gateway_report> parse_gateway_report(absl::string_view text);

/// @brief Answer to `/v1/state`: state of the gateway that is newer than the requester's.
struct newer_state
{
    std::optional<view_record> view;
    /// JSON form of the accepted document
    std::optional<std::string> configuration;
};

/// @brief Returns the body of a call to `/v1/state`, which states what the requester has.
std::string write_state_request(view_epoch newest, revision configuration);

/// @brief Parses the answer to `/v1/state`.
/// @return error 804 or 704 with the cause if it is malformed
absl::StatusOr<newer_state> parse_newer_state(absl::string_view text);

} // namespace medlar

#endif // MEDLAR_DETAIL_CONTROLLER_CONTROL_MESSAGE_HPP
