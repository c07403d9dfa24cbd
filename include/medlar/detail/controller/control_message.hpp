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

/// @brief body of `/v1/control`; what is unset has not changed
struct control_push
{
    /// JSON form of the newest view record
    std::optional<std::string> view;
    /// JSON form of the newest accepted document
    std::optional<std::string> configuration;
    /// the revision that the store holds, as far as it was heard from lately
    std::optional<revision> confirmed;
    /// all targets that get no new work
    std::optional<std::vector<target_id>> leaving;
    /// link addresses of other gateways
    std::optional<std::vector<endpoint>> peers;
};

/// @brief the JSON form of a push, described in docs/LINKS.md
std::string write_control_push(const control_push& push);

/// @brief what a gateway answers to `/v1/control`
struct gateway_report
{
    host_id host;
    incarnation process;
    revision configuration;
    view_epoch adopted;
    view_epoch newest;
    bool member = false;
    bool may_propose = false;
    std::vector<incarnation> not_heard;
    std::vector<incarnation> leaving;
    std::vector<view_member> waiting;
};

/// @brief Reads the answer to `/v1/control`.
/// @return error 804 that names the field
absl::StatusOr<gateway_report> parse_gateway_report(absl::string_view text);

/// @brief answer to `/v1/state`: what the gateway has that is newer
struct newer_state
{
    std::optional<view_record> view;
    /// JSON form of the accepted document
    std::optional<std::string> configuration;
};

/// @brief the body of `/v1/state`: what the asker has
std::string write_state_question(view_epoch newest, revision configuration);

/// @brief Reads the answer to `/v1/state`.
/// @return error 804 or 704 that names what is wrong
absl::StatusOr<newer_state> parse_newer_state(absl::string_view text);

} // namespace medlar

#endif // MEDLAR_DETAIL_CONTROLLER_CONTROL_MESSAGE_HPP
