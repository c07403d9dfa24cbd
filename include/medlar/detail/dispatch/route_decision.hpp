#ifndef MEDLAR_DETAIL_DISPATCH_ROUTE_DECISION_HPP
#define MEDLAR_DETAIL_DISPATCH_ROUTE_DECISION_HPP

#include <medlar/detail/entry/protocol.hpp>
#include <medlar/detail/entry/serving_configuration.hpp>

#include <absl/strings/string_view.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace medlar
{

/// @brief Input of decide_route()
struct route_input
{
    /// null until the first one is received
    const serving_configuration* configuration = nullptr;
    absl::string_view host;
    absl::string_view path;
    const request_fields& fields;
    bool is_stopping = false;
    /// whether the host knows what it needs to serve requests
    bool has_started = false;
    /// whether another host has forwarded the request
    bool is_forwarded = false;
    /// version of the configuration of that host; 0 if it does not state one
    std::int64_t version_of_sender = 0;
    /// whether this host has lost the path to a pool of a route
    std::function<bool(const route&)> lacks_path = {};
};

/// @brief Whether a host serves a request, and by which route
struct route_decision
{
    /// null if the request is answered at once
    const route* matched = nullptr;
    std::optional<organisation_rule> organisation;
    /// the answer if there is no route
    int status = 0;
    std::string why;
    /// whether the host that has forwarded the request is told that it is not taken
    bool is_not_taken = false;
};

/// @brief Decides whether a host serves a request.
route_decision decide_route(const route_input& input);

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_ROUTE_DECISION_HPP
