#ifndef MEDLAR_DETAIL_OPERATORS_CONFLICT_HPP
#define MEDLAR_DETAIL_OPERATORS_CONFLICT_HPP

#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/config/difference.hpp>

#include <absl/status/status.h>

#include <optional>
#include <string>
#include <vector>

namespace medlar
{

/// @brief the accepted change because of which another one is refused with error 601
struct conflict_report
{
    revision number;
    std::string change_id;
    std::string author;
    std::vector<difference> differences;
};

/// @brief Returns a status of error 601 with the report as its payload.
absl::Status make_conflict(const conflict_report& report);

/// @brief Returns the conflict report in the payload of a status, if there is one.
std::optional<conflict_report> get_conflict_report(const absl::Status& status);

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_CONFLICT_HPP
