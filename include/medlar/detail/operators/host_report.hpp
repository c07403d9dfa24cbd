#ifndef MEDLAR_DETAIL_OPERATORS_HOST_REPORT_HPP
#define MEDLAR_DETAIL_OPERATORS_HOST_REPORT_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/cluster/view.hpp>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <cstdint>
#include <string>
#include <vector>

namespace medlar
{

/// @brief reply of a gateway to `/v1/status`
struct host_report
{
    host_id host;
    incarnation process;
    revision configuration;
    millis configuration_age{0};
    view_epoch adopted;
    view_epoch newest;
    bool member = false;
    bool lease_valid = false;
    /// whether all views before the newest one are closed
    bool may_propose = false;
    std::uint64_t claims = 0;
    /// processes that reply to this gateway but are not in the view
    std::vector<view_member> waiting;
    /// the complete reply as JSON text
    std::string text;
};

/// @brief Parses a report; other fields are kept only in its text.
/// @return error 804, whose message names the field
absl::StatusOr<host_report> parse_host_report(absl::string_view text);

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_HOST_REPORT_HPP
