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

/// @brief what a gateway answers to `/v1/status`
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
    /// every view before the newest is closed
    bool may_propose = false;
    std::uint64_t claims = 0;
    /// processes that answer it but are in no view
    std::vector<view_member> waiting;
    /// the whole answer as JSON text
    std::string text;
};

/// @brief Reads a report; fields that are not named above are kept in its text only.
/// @return error 804 that names the field
absl::StatusOr<host_report> parse_host_report(absl::string_view text);

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_HOST_REPORT_HPP
